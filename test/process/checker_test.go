package process

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
)

// verify compares the back ends' records with the callers' results.
func (l *laboratory) verify(conversations ...*conversation) {
	l.t.Helper()
	executions, arrivals := l.executions(), l.arrivals()
	for _, c := range conversations {
		for _, fault := range c.faults(executions, arrivals[c.id]) {
			l.t.Error(fault)
		}
	}
}

// executions counts the executions of unrepeatable operations by key.
func (l *laboratory) executions() map[string]int {
	l.t.Helper()
	counts := map[string]int{}
	for _, emulator := range l.Applications {
		var truth application.Truth
		is.New(l.t).NoErr(emulator.Get(l.ctx, application.PathTruth, &truth))
		for _, execution := range truth.Executions {
			counts[execution.Key]++
		}
	}
	return counts
}

// arrivals returns the streams that ran at engines by program, in order of their arrival.
func (l *laboratory) arrivals() map[string][]engine.Arrival {
	l.t.Helper()
	found := map[string][]engine.Arrival{}
	for _, emulator := range l.Engines {
		var truth engine.Truth
		is.New(l.t).NoErr(emulator.Get(l.ctx, engine.PathTruth, &truth))
		for _, arrival := range truth.Arrivals {
			if arrival.Outcome != engine.OutcomeRefused {
				program := string(arrival.Stream.Call.Program)
				found[program] = append(found[program], arrival)
			}
		}
	}
	for _, arrivals := range found {
		slices.SortFunc(arrivals, func(a, b engine.Arrival) int { return a.Arrived.Compare(b.Arrived) })
	}
	return found
}

// faults returns the violated invariants of one program.
func (c *conversation) faults(executions map[string]int, arrivals []engine.Arrival) []error {
	faults := c.executionFaults(executions)
	faults = append(faults, orderFaults(arrivals)...)
	return append(faults, historyFaults(arrivals)...)
}

func (c *conversation) executionFaults(executions map[string]int) []error {
	var faults []error
	for _, key := range c.ran {
		if executions[key] != 1 {
			faults = append(faults, fmt.Errorf("%s was answered but ran %d times", key, executions[key]))
		}
	}
	for _, key := range c.doubtful {
		if executions[key] > 1 {
			faults = append(faults, fmt.Errorf("%s has an unknown outcome but ran %d times", key, executions[key]))
		}
	}
	for _, key := range c.refused {
		if executions[key] != 0 && !slices.Contains(c.ran, key) && !slices.Contains(c.doubtful, key) {
			faults = append(faults, fmt.Errorf("%s was rejected as not run but ran %d times", key, executions[key]))
		}
	}
	return faults
}

// orderFaults finds calls that reached an engine before an earlier call had ended there.
func orderFaults(arrivals []engine.Arrival) []error {
	var faults []error
	last := map[identity.BranchID]identity.Sequence{}
	for _, arrival := range arrivals {
		call := arrival.Stream.Call
		if call.Sequence < last[call.Branch] {
			faults = append(faults, fmt.Errorf("%s reached an engine after call %d", arrival.Stream, last[call.Branch]))
		}
		last[call.Branch] = max(last[call.Branch], call.Sequence)
	}
	return faults
}

// historyFaults finds prompts that do not continue the previous ones, and repeats of one
// call with another prompt.
func historyFaults(arrivals []engine.Arrival) []error {
	ordered := slices.Clone(arrivals)
	slices.SortStableFunc(ordered, func(a, b engine.Arrival) int {
		x, y := a.Stream.Call, b.Stream.Call
		return cmp.Or(cmp.Compare(x.Branch, y.Branch), cmp.Compare(x.Sequence, y.Sequence))
	})
	var faults []error
	for i := 1; i < len(ordered); i++ {
		before, after := ordered[i-1], ordered[i]
		if before.Stream.Call.Branch != after.Stream.Call.Branch {
			continue
		}
		if before.Stream.Call.Sequence == after.Stream.Call.Sequence {
			if before.Digest != after.Digest {
				faults = append(faults, fmt.Errorf("%s and %s ran on different prompts", before.Stream, after.Stream))
			}
			continue
		}
		if len(after.Messages) <= len(before.Messages) || !slices.Equal(after.Messages[:len(before.Messages)], before.Messages) {
			faults = append(faults, fmt.Errorf("%s does not continue the history of %s", after.Stream, before.Stream))
		}
	}
	return faults
}

func seen(sequence identity.Sequence, digest engine.Digest, messages ...engine.Digest) engine.Arrival {
	call := identity.CallID{Program: "p", Branch: identity.MainBranch, Sequence: sequence}
	return engine.Arrival{Stream: identity.StreamID{Call: call}, Digest: digest, Messages: messages}
}

func TestCheckerFindsViolations(t *testing.T) {
	first, second := seen(1, 1, 7), seen(2, 2, 7, 8, 9)
	sound := []engine.Arrival{first, first, second, second}
	ran := &conversation{id: "p", ran: []string{"a"}, doubtful: []string{"b"}, refused: []string{"c"}}
	cases := map[string]struct {
		executions map[string]int
		arrivals   []engine.Arrival
		faults     int
	}{
		"sound":                   {map[string]int{"a": 1, "b": 1}, sound, 0},
		"sound, did not run":      {map[string]int{"a": 1}, sound, 0},
		"answered, never ran":     {map[string]int{}, sound, 1},
		"answered, ran twice":     {map[string]int{"a": 2}, sound, 1},
		"in doubt, ran twice":     {map[string]int{"a": 1, "b": 2}, sound, 1},
		"refused, ran":            {map[string]int{"a": 1, "c": 1}, sound, 1},
		"a late earlier call":     {map[string]int{"a": 1}, []engine.Arrival{first, second, first}, 1},
		"a lost history":          {map[string]int{"a": 1}, []engine.Arrival{first, seen(2, 2, 8, 9)}, 1},
		"another's history":       {map[string]int{"a": 1}, []engine.Arrival{first, seen(2, 2, 6, 8, 9)}, 1},
		"a repeat with a new one": {map[string]int{"a": 1}, []engine.Arrival{first, seen(1, 3, 6)}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(len(ran.faults(c.executions, c.arrivals)), c.faults)
		})
	}
}
