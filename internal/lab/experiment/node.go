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
	// maximumAttempts bounds the attempts of one call before it is refused.
	maximumAttempts = 5
	// retryPause is the mean delay before another attempt, to which jitter is applied.
	retryPause = 100 * time.Millisecond
	// rateGain is the weight of a new sample in the moving averages of the rates.
	rateGain = 0.1
	// prefillSampleTokens is the minimum number of uncached tokens for a sample of
	// the prefill rate.
	prefillSampleTokens = 200
	// connectionFailure is the time after which a connection to a dead engine fails.
	connectionFailure = 5 * time.Millisecond
)

// node simulates one stepseamd: it owns a subset of the programs and schedules their
// calls by its own, possibly stale, view of the engines.
type node struct {
	run    *run
	index  int
	zone   int
	random *rand.Rand
	turn   uint64
	// view is the snapshot passed to policies, reused between decisions.
	view []scheduling.Backend
	// records has the node's state per engine.
	records []engineRecord
	// branches has the branches of the node's programs.
	branches map[model.Key]*branch
	// pauses has the history of pauses per kind of branch.
	pauses *scheduling.PauseHistories
}

// engineRecord is a node's local state for one engine: the calls that it dispatched
// there, the observed rates in tokens per second and the engine's health.
type engineRecord struct {
	inFlight []dispatch
	prefill  float64
	decode   float64
	health   scheduling.HealthRecord
}

// dispatch is a call in flight on an engine.
type dispatch struct {
	at       time.Duration
	uncached int
	stream   *stream
}

// branch is the owner's state of one branch of a program.
type branch struct {
	history []model.Segment
	tokens  int
	// cached is the estimated length of the cached prefix per engine, in tokens.
	cached map[int]int
	// placed has the engines on which the branch ran since its cache was released.
	placed    map[int]bool
	last      int
	running   bool
	idleSince time.Duration
	program   *execution
	kind      string
}

// request is one call that a node is handling.
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
		view:   make([]scheduling.Backend, 0, len(r.engines)), records: make([]engineRecord, len(r.engines)),
		branches: map[model.Key]*branch{},
		pauses:   scheduling.NewPauseHistories(),
	}
}

// accept starts to handle a call from a caller.
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

// decide obtains the policy's decision for a call and executes it.
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

// describe returns the policy's view of a call, which contains nothing about the
// program's future calls.
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

// snapshot returns the node's view of the listed engines for one call. It is valid
// until the next snapshot.
func (n *node) snapshot(request *request) []scheduling.Backend {
	now := n.run.clock.now
	n.view = n.view[:0]
	for i, e := range n.run.engines {
		report := &n.run.reports[i]
		if !report.listed {
			continue
		}
		record := &n.records[i]
		backend := scheduling.Backend{
			Name: e.name, Service: n.run.site.Service, ServesModel: true,
			Health:          record.health.At(n.run.wall(now)).Health,
			ReportedRunning: report.running, ReportedWaiting: report.waiting,
			QueuedPrefillTokens: report.queuedPrefill, ReportAge: now - report.asOf,
			CachedTokens:        min(request.branch.cached[i], request.tokens),
			CacheCapacityTokens: e.parameters.CacheCapacityTokens, CacheUsedTokens: report.cacheUsed,
			PrefillRate: record.prefill, DecodeRate: record.decode,
			Latency: n.run.latency(n.zone, e.zone),
		}
		for _, sent := range record.inFlight {
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
	record := &n.records[e.index]
	uncached := max(request.tokens-request.branch.cached[e.index], 0)
	record.inFlight = append(record.inFlight, dispatch{at: sent, uncached: uncached, stream: s})
	n.run.clock.after(latency, func() {
		if e.dead {
			n.run.clock.after(connectionFailure, func() { s.done(s, false) })
			return
		}
		e.submit(s)
	})
}

// ended handles the result of a dispatch: it retries a failed call and answers a
// successful one.
func (n *node) ended(request *request, e *engine, s *stream, sent time.Duration, succeeded bool) {
	now := n.run.clock.now
	record := &n.records[e.index]
	for i := range record.inFlight {
		if record.inFlight[i].stream == s {
			record.inFlight = append(record.inFlight[:i], record.inFlight[i+1:]...)
			break
		}
	}
	record.health = record.health.Observe(n.run.wall(now), succeeded)
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
	observe(record, s, n.run.clock.now, sent, n.run.latency(n.zone, e.zone))
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

// observe updates the prefill and decode rates from the time to the first token and
// the time between tokens.
func observe(record *engineRecord, s *stream, now, sent, latency time.Duration) {
	finished := now - latency
	if s.answer.Tokens > 1 {
		rate := float64(s.answer.Tokens) / max((finished-s.prefilledAt).Seconds(), 1e-6)
		record.decode = blend(record.decode, rate, rateGain)
	}
	uncached := s.lease.PromptTokens - s.lease.Cached
	if uncached >= prefillSampleTokens {
		rate := float64(uncached) / max((s.prefilledAt-sent-latency).Seconds(), 1e-6)
		gain := rateGain
		if rate > record.prefill {
			// Queueing can only lower the observed rate, so higher samples count more.
			gain = 5 * rateGain
		}
		record.prefill = blend(record.prefill, rate, gain)
	}
}

// blend updates an exponential moving average; the first sample initializes it.
func blend(average, sample, gain float64) float64 {
	if average == 0 {
		return sample
	}
	return average + gain*(sample-average)
}

// cacheEvent applies an engine's cache event. Events for unknown branches are
// ignored.
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

// finish removes an ended program and releases its cache.
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

// release evicts the cached prefixes of a branch from all engines.
func (n *node) release(key model.Key, b *branch) {
	for i, e := range n.run.engines {
		if b.placed[i] {
			n.run.clock.after(n.run.latency(n.zone, e.zone), func() { e.release(key) })
		}
	}
	clear(b.placed)
	clear(b.cached)
}

// releaseElsewhere evicts the cached prefixes of a branch from all engines but keep.
func (n *node) releaseElsewhere(key model.Key, b *branch, keep *engine) {
	for i, e := range n.run.engines {
		if i != keep.index && b.placed[i] {
			n.run.clock.after(n.run.latency(n.zone, e.zone), func() { e.release(key) })
			delete(b.placed, i)
			delete(b.cached, i)
		}
	}
}

// pauseKind returns the kind of pause history for a call's branch.
func pauseKind(execution *execution, call *Call) string {
	if call.Branch == mainBranch {
		return execution.class.Name
	}
	return execution.class.Name + "/sub-agent"
}

// keepWarm evicts the cached prefixes of paused branches that are not expected to be
// reused soon enough.
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
	for _, release := range n.pauses.SelectEvictions(n.run.wall(n.run.clock.now), paused, n.run.breakEvenInterval()) {
		key := model.Key{Program: release.Program, Branch: release.Branch}
		n.release(key, n.branches[key])
	}
}
