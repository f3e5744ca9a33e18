// Package siteservices holds the clients of what the platform gives: the log
// service, the machine list, the weight store and the tool services. The
// interfaces here are what the rest of stepseam sees; the HTTP clients beside
// them and the stand-ins of internal/emulator implement them.
package siteservices

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// ErrUnavailable tells that the service did not take the request: it had no
// effect, for certain.
var ErrUnavailable = errors.New("site services: service unavailable")

// ErrOutcomeUnknown tells that the request may or may not have had its effect. The
// caller must read back before it tries again.
var ErrOutcomeUnknown = errors.New("site services: answer lost, the effect is unknown")

// Offset is a position in a log stream, counted from 0 without gaps.
type Offset uint64

// ReadResult is one answer of Log.Read.
type ReadResult struct {
	// Records are the stream's records from the asked offset on, at most limit.
	Records [][]byte
	// From is the offset of the first record returned.
	From Offset
	// End is the offset that the stream's next appended record will get.
	End Offset
}

// Next returns the offset to read on from.
func (r ReadResult) Next() Offset { return r.From + Offset(len(r.Records)) }

// Log is the platform's append-only log service. It promises a total order
// inside each stream and durability of what it acknowledged, and nothing more:
// no compare-and-set, and an acknowledgement can get lost.
type Log interface {
	// Append adds records to stream, adjacent and in order, and returns the
	// offset of the first. Errors wrap ErrUnavailable or ErrAnswerLost.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns records from offset from on. With none there, it waits up to
	// wait for one (long poll) and then returns an empty result.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (ReadResult, error)
}

// MachineRole tells what runs on a listed machine.
type MachineRole string

// The roles of listed machines.
const (
	RoleNode        MachineRole = "node"
	RoleEngine      MachineRole = "engine"
	RoleApplication MachineRole = "application"
)

// MachineState is live or leaving; a machine that is gone is not listed.
type MachineState string

// The states of listed machines.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one row of the machine list. The list lags behind the truth.
type Machine struct {
	Name    string          `json:"name"`
	Role    MachineRole     `json:"role"`
	State   MachineState    `json:"state"`
	Zone    identity.Zone   `json:"zone"`
	Region  identity.Region `json:"region"`
	Address netip.AddrPort  `json:"address"`
	// ProbeAddress is the membership address of a node; unset for other roles.
	ProbeAddress netip.AddrPort `json:"probe_address"`
	// Service is the pool that the machine belongs to, such as modelos-asesor.
	Service string `json:"service"`
}

// MachineList is the platform's list of machines.
type MachineList interface {
	Machines(ctx context.Context) ([]Machine, error)
}

// WeightStore serves model weights to engines at a limited rate. Stepseam asks
// it only how long a load would have to wait, before it orders one.
type WeightStore interface {
	// Wait returns how long a fetch that starts now waits for its turn.
	Wait(ctx context.Context, model, version string) (time.Duration, error)
}
