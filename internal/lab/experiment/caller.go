package experiment

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// execution is one program as its caller drives it.
type execution struct {
	run     *run
	program *Program
	class   *Class
	node    *node
	// waitsFor counts, per call, the answers that it still waits for.
	waitsFor []int
	left     int
	// turns are the measures of the person's questions.
	turns []turn
	// answered counts answered calls, service is their time at back ends.
	answered int
	service  time.Duration
	refusals int
	gaveUp   bool
	keys     []model.Key
	// branchLeft counts the calls that each branch still has to make.
	branchLeft map[string]int
}

// turn is one question of a person, from its first call to the last answer.
type turn struct {
	begun    bool
	startsAt time.Duration
	endsAt   time.Duration
	left     int
	// admittedAt is when its first call was let in.
	admittedAt time.Duration
	stalled    bool
	firstGood  bool
	calls      int
}

// begin starts a program.
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

// send makes call index now. After the end of the run nothing new is begun.
func (x *execution) send(index int) {
	r := x.run
	call := &x.program.Calls[index]
	current := &x.turns[call.Turn]
	if x.gaveUp || r.clock.now >= r.site.Duration && !current.begun {
		return
	}
	if !current.begun {
		current.begun = true
		current.startsAt = r.clock.now
	}
	r.underWay++
	// The gateway that the caller reached is usually not the owner.
	way := r.site.ClientLatency + r.site.ZoneLatency
	r.clock.after(way, func() { x.node.accept(x, index) })
}

// refused tells the caller that a call did not run. It comes back when it was
// told to, a few times; then the program is given up.
func (r *run) refused(request *request, retryAfter time.Duration) {
	x := request.execution
	r.underWay--
	r.measures.refusal(r)
	x.refusals++
	if x.refusals > returnsAfterRefusal {
		x.giveUp()
		return
	}
	r.underWay++
	r.clock.after(retryAfter+2*r.site.ClientLatency, func() {
		r.underWay--
		x.send(request.index)
	})
}

func (x *execution) giveUp() {
	if x.gaveUp {
		return
	}
	x.gaveUp = true
	x.run.measures.gaveUp()
	for _, key := range x.keys {
		x.run.ledger.end(key)
	}
	x.node.finish(x)
}

// answered hands an answer to the caller, who goes on with what waited for it.
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
		r.underWay--
		x.proceed(request.index)
	})
}

// proceed goes on after the answer to call index reached the caller.
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
			r.underWay++ // the program is in the middle of a turn
		}
		r.clock.after(next.Pause, func() {
			if sameTurn {
				r.underWay--
			}
			x.send(later)
		})
	}
	x.left--
	if x.left == 0 && !x.program.Silent {
		r.clock.after(r.site.ClientLatency+r.site.ZoneLatency, func() { x.node.finish(x) })
	}
}

// lowerBounds returns the least time of each turn: its calls' prefill of what is
// new, their decode alone in the batch, the ways and the tools, without any
// waiting.
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

// callBound is the least time of one call.
func callBound(site *Site, call *Call, history int) time.Duration {
	way := 2 * (site.ClientLatency + site.ZoneLatency/10)
	context := history + call.NewTokens + call.AnswerTokens/2
	decode := time.Duration(call.AnswerTokens) * site.Engine.DecodeStep(1, context)
	return way + site.Engine.PrefillTime(call.NewTokens) + decode
}
