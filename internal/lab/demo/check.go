package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/site"
)

// releaseTimeout bounds the time from a program's end to the release of its cache.
const releaseTimeout = 10 * time.Second

// check compares the requests that the back ends received with the program's calls.
func (e *enrolment) check(ctx context.Context) error {
	arrivals, err := e.arrivals(ctx)
	if err != nil {
		return err
	}
	if err := checkArrivals(arrivals, identity.MainBranch, []identity.Sequence{1, 2, 4}); err != nil {
		return err
	}
	if err := checkArrivals(arrivals, subAgentBranch, []identity.Sequence{1}); err != nil {
		return err
	}
	e.demo.say("the engines saw the model calls of each branch once, in order, each on the history before it")
	executions, err := e.executions(ctx)
	if err != nil {
		return err
	}
	if err := checkExecutions(executions); err != nil {
		return err
	}
	e.demo.say("the applications ran %q once and the enrolment %q once", readOperation, enrolKey)
	began := time.Now()
	if err := e.awaitRelease(ctx); err != nil {
		return err
	}
	e.demo.say("the engines hold nothing for the program %.1f s after its end", time.Since(began).Seconds())
	return nil
}

// arrivals returns the program's streams on all engines in order of arrival.
func (e *enrolment) arrivals(ctx context.Context) ([]engine.Arrival, error) {
	var found []engine.Arrival
	for _, emulator := range e.demo.site.Engines {
		var truth engine.Truth
		if err := emulator.Get(ctx, engine.PathTruth, &truth); err != nil {
			return nil, err
		}
		for _, arrival := range truth.Arrivals {
			if string(arrival.Stream.Call.Program) == e.id {
				found = append(found, arrival)
			}
		}
	}
	slices.SortFunc(found, func(a, b engine.Arrival) int { return a.Arrived.Compare(b.Arrived) })
	return found, nil
}

// checkArrivals checks that the calls of a branch arrived once each, in order, that
// all of them finished and that each prompt extends the previous one.
func checkArrivals(arrivals []engine.Arrival, branch identity.BranchID, wanted []identity.Sequence) error {
	var sequences []identity.Sequence
	var before []engine.Digest
	for _, arrival := range arrivals {
		if arrival.Stream.Call.Branch != branch {
			continue
		}
		if arrival.Outcome != engine.OutcomeFinished {
			return fmt.Errorf("engine stream %s ended as %s: %s", arrival.Stream, arrival.Outcome, arrival.Reason)
		}
		if len(arrival.Messages) <= len(before) || !slices.Equal(arrival.Messages[:len(before)], before) {
			return fmt.Errorf("engine stream %s does not extend the history of the previous call", arrival.Stream)
		}
		before = arrival.Messages
		sequences = append(sequences, arrival.Stream.Call.Sequence)
	}
	if !slices.Equal(sequences, wanted) {
		return fmt.Errorf("the engines received the calls %v of branch %s, want %v", sequences, branch, wanted)
	}
	return nil
}

// executions counts the executions on all application replicas by operation and key.
func (e *enrolment) executions(ctx context.Context) (map[string]int, error) {
	total := map[string]int{}
	for _, emulator := range e.demo.site.Applications {
		var truth application.Truth
		if err := emulator.Get(ctx, application.PathTruth, &truth); err != nil {
			return nil, err
		}
		for _, execution := range truth.Executions {
			total[execution.Operation+" "+execution.Key]++
		}
	}
	return total, nil
}

func checkExecutions(executions map[string]int) error {
	wanted := map[string]int{readOperation + " ": 1, enrolOperation + " " + enrolKey: 1}
	for key, count := range wanted {
		if executions[key] != count {
			return fmt.Errorf("the applications executed %q %d times, want %d", key, executions[key], count)
		}
	}
	if len(executions) != len(wanted) {
		return fmt.Errorf("the applications executed unexpected operations: %v", executions)
	}
	return nil
}

// awaitRelease waits until no engine caches a prefix of the program.
func (e *enrolment) awaitRelease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return site.Eventually(ctx, "the program's cache to be released", func(ctx context.Context) error {
		for _, emulator := range e.demo.site.Engines {
			var truth engine.Truth
			if err := emulator.Get(ctx, engine.PathTruth, &truth); err != nil {
				return err
			}
			for _, held := range truth.Held {
				if string(held.Program) == e.id {
					return fmt.Errorf("%s still caches %d tokens of branch %s", emulator.Name(), held.Tokens, held.Branch)
				}
			}
		}
		return nil
	})
}
