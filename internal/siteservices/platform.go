// Package siteservices defines the interfaces of the platform's log service, machine list and
// weight store, and implements HTTP clients for them. The emulators in internal/emulator
// implement the same interfaces.
package siteservices

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// ErrUnavailable means that the service did not accept the request, which had no effect.
var ErrUnavailable = errors.New("site services: service unavailable")

// ErrOutcomeUnknown means that the request may have had its effect. The caller must read the
// state back before it retries.
var ErrOutcomeUnknown = errors.New("site services: answer lost, the effect is unknown")

// Offset is the position of a record in a log stream. Offsets start at 0 and have no gaps.
type Offset uint64

// ReadResult is the result of Log.Read.
type ReadResult struct {
	// Records are up to limit records of the stream, starting at the requested offset.
	Records [][]byte
	// From is the offset of the first record returned.
	From Offset
	// End is the offset of the next record to be appended to the stream.
	End Offset
}

// Next returns the offset of the next read.
func (r ReadResult) Next() Offset { return r.From + Offset(len(r.Records)) }

// Log is the platform's append-only log service. It guarantees a total order within each
// stream and the durability of acknowledged records. There is no compare-and-set, and an
// acknowledgement may be lost.
type Log interface {
	// Append appends records to stream, contiguous and in order, and returns the offset of
	// the first one. Errors wrap ErrUnavailable or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns records starting at offset from. If there are none, it waits up to wait
	// for one (long poll), and then returns an empty result.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (ReadResult, error)
}

// MachineRole is the role of a listed machine.
type MachineRole string

// The roles of listed machines.
const (
	RoleNode        MachineRole = "node"
	RoleEngine      MachineRole = "engine"
	RoleApplication MachineRole = "application"
)

// MachineState is the state of a listed machine. Machines that have left are not listed.
type MachineState string

// The states of listed machines.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list. The list may be stale.
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

// WeightStore serves model weights to engines at a limited rate. Nodes only query how long a
// load would wait before they order one.
type WeightStore interface {
	// Wait returns how long a fetch that starts now would be queued.
	Wait(ctx context.Context, model, version string) (time.Duration, error)
}
