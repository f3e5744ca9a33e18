package distribution

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// checkInterval is the time between two decisions while this node reads the store.
	checkInterval = 200 * time.Millisecond
	// staleReadAge is the age of the topic above which a node that reads the store also
	// queries peers, since the store may reject only this node. Without failures, the age
	// stays below 2.7 s: reads are 0.7 s apart and wait for up to a second. staleReadPause
	// is the time between two such queries.
	staleReadAge   = 3 * time.Second
	staleReadPause = 500 * time.Millisecond
	// staleAge is the age of a topic above which another source is tried. It exceeds what
	// three hops of maxWait add to a reader's topic.
	staleAge = 2500 * time.Millisecond
	// responseSlack is added to the requested wait to get the timeout of a request;
	// pageTimeout is the timeout for a page.
	responseSlack = 600 * time.Millisecond
	pageTimeout   = 3 * time.Second
	// failedRetryAfter, busyRetryAfter and behindRetryAfter are how long a node is avoided
	// that failed, was busy, or was behind.
	failedRetryAfter = 2 * time.Second
	// startRetryAfter replaces failedRetryAfter at a node that does not have the topic yet.
	startRetryAfter  = 100 * time.Millisecond
	busyRetryAfter   = 300 * time.Millisecond
	behindRetryAfter = time.Second
	// parentRetryInterval is the time after which the preferred parent is tried again.
	parentRetryInterval = 5 * time.Second
	// noSourcePause is the pause if no source is available.
	noSourcePause = 50 * time.Millisecond
	// busyPause is the mean pause before the next source is tried after a busy one.
	busyPause = 150 * time.Millisecond
)

// puller pulls one topic from peers. Only its own goroutine uses the fields, except gate
// and lastSource.
type puller struct {
	service      *Service
	index        uint8
	subscription Subscription
	gate         *readGate
	decider      ReadDecider

	// source is the node that is queried now; parentTried is when the preferred parent was
	// last tried.
	source      netip.AddrPort
	parentTried time.Time
	// knownAtPick records whether the topic was known when the source was chosen. A node
	// without the topic may pull from any node; once it has the topic, it leaves the seeds
	// to nodes that start.
	knownAtPick bool
	// avoided maps nodes to the time until which they are not queried. hints are nodes that
	// have the topic.
	avoided map[netip.AddrPort]time.Time
	hints   []netip.AddrPort
	// pages is the part of a snapshot received so far; nil if none is in progress.
	pages *pages

	// mutex guards lastSource, the node that sent the last update.
	mutex      sync.Mutex
	lastSource netip.AddrPort
}

// pages is a snapshot that arrives in pages, possibly from several nodes.
type pages struct {
	items    []logstore.Item
	position logstore.Offset
	// confirmed is the confirmation of the first page.
	confirmed time.Time
}

func newPuller(service *Service, index uint8, subscription Subscription) *puller {
	return &puller{service: service, index: index, subscription: subscription, gate: newReadGate(), avoided: map[netip.AddrPort]time.Time{}}
}

func (p *puller) run(ctx context.Context) {
	for ctx.Err() == nil {
		conditions := p.service.conditions(p.subscription.Topic)
		reads := p.decider.ShouldRead(conditions)
		if p.gate.set(reads) {
			p.service.config.Logger.Info("reading of topic from the store changed", "topic", p.subscription.Topic.name, "reads", reads,
				"tier", conditions.Role.Tier, "members", conditions.Members, "known", conditions.Known, "age_ms", conditions.Age.Milliseconds())
		}
		switch {
		case !reads:
			p.pull(ctx, conditions)
		case conditions.Known && conditions.Age > staleReadAge:
			p.pullFromNeighbour(ctx)
		default:
			_ = wait.For(ctx, checkInterval) // the loop checks ctx
		}
	}
}

// pull requests updates from one source.
func (p *puller) pull(ctx context.Context, conditions ReadConditions) {
	source, found := p.pick(conditions)
	if !found {
		_ = wait.For(ctx, noSourcePause) // the caller checks ctx
		return
	}
	p.request(ctx, source, maxWait)
}

// pullFromNeighbour requests a neighbour's updates without waiting for a change.
func (p *puller) pullFromNeighbour(ctx context.Context) {
	if source, found := p.service.neighbour(); found {
		p.request(ctx, source, 0)
	}
	_ = wait.For(ctx, staleReadPause) // the caller checks ctx
}

// pick returns the node to query: the current source as long as it is usable and current,
// else the first candidate that is not avoided.
func (p *puller) pick(conditions ReadConditions) (netip.AddrPort, bool) {
	now := time.Now()
	parents := conditions.Role.Parents
	settled := conditions.Known == p.knownAtPick && now.Sub(p.parentTried) < parentRetryInterval
	if p.usable(p.source, now) && (settled || len(parents) > 0 && parents[0] == p.source) {
		return p.source, true
	}
	p.knownAtPick = conditions.Known
	p.parentTried = now
	for _, candidate := range p.candidates(conditions) {
		if p.usable(candidate, now) {
			p.source = candidate
			return candidate, true
		}
	}
	return netip.AddrPort{}, false
}

func (p *puller) usable(node netip.AddrPort, now time.Time) bool {
	return node.IsValid() && node != p.service.config.Own && !now.Before(p.avoided[node])
}

// candidates returns the possible sources in order of preference: nodes known to have the
// topic if this one does not, the parents, a neighbour, and the seeds.
func (p *puller) candidates(conditions ReadConditions) []netip.AddrPort {
	var candidates []netip.AddrPort
	if !conditions.Known {
		candidates = append(candidates, p.hints...)
		candidates = append(candidates, p.service.config.Seeds...)
	}
	candidates = append(candidates, conditions.Role.Parents...)
	if conditions.Known {
		candidates = append(candidates, p.hints...)
	}
	if neighbour, found := p.service.neighbour(); found {
		candidates = append(candidates, neighbour)
	}
	return append(candidates, p.service.config.Seeds...)
}

// request queries a node and applies its response.
func (p *puller) request(ctx context.Context, source netip.AddrPort, maxWait time.Duration) {
	request := &pullRequest{Topic: p.index, From: p.service.config.Own, MaxWait: maxWait}
	request.Position, request.Known = p.subscription.Topic.Position()
	timeout := maxWait + responseSlack
	if p.pages != nil {
		request.Paging, timeout = true, pageTimeout
		if last := len(p.pages.items) - 1; last >= 0 {
			request.After = p.pages.items[last].Key
		}
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	received, err := p.service.config.Peers.Call(call, source, request, nil)
	response, _ := received.(*pullResponse)
	if err != nil || response == nil {
		p.service.metrics.requests.WithLabelValues(p.subscription.Topic.name, "failed").Inc()
		p.avoid(source, p.failureRetryAfter(request.Known))
		_ = wait.For(ctx, noSourcePause) // the caller checks ctx
		return
	}
	p.service.metrics.requests.WithLabelValues(p.subscription.Topic.name, response.State.String()).Inc()
	p.handle(ctx, source, sent, request, response)
}

// failureRetryAfter returns how long a node that failed to respond is avoided. A node
// without the topic retries soon, since the seeds may start a moment later.
func (p *puller) failureRetryAfter(known bool) time.Duration {
	if known {
		return failedRetryAfter
	}
	return startRetryAfter
}

func (p *puller) avoid(node netip.AddrPort, pause time.Duration) {
	now := time.Now()
	for other, until := range p.avoided {
		if now.After(until) {
			delete(p.avoided, other)
		}
	}
	p.avoided[node] = now.Add(pause)
}

// handle applies a response.
func (p *puller) handle(ctx context.Context, source netip.AddrPort, sent time.Time, request *pullRequest, response *pullResponse) {
	confirmed := time.Time{}
	if response.AgeKnown {
		// This node's clock may have stood still meanwhile.
		confirmed = sent.Add(min(response.Waited, time.Since(sent)) - response.Age)
	}
	switch response.State {
	case statePage:
		p.handlePage(source, request, response, confirmed)
	case stateChanges:
		p.handleChanges(source, request, response, confirmed)
	case stateGap:
		p.pages = &pages{}
	case stateBehind:
		p.handleBehind(source, response)
	case stateBusy:
		p.hints = shuffled(response.Alternatives)
		p.avoid(source, busyRetryAfter)
		_ = wait.For(ctx, busyPause/2+rand.N(busyPause)) // the caller checks ctx
	default:
		p.avoid(source, busyRetryAfter)
	}
}

func shuffled(nodes []netip.AddrPort) []netip.AddrPort {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

func (p *puller) handlePage(source netip.AddrPort, request *pullRequest, response *pullResponse, confirmed time.Time) {
	if p.pages == nil || !request.Paging {
		return
	}
	if len(p.pages.items) == 0 {
		p.pages.position, p.pages.confirmed = response.Position, confirmed
	}
	// Pages may come from several nodes: changes are then requested from the lowest of
	// their positions.
	p.pages.position = min(p.pages.position, response.Position)
	p.pages.items = append(p.pages.items, response.Items...)
	if response.More && len(response.Items) > 0 {
		return
	}
	snapshot := p.pages
	p.pages = nil
	position, known := p.subscription.Topic.Position()
	if known && snapshot.position < position && !snapshot.confirmed.After(p.subscription.Topic.Confirmed()) {
		p.avoid(source, behindRetryAfter) // the source is behind, and not fresher
		return
	}
	p.subscription.Replace(snapshot.items, snapshot.position)
	p.confirm(source, snapshot.confirmed)
	p.service.config.Logger.Info("topic snapshot received", "topic", p.subscription.Topic.name, "from", source,
		"position", snapshot.position, "items", len(snapshot.items))
}

func (p *puller) handleChanges(source netip.AddrPort, request *pullRequest, response *pullResponse, confirmed time.Time) {
	p.pages = nil
	if response.Position > request.Position || len(response.Items) > 0 {
		p.subscription.Apply(response.Items, response.Position)
	}
	p.confirm(source, confirmed)
	if age, known := p.subscription.Topic.Age(time.Now()); !known || age > staleAge {
		p.avoid(source, behindRetryAfter)
	}
}

// handleBehind avoids a node that is behind, unless its topic is much fresher: then the
// store itself has gone back to an earlier position.
func (p *puller) handleBehind(source netip.AddrPort, response *pullResponse) {
	age, known := p.subscription.Topic.Age(time.Now())
	if response.AgeKnown && known && age > staleAge && response.Age < age/2 {
		p.pages = &pages{}
		return
	}
	p.avoid(source, behindRetryAfter)
}

func (p *puller) confirm(source netip.AddrPort, at time.Time) {
	if !at.IsZero() {
		p.subscription.Confirm(at)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastSource = source
}

// from returns the node that sent the last update; the zero address if this node reads the
// store.
func (p *puller) from() netip.AddrPort {
	if p.gate.open() {
		return netip.AddrPort{}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastSource
}
