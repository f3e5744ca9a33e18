// Package simulated builds complete sites in memory: real nodes wired by internal/node
// with the in-memory network and the emulators of internal/emulator. All delays use
// package time, so that a site can run in a synctest bubble.
package simulated

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
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
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/siteservices"
)

// Plan describes a site.
type Plan struct {
	Seed         uint64
	Zones        []identity.Zone
	Nodes        []identity.NodeName
	Engines      []Engine
	Applications []Application
	Shards       int
	// ZoneLatency and BackendLatency are the one-way latencies between two zones and
	// between a node and a back end.
	ZoneLatency    time.Duration
	BackendLatency time.Duration
	MachineListLag time.Duration
	// AuditInterval is the time between two searches for orphaned cache entries, and
	// MaxAnswerTokens bounds the engines' answers in tokens; 0 selects the defaults.
	AuditInterval   time.Duration
	MaxAnswerTokens int
	// Table is the CSV of the first table.
	Table []byte
	// Logger receives the nodes' logs; nil discards them.
	Logger *slog.Logger
	// Mutations injects faulty rules, for tests that the checkers detect them.
	Mutations Mutations
}

// Mutations describes faulty rules of a site. The zero value changes nothing.
type Mutations struct {
	Hooks serving.Hooks
	// Log and Directory wrap a node's clients of the log and of the back ends, if set.
	Log       func(siteservices.Log) siteservices.Log
	Directory func(backend.Directory) backend.Directory
}

// Engine describes one engine.
type Engine struct {
	Name    string
	Service string
	Models  []string
}

// Application describes one application replica.
type Application struct {
	Name    string
	Service string
}

type engineReplica struct {
	*engine.Engine
	zone identity.Zone
}

type applicationReplica struct {
	*application.Application
	zone identity.Zone
}

// Incarnation is one incarnation of a node.
type Incarnation struct {
	Node     *node.Node
	Endpoint *network.Endpoint
	// Requests counts the callers' requests in flight; a graceful shutdown waits for
	// them as the gateway does.
	Requests sync.WaitGroup
	stop     context.CancelFunc
}

// Site is a running site. The maps engines and applications are not modified after the
// start.
type Site struct {
	plan         Plan
	Network      *network.Network
	Log          *logservice.Service
	Machines     *machinelist.List
	Ledger       *application.Ledger
	engines      map[netip.AddrPort]*engineReplica
	applications map[netip.AddrPort]*applicationReplica

	// starting serializes node starts, so that a node has at most one incarnation even
	// if several failures end at once.
	starting sync.Mutex

	// mutex guards the fields below.
	mutex        sync.Mutex
	incarnations map[identity.NodeName]*Incarnation
	cuts         map[backendLink]bool
	// stalls has the nodes whose dispatches to back ends are delayed after their checks.
	stalls map[identity.NodeName]bool
	// starts counts the incarnations of all nodes; it makes their seeds distinct.
	starts uint64
}

// backendLink is the network path from a node to the back ends of a zone.
type backendLink struct {
	from identity.NodeName
	to   identity.Zone
}

// Blocks of the loopback network, one per kind of address.
const (
	peerBlock = iota + 1
	engineBlock
	applicationBlock
	callerBlock
	operatorBlock
)

func addressOf(block, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(block), byte(index + 1)}), 7000)
}

// Start builds and starts a site, publishes its first table and waits until the site
// serves requests.
func Start(ctx context.Context, plan Plan) (*Site, error) {
	s := build(plan)
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func build(plan Plan) *Site {
	s := &Site{
		plan:         plan,
		Network:      network.New(plan.Seed),
		Log:          logservice.New(plan.Seed),
		Machines:     machinelist.New(nil),
		engines:      map[netip.AddrPort]*engineReplica{},
		applications: map[netip.AddrPort]*applicationReplica{},
		incarnations: map[identity.NodeName]*Incarnation{},
		cuts:         map[backendLink]bool{},
		stalls:       map[identity.NodeName]bool{},
	}
	for _, a := range plan.Zones {
		for _, b := range plan.Zones {
			if a != b {
				s.Network.SetLatency(a, b, plan.ZoneLatency)
			}
		}
	}
	return s
}

func (s *Site) start(ctx context.Context) error {
	if err := s.startBackends(); err != nil {
		return err
	}
	for _, name := range s.plan.Nodes {
		if err := s.StartNode(name); err != nil {
			return err
		}
	}
	publication := tables.Publication{ID: "first", CSV: s.plan.Table, Author: "marta", Note: "first"}
	if _, err := s.Incarnation(s.plan.Nodes[0]).Node.Tables().Publish(ctx, publication); err != nil {
		return fmt.Errorf("simulated: first table: %w", err)
	}
	return s.awaitServing()
}

// Zone returns the zone of the node or back end at index; zones are assigned
// round-robin.
func (p Plan) Zone(index int) identity.Zone { return p.Zones[index%len(p.Zones)] }

func (s *Site) startBackends() error {
	var listed []siteservices.Machine
	for index, planned := range s.plan.Engines {
		parameters := engine.DefaultParameters(planned.Name, planned.Models...)
		parameters.Seed = s.plan.Seed + uint64(index)
		if s.plan.MaxAnswerTokens > 0 {
			parameters.LongestAnswer = s.plan.MaxAnswerTokens
		}
		built, err := engine.New(parameters)
		if err != nil {
			return fmt.Errorf("simulated: %w", err)
		}
		address := addressOf(engineBlock, index)
		s.engines[address] = &engineReplica{Engine: built, zone: s.plan.Zone(index)}
		listed = append(listed, s.machine(planned.Name, siteservices.RoleEngine, planned.Service, index, address))
	}
	for index, planned := range s.plan.Applications {
		parameters := application.DefaultParameters(planned.Name)
		parameters.Seed = s.plan.Seed + uint64(index)
		built, err := application.New(parameters, s.Ledger)
		if err != nil {
			return fmt.Errorf("simulated: %w", err)
		}
		s.Ledger = built.Ledger()
		address := addressOf(applicationBlock, index)
		s.applications[address] = &applicationReplica{Application: built, zone: s.plan.Zone(index)}
		listed = append(listed, s.machine(planned.Name, siteservices.RoleApplication, planned.Service, index, address))
	}
	s.Machines.Replace(listed)
	s.Machines.SetFaults(machinelist.Faults{Lag: s.plan.MachineListLag})
	return nil
}

func (s *Site) machine(name string, role siteservices.MachineRole, service string, index int, address netip.AddrPort) siteservices.Machine {
	return siteservices.Machine{
		Name: name, Role: role, State: siteservices.MachineLive,
		Zone: s.plan.Zone(index), Region: "region", Address: address, Service: service,
	}
}

// settingsOf returns the settings of the node at index.
func (s *Site) settingsOf(index int) settings.Settings {
	chosen := settings.Default()
	chosen.Node = settings.Node{Name: s.plan.Nodes[index], Zone: s.plan.Zone(index), Region: "region"}
	chosen.Addresses = settings.Addresses{
		Callers: addressOf(callerBlock, index), Operators: addressOf(operatorBlock, index),
		Peer: addressOf(peerBlock, index), Probe: addressOf(peerBlock, index),
	}
	for other := range s.plan.Nodes {
		if other != index {
			chosen.Seeds = append(chosen.Seeds, addressOf(peerBlock, other))
		}
	}
	chosen.Shards.Count = s.plan.Shards
	if s.plan.AuditInterval > 0 {
		chosen.Backends.AuditInterval = s.plan.AuditInterval
	}
	return chosen
}

// StartNode starts the node name unless it is running.
func (s *Site) StartNode(name identity.NodeName) error {
	s.starting.Lock()
	defer s.starting.Unlock()
	index, err := s.indexOf(name)
	if err != nil || s.Incarnation(name) != nil {
		return err
	}
	s.mutex.Lock()
	s.starts++
	start := s.starts
	s.mutex.Unlock()
	logger := slog.New(slog.DiscardHandler)
	if s.plan.Logger != nil {
		logger = s.plan.Logger.With("node", name)
	}
	injector := node.NewInjector(s.settingsOf(index), logger)
	self := do.MustInvoke[identity.Node](injector)
	endpoint := s.Network.Join(self, do.MustInvoke[*peer.Registry](injector))
	var log siteservices.Log = gatedLog{endpoint: endpoint, log: s.Log.ViewFor(string(name))}
	if s.plan.Mutations.Log != nil {
		log = s.plan.Mutations.Log(log)
	}
	var backends backend.Directory = directory{site: s, endpoint: endpoint, zone: self.Zone}
	if s.plan.Mutations.Directory != nil {
		backends = s.plan.Mutations.Directory(backends)
	}
	do.OverrideValue[node.Network](injector, endpointNetwork{endpoint: endpoint})
	do.OverrideValue(injector, log)
	do.OverrideValue[siteservices.MachineList](injector, gatedMachines{endpoint: endpoint, list: s.Machines.ViewFor(string(name))})
	do.OverrideValue[siteservices.WeightStore](injector, noWeights{})
	do.OverrideValue(injector, backends)
	do.OverrideValue(injector, node.Seed(s.plan.Seed*1000+start))
	do.OverrideValue(injector, s.plan.Mutations.Hooks)
	built, err := node.Build(injector)
	if err != nil {
		return fmt.Errorf("simulated: %s: %w", name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	if err := built.Start(ctx); err != nil {
		stop()
		return fmt.Errorf("simulated: %s: %w", name, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.incarnations[name] = &Incarnation{Node: built, Endpoint: endpoint, stop: stop}
	return nil
}

func (s *Site) indexOf(name identity.NodeName) (int, error) {
	for index, known := range s.plan.Nodes {
		if known == name {
			return index, nil
		}
	}
	return 0, fmt.Errorf("simulated: no node %q", name)
}

// Incarnation returns the running incarnation of the node name, or nil if it is down.
func (s *Site) Incarnation(name identity.NodeName) *Incarnation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.incarnations[name]
}

// Nodes returns the names of all nodes, including those that are down.
func (s *Site) Nodes() []identity.NodeName { return s.plan.Nodes }

// OwnerOf returns the running node that owns program's shard. If a paused node still
// considers itself the owner, the node with the higher epoch is returned.
func (s *Site) OwnerOf(program identity.ProgramID) (identity.NodeName, bool) {
	wanted := program.Shard(s.plan.Shards)
	var owner identity.NodeName
	var highest identity.Epoch
	for _, name := range s.plan.Nodes {
		alive := s.Incarnation(name)
		if alive == nil || !slices.Contains(alive.Node.Journal().Owned(), wanted) {
			continue
		}
		_, epoch, known := alive.Node.Journal().OwnerHint(wanted)
		if known && epoch > highest {
			owner, highest = name, epoch
		}
	}
	return owner, highest > 0
}

// Engine returns the engine with the given name, or nil.
func (s *Site) Engine(name string) *engine.Engine {
	for index, planned := range s.plan.Engines {
		if planned.Name == name {
			return s.engines[addressOf(engineBlock, index)].Engine
		}
	}
	return nil
}

// Application returns the application replica with the given name, or nil.
func (s *Site) Application(name string) *application.Application {
	for index, planned := range s.plan.Applications {
		if planned.Name == name {
			return s.applications[addressOf(applicationBlock, index)].Application
		}
	}
	return nil
}

// Engines returns the recorded state of all engines, in the order of the plan.
func (s *Site) Engines() []engine.Truth {
	var truths []engine.Truth
	for index := range s.plan.Engines {
		truths = append(truths, s.engines[addressOf(engineBlock, index)].Truth())
	}
	return truths
}

// errNotServing is returned if a site doesn't become ready in time.
var errNotServing = errors.New("simulated: the site did not become ready in time")

// awaitServing waits until every node has a table and every shard an owner.
func (s *Site) awaitServing() error {
	const tries, pause = 600, 100 * time.Millisecond
	for range tries {
		owned, tabled := 0, 0
		for _, name := range s.plan.Nodes {
			alive := s.Incarnation(name)
			owned += len(alive.Node.Journal().Owned())
			if alive.Node.Board().Table.Load() != nil {
				tabled++
			}
		}
		if owned == s.plan.Shards && tabled == len(s.plan.Nodes) {
			return nil
		}
		time.Sleep(pause)
	}
	return errNotServing
}
