// Package trace holds the JSONL form of traces: what callers did, what failed
// around them and what had to come of it, with times relative to the start.
//
// The first line is the header; it says what the site consists of and why the
// outcomes are right. Each further line is one event. A trace is complete in
// itself: it needs no other file, and whoever replays it needs no other knowledge
// of the site. Read is strict and reports all findings together.
package trace

import (
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// FormatVersion is the version of the format that this package reads and writes.
const FormatVersion = 1

// Trace is one trace in memory.
type Trace struct {
	// File names the trace in findings and differences.
	File   string
	Header Header
	Events []Event
}

// Header is the first line.
type Header struct {
	Version int    `json:"stepseam_trace" validate:"required"`
	Name    string `json:"name" validate:"required"`
	// Note says why the stated outcomes are the right ones.
	Note string `json:"note" validate:"required"`
	Site Site   `json:"site"`
}

// Site is what a trace runs on.
type Site struct {
	// Seed drives all that is random in nodes and stand-ins.
	Seed  uint64          `json:"seed" validate:"required"`
	Zones []identity.Zone `json:"zones" validate:"min=1,unique,dive,required"`
	// Nodes, Engines and Applications are spread over the zones in turn.
	Nodes        int         `json:"nodes" validate:"min=1,max=64"`
	Engines      []Backend   `json:"engines" validate:"min=1,dive"`
	Applications []Backend   `json:"applications,omitempty" validate:"dive"`
	Shards       int         `json:"shards" validate:"min=1,max=1024"`
	Latency      SiteLatency `json:"latency"`
	// MachineListLag is how late the machine list shows a change.
	MachineListLag Duration `json:"machine_list_lag" validate:"min=0"`
	// Table holds the lines of the first table's CSV.
	Table []string `json:"table" validate:"min=1"`
}

// SiteLatency holds the one-way times of a site.
type SiteLatency struct {
	// Zones is between two zones, Backends from a node to a back end.
	Zones    Duration `json:"zones" validate:"min=0"`
	Backends Duration `json:"backends" validate:"min=0"`
}

// Backend is one engine or application replica.
type Backend struct {
	Name    string `json:"name" validate:"required"`
	Service string `json:"service" validate:"required"`
	// Models are loaded at an engine from the start.
	Models []string `json:"models,omitempty"`
}

// NodeName returns the name of the node at index of every traced site.
func NodeName(index int) identity.NodeName { return identity.NodeName(fmt.Sprintf("node-%d", index)) }

// Zone returns the zone of the node or back end at index.
func (s Site) Zone(index int) identity.Zone { return s.Zones[index%len(s.Zones)] }

// Event is one line after the header.
type Event struct {
	// Line is the event's line in its file, from 2 on.
	Line int
	// At is when the event happens, from the moment the site serves.
	At   Duration
	Body Body
}

// Body is what happens at an event. The exported types of this package that have
// a Kind method implement it; each one stands for one kind of line.
type Body interface {
	Kind() Kind
}

// Duration is a time.Duration that JSON carries as text, such as "1.5s".
type Duration time.Duration

// MarshalText writes the form of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the form of time.Duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration such as 1.5s or 10m, have %q", text)
	}
	*d = Duration(parsed)
	return nil
}
