package shares

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// published is a table in the simulated store.
type published struct {
	table Table
	at    time.Duration
}

// reader is a node that reads the table now and then.
type reader struct {
	name    Holder
	history History
	// cutUntil is the time until which the node cannot read the store.
	cutUntil time.Duration
	// inUse are the fractions that the node has read, until they are no longer in use.
	inUse []fractionInUse
}

type fractionInUse struct {
	fraction float64
	until    time.Duration
}

// historyModel is a store with tables, and nodes that read them late, restart, and publish
// new ones.
type historyModel struct {
	random *rand.Rand
	now    time.Duration
	store  []published
	nodes  []*reader
}

func (m *historyModel) duration(maximum time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(maximum)))
}

// read lets a node read the table as of a recent time. It may miss all but the newest one.
func (m *historyModel) read(n *reader) {
	if m.now < n.cutUntil {
		return
	}
	sentAt := max(m.now-m.duration(time.Second), 0)
	all := m.random.IntN(2) == 0
	for i, entry := range m.store {
		if entry.at <= m.now && (all || i == len(m.store)-1) {
			n.history.Observe(entry.table, m.now)
		}
	}
	n.history.Confirm(sentAt)
}

// publish lets a node publish a table. The store accepts it only if the node knows the newest
// one.
func (m *historyModel) publish(n *reader) {
	var holders []Holder
	for _, other := range m.nodes {
		if m.random.IntN(2) == 0 {
			holders = append(holders, other.name)
		}
	}
	if len(holders) == 0 {
		return
	}
	table := n.history.Next(holders, m.now)
	m.now += m.duration(3 * time.Second) // the append may take effect late
	if table.Version == m.store[len(m.store)-1].table.Version+1 {
		m.store = append(m.store, published{table: table, at: m.now})
	}
}

// use lets a node use its current fraction, or pass it on.
func (m *historyModel) use(n *reader) {
	if fraction := n.history.Fraction(n.name, m.now); fraction > 0 {
		n.inUse = append(n.inUse, fractionInUse{fraction: fraction, until: m.now + UseTTL})
	}
}

// sum returns the sum of the largest fractions in use of each node.
func (m *historyModel) sum() float64 {
	total := 0.0
	for _, n := range m.nodes {
		n.inUse = slices.DeleteFunc(n.inUse, func(u fractionInUse) bool { return m.now > u.until })
		largest := 0.0
		for _, u := range n.inUse {
			largest = max(largest, u.fraction)
		}
		total += largest
	}
	return total
}

// Whatever the nodes know of the newest table, the fractions in use at a time must not add up
// to more than one.
func TestFractionsInUseNeverExceedWhole(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &historyModel{random: rand.New(rand.NewPCG(seed, 5))}
			for number := range 2 + seed%6 {
				m.nodes = append(m.nodes, &reader{name: Holder(fmt.Sprint("n", number))})
			}
			m.store = []published{{table: Table{Version: 1, Holders: []Holder{"n0", "n1"}}}}
			largest := 0.0
			for m.now < 10*time.Minute {
				m.now += m.duration(time.Second)
				n := m.nodes[m.random.IntN(len(m.nodes))]
				switch m.random.IntN(14) {
				case 0:
					n.history = History{}
				case 12:
					n.cutUntil = m.now + m.duration(time.Minute)
				case 1:
					m.publish(n)
				case 2, 3, 4, 5:
					m.read(n)
				default:
					m.use(n)
				}
				sum := m.sum()
				if largest = max(largest, sum); sum > 1+1e-9 {
					t.Fatalf("at %v: the fractions in use add up to %.3f", m.now, sum)
				}
			}
			if largest == 0 {
				t.Fatal("no fraction was used")
			}
		})
	}
}

func TestSharesStayInUseWhileTableDoesNotChange(t *testing.T) {
	is := is.New(t)
	var h History
	is.Equal(h.Fraction("a", 0), 0.0) // nothing is known
	h.Confirm(0)
	is.Equal(h.Fraction("a", 0), 0.0) // there is no table
	h.Observe(Table{Version: 1, Holders: []Holder{"a", "b"}}, time.Second)
	is.Equal(h.Fraction("a", time.Second), 0.0) // not known to be the newest
	h.Confirm(time.Second)
	is.Equal(h.Fraction("a", time.Second+MaxAge), 0.5)
	is.Equal(h.Fraction("c", time.Second), 0.0)
	is.Equal(h.Fraction("a", time.Second+MaxAge+1), 0.0) // it may have been superseded
	h.Confirm(time.Minute)
	is.Equal(h.Fraction("a", time.Minute), 0.5)
}

// A node that is added must not use its share while others may use theirs of the table
// before.
func TestAddedHolderWaitsUntilEarlierTableIsOutOfUse(t *testing.T) {
	is := is.New(t)
	var h History
	before := Table{Version: 1, Holders: []Holder{"a", "b"}}
	h.Observe(before, 0)
	table := h.Next([]Holder{"b", "c", "a", "d"}, time.Second)
	is.Equal(table.Holders, []Holder{"a", "b", "c", "d"})
	is.Equal(table.Recent, [][]Holder{before.Holders})
	for _, own := range []*History{&h, {}} { // one has seen the table before, the other has just started
		own.Observe(table, time.Second)
		is.True(own.Changing(time.Second))
		own.Confirm(time.Second)
		is.Equal(own.Fraction("a", time.Second), 0.25)
		is.Equal(own.Fraction("c", time.Second), 0.0)
		after := time.Second + Retention + 1
		own.Confirm(after)
		is.Equal(own.Fraction("c", after), 0.25)
		is.True(!own.Changing(after))
	}
}
