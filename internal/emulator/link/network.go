// Package link relays TCP connections and UDP datagrams between the processes of a
// laboratory site, so that a test can cut, delay and heal each direction of a link
// between two processes.
//
// A relay forwards to one target; a process whose link to the target may be cut connects
// to the relay's address instead. A cut stalls TCP bytes and drops datagrams without an
// error, as when a switch fails: connections stay open and continue once the link is
// healed.
package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Condition is the state of one direction of a link. The zero value is a healthy link
// without delay.
type Condition struct {
	// Cut stalls TCP bytes and drops datagrams.
	Cut bool
	// Refuse makes a cut reset TCP connections, new ones and established ones, instead of
	// stalling them.
	Refuse bool
	// Delay is added to all traffic.
	Delay time.Duration
	// Loss is the probability that a datagram is dropped, between 0 and 1.
	Loss float64
}

// Network contains the conditions of all links of a site. The test names the endpoints; a
// relay without a caller's name uses the caller's IP address.
type Network struct {
	// mutex guards everything below.
	mutex      sync.Mutex
	conditions map[direction]Condition
	random     *rand.Rand
	// changed is closed and replaced whenever a condition changes.
	changed chan struct{}
}

// direction identifies one direction of a link.
type direction struct{ from, to string }

func (d direction) reversed() direction { return direction{from: d.to, to: d.from} }

// NewNetwork returns a network of healthy links; seed determines datagram losses.
func NewNetwork(seed uint64) *Network {
	return &Network{
		conditions: make(map[direction]Condition),
		random:     rand.New(rand.NewPCG(seed, seed)),
		changed:    make(chan struct{}),
	}
}

// Set replaces the condition of the direction from → to.
func (n *Network) Set(from, to string, condition Condition) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conditions[direction{from, to}] = condition
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut cuts both directions between a and b.
func (n *Network) Cut(a, b string) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// CutOneWay cuts only the direction from → to and keeps its delay.
func (n *Network) CutOneWay(from, to string) {
	condition := n.condition(direction{from, to})
	condition.Cut = true
	n.Set(from, to, condition)
}

// Heal removes cut, delay and loss from both directions between a and b.
func (n *Network) Heal(a, b string) {
	n.Set(a, b, Condition{})
	n.Set(b, a, Condition{})
}

func (n *Network) condition(way direction) Condition {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.conditions[way]
}

// awaitOpen blocks until way is not cut. It returns false if ctx ended first.
func (n *Network) awaitOpen(ctx context.Context, way direction) bool {
	for {
		n.mutex.Lock()
		cut, changed := n.conditions[way].Cut, n.changed
		n.mutex.Unlock()
		if !cut {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// refused reports whether connections are refused in either direction.
func (n *Network) refused(way direction) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.refusedLocked(way)
}

func (n *Network) refusedLocked(way direction) bool {
	there, back := n.conditions[way], n.conditions[way.reversed()]
	return there.Cut && there.Refuse || back.Cut && back.Refuse
}

// awaitRefusal blocks until connections are refused; false if ctx ended first.
func (n *Network) awaitRefusal(ctx context.Context, way direction) bool {
	for {
		n.mutex.Lock()
		refused, changed := n.refusedLocked(way), n.changed
		n.mutex.Unlock()
		if refused {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// passes decides whether a datagram passes way, and after what delay.
func (n *Network) passes(way direction) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	condition := n.conditions[way]
	if condition.Cut || condition.Loss > 0 && n.random.Float64() < condition.Loss {
		return 0, false
	}
	return condition.Delay, true
}
