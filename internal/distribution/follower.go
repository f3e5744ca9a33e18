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
	// lookPause is the time between two looks whether this node still reads the store.
	lookPause = 200 * time.Millisecond
	// silentAge is how old the knowledge of a node that reads the store may grow before it
	// asks others, since the store may turn it alone away. Without any trouble it grows to
	// 2.7 s, since a read confirms what was known when it was sent, comes 0.7 s after the
	// one before and waits for a second. silentPause is the time between two such questions.
	silentAge   = 3 * time.Second
	silentPause = 500 * time.Millisecond
	// staleAge is how old the word of another node may be before the next one is asked. It
	// is above what three steps of holdTime make of a reader's.
	staleAge = 2500 * time.Millisecond
	// answerSlack is how much longer than asked for an answer may take, pageTimeout how
	// long a page may.
	answerSlack = 600 * time.Millisecond
	pageTimeout = 3 * time.Second
	// failedFor, busyFor and behindFor are how long a node is not asked that did not
	// answer, had no time, or knew less.
	failedFor = 2 * time.Second
	// startPause is the same at a node that knows nothing yet.
	startPause = 100 * time.Millisecond
	busyFor    = 300 * time.Millisecond
	behindFor  = time.Second
	// parentPause is after how long the first of the parents is tried again.
	parentPause = 5 * time.Second
	// emptyPause is the pause where nobody can be asked.
	emptyPause = 50 * time.Millisecond
	// busyPause is about the pause before the next node is asked after one that was busy.
	busyPause = 150 * time.Millisecond
)

// follower hears of one topic. Its own goroutine alone uses all but gate and heardFrom.
type follower struct {
	service *Service
	number  uint8
	feed    Subscription
	gate    *gate
	duty    ReadDecider

	// source is the node that is asked now, parentTried when the first parent was tried
	// last.
	source      netip.AddrPort
	parentTried time.Time
	// knew tells whether the topic was known when the source was chosen: who starts asks
	// anybody, and those that know something leave the seeds to them.
	knew bool
	// avoided holds until when nodes are not asked, hints are nodes that know the topic.
	avoided map[netip.AddrPort]time.Time
	hints   []netip.AddrPort
	// pages is the whole as far as it has been heard; nil where none is under way.
	pages *pages

	// mutex guards heardFrom, the node that told something last.
	mutex     sync.Mutex
	heardFrom netip.AddrPort
}

// pages is a whole topic that arrives page by page, from one node or several.
type pages struct {
	items    []logstore.Item
	position logstore.Offset
	// confirmed is what the first page confirms.
	confirmed time.Time
}

func newFollower(service *Service, number uint8, feed Subscription) *follower {
	return &follower{service: service, number: number, feed: feed, gate: newGate(), avoided: map[netip.AddrPort]time.Time{}}
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		situation := f.service.situation(f.feed.Topic)
		reads := f.duty.ShouldRead(situation)
		if f.gate.set(reads) {
			f.service.config.Logger.Info("topic read from the store", "topic", f.feed.Topic.name, "reads", reads,
				"tier", situation.Role.Tier, "members", situation.Members, "known", situation.Known, "age_ms", situation.Age.Milliseconds())
		}
		switch {
		case !reads:
			f.hear(ctx, situation)
		case situation.Known && situation.Age > silentAge:
			f.hearFromNeighbour(ctx)
		default:
			_ = wait.For(ctx, lookPause) // the loop looks at ctx
		}
	}
}

// hear asks one node.
func (f *follower) hear(ctx context.Context, situation ReadConditions) {
	source, found := f.pick(situation)
	if !found {
		_ = wait.For(ctx, emptyPause) // the caller looks at ctx
		return
	}
	f.ask(ctx, source, holdTime)
}

// hearFromNeighbour asks a neighbour for what it knows now.
func (f *follower) hearFromNeighbour(ctx context.Context) {
	if source, found := f.service.neighbour(); found {
		f.ask(ctx, source, 0)
	}
	_ = wait.For(ctx, silentPause) // the caller looks at ctx
}

// pick returns the node to ask: the one that was asked before as long as it tells enough,
// else the first that is not avoided.
func (f *follower) pick(situation ReadConditions) (netip.AddrPort, bool) {
	now := time.Now()
	parents := situation.Role.Parents
	settled := situation.Known == f.knew && now.Sub(f.parentTried) < parentPause
	if f.usable(f.source, now) && (settled || len(parents) > 0 && parents[0] == f.source) {
		return f.source, true
	}
	f.knew = situation.Known
	f.parentTried = now
	for _, candidate := range f.candidates(situation) {
		if f.usable(candidate, now) {
			f.source = candidate
			return candidate, true
		}
	}
	return netip.AddrPort{}, false
}

func (f *follower) usable(node netip.AddrPort, now time.Time) bool {
	return node.IsValid() && node != f.service.config.Own && !now.Before(f.avoided[node])
}

// candidates returns whom to ask, the best first: nodes that are known to know the topic
// where this one does not, its parents, a neighbour, and the seeds.
func (f *follower) candidates(situation ReadConditions) []netip.AddrPort {
	var candidates []netip.AddrPort
	if !situation.Known {
		candidates = append(candidates, f.hints...)
		candidates = append(candidates, f.service.config.Seeds...)
	}
	candidates = append(candidates, situation.Role.Parents...)
	if situation.Known {
		candidates = append(candidates, f.hints...)
	}
	if neighbour, found := f.service.neighbour(); found {
		candidates = append(candidates, neighbour)
	}
	return append(candidates, f.service.config.Seeds...)
}

// ask asks a node and takes what it tells.
func (f *follower) ask(ctx context.Context, source netip.AddrPort, hold time.Duration) {
	question := &ask{Topic: f.number, From: f.service.config.Own, Hold: hold}
	question.Position, question.Known = f.feed.Topic.Position()
	timeout := hold + answerSlack
	if f.pages != nil {
		question.Paging, timeout = true, pageTimeout
		if last := len(f.pages.items) - 1; last >= 0 {
			question.After = f.pages.items[last].Key
		}
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := time.Now()
	answer, err := f.service.config.Peers.Call(call, source, question, nil)
	told, _ := answer.(*tell)
	if err != nil || told == nil {
		f.service.metrics.heard.WithLabelValues(f.feed.Topic.name, "failed").Inc()
		f.avoid(source, f.pauseAfterFailure(question.Known))
		_ = wait.For(ctx, emptyPause) // the caller looks at ctx
		return
	}
	f.service.metrics.heard.WithLabelValues(f.feed.Topic.name, told.State.String()).Inc()
	f.take(ctx, source, asked, question, told)
}

// pauseAfterFailure is how long a node is not asked that did not answer. Who knows nothing yet
// asks again soon: the seeds may start a moment later.
func (f *follower) pauseAfterFailure(known bool) time.Duration {
	if known {
		return failedFor
	}
	return startPause
}

func (f *follower) avoid(node netip.AddrPort, pause time.Duration) {
	now := time.Now()
	for other, until := range f.avoided {
		if now.After(until) {
			delete(f.avoided, other)
		}
	}
	f.avoided[node] = now.Add(pause)
}

// take acts on an answer.
func (f *follower) take(ctx context.Context, source netip.AddrPort, asked time.Time, question *ask, told *tell) {
	confirmed := time.Time{}
	if told.Aged {
		confirmed = asked.Add(told.Held - told.Age)
	}
	switch told.State {
	case statePage:
		f.takePage(source, question, told, confirmed)
	case stateChanges:
		f.takeChanges(source, question, told, confirmed)
	case stateGap:
		f.pages = &pages{}
	case stateBehind:
		f.takeBehind(source, told)
	case stateBusy:
		f.hints = shuffled(told.Holders)
		f.avoid(source, busyFor)
		_ = wait.For(ctx, busyPause/2+rand.N(busyPause)) // the caller looks at ctx
	default:
		f.avoid(source, busyFor)
	}
}

func shuffled(nodes []netip.AddrPort) []netip.AddrPort {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

func (f *follower) takePage(source netip.AddrPort, question *ask, told *tell, confirmed time.Time) {
	if f.pages == nil || !question.Paging {
		return
	}
	if len(f.pages.items) == 0 {
		f.pages.position, f.pages.confirmed = told.Position, confirmed
	}
	// Where the pages come from several nodes, changes are asked for from the lowest of
	// their positions on.
	f.pages.position = min(f.pages.position, told.Position)
	f.pages.items = append(f.pages.items, told.Items...)
	if told.More && len(told.Items) > 0 {
		return
	}
	whole := f.pages
	f.pages = nil
	position, known := f.feed.Topic.Position()
	if known && whole.position < position && !whole.confirmed.After(f.feed.Topic.Confirmed()) {
		f.avoid(source, behindFor) // it is behind, and its word is no fresher
		return
	}
	f.feed.Replace(whole.items, whole.position)
	f.confirm(source, whole.confirmed)
	f.service.config.Logger.Info("topic heard whole", "topic", f.feed.Topic.name, "from", source,
		"position", whole.position, "items", len(whole.items))
}

func (f *follower) takeChanges(source netip.AddrPort, question *ask, told *tell, confirmed time.Time) {
	f.pages = nil
	if told.Position > question.Position || len(told.Items) > 0 {
		f.feed.Apply(told.Items, told.Position)
	}
	f.confirm(source, confirmed)
	if age, known := f.feed.Topic.Age(time.Now()); !known || age > staleAge {
		f.avoid(source, behindFor)
	}
}

// takeBehind leaves a node that knows less, unless its word is the fresher one: then the
// store itself has gone back.
func (f *follower) takeBehind(source netip.AddrPort, told *tell) {
	age, known := f.feed.Topic.Age(time.Now())
	if told.Aged && known && age > staleAge && told.Age < age/2 {
		f.pages = &pages{}
		return
	}
	f.avoid(source, behindFor)
}

func (f *follower) confirm(source netip.AddrPort, at time.Time) {
	if !at.IsZero() {
		f.feed.Confirm(at)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.heardFrom = source
}

// from returns the node that told something last; the zero address where the store did.
func (f *follower) from() netip.AddrPort {
	if f.gate.open() {
		return netip.AddrPort{}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.heardFrom
}
