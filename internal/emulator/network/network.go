// Package network is an in-memory network between the nodes of a simulated site. It
// transports the peer protocol and membership datagrams, and injects faults: latency
// between zones, one-way cuts, loss, duplicates, reordering, killed and frozen processes.
// All its time goes through package time, so that it runs in virtual time inside a
// testing/synctest bubble.
//
// Every message is encoded by its sender and decoded by its receiver, so nodes share no
// memory through it. Each directed pair of nodes has its own seeded random generator, so
// that traffic between other nodes does not change a pair's faults.
package network

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
)

// DetectionTime is how long a call lasts on a broken connection before it fails, as with
// the TCP transport's heartbeats.
const DetectionTime = 2 * time.Second

// Faults are the probabilities of random faults, from 0 to 1.
type Faults struct {
	// RequestLoss loses a call before the handler receives it.
	RequestLoss float64
	// AnswerLoss loses the final response after the handler ran.
	AnswerLoss float64
	// DatagramLoss drops a datagram.
	DatagramLoss float64
	// DatagramReorder delays a datagram by up to ReorderDelay.
	DatagramReorder float64
	ReorderDelay    time.Duration
	// Duplicate delivers a request to the handler a second time, up to DuplicateDelay
	// later. DuplicateKinds limits it to some kinds; nil means all.
	Duplicate      float64
	DuplicateDelay time.Duration
	DuplicateKinds map[peer.Kind]bool
}

type zonePair struct{ from, to identity.Zone }

type nodePair struct{ from, to identity.NodeName }

// Network connects endpoints. It is safe for concurrent use.
type Network struct {
	seed uint64

	// mutex guards all fields below.
	mutex      sync.Mutex
	byName     map[identity.NodeName]*Endpoint
	byPeer     map[netip.AddrPort]*Endpoint
	byProbe    map[netip.AddrPort]*Endpoint
	latencies  map[zonePair]time.Duration
	cutNodes   map[nodePair]bool
	cutZones   map[zonePair]bool
	faults     Faults
	generators map[nodePair]*rand.Rand
	// changed is closed and replaced whenever reachability changes.
	changed chan struct{}
}

// New returns a network without nodes, faults or latency.
func New(seed uint64) *Network {
	return &Network{
		seed:       seed,
		byName:     map[identity.NodeName]*Endpoint{},
		byPeer:     map[netip.AddrPort]*Endpoint{},
		byProbe:    map[netip.AddrPort]*Endpoint{},
		latencies:  map[zonePair]time.Duration{},
		cutNodes:   map[nodePair]bool{},
		cutZones:   map[zonePair]bool{},
		generators: map[nodePair]*rand.Rand{},
		changed:    make(chan struct{}),
	}
}

// Join attaches one incarnation of a node. An earlier incarnation with the same name is
// killed. The endpoint accepts no calls before its Serve.
func (n *Network) Join(node identity.Node, registry *peer.Registry) *Endpoint {
	endpoint := newEndpoint(n, node, registry)
	n.mutex.Lock()
	former := n.byName[node.Name]
	n.byName[node.Name] = endpoint
	n.byPeer[node.PeerAddress] = endpoint
	n.byProbe[node.ProbeAddress] = endpoint
	n.mutex.Unlock()
	if former != nil {
		former.Kill()
	}
	return endpoint
}

// Endpoint returns the current incarnation of the node called name, or nil.
func (n *Network) Endpoint(name identity.NodeName) *Endpoint {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.byName[name]
}

// Close kills every endpoint.
func (n *Network) Close() {
	n.mutex.Lock()
	endpoints := make([]*Endpoint, 0, len(n.byName))
	for _, endpoint := range n.byName {
		endpoints = append(endpoints, endpoint)
	}
	n.mutex.Unlock()
	for _, endpoint := range endpoints {
		endpoint.Kill()
	}
}

// SetLatency sets the one-way latency between two zones, in both directions;
// both may be the same zone.
func (n *Network) SetLatency(a, b identity.Zone, oneWay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.latencies[zonePair{a, b}] = oneWay
	n.latencies[zonePair{b, a}] = oneWay
}

// SetFaults replaces the probabilities of random faults.
func (n *Network) SetFaults(faults Faults) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.faults = faults
}

// Cut drops everything that node from sends to node to; the other direction stays open.
func (n *Network) Cut(from, to identity.NodeName) {
	n.change(func() { n.cutNodes[nodePair{from, to}] = true })
}

// Heal undoes Cut.
func (n *Network) Heal(from, to identity.NodeName) {
	n.change(func() { delete(n.cutNodes, nodePair{from, to}) })
}

// CutZone drops everything that nodes of zone from send to nodes of zone to.
func (n *Network) CutZone(from, to identity.Zone) {
	n.change(func() { n.cutZones[zonePair{from, to}] = true })
}

// HealZone undoes CutZone.
func (n *Network) HealZone(from, to identity.Zone) {
	n.change(func() { delete(n.cutZones, zonePair{from, to}) })
}

// HealAll undoes all cuts. Frozen nodes stay frozen.
func (n *Network) HealAll() {
	n.change(func() {
		clear(n.cutNodes)
		clear(n.cutZones)
	})
}

// Reaches reports whether messages from from reach to, so that other emulators can apply
// the same cuts.
func (n *Network) Reaches(from, to identity.Node) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.reaches(from, to)
}

// reaches is Reaches for callers that hold the lock. A node always reaches itself.
func (n *Network) reaches(from, to identity.Node) bool {
	if from.Name == to.Name {
		return true
	}
	return !n.cutNodes[nodePair{from.Name, to.Name}] && !n.cutZones[zonePair{from.Zone, to.Zone}]
}

// change alters reachability and wakes all calls in flight.
func (n *Network) change(alter func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	alter()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) watch() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.changed
}

func (n *Network) latency(from, to identity.Node) time.Duration {
	if from.Name == to.Name {
		return 0
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.latencies[zonePair{from.Zone, to.Zone}]
}

// drawnFaults are the random faults of one call or datagram.
type drawnFaults struct {
	loseRequest    bool
	loseAnswer     bool
	duplicate      bool
	duplicateAfter time.Duration
	dropDatagram   bool
	holdBack       time.Duration
}

// draw draws the random faults of one message between two nodes. It always consumes the
// same count of random numbers, so that changed probabilities do not shift later draws.
func (n *Network) draw(from, to identity.Node, kind peer.Kind) drawnFaults {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	pair := nodePair{from.Name, to.Name}
	generator, found := n.generators[pair]
	if !found {
		name := fmt.Sprintf("%s>%s", from.Name, to.Name)
		generator = rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(name)))
		n.generators[pair] = generator
	}
	faults := n.faults
	wanted := faults.DuplicateKinds == nil || faults.DuplicateKinds[kind]
	drawn := drawnFaults{
		loseRequest: generator.Float64() < faults.RequestLoss,
		loseAnswer:  generator.Float64() < faults.AnswerLoss,
		duplicate:   generator.Float64() < faults.Duplicate && wanted,
	}
	drawn.duplicateAfter = time.Duration(generator.Float64() * float64(faults.DuplicateDelay))
	drawn.dropDatagram = generator.Float64() < faults.DatagramLoss
	held := generator.Float64() < faults.DatagramReorder
	delay := time.Duration(generator.Float64() * float64(faults.ReorderDelay))
	if held {
		drawn.holdBack = delay
	}
	return drawn
}

func (n *Network) atPeer(address netip.AddrPort) *Endpoint {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.byPeer[address]
}

func (n *Network) atProbe(address netip.AddrPort) *Endpoint {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.byProbe[address]
}
