// Package trace defines the JSONL format of traces: callers' requests, injected
// failures and expected outcomes, with times relative to the start.
//
// The first line is the header, which describes the site and explains why the
// outcomes are correct. Each further line is one event. A trace is self-contained:
// a replay needs no other description of the site. Read is strict and reports all
// findings together.
package trace

import (
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// FormatVersion is the only version that this package reads and writes.
const FormatVersion = 1

// Trace is a decoded trace.
type Trace struct {
	// File is the file name used in findings and differences.
	File   string
	Header Header
	Events []Event
}

// Header is the first line of a trace.
type Header struct {
	Version int    `json:"stepseam_trace" validate:"required"`
	Name    string `json:"name" validate:"required"`
	// Note explains why the expected outcomes are correct.
	Note string `json:"note" validate:"required"`
	Site Site   `json:"site"`
}

// Site describes the site on which a trace is replayed.
type Site struct {
	// Seed seeds the random generators of nodes and emulators.
	Seed  uint64          `json:"seed" validate:"required"`
	Zones []identity.Zone `json:"zones" validate:"min=1,unique,dive,required"`
	// Nodes, Engines and Applications are assigned to the zones round-robin.
	Nodes        int         `json:"nodes" validate:"min=1,max=64"`
	Engines      []Backend   `json:"engines" validate:"min=1,dive"`
	Applications []Backend   `json:"applications,omitempty" validate:"dive"`
	Shards       int         `json:"shards" validate:"min=1,max=1024"`
	Latency      SiteLatency `json:"latency"`
	// MachineListLag is the delay after which the machine list shows a change.
	MachineListLag Duration `json:"machine_list_lag" validate:"min=0"`
	// Table is the CSV of the first table, line by line.
	Table []string `json:"table" validate:"min=1"`
}

// SiteLatency contains one-way network latencies.
type SiteLatency struct {
	// Zones applies between two zones, Backends between a node and a back end.
	Zones    Duration `json:"zones" validate:"min=0"`
	Backends Duration `json:"backends" validate:"min=0"`
}

// Backend describes an engine or an application replica.
type Backend struct {
	Name    string `json:"name" validate:"required"`
	Service string `json:"service" validate:"required"`
	// Models are loaded by an engine at its start; applications have none.
	Models []string `json:"models,omitempty"`
}

// NodeName returns the name of the node at index, the same on every site.
func NodeName(index int) identity.NodeName { return identity.NodeName(fmt.Sprintf("node-%d", index)) }

// Zone returns the zone of the node or back end at index.
func (s Site) Zone(index int) identity.Zone { return s.Zones[index%len(s.Zones)] }

// Event is a line after the header.
type Event struct {
	// Line is the line number in the file; the first event is on line 2.
	Line int
	// At is the event's time, relative to the moment from which the site serves.
	At   Duration
	Body Body
}

// Body describes the action or the expectation of an event. Each type that
// implements it corresponds to one Kind.
type Body interface {
	Kind() Kind
}

// Duration is a time.Duration that is encoded as text in JSON, such as "1.5s".
type Duration time.Duration

// MarshalText encodes d in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration such as 1.5s or 10m, have %q", text)
	}
	*d = Duration(parsed)
	return nil
}
