package tables

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/wire"
)

// The kinds of messages of this package.
const (
	kindPull = peer.KindRangeTable + 1 + iota
	kindPullResponse
)

// pull requests the version log of a peer that has applied records from Next on.
// Node is the sender.
type pull struct {
	Node identity.NodeName
	Next siteservices.Offset
}

// Kind implements peer.Message.
func (*pull) Kind() peer.Kind { return kindPull }

// Encode implements peer.Message.
func (m *pull) Encode(e *wire.Encoder) {
	e.String(string(m.Node))
	e.Uint64(uint64(m.Next))
}

// Decode implements peer.Message.
func (m *pull) Decode(d *wire.Decoder) {
	m.Node, m.Next = identity.NodeName(d.String()), siteservices.Offset(d.Uint64())
}

// pullResponse is the response to a pull. Ledger is nil unless the responding node
// has applied more records than the sender.
type pullResponse struct{ Ledger *table.VersionLog }

// Kind implements peer.Message.
func (*pullResponse) Kind() peer.Kind { return kindPullResponse }

// Encode implements peer.Message.
func (m *pullResponse) Encode(e *wire.Encoder) {
	e.Bool(m.Ledger != nil)
	if m.Ledger != nil {
		m.Ledger.Encode(e)
	}
}

// Decode implements peer.Message.
func (m *pullResponse) Decode(d *wire.Decoder) {
	if !d.Bool() {
		return
	}
	versions, err := table.DecodeVersionLog(d)
	if err != nil {
		d.Fail(err)
		return
	}
	m.Ledger = versions
}

const (
	// newsFanout is the number of peers that a node pulls from after a change, which
	// also informs them that it is ahead. Each of them does the same, so that a new
	// version spreads in a logarithmic number of steps.
	newsFanout = 3
	// initialFanout is the number of random peers that a new node pulls from.
	initialFanout = 8
	// randomPullRounds is the number of rounds between two pulls from a random peer,
	// which detect versions that membership has not announced yet.
	randomPullRounds = 4
	// pullTimeout bounds each pull.
	pullTimeout = time.Second
)

// Register adds this package's messages and handler to the node's registry.
func (c *Controller) Register(registry *peer.Registry) {
	registry.Add(func() peer.Message { return &pull{} }, func() peer.Message { return &pullResponse{} })
	registry.Handle(kindPull, peer.HandlerFunc(c.handlePull))
}

func (c *Controller) handlePull(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	message, ok := request.(*pull)
	if !ok {
		return nil, fmt.Errorf("tables: unexpected message of kind %d", request.Kind())
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case message.Next < c.versions.Next():
		return &pullResponse{Ledger: c.versions.Clone()}, nil
	case message.Next > c.versions.Next():
		c.ahead[message.Node] = true
		c.wake()
	}
	return &pullResponse{}, nil
}

// exchange pulls from peers until ctx ends: immediately when the version log has
// changed or a peer is known to be ahead, otherwise at intervals.
func (c *Controller) exchange(ctx context.Context) error {
	seen := c.next()
	for round := 0; ctx.Err() == nil; round++ {
		next := c.next()
		targets := c.targets(round, next > seen)
		seen = next
		c.pullAll(ctx, targets)
		select {
		case <-c.advanced:
		case <-time.After(c.config.PeerInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

func (c *Controller) next() siteservices.Offset {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.versions.Next()
}

// targets chooses the peers to pull from in one round. news is true if this node's
// version log has advanced since the last round.
func (c *Controller) targets(round int, news bool) []membership.Member {
	others := lo.Filter(c.config.Board.Members.Load().Members, func(m membership.Member, _ int) bool {
		return m.Node.Name != c.config.Self
	})
	c.mutex.Lock()
	version, ahead := c.versions.Version(), c.ahead
	c.ahead = map[identity.NodeName]bool{}
	fresh := c.config.Board.Table.Load() == nil
	c.mutex.Unlock()
	known := lo.Filter(others, func(m membership.Member, _ int) bool {
		return ahead[m.Node.Name] || table.Version(m.TableVersion) > version
	})
	switch {
	case fresh:
		return append(c.sample(known, newsFanout), c.sample(others, initialFanout)...)
	case len(known) > 0:
		return c.sample(known, 1)
	case news:
		return c.sample(others, newsFanout)
	case round%randomPullRounds == 0:
		return c.sample(others, 1)
	}
	return nil
}

// sample returns up to count random members.
func (c *Controller) sample(members []membership.Member, count int) []membership.Member {
	drawn := append([]membership.Member(nil), members...)
	for i := range min(count, len(drawn)) {
		j := i + int(c.config.Random()*float64(len(drawn)-i))
		drawn[i], drawn[j] = drawn[j], drawn[i]
	}
	return drawn[:min(count, len(drawn))]
}

// pullAll pulls from all targets concurrently and waits for them.
func (c *Controller) pullAll(ctx context.Context, targets []membership.Member) {
	timedOut := time.Since(c.started) >= logStartTimeout
	var group sync.WaitGroup
	var mutex sync.Mutex
	answered := false
	for _, target := range targets {
		group.Go(func() {
			if c.pullFrom(ctx, target) {
				mutex.Lock()
				defer mutex.Unlock()
				answered = true
			}
		})
	}
	group.Wait()
	if !answered || !timedOut {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peersQueried = true
	c.putInForce()
}

// pullFrom pulls from one peer and reports whether it responded.
func (c *Controller) pullFrom(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &pull{Node: c.config.Self, Next: c.next()}
	answer, err := c.config.Peers.Call(ctx, target.Node.PeerAddress, request, nil)
	if err != nil {
		c.config.Logger.Debug("pull of table versions failed", "peer", target.Node.Name, "error", err)
		return false
	}
	received, ok := answer.(*pullResponse)
	if !ok {
		return false
	}
	if received.Ledger != nil {
		c.adopt(received.Ledger, target.Node.Name)
	}
	return true
}
