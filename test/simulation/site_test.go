// Package simulation tests the system's requirements on whole sites in virtual time
// (internal/lab/simulated) under seeded schedules of failures. Checkers read the back
// ends' records and the callers' results, never the nodes' own state.
package simulation

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/simulated"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

const (
	modelName     = "asesor-8b"
	engineService = "modelos-asesor"
	portalService = "portal-matricula"
	className     = "admission"
	// machineListLag is the lag of the machine list.
	machineListLag = 10 * time.Second
	// longestAnswer limits answers, so that many calls fit into a schedule.
	longestAnswer = 40
)

// plan describes a simulated site.
type plan struct {
	seed           uint64
	zones          []identity.Zone
	nodes          int
	engines        int
	applications   int
	shards         int
	zoneLatency    time.Duration
	backendLatency time.Duration
	budget         int64
	// auditInterval is the time between two searches for orphaned memory.
	auditInterval time.Duration
	// programs run concurrently, with calls on the main branch and half as many on a
	// second one, and pauses of up to pause between two calls.
	programs int
	calls    int
	pause    time.Duration
	// impatient callers give up one rejected call in four at once, so that the checker
	// can verify that it never ran.
	impatient bool
	// mainRepeatable limits unrepeatable calls to the second branch.
	mainRepeatable bool
	// vanishing callers break one connection in six before the answer and retry through
	// another node.
	vanishing bool
	// hooks replace rules of every node by wrong ones, to test the checkers.
	hooks serving.Hooks
	// wrapLog replaces a node's log client, to test the checkers.
	wrapLog func(siteservices.Log) siteservices.Log
	// wrapDirectory replaces a node's back-end clients, to test the checkers.
	wrapDirectory func(backend.Directory) backend.Directory
}

// quito is the plan of a site with the size of Quito's first one.
func quito(seed uint64) plan {
	return plan{
		seed:  seed,
		zones: []identity.Zone{"quito-centro", "quito-norte", "cumbaya"},
		nodes: 6, engines: 4, applications: 2, shards: 16,
		zoneLatency: 1500 * time.Microsecond, backendLatency: time.Millisecond,
		budget: 1_000_000, auditInterval: 15 * time.Second,
		programs: 6, calls: 10, pause: 1500 * time.Millisecond, impatient: true, vanishing: true,
	}
}

// haldane is the plan of a site with the size of Haldane Ridge's first one.
func haldane(seed uint64) plan {
	plan := quito(seed)
	plan.zones = []identity.Zone{"homebarn", "elevhut", "ridgeshelter", "countycage"}
	plan.nodes, plan.zoneLatency = 8, 500*time.Microsecond
	return plan
}

// site is a running simulated site with its plan; its nodes and back ends are named by
// their index.
type site struct {
	*simulated.Site
	t    *testing.T
	plan plan
}

func nodeName(index int) identity.NodeName { return identity.NodeName(fmt.Sprintf("node-%d", index)) }

// simulatedPlan converts the plan to that of package simulated.
func (p plan) simulatedPlan() simulated.Plan {
	whole := simulated.Plan{
		Seed: p.seed, Zones: p.zones, Shards: p.shards,
		ZoneLatency: p.zoneLatency, BackendLatency: p.backendLatency, MachineListLag: machineListLag,
		AuditInterval: p.auditInterval, MaxAnswerTokens: longestAnswer,
		Table:     table.Format(p.firstTable()),
		Mutations: simulated.Mutations{Hooks: p.hooks, Log: p.wrapLog, Directory: p.wrapDirectory},
	}
	for index := range p.nodes {
		whole.Nodes = append(whole.Nodes, nodeName(index))
	}
	for index := range p.engines {
		whole.Engines = append(whole.Engines, simulated.Engine{
			Name: fmt.Sprintf("engine-%d", index), Service: engineService, Models: []string{modelName},
		})
	}
	for index := range p.applications {
		whole.Applications = append(whole.Applications, simulated.Application{
			Name: fmt.Sprintf("portal-%d", index), Service: portalService,
		})
	}
	if os.Getenv("STEPSEAM_SIMULATION_LOG") != "" {
		whole.Logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return whole
}

// newSite builds and starts a site and publishes its first table. It runs inside
// a synctest bubble; close ends everything in it.
func newSite(t *testing.T, plan plan) *site {
	t.Helper()
	started, err := simulated.Start(context.Background(), plan.simulatedPlan())
	if err != nil {
		t.Fatal(err)
	}
	return &site{Site: started, t: t, plan: plan}
}

func (s *site) must(err error) {
	if err != nil {
		s.t.Helper()
		s.t.Fatal(err)
	}
}

func (s *site) zone(index int) identity.Zone { return s.plan.zones[index%len(s.plan.zones)] }

// incarnation returns the current incarnation of the node at index, or nil.
func (s *site) incarnation(index int) *simulated.Incarnation { return s.Incarnation(nodeName(index)) }

// engine returns the engine at index modulo their number.
func (s *site) engine(index int) *engine.Engine {
	return s.Engine(fmt.Sprintf("engine-%d", index%s.plan.engines))
}

// portal returns the application replica at index modulo their number.
func (s *site) portal(index int) *application.Application {
	return s.Application(fmt.Sprintf("portal-%d", index%s.plan.applications))
}

// killNode ends the node at index as SIGKILL would.
func (s *site) killNode(index int) { s.KillNode(nodeName(index)) }

// startNode starts an incarnation of the node at index unless it runs.
func (s *site) startNode(index int) { s.must(s.StartNode(nodeName(index))) }

// drainNode stops the node at index gracefully.
func (s *site) drainNode(index int) error { return s.DrainNode(nodeName(index)) }

// healAll ends every failure and starts all nodes that do not run.
func (s *site) healAll() { s.must(s.HealAll()) }

// close stops everything that runs in the bubble.
func (s *site) close() {
	s.Close()
	time.Sleep(simulated.SettleTime)
}

func (p plan) firstTable() *table.Table {
	return &table.Table{
		Models: map[string]table.Model{modelName: {
			Name: modelName, Version: "1", Service: engineService, Weight: 1,
			MinReplicas: 1, MaxReplicas: p.engines, ContextTokens: 32_000,
		}},
		Adapters: map[string]table.Adapter{},
		Classes: map[string]table.Class{className: {
			Name: className, Model: modelName, Weight: 1, Priority: 1, BudgetTokens: p.budget,
			MaxCalls: 200, MaxBranches: 8, MaxDuration: 6 * time.Hour, IdleTimeout: time.Hour,
			CallTimeout: 2 * time.Minute, MaxTokens: 64, TenantShare: 1, KeepWarm: time.Minute,
		}},
	}
}

// publish publishes a table through the node at index.
func (s *site) publish(index int, next *table.Table) table.Entry {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	content := table.Format(next)
	entry, err := s.incarnation(index).Node.Tables().Publish(ctx, tables.Publication{
		Base: next.Base, CSV: content, Author: "marta", Note: "first",
	})
	s.must(err)
	return entry
}
