package serving_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// shardLog is a fake journal of one shard. It keeps the records across ownerships and
// fences previous owners by epoch. Every third write replaces the records by a snapshot.
type shardLog struct {
	mutex    sync.Mutex
	epoch    identity.Epoch
	snapshot []byte
	records  [][]byte
	writes   int
	// durableDown makes durable writes fail.
	durableDown bool
}

// ownedShard is one ownership of the shard.
type ownedShard struct {
	log     *shardLog
	epoch   identity.Epoch
	machine journal.StateMachine
	lost    chan struct{}
	once    sync.Once
	// lapsesOnWrite makes the lease lapse at the next write; lapsed is whether it has
	// lapsed.
	lapsesOnWrite, lapsed atomic.Bool
}

func (s *ownedShard) ID() identity.ShardID  { return 0 }
func (s *ownedShard) Epoch() identity.Epoch { return s.epoch }
func (s *ownedShard) Lost() <-chan struct{} { return s.lost }
func (s *ownedShard) lose()                 { s.once.Do(func() { close(s.lost) }) }

func (s *ownedShard) CheckLease() error {
	s.log.mutex.Lock()
	defer s.log.mutex.Unlock()
	if s.log.epoch != s.epoch {
		return journal.ErrNotOwner
	}
	if s.lapsed.Load() {
		return journal.ErrLeaseExpired
	}
	return nil
}

func (s *ownedShard) Enqueue(records ...[]byte) (func(context.Context) error, error) {
	s.log.mutex.Lock()
	defer s.log.mutex.Unlock()
	if s.log.epoch != s.epoch {
		return func(context.Context) error { return journal.ErrNotOwner }, nil
	}
	if s.lapsesOnWrite.Swap(false) {
		s.lapsed.Store(true)
	}
	s.log.records = append(s.log.records, records...)
	s.log.writes++
	if s.log.writes%3 == 0 {
		state, err := s.machine.Snapshot()
		if err != nil {
			return nil, err
		}
		s.log.snapshot, s.log.records = state, nil
	}
	return replicate, nil
}

// replicate takes the time of a round trip to the replicas.
func replicate(ctx context.Context) error {
	select {
	case <-time.After(time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *ownedShard) EnqueueDurable(records ...[]byte) (func(context.Context) error, error) {
	s.log.mutex.Lock()
	down := s.log.durableDown
	s.log.mutex.Unlock()
	if down {
		return func(context.Context) error { return journal.ErrNotLogged }, nil
	}
	return s.Enqueue(records...)
}

const (
	testClass   = "enrolment"
	testModel   = "advisor"
	testService = "portal"
)

// site consists of back ends, a blackboard and one shard that successive owners open.
type site struct {
	t       testing.TB
	board   *blackboard.Board
	log     *shardLog
	engines []*engine.Engine
	portals []*application.Application
	ledger  *application.Ledger
	clients map[netip.AddrPort]any
	// beforeSend, if set, is called before each generate and invoke request.
	beforeSend atomic.Pointer[func(stream identity.StreamID)]
	hooks      serving.Hooks
	policy     scheduling.Policy
	cached     func(string, identity.ProgramID, identity.BranchID) int
	timing     serving.Timing
	opened     []*ownedShard
	current    *serving.Owner
	stop       context.CancelFunc
	running    context.Context
}

func address(kind, number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(kind), byte(number + 1)}), 1)
}

func newSite(t testing.TB, engines int) *site {
	s := &site{
		t: t, board: blackboard.NewBoard(), log: &shardLog{},
		clients: map[netip.AddrPort]any{}, ledger: application.NewLedger(10_000),
		policy: scheduling.LeastInFlight{},
	}
	s.running, s.stop = context.WithCancel(context.Background())
	for number := range engines {
		parameters := engine.DefaultParameters(fmt.Sprintf("engine-%d", number), testModel)
		e, err := engine.New(parameters)
		if err != nil {
			t.Fatal(err)
		}
		s.engines = append(s.engines, e)
		s.clients[address(1, number)] = e
		s.list(e.Name(), siteservices.RoleEngine, "pool", address(1, number), backend.LoadReport{Models: []string{testModel}})
	}
	for number := range 2 {
		a, err := application.New(application.DefaultParameters(fmt.Sprintf("portal-%d", number)), s.ledger)
		if err != nil {
			t.Fatal(err)
		}
		s.portals = append(s.portals, a)
		s.clients[address(2, number)] = a
		s.list(a.Name(), siteservices.RoleApplication, testService, address(2, number), backend.LoadReport{})
	}
	s.publish(table.Class{
		Name: testClass, Model: testModel, Weight: 1, BudgetTokens: 1_000_000, MaxCalls: 1000, MaxBranches: 10,
		MaxDuration: 10 * time.Hour, IdleTimeout: time.Hour, CallTimeout: 2 * time.Minute, MaxTokens: 200,
	})
	return s
}

func (s *site) list(name string, role siteservices.MachineRole, service string, at netip.AddrPort, report backend.LoadReport) {
	s.board.Backends.Store(name, blackboard.Backend{Name: name, Role: role, Address: at, Service: service, Report: report})
	s.board.Machines.Update(func(machines []siteservices.Machine) []siteservices.Machine {
		return append(machines, siteservices.Machine{Name: name, Role: role, Address: at, Service: service})
	})
}

func (s *site) publish(class table.Class) {
	s.board.Table.Store(&table.Table{
		Version: 1,
		Models:  map[string]table.Model{testModel: {Name: testModel}},
		Classes: map[string]table.Class{class.Name: class},
	})
}

// Engine implements backend.Directory.
func (s *site) Engine(at netip.AddrPort) backend.Engine {
	return hookedEngine{Engine: s.clients[at].(backend.Engine), site: s}
}

// Application implements backend.Directory.
func (s *site) Application(at netip.AddrPort) backend.Application {
	return hookedApplication{Application: s.clients[at].(backend.Application), site: s}
}

func (s *site) setBeforeSend(gate func(identity.StreamID)) {
	if gate == nil {
		s.beforeSend.Store(nil)
		return
	}
	s.beforeSend.Store(&gate)
}

func (s *site) runBeforeSend(stream identity.StreamID) {
	if gate := s.beforeSend.Load(); gate != nil {
		(*gate)(stream)
	}
}

type hookedEngine struct {
	backend.Engine
	site *site
}

func (e hookedEngine) Generate(ctx context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	e.site.runBeforeSend(request.Stream)
	return e.Engine.Generate(ctx, request, onToken)
}

type hookedApplication struct {
	backend.Application
	site *site
}

func (a hookedApplication) Invoke(ctx context.Context, request backend.InvokeRequest) ([]byte, error) {
	a.site.runBeforeSend(request.Stream)
	return a.Application.Invoke(ctx, request)
}

// open lets a new owner take over the shard, without notifying the previous owners.
func (s *site) open() (*serving.Owner, *ownedShard) {
	s.t.Helper()
	owner := serving.NewOwner(serving.Config{
		Self: "node", ShardCount: 1, Board: s.board, Directory: s, Policy: s.policy, CachedTokens: s.cached,
		Hooks: s.hooks, Timing: s.timing, ProgramAlive: s.alive,
	})
	held := s.reopen(owner)
	s.current = owner
	go func() { _ = owner.Run(s.running) }()
	return owner, held
}

// reopen lets owner claim the shard in the next epoch.
func (s *site) reopen(owner *serving.Owner) *ownedShard {
	s.t.Helper()
	s.log.mutex.Lock()
	s.log.epoch++
	held := &ownedShard{log: s.log, epoch: s.log.epoch, lost: make(chan struct{})}
	snapshot, records := s.log.snapshot, s.log.records
	s.log.mutex.Unlock()
	held.machine = owner.NewStateMachine(0)
	if snapshot != nil {
		if err := held.machine.Restore(snapshot); err != nil {
			s.t.Fatal(err)
		}
	}
	for _, record := range records {
		if err := held.machine.Apply(record); err != nil {
			s.t.Fatal(err)
		}
	}
	s.opened = append(s.opened, held)
	owner.ShardOpened(held, held.machine)
	return held
}

// alive queries the newest owner, in place of the forwarder.
func (s *site) alive(ctx context.Context, id identity.ProgramID) (alive, known bool, err error) {
	program, err := s.current.Get(ctx, id)
	var problem *api.Problem
	switch {
	case err == nil:
		return program.State == api.ProgramRunning, true, nil
	case errors.As(err, &problem) && problem.Code == api.CodeUnknownProgram:
		return false, true, nil
	}
	return false, false, err
}

// close ends all goroutines of the synctest bubble.
func (s *site) close() {
	s.stop()
	for _, held := range s.opened {
		held.lose()
	}
	for _, e := range s.engines {
		e.Close()
	}
	for _, a := range s.portals {
		a.Close()
	}
}

func modelCall(sequence uint64, content string) api.CallRequest {
	return api.CallRequest{
		Sequence: sequence, Kind: api.CallModel, MaxTokens: 30,
		Messages: []api.Message{{Role: "user", Content: content}},
	}
}

func payment(sequence uint64, key string) api.CallRequest {
	return api.CallRequest{
		Sequence: sequence, Kind: api.CallApplication, Application: testService, Operation: "pay_fee",
		Input: []byte(`{"amount":10}`), IdempotencyKey: key, Unrepeatable: true,
	}
}

func (s *site) create(owner *serving.Owner, id identity.ProgramID) {
	s.t.Helper()
	_, err := owner.Create(s.running, serving.CreateRequest{ID: id, Tenant: "t", Class: testClass})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) call(owner *serving.Owner, id identity.ProgramID, call api.CallRequest) (api.Answer, error) {
	return owner.Call(s.running, serving.CallRequest{Program: id, Call: call}, nil)
}

// reply is what one caller received.
type reply struct {
	answer api.Answer
	err    error
	tokens []string
}

// start makes a call in the background and collects the tokens starting at index from.
func (s *site) start(owner *serving.Owner, id identity.ProgramID, call api.CallRequest, from int) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		var got reply
		got.answer, got.err = owner.Call(s.running, serving.CallRequest{Program: id, Call: call, From: from},
			func(index int, text string) error {
				if index != from+len(got.tokens) {
					return fmt.Errorf("got token %d, want token %d", index, from+len(got.tokens))
				}
				got.tokens = append(got.tokens, text)
				return nil
			})
		replies <- got
	}()
	return replies
}

// codeOf returns the code of the problem in err.
func codeOf(err error) api.Code {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.Code
	}
	return ""
}

func problemOf(t testing.TB, err error) *api.Problem {
	t.Helper()
	var problem *api.Problem
	if !errors.As(err, &problem) {
		t.Fatalf("want a problem, got %v", err)
	}
	return problem
}

// arrivals returns the streams of one call that ran at the engines.
func (s *site) arrivals(id identity.CallID) []engine.Arrival {
	var all []engine.Arrival
	for _, e := range s.engines {
		for _, arrival := range e.Truth().Arrivals {
			if arrival.Stream.Call == id && arrival.Outcome != engine.OutcomeRefused {
				all = append(all, arrival)
			}
		}
	}
	return all
}

// held returns the engines and branches with cached memory of a program.
func (s *site) held(id identity.ProgramID) string {
	var names []string
	for _, e := range s.engines {
		for _, prefix := range e.Truth().Held {
			if prefix.Program == id {
				names = append(names, e.Name()+"/"+string(prefix.Branch))
			}
		}
	}
	return strings.Join(names, " ")
}

// generate returns a request that no owner made.
func generate(stream identity.StreamID) backend.GenerateRequest {
	return backend.GenerateRequest{
		Stream: stream, Model: testModel, MaxTokens: 10, Messages: []backend.Message{{Role: "user", Content: "orphan"}},
	}
}

func (s *site) setHealth(name string, health scheduling.Health) {
	s.board.Backends.Update(name, func(b blackboard.Backend, found bool) (blackboard.Backend, bool) {
		b.Health = health
		return b, found
	})
}
