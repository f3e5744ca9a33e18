package aggregator

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/loads"
)

const (
	// refreshPause is the time between two reports on a replica where nothing changes,
	// so that lost datagrams and new keepers are made up for well within reportLife.
	refreshPause = 300 * time.Millisecond
	// QueryTimeout is how long the answers to a question are waited for: some ways between
	// zones of one region, and less than reading a prompt anew costs.
	QueryTimeout = 8 * time.Millisecond
	// silence is how long a keeper that has not answered in time is not waited for. It
	// is asked all the same, and the next answer of it ends that.
	silence = 500 * time.Millisecond
)

// Replica names a replica and says where it stands.
type Replica struct {
	// Instance names the life of the replica, see fleet.Replica.Life.
	Instance, Zone string
	// CapacityTokens is how many tokens its prompt memory holds; 0 if unknown.
	CapacityTokens int
}

// Service reports to keepers, asks them, and answers as a keeper, by datagrams that
// may be lost. It is safe for concurrent use.
type Service struct {
	config Config
	book   *Aggregates
	own    netip.AddrPort
	// began is the wall clock's reading at the start, where sequences go on from.
	began uint64

	// mutex guards all below.
	mutex   sync.Mutex
	number  uint32
	waiting map[uint32]*waiting
	// silentUntil holds keepers that did not answer.
	silentUntil map[netip.AddrPort]time.Duration
	// told holds the newest reports that have to be repeated.
	told map[string]*toldReport
}

// Config is what an Exchange is made from; all fields but Judged are required.
type Config struct {
	Conn      *net.UDPConn
	Placement *Placement
	// Now is a monotonic reading.
	Now      func() time.Duration
	Observer Observer
	// OnEjectionChange is told when a replica that this node keeps is ejected or returns.
	OnEjectionChange func(changed EjectionChange)
}

// Observer counts what an Exchange does.
type Observer interface {
	// QueryDone is told how long the answers to a question were waited for, how many
	// keepers were waited for and how many of them answered in time.
	QueryDone(took time.Duration, asked, answered int)
	// Sent and Received are told the payload bytes of each datagram.
	Sent(bytes int)
	Received(bytes int)
	// InvalidDatagram is told of each datagram that is refused.
	InvalidDatagram()
}

// waiting is a question whose answers are awaited. The exchange's mutex guards it.
type waiting struct {
	// missing holds the keepers that are waited for.
	missing map[netip.AddrPort]bool
	states  map[ReplicaKey]State
	// asked is how many were missing at first.
	asked int
	// done is closed when none is missing.
	done chan struct{}
}

// await returns once no answer is missing, patience is over or ctx ends.
func (w *waiting) await(ctx context.Context, patience time.Duration) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// toldReport is a replica's newest report; idle counts its repetitions without load.
type toldReport struct {
	replica Replica
	load    loads.Load
	idle    int
}

// New returns an exchange that does not run yet. Until Run it reports nothing
// again and answers nobody.
func New(config Config) *Service {
	own, _ := netip.ParseAddrPort(config.Conn.LocalAddr().String())
	return &Service{
		config: config, book: NewAggregates(), own: own, began: uint64(time.Now().UnixNano()),
		waiting: map[uint32]*waiting{}, silentUntil: map[netip.AddrPort]time.Duration{}, told: map[string]*toldReport{},
	}
}

// Aggregates returns what this node keeps.
func (e *Service) Aggregates() *Aggregates { return e.book }

// Run answers other nodes and repeats reports until ctx ends; then it closes the
// socket.
func (e *Service) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.config.Conn.Close() })
	defer stop()
	go e.receive()
	ticker := time.NewTicker(refreshPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.repeat()
		case <-ctx.Done():
			return
		}
	}
}

// Report tells a replica's keeper what this node has there now. parts is a prompt
// that the replica holds from now on, or nil.
func (e *Service) Report(replica Replica, load loads.Load, parts []Segment) {
	e.mutex.Lock()
	e.told[replica.Instance] = &toldReport{replica: replica, load: load}
	e.mutex.Unlock()
	e.tell(replica, load, parts)
}

// repeat reports again what has not changed. A replica without load is reported
// twice more, for datagrams that are lost.
func (e *Service) repeat() {
	const idleRepeats = 2
	e.mutex.Lock()
	now := e.config.Now()
	maps.DeleteFunc(e.silentUntil, func(_ netip.AddrPort, until time.Duration) bool { return now >= until })
	again := make([]toldReport, 0, len(e.told))
	for instance, one := range e.told {
		if one.load == (loads.Load{}) {
			one.idle++
		}
		if one.idle > idleRepeats {
			delete(e.told, instance)
			continue
		}
		again = append(again, *one)
	}
	e.mutex.Unlock()
	for _, one := range again {
		e.tell(one.replica, one.load, nil)
	}
}

func (e *Service) tell(replica Replica, load loads.Load, parts []Segment) {
	now := e.config.Now()
	report := Report{
		Key: loads.HashReplica(replica.Instance), Sequence: e.began + uint64(now), Load: load,
		CapacityTokens: replica.CapacityTokens, Segments: parts,
	}
	keeper, self := e.keeper(replica)
	if self {
		e.book.Record(e.own, report, now)
		return
	}
	e.send(encodeReport(report), keeper)
}

func (e *Service) keeper(replica Replica) (netip.AddrPort, bool) {
	address, self := e.config.Placement.AggregatorOf(replica.Instance, replica.Zone)
	return netip.AddrPortFrom(address, e.own.Port()), self
}

func (e *Service) send(datagram []byte, to netip.AddrPort) {
	e.config.Observer.Sent(len(datagram))
	// A datagram that can't be sent is a lost one.
	_, _ = e.config.Conn.WriteToUDPAddrPort(datagram, to)
}

// Query returns what the keepers of replicas know of them, by instance, for a request
// with the given prompt. Replicas whose keepers do not answer in time are missing.
func (e *Service) Query(ctx context.Context, replicas []Replica, parts []Segment) map[string]State {
	states := map[ReplicaKey]State{}
	byKeeper := map[netip.AddrPort][]ReplicaKey{}
	now := e.config.Now()
	for _, replica := range replicas {
		key := loads.HashReplica(replica.Instance)
		keeper, self := e.keeper(replica)
		if !self {
			byKeeper[keeper] = append(byKeeper[keeper], key)
			continue
		}
		if state, found := e.book.State(e.own, key, parts, now); found {
			states[key] = state
		}
	}
	if len(byKeeper) > 0 {
		e.askOthers(ctx, byKeeper, parts, states)
	}
	known := make(map[string]State, len(states))
	for _, replica := range replicas {
		if state, found := states[loads.HashReplica(replica.Instance)]; found {
			known[replica.Instance] = state
		}
	}
	return known
}

// askOthers asks other nodes and adds what they answer in time to states.
func (e *Service) askOthers(ctx context.Context, byKeeper map[netip.AddrPort][]ReplicaKey, parts []Segment, states map[ReplicaKey]State) {
	began := e.config.Now()
	number, asked := e.open(lo.Keys(byKeeper), began)
	for keeper, keys := range byKeeper {
		e.send(encodeQuestion(question{number: number, keys: keys, parts: parts}), keeper)
	}
	asked.await(ctx, QueryTimeout)
	missing := e.close(number, asked, ctx.Err() == nil, states)
	e.config.Observer.QueryDone(e.config.Now()-began, asked.asked, asked.asked-missing)
}

// measurePatience bounds a measurement of a way.
const measurePatience = time.Second

// RoundTrip returns how long a node takes to answer a question about nothing; false if it
// does not answer.
func (e *Service) RoundTrip(ctx context.Context, node netip.Addr) (time.Duration, bool) {
	to := netip.AddrPortFrom(node, e.own.Port())
	began := e.config.Now()
	number, asked := e.open([]netip.AddrPort{to}, began)
	if asked.asked == 0 {
		e.close(number, asked, false, map[ReplicaKey]State{})
		return 0, false // it was silent lately
	}
	e.send(encodeQuestion(question{number: number}), to)
	asked.await(ctx, measurePatience)
	took := e.config.Now() - began
	return took, e.close(number, asked, false, map[ReplicaKey]State{}) == 0
}

// open registers a question. Keepers that were silent lately are not waited for.
func (e *Service) open(keepers []netip.AddrPort, now time.Duration) (uint32, *waiting) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.number++
	number := e.number | readsJudged
	asked := &waiting{missing: map[netip.AddrPort]bool{}, states: map[ReplicaKey]State{}, done: make(chan struct{})}
	for _, keeper := range keepers {
		if now >= e.silentUntil[keeper] {
			asked.missing[keeper] = true
		}
	}
	asked.asked = len(asked.missing)
	if asked.asked == 0 {
		close(asked.done)
	}
	e.waiting[number] = asked
	return number, asked
}

// close ends a question, adds its answers to states and returns how many keepers
// have not answered; blame tells that they had the time to.
func (e *Service) close(number uint32, asked *waiting, blame bool, states map[ReplicaKey]State) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.waiting, number)
	for key, state := range asked.states {
		states[key] = state
	}
	if blame {
		for keeper := range asked.missing {
			e.silentUntil[keeper] = e.config.Now() + silence
		}
	}
	return len(asked.missing)
}

// takeAnswer hands an answer to the question that it belongs to.
func (e *Service) takeAnswer(from netip.AddrPort, told answer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.silentUntil, from)
	asked, found := e.waiting[told.number]
	if !found {
		return // it came too late
	}
	for _, state := range told.states {
		asked.states[state.Key] = state
	}
	if !asked.missing[from] {
		return
	}
	delete(asked.missing, from)
	if len(asked.missing) == 0 {
		close(asked.done)
	}
}

func (e *Service) receive() {
	buffer := make([]byte, datagramBytes)
	for {
		size, from, err := e.config.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as the refusal of an earlier datagram by a node that is gone
		}
		e.config.Observer.Received(size)
		read, err := decode(buffer[:size])
		if err != nil {
			e.config.Observer.InvalidDatagram() // anybody may send any number of them: no line each
			continue
		}
		e.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), read)
	}
}

func (e *Service) handle(from netip.AddrPort, read datagram) {
	switch read.kind {
	case kindReport:
		e.book.Record(from, read.report, e.config.Now())
	case kindQuestion:
		e.reply(from, read.question)
	case kindAnswer, kindJudged:
		e.takeAnswer(from, read.answer)
	case kindOutcome:
		e.judge(read.outcome)
	}
}

// reply answers a question with what is known of the replicas that it names.
func (e *Service) reply(to netip.AddrPort, asked question) {
	now := e.config.Now()
	states := make([]State, 0, len(asked.keys))
	for _, key := range asked.keys {
		if state, found := e.book.State(to, key, asked.parts, now); found {
			states = append(states, state)
		}
	}
	e.send(encodeAnswer(answerTo(asked, states)), to)
}
