// Package link relays TCP connections and UDP datagrams between processes of a
// laboratory site, so that a test can cut, delay and heal the link between any
// two of them, each direction by itself.
//
// A relay stands in front of one target; whoever is to be cut off from the
// target is given the relay's address. A cut holds TCP bytes back and drops
// datagrams, and nobody is told, as when a switch fails: connections stay open
// and go on once the link is healed.
package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Condition is the state of one direction of a link. The zero value is a
// healthy link without delay.
type Condition struct {
	// Cut holds back TCP bytes and drops datagrams.
	Cut bool
	// Delay is added to everything that passes.
	Delay time.Duration
	// Loss is the chance that a datagram is dropped, between 0 and 1.
	Loss float64
}

// Network holds the conditions of all links of a site. Endpoints are named by
// the test; a relay that names no caller takes the caller's IP number.
type Network struct {
	// mutex guards everything below.
	mutex      sync.Mutex
	conditions map[direction]Condition
	random     *rand.Rand
	// changed is closed and replaced whenever a condition changes.
	changed chan struct{}
}

// direction is one way of a link.
type direction struct{ from, to string }

func (d direction) reversed() direction { return direction{from: d.to, to: d.from} }

// NewNetwork returns a network of healthy links; datagram losses are drawn from seed.
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

// CutOneWay cuts the direction from → to alone; its delay is kept.
func (n *Network) CutOneWay(from, to string) {
	condition := n.condition(direction{from, to})
	condition.Cut = true
	n.Set(from, to, condition)
}

// Heal makes both directions between a and b healthy and without delay.
func (n *Network) Heal(a, b string) {
	n.Set(a, b, Condition{})
	n.Set(b, a, Condition{})
}

func (n *Network) condition(way direction) Condition {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.conditions[way]
}

// awaitOpen waits until way is not cut; it returns false if ctx ended first.
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

// passes decides whether a datagram gets through way, and after what delay.
func (n *Network) passes(way direction) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	condition := n.conditions[way]
	if condition.Cut || condition.Loss > 0 && n.random.Float64() < condition.Loss {
		return 0, false
	}
	return condition.Delay, true
}
