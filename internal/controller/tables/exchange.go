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
	kindHandOver
)

// pull tells how far its sender has folded the stream and asks for more.
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

// handOver answers a pull. Ledger is nil unless the answering node has folded more.
type handOver struct{ Ledger *table.VersionLog }

// Kind implements peer.Message.
func (*handOver) Kind() peer.Kind { return kindHandOver }

// Encode implements peer.Message.
func (m *handOver) Encode(e *wire.Encoder) {
	e.Bool(m.Ledger != nil)
	if m.Ledger != nil {
		m.Ledger.Encode(e)
	}
}

// Decode implements peer.Message.
func (m *handOver) Decode(d *wire.Decoder) {
	if !d.Bool() {
		return
	}
	ledger, err := table.DecodeVersionLog(d)
	if err != nil {
		d.Fail(err)
		return
	}
	m.Ledger = ledger
}

const (
	// spreadCount is the number of peers that a node tells of a new version at
	// once; each of them does the same, so that it reaches all in a few steps.
	spreadCount = 3
	// firstCount is the number of peers that a fresh node asks.
	firstCount = 8
	// quietRounds is the number of intervals between two pulls from a peer by
	// chance, for what membership's updates did not tell yet.
	quietRounds = 4
	// pullTimeout bounds one pull.
	pullTimeout = time.Second
)

// Register adds this package's messages and handler to the node's registry.
func (c *Controller) Register(registry *peer.Registry) {
	registry.Add(func() peer.Message { return &pull{} }, func() peer.Message { return &handOver{} })
	registry.Handle(kindPull, peer.HandlerFunc(c.handlePull))
}

func (c *Controller) handlePull(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*pull)
	if !ok {
		return nil, fmt.Errorf("tables: unexpected message of kind %d", request.Kind())
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case asked.Next < c.ledger.Next():
		return &handOver{Ledger: c.ledger.Clone()}, nil
	case asked.Next > c.ledger.Next():
		c.ahead[asked.Node] = true
		c.wake()
	}
	return &handOver{}, nil
}

// exchange pulls from peers until ctx ends: at once when something changed
// here or a peer told that it is ahead, else at intervals.
func (c *Controller) exchange(ctx context.Context) error {
	told := c.next()
	for round := 0; ctx.Err() == nil; round++ {
		next := c.next()
		targets := c.targets(round, next > told)
		told = next
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
	return c.ledger.Next()
}

// targets chooses the peers of one round.
func (c *Controller) targets(round int, news bool) []membership.Member {
	others := lo.Filter(c.config.Board.Members.Load().Members, func(m membership.Member, _ int) bool {
		return m.Node.Name != c.config.Self
	})
	c.mutex.Lock()
	version, ahead := c.ledger.Version(), c.ahead
	c.ahead = map[identity.NodeName]bool{}
	fresh := c.config.Board.Table.Load() == nil
	c.mutex.Unlock()
	known := lo.Filter(others, func(m membership.Member, _ int) bool {
		return ahead[m.Node.Name] || table.Version(m.TableVersion) > version
	})
	switch {
	case fresh:
		return append(c.sample(known, spreadCount), c.sample(others, firstCount)...)
	case len(known) > 0:
		return c.sample(known, 1)
	case news:
		return c.sample(others, spreadCount)
	case round%quietRounds == 0:
		return c.sample(others, 1)
	}
	return nil
}

// sample draws up to count members.
func (c *Controller) sample(members []membership.Member, count int) []membership.Member {
	drawn := append([]membership.Member(nil), members...)
	for i := range min(count, len(drawn)) {
		j := i + int(c.config.Random()*float64(len(drawn)-i))
		drawn[i], drawn[j] = drawn[j], drawn[i]
	}
	return drawn[:min(count, len(drawn))]
}

// pullAll pulls from all targets side by side and waits for them.
func (c *Controller) pullAll(ctx context.Context, targets []membership.Member) {
	patient := time.Since(c.started) >= logPatience
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
	if !answered || !patient {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peersAsked = true
	c.enforce()
}

// pullFrom pulls from one peer and tells whether it answered.
func (c *Controller) pullFrom(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &pull{Node: c.config.Self, Next: c.next()}
	answer, err := c.config.Peers.Call(ctx, target.Node.PeerAddress, request, nil)
	if err != nil {
		c.config.Logger.Debug("table not pulled", "peer", target.Node.Name, "error", err)
		return false
	}
	handed, ok := answer.(*handOver)
	if !ok {
		return false
	}
	if handed.Ledger != nil {
		c.takeOver(handed.Ledger, target.Node.Name)
	}
	return true
}
