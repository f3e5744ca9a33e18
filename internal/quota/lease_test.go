package quota

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
)

func TestLessorLeasesToOneAllocatorAtATime(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.1:7")
	first := Lessee{Node: identity.Reference{Name: "a", Incarnation: 1}, Address: address, ID: 1}
	second := Lessee{Node: identity.Reference{Name: "b", Incarnation: 1}, ID: 2}
	want := func(lessee Lessee, sequence uint64) LeaseRequest {
		return LeaseRequest{Lessee: lessee, Sequence: sequence, Wanted: 0b11}
	}
	lessor := NewLessor(0)
	is.Equal(lessor.Lease(want(first, 1), 0.5, 0).Granted, PartitionSet(0)) // an earlier process may have leased it
	holding := want(first, 1)
	holding.Held = 0b01
	is.Equal(lessor.Lease(holding, 0.5, 0).Granted, PartitionSet(0b01))
	now := LeaseTTL
	is.Equal(lessor.Lease(want(first, 2), 0.5, now).Granted, PartitionSet(0b11))
	refused := lessor.Lease(want(second, 1), 0.5, now+LeaseTTL/2)
	is.Equal(refused.Granted, PartitionSet(0))
	is.Equal(refused.Conflicts, []Conflict{{Partitions: 0b11, Lessee: first, Remaining: LeaseTTL / 2}})
	is.Equal(lessor.Lease(want(second, 2), 0, now+LeaseTTL).Granted, PartitionSet(0)) // there is no share to lease
	is.Equal(lessor.Lease(want(second, 3), 0.5, now+LeaseTTL).Granted, PartitionSet(0b11))

	ceded := want(first, 3)
	ceded.Ceded = []Cession{{From: second.ID, UpTo: 2, Partitions: 0b11}}
	is.Equal(lessor.Lease(ceded, 0.5, now+LeaseTTL).Granted, PartitionSet(0)) // it was leased again after the cession
	lessor.Lease(want(second, 2), 0.5, now+LeaseTTL)                          // an earlier request arrives late
	is.Equal(lessor.Lease(ceded, 0.5, now+LeaseTTL).Granted, PartitionSet(0))
	ceded.Ceded[0].UpTo = 3
	is.Equal(lessor.Lease(ceded, 0.5, now+LeaseTTL).Granted, PartitionSet(0b11))
	given := LeaseRequest{Lessee: first, Sequence: 4, Ceded: []Cession{{From: first.ID, UpTo: 3, Partitions: 0b01}}}
	is.Equal(lessor.Lease(given, 0.5, now+LeaseTTL).Granted, PartitionSet(0))
	is.Equal(lessor.Lease(want(second, 4), 0.5, now+LeaseTTL).Granted, PartitionSet(0b01)) // given up before its end
	ceded = want(first, 5)
	ceded.Ceded = []Cession{{From: second.ID, UpTo: 4, Partitions: 0b01}}
	is.Equal(lessor.Lease(ceded, 0.5, now+LeaseTTL).Granted, PartitionSet(0b11))

	// A process of the same name elsewhere does not prove that the earlier one has ended.
	replacement := Lessee{Node: identity.Reference{Name: "a", Incarnation: 2}, Address: netip.MustParseAddrPort("10.0.0.2:7"), ID: 4}
	is.Equal(lessor.Lease(want(replacement, 1), 0.5, now+LeaseTTL).Granted, PartitionSet(0))
	restarted := Lessee{Node: identity.Reference{Name: "a", Incarnation: 2}, Address: address, ID: 3}
	is.Equal(lessor.Lease(want(restarted, 1), 0.5, now+LeaseTTL).Granted, PartitionSet(0b11)) // its earlier process has ended
}

// leaseModel plays lessors and allocators on nodes that restart and pause, over a network
// that delays, loses and reorders messages. Any node may ask for any lease at any time.
type leaseModel struct {
	random *rand.Rand
	limit  Limit
	now    time.Duration
	nodes  []*modelNode
	// leader leases most shares until leaderUntil. The leases are renewed at renewAt.
	leader               *modelNode
	leaderUntil, renewAt time.Duration
	// pending are the messages and the steps of paused processes that take effect later.
	pending []pendingStep
	lastID  AllocatorID
	// spent are the times at which tokens were spent.
	spent   []time.Duration
	granted int
	// grants are all grants, without the tokens that were not spent.
	grants  []modelGrant
	failure string
}

type modelGrant struct {
	at    time.Duration
	count int
}

// checkGrants checks that a single bucket could have made all grants.
func (m *leaseModel) checkGrants() {
	capacity := testPolicy.Capacity(m.limit)
	level, levelAt := capacity, time.Duration(0)
	for _, grant := range m.grants {
		level = min(level+testPolicy.Refill(m.limit)*(grant.at-levelAt).Seconds(), capacity) - float64(grant.count)
		levelAt = grant.at
		if level < -1e-6 && m.failure == "" {
			m.failure = fmt.Sprintf("at %v: %.1f tokens granted beyond a single bucket", grant.at, -level)
		}
	}
}

// worstWindow returns the highest number of tokens spent in a window.
func (m *leaseModel) worstWindow() int {
	first, worst := 0, 0
	for last := range m.spent {
		for m.spent[last]-m.spent[first] >= testPolicy.Window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// checkLeases checks that no share is leased twice.
func (m *leaseModel) checkLeases() {
	for _, lessor := range m.nodes {
		var lessees []identity.NodeName
		for _, n := range m.nodes {
			if lease := n.allocator.partitions[PartitionOf("t")].leased[lessor.name]; lease != nil && m.now < lease.expires {
				lessees = append(lessees, n.name)
			}
		}
		if len(lessees) > 1 && m.failure == "" {
			m.failure = fmt.Sprintf("at %v: the share of %s is leased to %v", m.now, lessor.name, lessees)
		}
	}
}

type modelNode struct {
	name        identity.NodeName
	incarnation identity.Incarnation
	allocator   *Allocator
	lessor      *Lessor
}

type pendingStep struct {
	at  time.Duration
	run func()
}

func (m *leaseModel) start(n *modelNode) {
	m.lastID++
	n.incarnation++
	n.allocator = NewAllocator(testPolicy, Lessee{
		Node: identity.Reference{Name: n.name, Incarnation: n.incarnation}, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n.name[1]}), 1), ID: m.lastID,
	})
	n.lessor = NewLessor(m.now)
}

// later lets a step take effect after a random time, at times a long one, or never.
func (m *leaseModel) later(n *modelNode, run func()) {
	incarnation := n.incarnation
	delay := time.Duration(m.random.Int64N(int64(10 * time.Millisecond)))
	switch m.random.IntN(20) {
	case 0:
		return
	case 1, 2:
		delay = time.Duration(m.random.Int64N(int64(1500 * time.Millisecond)))
	}
	m.pending = append(m.pending, pendingStep{at: m.now + delay, run: func() {
		if n.incarnation == incarnation {
			run()
		}
	}})
}

func (m *leaseModel) randomNode() *modelNode { return m.nodes[m.random.IntN(len(m.nodes))] }

func (m *leaseModel) lease(from, to *modelNode, ceded []Cession) {
	sentAt, allocator := m.now, from.allocator
	request := allocator.LeaseRequest(to.name, AllPartitions, ceded, sentAt)
	m.later(to, func() {
		// A process may be paused between reading its clock and responding.
		response := to.lessor.Lease(request, 1/float64(len(m.nodes)), m.now)
		m.later(from, func() {
			allocator.ApplyLeases(to.name, request, response, sentAt, m.now)
		})
	})
}

func (m *leaseModel) handOver(from, to *modelNode) {
	sentAt := m.now
	m.later(from, func() {
		accounts, cession := from.allocator.HandOver(AllPartitions, m.now)
		m.later(to, func() {
			for _, lessor := range m.nodes {
				m.lease(to, lessor, []Cession{cession})
			}
			m.pending = append(m.pending, pendingStep{at: m.now + 40*time.Millisecond, run: func() {
				m.later(to, func() {
					if account, found := accounts["t"]; found && to.allocator.Fraction(PartitionOf("t"), m.now) > 0 {
						to.allocator.Import("t", account, m.limit, sentAt, m.now)
					}
				})
			}})
		})
	})
}

// request spends the tokens of a grant at random times until they expire, and returns some.
func (m *leaseModel) request(n *modelNode) {
	sentAt := m.now
	wanted := Amount{Requests: m.random.IntN(60)}
	grant := n.allocator.Grant("t", m.limit, Request{Needed: wanted, Wanted: wanted}, m.now)
	m.granted += grant.Amount.Requests
	returned := 0
	for range grant.Amount.Requests {
		if m.random.IntN(4) == 0 {
			returned++
			continue
		}
		m.pending = append(m.pending, pendingStep{
			at: sentAt + time.Duration(m.random.Int64N(int64(testPolicy.TokenTTL()))), run: func() { m.spent = append(m.spent, m.now) },
		})
	}
	m.grants = append(m.grants, modelGrant{at: m.now, count: grant.Amount.Requests - returned})
	m.later(n, func() {
		if n.allocator.Fraction(PartitionOf("t"), m.now) == 0 {
			return
		}
		n.allocator.Grant("t", m.limit, Request{Returned: Amount{Requests: returned}, ReturnedSince: grant.Stamp}, m.now)
	})
}

func (m *leaseModel) step() {
	m.now += time.Duration(m.random.Int64N(int64(20 * time.Millisecond)))
	for i := 0; i < len(m.pending); i++ {
		if step := m.pending[i]; step.at <= m.now {
			m.pending[i] = m.pending[len(m.pending)-1]
			m.pending = m.pending[:len(m.pending)-1]
			step.run()
			m.checkLeases()
			i = -1
		}
	}
	if m.now >= m.leaderUntil {
		previous := m.leader
		m.leader, m.leaderUntil = m.randomNode(), m.now+time.Duration(m.random.Int64N(int64(6*time.Second)))
		if previous != nil && previous != m.leader && m.random.IntN(3) > 0 {
			m.handOver(previous, m.leader)
		}
	}
	if m.now >= m.renewAt {
		m.renewAt = m.now + 100*time.Millisecond
		for _, lessor := range m.nodes {
			m.lease(m.leader, lessor, nil)
			if m.random.IntN(20) == 0 {
				m.lease(m.randomNode(), lessor, nil)
			}
		}
	}
	if m.random.IntN(250) == 0 {
		m.start(m.randomNode())
	}
	// Quiet phases fill the buckets.
	if m.now%(9*time.Second) > 3*time.Second || m.random.IntN(20) == 0 {
		m.request(m.leader)
		if other := m.randomNode(); other.allocator.Fraction(PartitionOf("t"), m.now) > 0 {
			m.request(other)
		}
	}
}

// Allocators that follow each other in any order, with messages that are late and processes
// that pause and restart, must not exceed the limit together.
func TestSpentTokensStayWithinLimit(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &leaseModel{random: rand.New(rand.NewPCG(seed, 3)), limit: Limit{RatePerSecond: 40, Burst: 40}}
			if seed%3 > 0 {
				m.limit = Limit{RatePerSecond: float64(1 + m.random.IntN(300)), Burst: float64(m.random.IntN(300))}
			}
			for number := range 1 + seed%5 {
				n := &modelNode{name: identity.NodeName(fmt.Sprint("n", number))}
				m.nodes = append(m.nodes, n)
				m.start(n)
			}
			for m.now < 40*time.Second {
				m.step()
			}
			m.checkGrants()
			if m.failure != "" {
				t.Fatal(m.failure)
			}
			worst := m.worstWindow()
			if allowed := testPolicy.Allowed(m.limit); float64(worst) > allowed {
				t.Fatalf("%d tokens spent in a window, %.0f allowed", worst, allowed)
			}
			t.Logf("%.3f of the limit", float64(worst)/testPolicy.Allowed(m.limit))
			if m.granted == 0 {
				t.Fatal("nothing was granted")
			}
		})
	}
}
