package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling"
)

const (
	// maximumAttempts is how often one call is tried before it is refused.
	maximumAttempts = 5
	// retryPause is the mean pause before another attempt; it is drawn with jitter.
	retryPause = 100 * time.Millisecond
	// rateGain is the weight of a new sample in the observed rates.
	rateGain = 0.1
	// prefillSampleTokens is the least uncached prompt that tells a prefill rate.
	prefillSampleTokens = 200
	// connectionFailure is how long a node takes to notice that an engine it
	// sends to is not there.
	connectionFailure = 5 * time.Millisecond
)

// node is one stepseamd: it owns some programs and decides for their calls with
// what it knows.
type node struct {
	run    *run
	index  int
	zone   int
	random *rand.Rand
	turn   uint64
	// view is the snapshot handed to policies, kept to be filled again.
	view []scheduling.Backend
	// books are per engine.
	books []book
	// branches is what the node believes of its branches' prefixes.
	branches map[model.Key]*branch
	// pauses are the histories per kind of branch.
	pauses *scheduling.PauseHistories
}

// book is what a node keeps about one engine.
type book struct {
	inFlight []dispatch
	prefill  float64
	decode   float64
	health   scheduling.HealthRecord
}

// dispatch is one call sent to an engine and not answered yet.
type dispatch struct {
	at       time.Duration
	uncached int
	stream   *stream
}

// branch is one chain of calls at its owner.
type branch struct {
	history []model.Segment
	tokens  int
	// cached is the expected prefix at each engine.
	cached map[int]int
	// placed are the engines where it ran since its memory was last given up.
	placed    map[int]bool
	last      int
	running   bool
	idleSince time.Duration
	program   *execution
	kind      string
}

// request is one call on its way.
type request struct {
	execution *execution
	index     int
	call      *Call
	branch    *branch
	key       model.Key
	prompt    []model.Segment
	tokens    int
	arrived   time.Duration
	attempt   int
	excluded  []string
}

func newNode(r *run, index int) *node {
	return &node{
		run: r, index: index, zone: index % len(r.site.Zones),
		random: rand.New(rand.NewPCG(r.seed, uint64(1000+index))),
		view:   make([]scheduling.Backend, 0, len(r.engines)), books: make([]book, len(r.engines)),
		branches: map[model.Key]*branch{},
		pauses:   scheduling.NewPauseHistories(),
	}
}

// accept takes a call in from its caller.
func (n *node) accept(execution *execution, index int) {
	call := &execution.program.Calls[index]
	key := model.Key{Program: identity.ProgramID(execution.program.ID), Branch: identity.BranchID(call.Branch)}
	b, found := n.branches[key]
	if !found {
		b = &branch{cached: map[int]int{}, placed: map[int]bool{}, kind: pauseKind(execution, call), last: -1, program: execution}
		n.branches[key] = b
	}
	digest := uint64(2 * call.Sequence)
	prompt := append(b.history[:len(b.history):len(b.history)], model.Segment{Digest: digest, Tokens: call.NewTokens})
	request := &request{
		execution: execution, index: index, call: call, branch: b, key: key,
		prompt: prompt, tokens: b.tokens + call.NewTokens, arrived: n.run.clock.now,
	}
	if found && !b.running {
		n.pauses.History(pauseKind(execution, call)).Returned(n.run.clock.now - b.idleSince)
	}
	b.running = true
	n.decide(request)
}

// decide asks the policy and carries its decision out.
func (n *node) decide(request *request) {
	call := n.describe(request)
	now := n.run.wall(n.run.clock.now)
	view := n.snapshot(request)
	decision := n.run.strategy.Policy.Choose(now, call, view)
	switch decision.Action {
	case scheduling.Run:
		n.dispatch(request, n.run.byName[decision.Backend], decision.Priority)
	case scheduling.Hold:
		n.run.clock.after(decision.RetryAfter, func() { n.decide(request) })
	default:
		n.refuse(request, decision.RetryAfter)
	}
}

func (n *node) refuse(request *request, retryAfter time.Duration) {
	request.branch.running = false
	request.branch.idleSince = n.run.clock.now
	n.run.refused(request, retryAfter)
}

// describe makes the policy's view of a call: nothing in it tells what the
// program will do next.
func (n *node) describe(request *request) scheduling.Call {
	n.turn++
	class := request.execution.class
	call := scheduling.Call{
		ID: identity.CallID{
			Program: request.key.Program, Branch: request.key.Branch, Sequence: identity.Sequence(request.call.Sequence),
		},
		Tenant: request.execution.program.Tenant, Class: class.Name,
		Model: "model", Service: n.run.site.Service,
		PromptTokens: request.tokens, MaxTokens: class.MaxTokens,
		Arrived: n.run.wall(request.arrived), ProgramStarted: n.run.wall(request.execution.program.Arrive),
		ServiceSoFar: request.execution.service, CallsSoFar: request.execution.answered,
		Weight: class.Weight, Priority: class.Priority,
		Attempt: request.attempt, Excluded: request.excluded,
		DecisionNumber: n.turn + uint64(n.index),
	}
	if last := request.branch.last; last >= 0 {
		call.LastBackend = n.run.engines[last].name
	}
	return call
}

// snapshot fills the view of the back ends for one call.
func (n *node) snapshot(request *request) []scheduling.Backend {
	now := n.run.clock.now
	n.view = n.view[:0]
	for i, e := range n.run.engines {
		report := &n.run.reports[i]
		if !report.listed {
			continue
		}
		book := &n.books[i]
		backend := scheduling.Backend{
			Name: e.name, Service: n.run.site.Service, ServesModel: true,
			Health:          book.health.At(n.run.wall(now)).Health,
			ReportedRunning: report.running, ReportedWaiting: report.waiting,
			QueuedPrefillTokens: report.queuedPrefill, ReportAge: now - report.asOf,
			CachedTokens:        min(request.branch.cached[i], request.tokens),
			CacheCapacityTokens: e.parameters.CacheCapacityTokens, CacheUsedTokens: report.cacheUsed,
			PrefillRate: book.prefill, DecodeRate: book.decode,
			Latency: n.run.latency(n.zone, e.zone),
		}
		for _, sent := range book.inFlight {
			if sent.at > report.asOf {
				backend.OwnInFlight++
				backend.OwnPrefillTokens += sent.uncached
			}
		}
		n.view = append(n.view, backend)
	}
	return n.view
}

// dispatch sends a call to an engine.
func (n *node) dispatch(request *request, e *engine, priority int) {
	if !n.run.strategy.Priorities {
		priority = 0
	}
	s := &stream{
		key: request.key, prompt: request.prompt, maxTokens: request.execution.class.MaxTokens, priority: priority,
		answer: model.Segment{Digest: uint64(2*request.call.Sequence + 1), Tokens: request.call.AnswerTokens},
	}
	latency := n.run.latency(n.zone, e.zone)
	sent := n.run.clock.now
	s.began = func(s *stream) { n.run.began(e, s, request) }
	s.done = func(s *stream, succeeded bool) {
		n.run.clock.after(latency, func() { n.ended(request, e, s, sent, succeeded) })
	}
	book := &n.books[e.index]
	uncached := max(request.tokens-request.branch.cached[e.index], 0)
	book.inFlight = append(book.inFlight, dispatch{at: sent, uncached: uncached, stream: s})
	n.run.clock.after(latency, func() {
		if e.dead {
			n.run.clock.after(connectionFailure, func() { s.done(s, false) })
			return
		}
		e.submit(s)
	})
}

// ended takes the outcome of a dispatch.
func (n *node) ended(request *request, e *engine, s *stream, sent time.Duration, succeeded bool) {
	now := n.run.clock.now
	book := &n.books[e.index]
	for i := range book.inFlight {
		if book.inFlight[i].stream == s {
			book.inFlight = append(book.inFlight[:i], book.inFlight[i+1:]...)
			break
		}
	}
	book.health = book.health.Observe(n.run.wall(now), succeeded)
	if !succeeded {
		delete(request.branch.cached, e.index)
		request.attempt++
		request.excluded = append(request.excluded, e.name)
		if request.attempt >= maximumAttempts {
			n.refuse(request, retryPause)
			return
		}
		pause := time.Duration((0.5 + n.random.Float64()) * float64(retryPause))
		n.run.clock.after(pause, func() { n.decide(request) })
		return
	}
	observe(book, s, n.run.clock.now, sent, n.run.latency(n.zone, e.zone))
	b := request.branch
	b.history = append(request.prompt, s.answer)
	b.tokens = request.tokens + s.answer.Tokens
	b.last = e.index
	b.running = false
	b.idleSince = now
	if n.run.strategy.Release {
		n.releaseElsewhere(request.key, b, e)
	}
	b.cached[e.index] = b.tokens
	b.placed[e.index] = true
	n.run.answered(request)
}

// observe takes the rates that a node can see: from the time to the first token
// and from the time between tokens.
func observe(book *book, s *stream, now, sent, latency time.Duration) {
	finished := now - latency
	if s.answer.Tokens > 1 {
		rate := float64(s.answer.Tokens) / max((finished-s.prefilledAt).Seconds(), 1e-6)
		book.decode = blend(book.decode, rate, rateGain)
	}
	uncached := s.lease.PromptTokens - s.lease.Cached
	if uncached >= prefillSampleTokens {
		rate := float64(uncached) / max((s.prefilledAt-sent-latency).Seconds(), 1e-6)
		gain := rateGain
		if rate > book.prefill {
			// Waiting only ever makes the rate look lower.
			gain = 5 * rateGain
		}
		book.prefill = blend(book.prefill, rate, gain)
	}
}

// blend is a moving average that starts from its first sample.
func blend(average, sample, gain float64) float64 {
	if average == 0 {
		return sample
	}
	return average + gain*(sample-average)
}

// cacheEvent takes an event that an engine published.
func (n *node) cacheEvent(e *engine, key model.Key, tokens int) {
	b, found := n.branches[key]
	if !found {
		return
	}
	if tokens == 0 {
		delete(b.cached, e.index)
		return
	}
	b.cached[e.index] = tokens
}

// finish forgets a program that its caller ended, and frees its memory.
func (n *node) finish(execution *execution) {
	for _, key := range execution.keys {
		b, found := n.branches[key]
		if !found {
			continue
		}
		delete(n.branches, key)
		n.pauses.History(b.kind).Abandoned(n.run.clock.now - b.idleSince)
		if n.run.strategy.Release {
			n.release(key, b)
		}
	}
}

// release frees what engines hold of a branch.
func (n *node) release(key model.Key, b *branch) {
	for i, e := range n.run.engines {
		if b.placed[i] {
			n.run.clock.after(n.run.latency(n.zone, e.zone), func() { e.release(key) })
		}
	}
	clear(b.placed)
	clear(b.cached)
}

// releaseElsewhere frees what engines other than keep hold of a branch that moved.
func (n *node) releaseElsewhere(key model.Key, b *branch, keep *engine) {
	for i, e := range n.run.engines {
		if i != keep.index && b.placed[i] {
			n.run.clock.after(n.run.latency(n.zone, e.zone), func() { e.release(key) })
			delete(b.placed, i)
			delete(b.cached, i)
		}
	}
}

// pauseKind is the kind of pause history that a call's branch belongs to.
func pauseKind(execution *execution, call *Call) string {
	if call.Branch == mainBranch {
		return execution.class.Name
	}
	return execution.class.Name + "/sub-agent"
}

// keepWarm gives up the prefixes that are not worth their memory any more.
func (n *node) keepWarm() {
	var paused []scheduling.Paused
	for key, b := range n.branches {
		if b.running {
			continue
		}
		paused = append(paused, scheduling.Paused{
			Program: key.Program, Branch: key.Branch, Cached: len(b.placed) > 0,
			IdleSince: n.run.wall(b.idleSince), KeepWarm: b.program.class.KeepWarm, Kind: b.kind,
		})
	}
	slices.SortFunc(paused, func(a, b scheduling.Paused) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Branch, b.Branch))
	})
	for _, release := range n.pauses.SelectEvictions(n.run.wall(n.run.clock.now), paused, n.run.patience()) {
		key := model.Key{Program: release.Program, Branch: release.Branch}
		n.release(key, n.branches[key])
	}
}
