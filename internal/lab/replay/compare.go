package replay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/trace"
)

// Difference is a deviation from one expected outcome.
type Difference struct {
	File    string
	Line    int
	Message string
}

// String returns "file:line: message".
func (d Difference) String() string { return fmt.Sprintf("%s:%d: %s", d.File, d.Line, d.Message) }

// Compare returns the deviations of found from the expected outcomes of t, in order of
// the lines.
func Compare(t *trace.Trace, found *Evidence) []Difference {
	c := &comparison{trace: t, found: found, winners: map[string]int{}}
	for _, event := range t.Events {
		c.line = event.Line
		if err := found.Failures[event.Line]; err != nil {
			c.differ("%s failed: %v", event.Body.Kind(), err)
		}
		c.compare(event)
	}
	c.races()
	slices.SortStableFunc(c.differences, func(a, b Difference) int { return cmp.Compare(a.Line, b.Line) })
	return c.differences
}

type comparison struct {
	trace       *trace.Trace
	found       *Evidence
	line        int
	differences []Difference
	// winners counts the accepted publications of each race.
	winners map[string]int
}

func (c *comparison) differ(format string, arguments ...any) {
	c.differences = append(c.differences, Difference{File: c.trace.File, Line: c.line, Message: fmt.Sprintf(format, arguments...)})
}

func (c *comparison) compare(event trace.Event) {
	switch body := event.Body.(type) {
	case trace.Call:
		c.call(body)
	case trace.Publish:
		c.publication(body)
	case trace.ExpectExecutions:
		c.executions(body)
	case trace.ExpectOrder:
		c.order(body)
	case trace.ExpectConversation:
		c.conversation(body)
	case trace.ExpectSpent:
		c.spent(body)
	case trace.ExpectVersion:
		for _, name := range slices.Sorted(maps.Keys(c.found.Versions[c.line])) {
			if version := c.found.Versions[c.line][name]; version != body.Version {
				c.differ("version %d is in force on %s, stated is %d", version, name, body.Version)
			}
		}
	case trace.ExpectMemory:
		if holders := c.found.Holders[c.line]; (len(holders) > 0) != body.Held {
			c.differ("memory of %s is held at %v, stated is held: %t", body.Program, holders, body.Held)
		}
	case trace.ExpectState:
		if seen := c.found.States[c.line]; seen.Err != nil || seen.State != body.State {
			c.differ("%s is %q (%v), stated is %q", body.Program, seen.State, seen.Err, body.State)
		}
	case trace.ExpectNoNewWork:
		c.noNewWork(event.At, body)
	}
}

func (c *comparison) call(body trace.Call) {
	seen, stated := c.found.Calls[c.line], body.Outcome
	id := body.CallID()
	if seen.Outcome.Kind != stated.Kind && (stated.Kind != trace.OutcomeAnswered || seen.Outcome.Kind != trace.OutcomeReplayed) {
		c.differ("%s is %s (%v), stated is %s", id, seen.Outcome.Kind, seen.Err, stated.Kind)
		return
	}
	if seen.Outcome.Code != stated.Code || seen.Outcome.NotRun != stated.NotRun {
		c.differ("%s is refused with %s, not run: %t; stated is %s, not run: %t",
			id, seen.Outcome.Code, seen.Outcome.NotRun, stated.Code, stated.NotRun)
	}
	if stated.Digest != "" && seen.Outcome.Digest != stated.Digest {
		c.differ("%s has an answer with digest %s, stated is %s", id, seen.Outcome.Digest, stated.Digest)
	}
	if within := time.Duration(stated.Within); within > 0 && seen.Took > within {
		c.differ("%s took %s, stated is within %s", id, seen.Took, within)
	}
	if stated.Attempts > 0 && seen.Attempts > stated.Attempts {
		c.differ("%s took %d attempts, stated are %d", id, seen.Attempts, stated.Attempts)
	}
	c.answer(id, seen)
	c.notRun(id)
}

// answer checks that an answer belongs to the call and equals the streamed text.
func (c *comparison) answer(id identity.CallID, seen CallEvidence) {
	if seen.Answer == nil {
		return
	}
	given := seen.Answer
	if given.Program != string(id.Program) || given.Branch != string(id.Branch) || given.Sequence != uint64(id.Sequence) {
		c.differ("%s got the answer of %s/%s/%d", id, given.Program, given.Branch, given.Sequence)
	}
	if seen.Streamed != given.Text {
		c.differ("%s was streamed %q, the answer is %q", id, seen.Streamed, given.Text)
	}
}

// notRun checks that a call reached no back end if all of its lines expect that it did
// not run.
func (c *comparison) notRun(id identity.CallID) {
	for _, event := range c.trace.Events {
		other, isCall := event.Body.(trace.Call)
		if isCall && other.CallID() == id && !other.Outcome.NotRun {
			return
		}
	}
	for _, truth := range c.found.Engines {
		for _, arrival := range truth.Arrivals {
			if arrival.Stream.Call == id && arrival.Outcome != engine.OutcomeRefused {
				c.differ("%s was refused as not run and reached %s", id, truth.Name)
			}
		}
	}
	for _, execution := range c.found.Executions.Executions {
		if execution.Stream.Call == id {
			c.differ("%s was refused as not run and ran at %s", id, execution.Replica)
		}
	}
}

func (c *comparison) publication(body trace.Publish) {
	seen := c.found.Publications[c.line]
	if body.RaceOf == "" {
		if seen.Outcome != body.Outcome {
			c.differ("publication %s is %s (%v), stated is %s", body.ID, seen.Outcome, seen.Err, body.Outcome)
		}
		return
	}
	if seen.Outcome == trace.PublicationAccepted {
		c.winners[body.RaceOf]++
		return
	}
	if seen.Outcome != trace.PublicationConflict {
		c.differ("publication %s is %s (%v), stated is accepted or lost", body.ID, seen.Outcome, seen.Err)
	}
}

// races checks that exactly one publication of each race was accepted.
func (c *comparison) races() {
	for _, event := range c.trace.Events {
		body, isPublication := event.Body.(trace.Publish)
		if isPublication && body.RaceOf != "" && c.winners[body.RaceOf] != 1 {
			c.line = event.Line
			c.differ("race %s has %d winners, stated is one", body.RaceOf, c.winners[body.RaceOf])
		}
	}
}

func (c *comparison) executions(body trace.ExpectExecutions) {
	count := c.found.Executions.ByKey[application.CountKey(body.Operation, body.Key, identity.CallID{})]
	if count < body.AtLeast || count > body.AtMost {
		c.differ("%s %s ran %d times, stated is %d to %d", body.Operation, body.Key, count, body.AtLeast, body.AtMost)
	}
}
