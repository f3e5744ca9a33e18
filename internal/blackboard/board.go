package blackboard

import (
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// Board is the state that a node's controllers share.
type Board struct {
	// Members is written by the membership controller.
	Members *Cell[membership.View]
	// Machines is the platform's machine list as last read, written by the machine
	// list controller. It may be stale.
	Machines *Cell[[]siteservices.Machine]
	// Table is the version in force on this node, nil before the first. It is
	// written by the table controller, which never replaces a version by an older
	// one.
	Table *Cell[*table.Table]
	// Backends is keyed by back-end name and written by the back-end controller;
	// serving sets Leaving when a back end refuses a request.
	Backends *Map[string, Backend]
	// Owners are hints of each shard's owner, which may be stale.
	Owners *Map[identity.ShardID, Owner]
	// Draining is true once a planned stop of this node has begun.
	Draining *Cell[bool]
}

// Backend is one back end as this node sees it.
type Backend struct {
	Name    string
	Role    siteservices.MachineRole
	Address netip.AddrPort
	Zone    identity.Zone
	Service string
	// Leaving is set by the first source that reports it: the machine list, the
	// back end's own report, or a refused request.
	Leaving bool
	Health  scheduling.Health
	Report  backend.LoadReport
	// ReportedAt is when Report was read, on this node's clock.
	ReportedAt time.Time
	// PrefillRate and DecodeRate are the observed rates in tokens per second.
	PrefillRate float64
	DecodeRate  float64
	Latency     time.Duration
}

// Owner is a hint of who owns a shard.
type Owner struct {
	Node  identity.Reference
	Peer  netip.AddrPort
	Epoch identity.Epoch
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		Members:  NewCell(membership.View{}),
		Machines: NewCell[[]siteservices.Machine](nil),
		Table:    NewCell[*table.Table](nil),
		Backends: NewMap[string, Backend](),
		Owners:   NewMap[identity.ShardID, Owner](),
		Draining: NewCell(false),
	}
}
