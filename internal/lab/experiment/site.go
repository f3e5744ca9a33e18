// Package experiment runs both deployments in virtual time, as a discrete-event
// simulation: callers with their programs, the nodes with the scheduling code
// that the daemon runs, and engines with the token-time and cache arithmetic of
// the engine stand-in. It measures program latency and wasted cache.
//
// What a node knows is what the daemon knows: load reports that lag, cache
// events that come late and with gaps, its own dispatches and answers. The shape
// of a program stays with its caller. The same seed gives the same figures.
package experiment

import (
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// Site describes one deployment.
type Site struct {
	Name string
	// Service is the pool that the engines belong to.
	Service string
	Zones   []string
	// Nodes and Engines are spread over the zones in turn.
	Nodes   int
	Engines int
	Engine  model.Parameters
	// ZoneLatency is one way between zones, ClientLatency one way to callers.
	ZoneLatency   time.Duration
	ClientLatency time.Duration
	// Duration is how long programs arrive. Those that arrive in the Warmup are
	// run but not measured, and cache held in it is not counted.
	Duration time.Duration
	Warmup   time.Duration
	// Prehistory is how long before the run programs began to arrive; those still
	// under way continue in the run, with their history cached nowhere.
	Prehistory time.Duration
	Tenants    int
	Classes    []Class
	// BurstPeriod, BurstLength and BurstFactor shape the arrivals: in each
	// period, arrivals of bursty classes come BurstFactor times as fast for
	// BurstLength, and slower in the rest, so that the mean stays.
	BurstPeriod time.Duration
	BurstLength time.Duration
	BurstFactor float64
}

// Class is a program class: its row of the table, then the shape that its
// programs are drawn from. The policies see the row alone.
type Class struct {
	Name     string
	Weight   float64
	Priority int
	// MaxTokens is the longest answer, KeepWarm the table's column.
	MaxTokens int
	KeepWarm  time.Duration

	// Share is the class's share of the arriving programs.
	Share  float64
	Bursty bool
	// Turns is the mean count of questions that a person asks in one program,
	// CallsPerTurn the mean count of dependent calls for one of them.
	Turns        float64
	CallsPerTurn float64
	// FirstPrompt, NewTokens and Answer are tokens.
	FirstPrompt lognormal
	NewTokens   lognormal
	Answer      lognormal
	// ToolPause is between the calls of one turn, Return between turns; with
	// LongReturnShare it is LongReturn.
	ToolPause       lognormal
	Return          lognormal
	LongReturn      lognormal
	LongReturnShare float64
	// BranchShare is the share of calls whose answer starts sub-agents, up to
	// MaxBranches of them; their calls come on top.
	BranchShare float64
	MaxBranches int
	// SilentShare is the share of programs that are never ended by their caller.
	SilentShare float64
}

// lognormal is a distribution with bounds. Token counts and seconds are drawn from it.
type lognormal struct {
	Median float64
	Sigma  float64
	Low    float64
	High   float64
}

// Quito is deadline night of Enrolment Agents on the Quito Seam: bursts of many
// short-lived applicants, registrars beside them.
func Quito() Site {
	engine := model.Default()
	return Site{
		Name: "quito", Service: "modelos-asesor",
		Zones: []string{"quito-centro", "quito-norte", "cumbaya"},
		Nodes: 6, Engines: 12, Engine: engine,
		ZoneLatency: 1500 * time.Microsecond, ClientLatency: time.Millisecond,
		Duration: 26 * time.Minute, Warmup: 4 * time.Minute,
		Tenants:     9,
		BurstPeriod: 5 * time.Minute, BurstLength: 45 * time.Second, BurstFactor: 1.6,
		Classes: []Class{
			{
				Name: "applicant", Weight: 2, Priority: 1, MaxTokens: 600, KeepWarm: 30 * time.Second,
				Share: 0.9, Bursty: true, Turns: 1, CallsPerTurn: 5,
				FirstPrompt: lognormal{1100, 0.5, 200, 6000}, NewTokens: lognormal{260, 0.7, 20, 3000},
				Answer:      lognormal{120, 0.6, 8, 600},
				ToolPause:   lognormal{0.9, 1.5, 0.05, 240},
				BranchShare: 0.12, MaxBranches: 3, SilentShare: 0.1,
			},
			{
				Name: "registrar", Weight: 1, Priority: 0, MaxTokens: 800, KeepWarm: 30 * time.Second,
				Share: 0.1, Turns: 1, CallsPerTurn: 10,
				FirstPrompt: lognormal{3000, 0.5, 500, 12_000}, NewTokens: lognormal{500, 0.7, 20, 5000},
				Answer:      lognormal{180, 0.6, 8, 800},
				ToolPause:   lognormal{1.5, 1.4, 0.05, 240},
				BranchShare: 0.15, MaxBranches: 3, SilentShare: 0.1,
			},
		},
	}
}

// Haldane is the subscriber portal at Haldane Ridge: long conversations that
// return after minutes to hours before a pool that can't hold them all.
func Haldane() Site {
	engine := model.Default()
	engine.MaxBatch = 12
	engine.PrefillTokensPerSecond = 3000
	engine.DecodeBase = 24 * time.Millisecond
	engine.DecodePerSequence = 1500 * time.Microsecond
	engine.DecodePerThousandContextTokens = 40 * time.Microsecond
	engine.CacheCapacityTokens = 500_000
	engine.TransferTokensPerSecond = 40_000
	engine.TransferOverhead = 15 * time.Millisecond
	return Site{
		Name: "haldane", Service: "agentllm",
		Zones: []string{"homebarn", "elevhut", "ridgeshelter", "countycage"},
		Nodes: 8, Engines: 14, Engine: engine,
		ZoneLatency: 500 * time.Microsecond, ClientLatency: 3 * time.Millisecond,
		Duration: 4 * time.Hour, Warmup: time.Hour, Prehistory: 12 * time.Hour,
		Tenants:     8,
		BurstPeriod: 20 * time.Minute, BurstLength: 2 * time.Minute, BurstFactor: 1.4,
		Classes: []Class{
			{
				Name: "subscriber", Weight: 1, Priority: 0, MaxTokens: 600, KeepWarm: 20 * time.Second,
				Share: 0.7, Bursty: true, Turns: 5, CallsPerTurn: 2.2,
				FirstPrompt: lognormal{3500, 0.6, 800, 40_000}, NewTokens: lognormal{220, 0.8, 15, 4000},
				Answer:    lognormal{150, 0.6, 8, 600},
				ToolPause: lognormal{0.8, 1.3, 0.05, 180},
				Return:    lognormal{150, 0.9, 8, 3600}, LongReturn: lognormal{5400, 0.7, 600, 4 * 3600}, LongReturnShare: 0.45,
				BranchShare: 0.04, MaxBranches: 2, SilentShare: 0.5,
			},
			{
				Name: "field-tech", Weight: 2, Priority: 1, MaxTokens: 400, KeepWarm: 20 * time.Second,
				Share: 0.2, Turns: 8, CallsPerTurn: 1.8,
				FirstPrompt: lognormal{2500, 0.5, 800, 20_000}, NewTokens: lognormal{160, 0.7, 15, 2000},
				Answer:    lognormal{90, 0.6, 8, 400},
				ToolPause: lognormal{0.7, 1.2, 0.05, 120},
				Return:    lognormal{240, 1.0, 8, 3600}, LongReturn: lognormal{5400, 0.7, 600, 4 * 3600}, LongReturnShare: 0.3,
				BranchShare: 0.02, MaxBranches: 1, SilentShare: 0.6,
			},
			{
				Name: "office", Weight: 1, Priority: 0, MaxTokens: 800, KeepWarm: 20 * time.Second,
				Share: 0.1, Turns: 7, CallsPerTurn: 4,
				FirstPrompt: lognormal{9000, 0.7, 2000, 90_000}, NewTokens: lognormal{500, 0.8, 15, 8000},
				Answer:    lognormal{220, 0.6, 8, 800},
				ToolPause: lognormal{1.2, 1.4, 0.05, 240},
				Return:    lognormal{120, 0.9, 8, 3600}, LongReturn: lognormal{7200, 0.6, 600, 4 * 3600}, LongReturnShare: 0.4,
				BranchShare: 0.08, MaxBranches: 3, SilentShare: 0.3,
			},
		},
	}
}

// SiteByName returns one of the deployments.
func SiteByName(name string) (Site, error) {
	switch name {
	case "quito":
		return Quito(), nil
	case "haldane":
		return Haldane(), nil
	default:
		return Site{}, fmt.Errorf("experiment: site %q: want quito or haldane", name)
	}
}
