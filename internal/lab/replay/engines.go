package replay

import (
	"cmp"
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/engine/model"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/trace"
)

// arrival is a stream that an engine accepted.
type arrival struct {
	engine.Arrival
	engine string
}

// arrivals returns the streams of a program that engines accepted, in order of arrival.
func (c *comparison) arrivals(program identity.ProgramID) []arrival {
	var found []arrival
	for _, truth := range c.found.Engines {
		for _, one := range truth.Arrivals {
			if one.Stream.Call.Program == program && one.Outcome != engine.OutcomeRefused {
				found = append(found, arrival{Arrival: one, engine: truth.Name})
			}
		}
	}
	slices.SortStableFunc(found, func(a, b arrival) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.Stream.Call.Sequence, b.Stream.Call.Sequence))
	})
	return found
}

func (c *comparison) order(body trace.ExpectOrder) {
	var first []identity.Sequence
	for _, one := range c.arrivals(body.Program) {
		if one.Stream.Call.Branch != body.Branch {
			continue
		}
		sequence := one.Stream.Call.Sequence
		if len(first) > 0 && first[len(first)-1] > sequence {
			c.differ("%s reached %s after call %d did", one.Stream, one.engine, first[len(first)-1])
		}
		if !slices.Contains(first, sequence) {
			first = append(first, sequence)
		}
	}
	if !slices.Equal(first, body.Sequences) {
		c.differ("the calls of %s/%s reached the engines as %v, stated is %v", body.Program, body.Branch, first, body.Sequences)
	}
}

// conversation checks the prompt of each model call of a branch against the messages
// that its callers sent and received before.
func (c *comparison) conversation(body trace.ExpectConversation) {
	expected := c.expectedTurns(body.Program, body.Branch)
	longest := 0
	for _, one := range c.arrivals(body.Program) {
		if one.Stream.Call.Branch != body.Branch {
			continue
		}
		longest = max(longest, len(one.Messages))
		if wanted := expected[one.Stream.Call.Sequence]; !slices.Equal(one.Messages, wanted) {
			c.differ("%s reached %s with %d turns, or others, its callers had %d", one.Stream, one.engine, len(one.Messages), len(wanted))
		}
	}
	if longest != body.Turns {
		c.differ("the longest prompt of %s/%s had %d turns, stated are %d", body.Program, body.Branch, longest, body.Turns)
	}
}

// expectedTurns returns, per model call of a branch, the digests of the messages that
// its prompt must consist of.
func (c *comparison) expectedTurns(program identity.ProgramID, branch identity.BranchID) map[identity.Sequence][]engine.Digest {
	expected := map[identity.Sequence][]engine.Digest{}
	var history []engine.Digest
	for _, event := range c.trace.Events {
		body, isCall := event.Body.(trace.Call)
		id := identity.CallID{Program: program, Branch: branch, Sequence: identity.Sequence(body.Call.Sequence)}
		if !isCall || body.Call.Kind != api.CallModel || body.CallID() != id || expected[id.Sequence] != nil {
			continue
		}
		sent, answer := c.answered(body)
		turns := slices.Clone(history)
		for _, message := range sent.Call.Messages {
			turns = append(turns, digest(message.Role, message.Content))
		}
		expected[id.Sequence] = turns
		if answer != nil {
			history = append(slices.Clone(turns), digest("assistant", answer.Text))
		}
	}
	return expected
}

// answered returns the first call with the same ID that has an answer, and the answer.
// The sequence of a refused call may be reused with other messages. Without an answer
// it returns call itself.
func (c *comparison) answered(call trace.Call) (trace.Call, *api.Answer) {
	for _, event := range c.trace.Events {
		if body, isCall := event.Body.(trace.Call); isCall && body.CallID() == call.CallID() {
			if answer := c.found.Calls[event.Line].Answer; answer != nil {
				return body, answer
			}
		}
	}
	return call, nil
}

func digest(role, content string) engine.Digest {
	return engine.Digest(model.Digest(backend.Message{Role: role, Content: content}))
}

func (c *comparison) spent(body trace.ExpectSpent) {
	var spent int64
	for _, one := range c.arrivals(body.Program) {
		spent += int64(one.PromptTokens + one.Tokens)
	}
	if spent < body.AtLeast || spent > body.AtMost {
		c.differ("engines computed %d tokens for %s, stated are %d to %d", spent, body.Program, body.AtLeast, body.AtMost)
	}
}

func (c *comparison) noNewWork(from trace.Duration, body trace.ExpectNoNewWork) {
	since := c.found.Began.Add(time.Duration(from))
	before := 0
	for _, truth := range c.found.Engines {
		if truth.Name != body.Name {
			continue
		}
		for _, one := range truth.Arrivals {
			if one.Arrived.Before(since) {
				before++
				continue
			}
			c.differ("%s reached %s %s after the stated time", one.Stream, body.Name, one.Arrived.Sub(since))
		}
	}
	if before == 0 {
		c.differ("%s had no work before", body.Name)
	}
}
