package experiment

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// execution is the state of a running program on its caller's side.
type execution struct {
	run     *run
	program *Program
	class   *Class
	node    *node
	// waitsFor counts, per call, the predecessors without an answer.
	waitsFor []int
	// left counts the calls without an answer.
	left  int
	turns []turn
	// answered counts the answered calls; service is the sum of their times from
	// arrival at the node to the answer.
	answered  int
	service   time.Duration
	refusals  int
	abandoned bool
	keys      []model.Key
	// branchLeft counts the calls of each branch without an answer.
	branchLeft map[string]int
}

// turn measures one user turn, from its first call to its last answer.
type turn struct {
	begun    bool
	startsAt time.Duration
	endsAt   time.Duration
	left     int
	// admittedAt is when an engine first took a call of the turn into its batch.
	admittedAt time.Duration
	stalled    bool
	firstGood  bool
	calls      int
}

// begin starts a program by sending its first call.
func (r *run) begin(program *Program) {
	x := &execution{
		run: r, program: program, class: r.classes[program.Class], node: r.owner(program.ID),
		waitsFor: make([]int, len(program.Calls)), left: len(program.Calls), branchLeft: map[string]int{},
	}
	for i := range program.Calls {
		call := &program.Calls[i]
		x.waitsFor[i] = len(call.After)
		x.branchLeft[call.Branch]++
		for len(x.turns) <= call.Turn {
			x.turns = append(x.turns, turn{})
		}
		x.turns[call.Turn].left++
	}
	x.send(0)
}

// send sends the call at index now. After the end of the run no new turn starts.
func (x *execution) send(index int) {
	r := x.run
	call := &x.program.Calls[index]
	current := &x.turns[call.Turn]
	if x.abandoned || r.clock.now >= r.site.Duration && !current.begun {
		return
	}
	if !current.begun {
		current.begun = true
		current.startsAt = r.clock.now
	}
	r.inFlight++
	// The node that receives the request is usually not the program's owner and
	// forwards it.
	latency := r.site.ClientLatency + r.site.ZoneLatency
	r.clock.after(latency, func() { x.node.accept(x, index) })
}

// refused rejects a call that did not run. The caller retries it after retryAfter
// and abandons the program after maxRetriesAfterRefusal retries.
func (r *run) refused(request *request, retryAfter time.Duration) {
	x := request.execution
	r.inFlight--
	r.measures.refusal(r)
	x.refusals++
	if x.refusals > maxRetriesAfterRefusal {
		x.abandon()
		return
	}
	r.inFlight++
	r.clock.after(retryAfter+2*r.site.ClientLatency, func() {
		r.inFlight--
		x.send(request.index)
	})
}

func (x *execution) abandon() {
	if x.abandoned {
		return
	}
	x.abandoned = true
	x.run.measures.abandoned()
	for _, key := range x.keys {
		x.run.ledger.end(key)
	}
	x.node.finish(x)
}

// answered delivers an answer to the caller, which continues with the calls that
// depend on it.
func (r *run) answered(request *request) {
	x := request.execution
	call := request.call
	if !slices.Contains(x.keys, request.key) {
		x.keys = append(x.keys, request.key)
	}
	x.branchLeft[call.Branch]--
	if x.branchLeft[call.Branch] == 0 {
		r.ledger.end(request.key)
	}
	x.answered++
	x.service += r.clock.now - request.arrived
	r.measures.call(r, request)
	r.clock.after(r.site.ClientLatency+r.site.ZoneLatency, func() {
		r.inFlight--
		x.proceed(request.index)
	})
}

// proceed handles the arrival of the answer to the call at index at the caller: it
// schedules the calls whose predecessors are now all answered and ends the program
// after its last call.
func (x *execution) proceed(index int) {
	r := x.run
	call := &x.program.Calls[index]
	current := &x.turns[call.Turn]
	current.left--
	if current.left == 0 {
		current.endsAt = r.clock.now
		r.measures.turn(r, x, call.Turn)
	}
	for later := index + 1; later < len(x.program.Calls); later++ {
		next := &x.program.Calls[later]
		if !slices.Contains(next.After, index) {
			continue
		}
		x.waitsFor[later]--
		if x.waitsFor[later] > 0 {
			continue
		}
		sameTurn := next.Turn == call.Turn
		if sameTurn {
			r.inFlight++ // keeps the run alive during the pause within a turn
		}
		r.clock.after(next.Pause, func() {
			if sameTurn {
				r.inFlight--
			}
			x.send(later)
		})
	}
	x.left--
	if x.left == 0 && !x.program.Silent {
		r.clock.after(r.site.ClientLatency+r.site.ZoneLatency, func() { x.node.finish(x) })
	}
}

// lowerBounds returns the minimum latency of each turn: the prefill of its calls'
// new tokens, their decode in a batch of one, network latencies and tool pauses,
// without any queueing.
func lowerBounds(site *Site, program *Program) []time.Duration {
	ends := make([]time.Duration, len(program.Calls))
	starts := map[int]time.Duration{}
	history := map[string]int{}
	var bounds []time.Duration
	for i, call := range program.Calls {
		begin := time.Duration(0)
		for _, before := range call.After {
			begin = max(begin, ends[before])
		}
		begin += call.Pause
		if _, found := starts[call.Turn]; !found {
			starts[call.Turn] = begin
		}
		ends[i] = begin + callBound(site, &call, history[call.Branch])
		history[call.Branch] += call.NewTokens + call.AnswerTokens
		for len(bounds) <= call.Turn {
			bounds = append(bounds, 0)
		}
		bounds[call.Turn] = max(bounds[call.Turn], ends[i]-starts[call.Turn])
	}
	return bounds
}

// callBound returns the minimum latency of one call with history cached tokens.
func callBound(site *Site, call *Call, history int) time.Duration {
	roundTrip := 2 * (site.ClientLatency + site.ZoneLatency/10)
	context := history + call.NewTokens + call.AnswerTokens/2
	decode := time.Duration(call.AnswerTokens) * site.Engine.DecodeStep(1, context)
	return roundTrip + site.Engine.PrefillTime(call.NewTokens) + decode
}
