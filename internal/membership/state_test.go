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

// simulation runs many States in virtual time over links with faults. It is
// single-threaded: an event is a datagram's arrival or a node's tick.
type simulation struct {
	now     time.Time
	config  Config
	random  *rand.Rand
	nodes   []*simulated
	byProbe map[netip.AddrPort]*simulated
	flights []flight
	loss    float64
	latency time.Duration
	// cut tells whether what one node sends to another is lost.
	cut func(from, to *simulated) bool
	// deafen drops this share of what the node of that index receives.
	deafen map[int]float64
	// tap sees each datagram that arrives.
	tap   func(arrived flight)
	sent  int
	bytes int
	// largest is the largest datagram seen.
	largest int
	// linkBytes is what a node's link carries in a second, 0 sets no bound; lost counts what
	// was beyond.
	linkBytes, lost int
}

type simulated struct {
	index   int
	node    identity.Node
	state   *State
	down    bool
	frozen  bool
	waiting []flight
	// queued is how many bytes waited for its link at sentAt.
	queued float64
	sentAt time.Time
}

type flight struct {
	at       time.Time
	from, to *simulated
	payload  []byte
}

const simulationStep = 10 * time.Millisecond

func newSimulation(count, zones int, seed uint64) *simulation {
	s := &simulation{
		now:     time.Unix(1_000_000, 0),
		config:  DefaultConfig(),
		random:  rand.New(rand.NewPCG(seed, 0)),
		byProbe: map[netip.AddrPort]*simulated{},
		latency: 2 * time.Millisecond,
		cut:     func(_, _ *simulated) bool { return false },
		deafen:  map[int]float64{},
	}
	for i := range count {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)})
		added := &simulated{index: i, node: identity.Node{
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

// start begins a new life of the node.
func (s *simulation) start(n *simulated) {
	n.node.Incarnation = identity.Incarnation(s.now.UnixNano())
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	seeds := []netip.AddrPort{s.nodes[0].node.ProbeAddress}
	if len(s.nodes) > 1 {
		seeds = append(seeds, s.nodes[1].node.ProbeAddress)
	}
	n.state = NewState(s.now, n.node, s.config, seeds, random)
	n.down, n.frozen, n.waiting = false, false, nil
}

func (s *simulation) send(from *simulated, datagrams []Datagram) {
	for _, datagram := range datagrams {
		s.sent++
		s.bytes += len(datagram.Payload)
		s.largest = max(s.largest, len(datagram.Payload))
		if s.beyondLink(from, len(datagram.Payload)) {
			s.lost++
			continue
		}
		to := s.byProbe[datagram.To]
		lost := s.random.Float64() < s.loss || (to != nil && s.random.Float64() < s.deafen[to.index])
		if to == nil || lost || s.cut(from, to) {
			continue
		}
		delay := s.latency + time.Duration(s.random.Int64N(int64(s.latency)))
		s.flights = append(s.flights, flight{at: s.now.Add(delay), from: from, to: to, payload: datagram.Payload})
	}
}

// linkQueue is how much of what a node has sent may wait for its link.
const linkQueue = 250 * time.Millisecond

// beyondLink counts a datagram and tells whether its sender's link has no room for it.
func (s *simulation) beyondLink(from *simulated, bytes int) bool {
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
	case arrived.to.frozen:
		arrived.to.waiting = append(arrived.to.waiting, arrived)
	default:
		s.send(arrived.to, arrived.to.state.Receive(s.now, arrived.from.node.ProbeAddress, arrived.payload))
	}
}

// thaw lets the node's timers run before it reads what arrived meanwhile, which
// is the worse order.
func (s *simulation) thaw(n *simulated) {
	n.frozen = false
	s.send(n, n.state.Tick(s.now))
	waiting := n.waiting
	n.waiting = nil
	for _, arrived := range waiting {
		s.deliver(arrived)
	}
}

// run lets time pass and calls check after each step; it stops early when check
// returns true, and tells whether it did.
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
			if !node.down && !node.frozen && !s.now.Before(node.state.Next()) {
				s.send(node, node.state.Tick(s.now))
			}
		}
		if check != nil && check() {
			return true
		}
	}
	return false
}

// agreed tells whether all running nodes hold exactly the running nodes as alive
// in their present lives.
func (s *simulation) agreed() bool {
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
		if node.state.live != running || node.state.suspected > 0 {
			return false
		}
		for _, other := range s.nodes {
			known := node.state.records[other.node.Name]
			if !other.down && (known == nil || known.node.Incarnation != other.node.Incarnation) {
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

func (s *simulation) mustAgree(t interface {
	Helper()
	Fatalf(string, ...any)
}, within time.Duration, what string,
) time.Duration {
	t.Helper()
	from := s.now
	if !s.run(within, s.agreed) {
		t.Fatalf("%s: no agreement within %v", what, within)
	}
	return s.now.Sub(from)
}

// deathBound is the time in which all must have learned of a death: to be
// probed, suspected and buried, and for the news to spread.
func deathBound(s *simulation) time.Duration {
	return s.config.ProbeInterval*8 + 2*s.nodes[0].state.suspicionTime()
}

func TestJoinAndDeath(t *testing.T) {
	for _, size := range []int{2, 3, 6, 24, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newSimulation(size, 3, 7)
			joined := s.mustAgree(t, 20*time.Second, "join")
			s.run(5*time.Second, nil)
			s.nodes[size-1].down = true
			bound := deathBound(s)
			died := s.mustAgree(t, bound, "death")
			t.Logf("joined in %v, death agreed in %v of %v", joined, died, bound)
		})
	}
}

func TestNoFalseDeathUnderLoss(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulation(24, 3, seed)
		s.mustAgree(t, 20*time.Second, "join")
		s.loss = 0.05
		s.run(5*time.Minute, nil)
		if deaths := s.deaths(); deaths > 0 {
			t.Errorf("seed %d: %d false deaths", seed, deaths)
		}
	}
}

// A node that gets less than half of what is sent to it accuses others again and
// again; they must live on all the same.
func TestDeafNodeBuriesNobody(t *testing.T) {
	s := newSimulation(24, 3, 3)
	s.mustAgree(t, 20*time.Second, "join")
	s.deafen[5] = 0.6
	s.run(2*time.Minute, nil)
	if s.nodes[5].state.Statistics().Suspicions == 0 {
		t.Error("the deaf node accused nobody, so the test shows nothing")
	}
	if deaths := s.deaths(); deaths > 0 {
		t.Errorf("%d false deaths", deaths)
	}
}

func TestDatagramsFit(t *testing.T) {
	is := is.New(t)
	s := newSimulation(100, 3, 1)
	s.mustAgree(t, 20*time.Second, "join")
	is.True(s.largest <= MaxDatagram)
}

func TestAsymmetricCutOfOneLink(t *testing.T) {
	s := newSimulation(12, 3, 3)
	s.mustAgree(t, 20*time.Second, "join")
	s.cut = func(from, to *simulated) bool { return from.index == 4 && to.index == 9 }
	s.run(time.Minute, nil)
	if accused := s.nodes[4].state.Statistics().Suspicions; accused > 0 {
		t.Errorf("%d accusations of a node that others reach", accused)
	}
}

func TestFrozenNodeAccusesNobody(t *testing.T) {
	s := newSimulation(12, 3, 3)
	s.mustAgree(t, 20*time.Second, "join")
	frozen := s.nodes[5]
	frozen.frozen = true
	s.run(30*time.Second, nil)
	before := frozen.state.Statistics()
	s.thaw(frozen)
	s.mustAgree(t, 20*time.Second, "thaw")
	if after := frozen.state.Statistics(); after.Suspicions != before.Suspicions {
		t.Errorf("the thawed node accused %d members", after.Suspicions-before.Suspicions)
	}
}

func TestJoiningAQuietSite(t *testing.T) {
	s := newSimulation(60, 3, 5)
	s.mustAgree(t, 20*time.Second, "first join")
	s.run(time.Minute, nil)
	s.start(s.nodes[7])
	s.mustAgree(t, 6*time.Second, "restart at a quiet site")
}

func TestRestartIsALaterLife(t *testing.T) {
	s := newSimulation(12, 3, 5)
	s.mustAgree(t, 20*time.Second, "join")
	restarted := s.nodes[5]
	former := restarted.state
	restarted.down = true
	s.run(700*time.Millisecond, nil)
	s.start(restarted)
	s.mustAgree(t, 10*time.Second, "restart")
	// The former life speaks up again: nobody takes it for the present one, and
	// it learns that it is over.
	old := &simulated{index: restarted.index, node: former.self.node, state: former}
	s.tap = func(arrived flight) {
		if arrived.to == restarted {
			former.Receive(s.now, arrived.from.node.ProbeAddress, arrived.payload)
		}
	}
	for range 20 {
		s.send(old, former.Tick(s.now))
		s.run(100*time.Millisecond, nil)
		if !s.agreed() {
			t.Fatal("the former life of a node changed what others hold of it")
		}
	}
	if _, superseded := former.Superseded(); !superseded {
		t.Error("the former life did not learn that it is over")
	}
}

func TestZoneCutHeals(t *testing.T) {
	for _, size := range []int{6, 24, 90} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newSimulation(size, 3, 11)
			s.mustAgree(t, 20*time.Second, "join")
			s.cut = func(from, to *simulated) bool { return (from.index%3 == 0) != (to.index%3 == 0) }
			s.run(2*time.Minute, nil)
			if live := s.nodes[0].state.live; live != size/3 {
				t.Fatalf("the cut zone holds %d members alive, want its own %d", live, size/3)
			}
			deaths := s.deaths()
			s.cut = func(_, _ *simulated) bool { return false }
			healed := s.mustAgree(t, 30*time.Second, "heal")
			if s.deaths() != deaths {
				t.Errorf("healing buried %d members", s.deaths()-deaths)
			}
			t.Logf("healed in %v", healed)
		})
	}
}

func TestLeavingAndLeave(t *testing.T) {
	is := is.New(t)
	s := newSimulation(12, 3, 13)
	s.mustAgree(t, 20*time.Second, "join")
	leaving := s.nodes[4]
	s.send(leaving, leaving.state.AnnounceLeaving())
	seen := func(want Status) func() bool {
		return func() bool {
			for _, node := range s.nodes {
				if known := node.state.records[leaving.node.Name]; !node.down && known.condition.status() != want {
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

func TestInfoRidesAlong(t *testing.T) {
	is := is.New(t)
	s := newSimulation(6, 3, 17)
	s.mustAgree(t, 20*time.Second, "join")
	version, _ := s.nodes[0].state.Changes()
	s.nodes[3].state.SetInfo(9, 44)
	is.True(s.run(10*time.Second, func() bool {
		for _, node := range s.nodes {
			known := node.state.records[s.nodes[3].node.Name]
			if known.tableVersion != 9 || known.figure != 44 {
				return false
			}
		}
		return true
	}))
	after, _ := s.nodes[0].state.Changes()
	is.Equal(version, after) // what rides along makes no new placement
}

// TestMembershipConverges puts a site through random faults and expects that,
// once they are over, all agree on who runs.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(4, 24).Draw(t, "nodes"), 3, rapid.Uint64().Draw(t, "seed"))
		s.mustAgree(t, 20*time.Second, "join")
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			s.disturb(t)
			s.run(time.Duration(rapid.IntRange(100, 15_000).Draw(t, "pause"))*time.Millisecond, nil)
		}
		s.loss = 0
		s.cut = func(_, _ *simulated) bool { return false }
		for _, node := range s.nodes {
			if node.frozen {
				s.thaw(node)
			}
		}
		s.mustAgree(t, 40*time.Second, "after the faults")
	})
}

func (s *simulation) disturb(t *rapid.T) {
	node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"kill", "restart", "freeze", "thaw", "cut zone", "cut one way", "heal"}).Draw(t, "fault") {
	case "kill":
		node.down = true
	case "restart":
		s.start(node)
	case "freeze":
		node.frozen = !node.down
	case "thaw":
		s.thaw(node)
	case "cut zone":
		s.cut = func(from, to *simulated) bool {
			return (from.node.Zone == node.node.Zone) != (to.node.Zone == node.node.Zone)
		}
	case "cut one way":
		s.cut = func(from, _ *simulated) bool { return from == node }
	case "heal":
		s.cut = func(_, _ *simulated) bool { return false }
	}
}
