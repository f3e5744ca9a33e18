// Package simulation runs whole sites in virtual time: real nodes wired by
// internal/node on the in-memory network and the stand-ins of internal/emulator,
// under seeded schedules of failures. Checkers read what the back ends saw and
// what the callers got, never the nodes' own books.
package simulation

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/machinelist"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/node"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/platform"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/table"
)

const (
	modelName     = "asesor-8b"
	engineService = "modelos-asesor"
	portalService = "portal-matricula"
	className     = "admission"
	// machineListLag is how late the machine list shows a change.
	machineListLag = 10 * time.Second
)

// plan says what a simulated site consists of.
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
	// programs run at once, with calls on the main branch and half as many beside
	// it, and pauses of up to pause between two calls.
	programs int
	calls    int
	pause    time.Duration
	// impatient callers give one refused call in four up at once, so that the
	// checker can see that it never ran.
	impatient bool
	// vanishing callers break one connection in six before the answer, and ask
	// again elsewhere.
	vanishing bool
	// hooks replace rules of every node by wrong ones, for the checkers' own proof.
	hooks serving.Hooks
	// wrapLog replaces a node's log client, for the checkers' own proof.
	wrapLog func(platform.Log) platform.Log
	// wrapDirectory replaces a node's back-end clients, for the checkers' own proof.
	wrapDirectory func(backend.Directory) backend.Directory
}

// quito is a site at the size of Quito's first one.
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

// haldane is a site at the size of Haldane Ridge's first one.
func haldane(seed uint64) plan {
	plan := quito(seed)
	plan.zones = []identity.Zone{"homebarn", "elevhut", "ridgeshelter", "countycage"}
	plan.nodes, plan.zoneLatency = 8, 500*time.Microsecond
	return plan
}

type engineReplica struct {
	*engine.Engine
	zone    identity.Zone
	address netip.AddrPort
}

type applicationReplica struct {
	*application.Application
	zone identity.Zone
}

// life is one life of a simulated node.
type life struct {
	node     *node.Node
	endpoint *network.Endpoint
	stop     context.CancelFunc
	// requests counts the callers' requests under way here; a planned stop waits
	// for them as the gateway does.
	requests sync.WaitGroup
}

// site is a running simulated site. Its maps of back ends do not change.
type site struct {
	t            *testing.T
	plan         plan
	network      *network.Network
	log          *logservice.Service
	machines     *machinelist.List
	engines      map[netip.AddrPort]*engineReplica
	applications map[netip.AddrPort]*applicationReplica
	ledger       *application.Ledger

	// mutex guards all below.
	mutex sync.Mutex
	lives map[identity.NodeName]*life
	cuts  map[backendLink]bool
	// stalls holds the nodes whose requests to back ends wait after their checks.
	stalls map[identity.NodeName]bool
	// starts counts the lives of all nodes, for incarnations and seeds.
	starts uint64
}

// backendLink is the way from a node to the back ends of a zone.
type backendLink struct {
	from identity.NodeName
	to   identity.Zone
}

func nodeName(index int) identity.NodeName { return identity.NodeName(fmt.Sprintf("node-%d", index)) }

func addressOf(block, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(block), byte(index + 1)}), 7000)
}

// newSite builds and starts a site and publishes its first table. It runs inside
// a synctest bubble; close ends everything in it.
func newSite(t *testing.T, plan plan) *site {
	t.Helper()
	s := &site{
		t: t, plan: plan,
		network:      network.New(plan.seed),
		log:          logservice.New(plan.seed),
		machines:     machinelist.New(nil),
		engines:      map[netip.AddrPort]*engineReplica{},
		applications: map[netip.AddrPort]*applicationReplica{},
		lives:        map[identity.NodeName]*life{},
		cuts:         map[backendLink]bool{},
		stalls:       map[identity.NodeName]bool{},
	}
	for _, a := range plan.zones {
		for _, b := range plan.zones {
			if a != b {
				s.network.SetLatency(a, b, plan.zoneLatency)
			}
		}
	}
	s.startBackends()
	for index := range plan.nodes {
		s.startNode(index)
	}
	s.publish(0, s.firstTable())
	s.awaitServing()
	return s
}

func (s *site) zone(index int) identity.Zone { return s.plan.zones[index%len(s.plan.zones)] }

func (s *site) startBackends() {
	var listed []platform.Machine
	for index := range s.plan.engines {
		name := fmt.Sprintf("engine-%d", index)
		parameters := engine.DefaultParameters(name, modelName)
		parameters.Seed = s.plan.seed + uint64(index)
		parameters.LongestAnswer = 40
		built, err := engine.New(parameters)
		s.must(err)
		address := addressOf(2, index)
		s.engines[address] = &engineReplica{Engine: built, zone: s.zone(index), address: address}
		listed = append(listed, platform.Machine{
			Name: name, Role: platform.RoleEngine, State: platform.MachineLive,
			Zone: s.zone(index), Region: "sierra", Address: address, Service: engineService,
		})
	}
	for index := range s.plan.applications {
		name := fmt.Sprintf("portal-%d", index)
		parameters := application.DefaultParameters(name)
		parameters.Seed = s.plan.seed + uint64(index)
		built, err := application.New(parameters, s.ledger)
		s.must(err)
		s.ledger = built.Ledger()
		address := addressOf(3, index)
		s.applications[address] = &applicationReplica{Application: built, zone: s.zone(index)}
		listed = append(listed, platform.Machine{
			Name: name, Role: platform.RoleApplication, State: platform.MachineLive,
			Zone: s.zone(index), Region: "sierra", Address: address, Service: portalService,
		})
	}
	s.machines.Replace(listed)
	s.machines.SetFaults(machinelist.Faults{Lag: machineListLag})
}

func (s *site) must(err error) {
	if err != nil {
		s.t.Helper()
		s.t.Fatal(err)
	}
}

// settingsOf are the settings of the node at index.
func (s *site) settingsOf(index int) settings.Settings {
	chosen := settings.Default()
	chosen.Node = settings.Node{Name: nodeName(index), Zone: s.zone(index), Region: "sierra"}
	chosen.Addresses = settings.Addresses{
		Callers: addressOf(4, index), Operators: addressOf(5, index),
		Peer: addressOf(1, index), Probe: addressOf(1, index),
	}
	for other := range s.plan.nodes {
		if other != index {
			chosen.Seeds = append(chosen.Seeds, addressOf(1, other))
		}
	}
	chosen.Shards.Count = s.plan.shards
	chosen.Backends.AuditInterval = s.plan.auditInterval
	return chosen
}

// startNode begins a life of the node at index; a former one must have ended.
func (s *site) startNode(index int) *life {
	s.mutex.Lock()
	s.starts++
	start := s.starts
	s.mutex.Unlock()
	chosen := s.settingsOf(index)
	level := slog.LevelError
	if os.Getenv("STEPSEAM_SIMULATION_LOG") != "" {
		level = slog.LevelDebug
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", chosen.Node.Name)
	if os.Getenv("STEPSEAM_SIMULATION_LOG") == "" {
		logger = slog.New(slog.DiscardHandler)
	}
	injector := node.NewInjector(chosen, logger)
	self := do.MustInvoke[identity.Node](injector)
	endpoint := s.network.Join(self, do.MustInvoke[*peer.Registry](injector))
	var log platform.Log = gatedLog{endpoint: endpoint, log: s.log.ViewFor(string(self.Name))}
	if s.plan.wrapLog != nil {
		log = s.plan.wrapLog(log)
	}
	var backends backend.Directory = directory{site: s, endpoint: endpoint, zone: self.Zone}
	if s.plan.wrapDirectory != nil {
		backends = s.plan.wrapDirectory(backends)
	}
	do.OverrideValue[node.Network](injector, endpointNetwork{endpoint: endpoint})
	do.OverrideValue(injector, log)
	do.OverrideValue[platform.MachineList](injector, gatedMachines{endpoint: endpoint, list: s.machines})
	do.OverrideValue[platform.WeightStore](injector, noWeights{})
	do.OverrideValue(injector, backends)
	do.OverrideValue(injector, node.Seed(s.plan.seed*1000+start))
	do.OverrideValue(injector, s.plan.hooks)
	built, err := node.Build(injector)
	s.must(err)
	ctx, stop := context.WithCancel(context.Background())
	s.must(built.Start(ctx))
	started := &life{node: built, endpoint: endpoint, stop: stop}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lives[self.Name] = started
	return started
}

// life returns the present life of the node at index, or nil.
func (s *site) life(index int) *life {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lives[nodeName(index)]
}

// killNode ends the node at index as SIGKILL would.
func (s *site) killNode(index int) {
	s.mutex.Lock()
	ended := s.lives[nodeName(index)]
	delete(s.lives, nodeName(index))
	s.mutex.Unlock()
	if ended == nil {
		return
	}
	ended.endpoint.Kill()
	ended.stop()
	ended.node.Close(context.Background())
}

// drainNode stops the node at index as planned.
func (s *site) drainNode(index int) error {
	stopping := s.life(index)
	if stopping == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := stopping.node.Drain(ctx)
	stopping.requests.Wait()
	s.killNode(index)
	return err
}

func (s *site) backendCut(from identity.NodeName, to identity.Zone) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cuts[backendLink{from: from, to: to}]
}

func (s *site) cutBackends(from identity.NodeName, to identity.Zone, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cuts[backendLink{from: from, to: to}] = cut
}

func (s *site) stalled(name identity.NodeName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stalls[name]
}

func (s *site) stall(name identity.NodeName, stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stalls[name] = stalled
}

// healAll undoes every fault except the death of nodes, and starts those again.
func (s *site) healAll() {
	s.network.HealAll()
	s.network.SetFaults(network.Faults{})
	s.log.SetFaults(logservice.Faults{})
	s.mutex.Lock()
	s.cuts = map[backendLink]bool{}
	s.stalls = map[identity.NodeName]bool{}
	s.mutex.Unlock()
	for _, replica := range s.engines {
		replica.SetFaults(engine.Faults{})
	}
	for _, replica := range s.applications {
		replica.SetFaults(application.Faults{})
	}
	for index := range s.plan.nodes {
		s.log.ViewFor(string(nodeName(index))).SetFaults(logservice.Faults{})
		if alive := s.life(index); alive != nil {
			alive.endpoint.Thaw()
			continue
		}
		s.startNode(index)
	}
}

// close ends everything that runs in the bubble.
func (s *site) close() {
	for index := range s.plan.nodes {
		s.stall(nodeName(index), false)
		if alive := s.life(index); alive != nil {
			alive.endpoint.Thaw()
		}
		s.killNode(index)
	}
	s.network.Close()
	for _, replica := range s.engines {
		replica.SetFaults(engine.Faults{})
		replica.Close()
	}
	for _, replica := range s.applications {
		replica.SetFaults(application.Faults{})
		replica.Close()
	}
	time.Sleep(settle) // what is on its way in network and log arrives nowhere
}

// settle is longer than anything stays on its way.
const settle = time.Minute

func (s *site) firstTable() *table.Table {
	return &table.Table{
		Models: map[string]table.Model{modelName: {
			Name: modelName, Version: "1", Service: engineService, Weight: 1,
			MinReplicas: 1, MaxReplicas: s.plan.engines, ContextTokens: 32_000,
		}},
		Adapters: map[string]table.Adapter{},
		Classes: map[string]table.Class{className: {
			Name: className, Model: modelName, Weight: 1, Priority: 1, BudgetTokens: s.plan.budget,
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
	entry, err := s.life(index).node.Tables().Publish(ctx, tables.Publication{
		Base: next.Base, CSV: content, Author: "marta", Note: "first",
	})
	s.must(err)
	return entry
}

// awaitServing waits until every node has a table and every shard an owner.
func (s *site) awaitServing() {
	s.t.Helper()
	for range 600 {
		owned, tables := 0, 0
		for index := range s.plan.nodes {
			alive := s.life(index)
			owned += len(alive.node.Journal().Owned())
			if alive.node.Board().Table.Load() != nil {
				tables++
			}
		}
		if owned == s.plan.shards && tables == s.plan.nodes {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatal("simulation: the site does not come into service")
}
