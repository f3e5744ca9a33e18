package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/testseed"
)

// TestMain sets the defaults of rapid's flags, which the command line overrides.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.checks": "12", "rapid.seed": "1"})
}

// simulation runs many States in virtual time over faulty links. It is single-threaded; an
// event is the arrival of a datagram or the tick of a node.
type simulation struct {
	now     time.Time
	config  Config
	random  *rand.Rand
	nodes   []*simulatedNode
	byProbe map[netip.AddrPort]*simulatedNode
	flights []flight
	loss    float64
	latency time.Duration
	// partition reports whether datagrams from one node to another are lost.
	partition func(from, to *simulatedNode) bool
	// receiveLoss is the loss rate of datagrams to the node with an index.
	receiveLoss map[int]float64
	// tap is called with each datagram that arrives.
	tap   func(arrived flight)
	sent  int
	bytes int
	// largest is the size of the largest datagram.
	largest int
	// linkBytes is the capacity of a node's link per second; 0 is unlimited. lost counts
	// the datagrams dropped for lack of capacity.
	linkBytes, lost int
}

type simulatedNode struct {
	index   int
	node    identity.Node
	state   *State
	down    bool
	paused  bool
	waiting []flight
	// queued is the number of bytes waiting for the node's link at sentAt.
	queued float64
	sentAt time.Time
}

type flight struct {
	at       time.Time
	from, to *simulatedNode
	payload  []byte
}

const simulationStep = 10 * time.Millisecond

func newSimulation(count, zones int, seed uint64) *simulation {
	s := &simulation{
		now:         time.Unix(1_000_000, 0),
		config:      DefaultConfig(),
		random:      rand.New(rand.NewPCG(seed, 0)),
		byProbe:     map[netip.AddrPort]*simulatedNode{},
		latency:     2 * time.Millisecond,
		partition:   func(_, _ *simulatedNode) bool { return false },
		receiveLoss: map[int]float64{},
	}
	for i := range count {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)})
		added := &simulatedNode{index: i, node: identity.Node{
			Name:         identity.NodeName(fmt.Sprintf("node-%03d", i)),
			Zone:         identity.Zone(fmt.Sprintf("zone-%d", i%zones)),
			Region:       "region",
			PeerAddress:  netip.AddrPortFrom(address, 7100),
			ProbeAddress: netip.AddrPortFrom(address, 7200),
		}}
		s.nodes = append(s.nodes, added)
		s.byProbe[added.node.ProbeAddress] = added
		s.start(added)
	}
	return s
}

// start starts a new incarnation of the node.
func (s *simulation) start(n *simulatedNode) {
	n.node.Incarnation = identity.Incarnation(s.now.UnixNano())
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	seeds := []netip.AddrPort{s.nodes[0].node.ProbeAddress}
	if len(s.nodes) > 1 {
		seeds = append(seeds, s.nodes[1].node.ProbeAddress)
	}
	n.state = NewState(s.now, n.node, s.config, seeds, random)
	n.down, n.paused, n.waiting = false, false, nil
}

func (s *simulation) send(from *simulatedNode, datagrams []Datagram) {
	for _, datagram := range datagrams {
		s.sent++
		s.bytes += len(datagram.Payload)
		s.largest = max(s.largest, len(datagram.Payload))
		if s.exceedsLink(from, len(datagram.Payload)) {
			s.lost++
			continue
		}
		to := s.byProbe[datagram.To]
		lost := s.random.Float64() < s.loss || (to != nil && s.random.Float64() < s.receiveLoss[to.index])
		if to == nil || lost || s.partition(from, to) {
			continue
		}
		delay := s.latency + time.Duration(s.random.Int64N(int64(s.latency)))
		s.flights = append(s.flights, flight{at: s.now.Add(delay), from: from, to: to, payload: datagram.Payload})
	}
}

// linkQueue is the maximum queueing delay of a node's link.
const linkQueue = 250 * time.Millisecond

// exceedsLink queues a datagram, or reports that its sender's link has no capacity for it.
func (s *simulation) exceedsLink(from *simulatedNode, bytes int) bool {
	if s.linkBytes == 0 {
		return false
	}
	perSecond := float64(s.linkBytes)
	from.queued = max(from.queued-perSecond*s.now.Sub(from.sentAt).Seconds(), 0)
	from.sentAt = s.now
	if from.queued > perSecond*linkQueue.Seconds() {
		return true
	}
	from.queued += float64(bytes)
	return false
}

func (s *simulation) deliver(arrived flight) {
	if s.tap != nil {
		s.tap(arrived)
	}
	switch {
	case arrived.to.down:
	case arrived.to.paused:
		arrived.to.waiting = append(arrived.to.waiting, arrived)
	default:
		s.send(arrived.to, arrived.to.state.Receive(s.now, arrived.from.node.ProbeAddress, arrived.payload))
	}
}

// resume runs the node's timers before it receives the datagrams that have arrived
// meanwhile, which is the worse order.
func (s *simulation) resume(n *simulatedNode) {
	n.paused = false
	s.send(n, n.state.Tick(s.now))
	waiting := n.waiting
	n.waiting = nil
	for _, arrived := range waiting {
		s.deliver(arrived)
	}
}

// run advances the time and calls check after each step. It stops early and returns true
// once check does.
func (s *simulation) run(duration time.Duration, check func() bool) bool {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(simulationStep)
		flights := s.flights
		s.flights = nil
		for _, arriving := range flights {
			if arriving.at.After(s.now) {
				s.flights = append(s.flights, arriving)
			} else {
				s.deliver(arriving)
			}
		}
		for _, node := range s.nodes {
			if !node.down && !node.paused && !s.now.Before(node.state.Next()) {
				s.send(node, node.state.Tick(s.now))
			}
		}
		if check != nil && check() {
			return true
		}
	}
	return false
}

// converged reports whether all running nodes consider exactly the running nodes alive,
// with their current incarnations.
func (s *simulation) converged() bool {
	running := 0
	for _, node := range s.nodes {
		if !node.down {
			running++
		}
	}
	for _, node := range s.nodes {
		if node.down {
			continue
		}
		if node.state.live != running || node.state.suspectCount > 0 {
			return false
		}
		for _, other := range s.nodes {
			member := node.state.records[other.node.Name]
			if !other.down && (member == nil || member.node.Incarnation != other.node.Incarnation) {
				return false
			}
		}
	}
	return true
}

func (s *simulation) deaths() uint64 {
	var all uint64
	for _, node := range s.nodes {
		all += node.state.Statistics().Deaths
	}
	return all
}

func (s *simulation) mustConverge(t interface {
	Helper()
	Fatalf(string, ...any)
}, within time.Duration, what string,
) time.Duration {
	t.Helper()
	from := s.now
	if !s.run(within, s.converged) {
		t.Fatalf("%s: not converged within %v", what, within)
	}
	return s.now.Sub(from)
}

// detectionBound is the time in which all nodes must detect a failure: probing, suspicion
// and dissemination.
func detectionBound(s *simulation) time.Duration {
	return s.config.ProbeInterval*8 + 2*s.nodes[0].state.suspicionTime()
}

func TestJoinAndFailureDetection(t *testing.T) {
	for _, size := range []int{2, 3, 6, 24, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newSimulation(size, 3, 7)
			joined := s.mustConverge(t, 20*time.Second, "join")
			s.run(5*time.Second, nil)
			s.nodes[size-1].down = true
			bound := detectionBound(s)
			died := s.mustConverge(t, bound, "death")
			t.Logf("joined in %v, failure detected in %v, bound %v", joined, died, bound)
		})
	}
}

func TestNoFalsePositivesUnderLoss(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulation(24, 3, seed)
		s.mustConverge(t, 20*time.Second, "join")
		s.loss = 0.05
		s.run(5*time.Minute, nil)
		if deaths := s.deaths(); deaths > 0 {
			t.Errorf("seed %d: %d false deaths", seed, deaths)
		}
	}
}

// A node that receives less than half of its datagrams keeps suspecting others, which must
// be able to refute.
func TestNodeWithReceiveLossDeclaresNobodyDead(t *testing.T) {
	s := newSimulation(24, 3, 3)
	s.mustConverge(t, 20*time.Second, "join")
	s.receiveLoss[5] = 0.6
	s.run(2*time.Minute, nil)
	if s.nodes[5].state.Statistics().Suspicions == 0 {
		t.Error("the node with receive loss suspected nobody, so the test shows nothing")
	}
	if deaths := s.deaths(); deaths > 0 {
		t.Errorf("%d false deaths", deaths)
	}
}

func TestDatagramsStayWithinMaxSize(t *testing.T) {
	is := is.New(t)
	s := newSimulation(100, 3, 1)
	s.mustConverge(t, 20*time.Second, "join")
	is.True(s.largest <= MaxDatagram)
}

func TestAsymmetricLinkFailure(t *testing.T) {
	s := newSimulation(12, 3, 3)
	s.mustConverge(t, 20*time.Second, "join")
	s.partition = func(from, to *simulatedNode) bool { return from.index == 4 && to.index == 9 }
	s.run(time.Minute, nil)
	if suspicions := s.nodes[4].state.Statistics().Suspicions; suspicions > 0 {
		t.Errorf("%d suspicions of a node that other members reach", suspicions)
	}
}

func TestPausedNodeSuspectsNobody(t *testing.T) {
	s := newSimulation(12, 3, 3)
	s.mustConverge(t, 20*time.Second, "join")
	paused := s.nodes[5]
	paused.paused = true
	s.run(30*time.Second, nil)
	before := paused.state.Statistics()
	s.resume(paused)
	s.mustConverge(t, 20*time.Second, "resume")
	if after := paused.state.Statistics(); after.Suspicions != before.Suspicions {
		t.Errorf("the resumed node suspected %d members", after.Suspicions-before.Suspicions)
	}
}

func TestRestartInStableSite(t *testing.T) {
	s := newSimulation(60, 3, 5)
	s.mustConverge(t, 20*time.Second, "first join")
	s.run(time.Minute, nil)
	s.start(s.nodes[7])
	s.mustConverge(t, 6*time.Second, "restart in a stable site")
}

func TestRestartSupersedesOldIncarnation(t *testing.T) {
	s := newSimulation(12, 3, 5)
	s.mustConverge(t, 20*time.Second, "join")
	restarted := s.nodes[5]
	old := restarted.state
	restarted.down = true
	s.run(700*time.Millisecond, nil)
	s.start(restarted)
	s.mustConverge(t, 10*time.Second, "restart")
	// The old incarnation sends again. It must not change any record of the current one,
	// and must learn that it is superseded.
	oldNode := &simulatedNode{index: restarted.index, node: old.self.node, state: old}
	s.tap = func(arrived flight) {
		if arrived.to == restarted {
			old.Receive(s.now, arrived.from.node.ProbeAddress, arrived.payload)
		}
	}
	for range 20 {
		s.send(oldNode, old.Tick(s.now))
		s.run(100*time.Millisecond, nil)
		if !s.converged() {
			t.Fatal("the old incarnation of a node changed its records")
		}
	}
	if _, superseded := old.Superseded(); !superseded {
		t.Error("the old incarnation did not learn that it is superseded")
	}
}

func TestZonePartitionHeals(t *testing.T) {
	for _, size := range []int{6, 24, 90} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newSimulation(size, 3, 11)
			s.mustConverge(t, 20*time.Second, "join")
			s.partition = func(from, to *simulatedNode) bool { return (from.index%3 == 0) != (to.index%3 == 0) }
			s.run(2*time.Minute, nil)
			if live := s.nodes[0].state.live; live != size/3 {
				t.Fatalf("the partitioned zone considers %d members alive, want its own %d", live, size/3)
			}
			deaths := s.deaths()
			s.partition = func(_, _ *simulatedNode) bool { return false }
			healed := s.mustConverge(t, 30*time.Second, "heal")
			if s.deaths() != deaths {
				t.Errorf("%d members declared dead after the partition healed", s.deaths()-deaths)
			}
			t.Logf("healed in %v", healed)
		})
	}
}

func TestLeavingAndLeave(t *testing.T) {
	is := is.New(t)
	s := newSimulation(12, 3, 13)
	s.mustConverge(t, 20*time.Second, "join")
	leaving := s.nodes[4]
	s.send(leaving, leaving.state.AnnounceLeaving())
	seen := func(want Status) func() bool {
		return func() bool {
			for _, node := range s.nodes {
				if member := node.state.records[leaving.node.Name]; !node.down && member.wireStatus.status() != want {
					return false
				}
			}
			return true
		}
	}
	is.True(s.run(5*time.Second, seen(Leaving)))
	s.run(20*time.Second, nil)
	is.True(seen(Leaving)())
	s.send(leaving, leaving.state.Leave())
	leaving.down = true
	is.True(s.run(5*time.Second, seen(Dead)))
}

func TestInfoIsPiggybacked(t *testing.T) {
	is := is.New(t)
	s := newSimulation(6, 3, 17)
	s.mustConverge(t, 20*time.Second, "join")
	version, _ := s.nodes[0].state.Changes()
	s.nodes[3].state.SetInfo(9, 44)
	is.True(s.run(10*time.Second, func() bool {
		for _, node := range s.nodes {
			member := node.state.records[s.nodes[3].node.Name]
			if member.tableVersion != 9 || member.load != 44 {
				return false
			}
		}
		return true
	}))
	after, _ := s.nodes[0].state.Changes()
	is.Equal(version, after) // piggybacked information does not change the view's version
}

// All nodes must agree on the running nodes after any sequence of faults.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(4, 24).Draw(t, "nodes"), 3, rapid.Uint64().Draw(t, "seed"))
		s.mustConverge(t, 20*time.Second, "join")
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			s.injectFault(t)
			s.run(time.Duration(rapid.IntRange(100, 15_000).Draw(t, "pause"))*time.Millisecond, nil)
		}
		s.loss = 0
		s.partition = func(_, _ *simulatedNode) bool { return false }
		for _, node := range s.nodes {
			if node.paused {
				s.resume(node)
			}
		}
		s.mustConverge(t, 40*time.Second, "after the faults")
	})
}

func (s *simulation) injectFault(t *rapid.T) {
	node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"kill", "restart", "pause", "resume", "partition zone", "block one direction", "heal"}).Draw(t, "fault") {
	case "kill":
		node.down = true
	case "restart":
		s.start(node)
	case "pause":
		node.paused = !node.down
	case "resume":
		s.resume(node)
	case "partition zone":
		s.partition = func(from, to *simulatedNode) bool {
			return (from.node.Zone == node.node.Zone) != (to.node.Zone == node.node.Zone)
		}
	case "block one direction":
		s.partition = func(from, _ *simulatedNode) bool { return from == node }
	case "heal":
		s.partition = func(_, _ *simulatedNode) bool { return false }
	}
}
