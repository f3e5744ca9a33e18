// Package experiment simulates the reference deployments as discrete events in
// virtual time: callers with their programs, nodes with the daemon's scheduling
// code, and engines with the timing and cache model of the engine emulator. It
// measures program latency and wasted cache.
//
// A simulated node has the same information as the daemon: delayed load reports,
// delayed and lossy cache events, its own dispatches and their answers. Only the
// caller knows a program's future calls. Runs are deterministic for a given seed.
package experiment

import (
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// Site describes one deployment.
type Site struct {
	Name string
	// Service is the service that the engines belong to.
	Service string
	Zones   []string
	// Nodes and Engines are assigned to the zones round-robin.
	Nodes   int
	Engines int
	Engine  model.Parameters
	// ZoneLatency is the one-way latency between zones, ClientLatency that between
	// callers and nodes.
	ZoneLatency   time.Duration
	ClientLatency time.Duration
	// Programs arrive until Duration. The measured window starts after Warmup.
	Duration time.Duration
	Warmup   time.Duration
	// Prehistory is the time before the run in which programs arrive already. Those
	// that are still running continue in the run, without any cached prefix.
	Prehistory time.Duration
	Tenants    int
	Classes    []Class
	// In each BurstPeriod, the arrival rate of bursty classes is BurstFactor times
	// its mean during BurstLength and lower in the rest, so that the mean over the
	// period stays the same.
	BurstPeriod time.Duration
	BurstLength time.Duration
	BurstFactor float64
}

// Class is a program class: its row of the table, followed by the distributions of
// its programs. Policies see the row only.
type Class struct {
	Name     string
	Weight   float64
	Priority int
	// MaxTokens bounds an answer; KeepWarm is the table's column.
	MaxTokens int
	KeepWarm  time.Duration

	// Share is the fraction of the arriving programs.
	Share  float64
	Bursty bool
	// Turns is the mean number of user turns of a program, CallsPerTurn the mean
	// number of sequential main-branch calls of a turn.
	Turns        float64
	CallsPerTurn float64
	// FirstPrompt, NewTokens and Answer are in tokens.
	FirstPrompt lognormal
	NewTokens   lognormal
	Answer      lognormal
	// ToolPause is the pause between the calls of a turn, Return that between turns,
	// in seconds. A fraction LongReturnShare of the pauses between turns is drawn
	// from LongReturn instead.
	ToolPause       lognormal
	Return          lognormal
	LongReturn      lognormal
	LongReturnShare float64
	// BranchShare is the fraction of main-branch calls whose answer starts between
	// one and MaxBranches sub-agents, whose calls are in addition to CallsPerTurn.
	BranchShare float64
	MaxBranches int
	// SilentShare is the fraction of programs that their callers never end.
	SilentShare float64
}

// lognormal is a log-normal distribution truncated to Low and High.
type lognormal struct {
	Median float64
	Sigma  float64
	Low    float64
	High   float64
}

// Quito returns a university's enrolment service on the night of its deadline:
// bursts of many short programs of applicants, and some longer ones of registrars.
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

// Haldane returns a subscriber portal: long conversations that continue after
// minutes to hours, with more prefixes than the engines can cache.
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

// SiteByName returns the site with the given name.
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
