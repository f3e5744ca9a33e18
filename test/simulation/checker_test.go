package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/engine/model"
	"stepseam.example/stepseam/internal/identity"
)

// violation is one violated requirement and the evidence.
type violation struct {
	point string
	what  string
}

func (v violation) String() string { return v.point + ": " + v.what }

// The requirements that the checker verifies from the back ends' own records and the
// callers' results.
const (
	pointOrder        = "calls reach the model in order"
	pointHistory      = "history is never lost or mixed"
	pointBudget       = "a program never spends beyond its budget"
	pointMemory       = "memory of ended programs is freed"
	pointAnswer       = "every caller gets the complete answer to its own request"
	pointNotRun       = "what is refused as not run did not run"
	pointUnrepeatable = "unrepeatable requests run at most once"
	pointProgress     = "after healing every call comes to an end"
)

// seen is one stream as an engine recorded it.
type seen struct {
	engine.Arrival
	engine string
}

// evidence is what the back ends of a site recorded.
type evidence struct {
	arrivals   []seen
	executions []application.Execution
	byKey      map[string]int
	held       map[identity.ProgramID][]string
}

func (s *site) evidence() evidence {
	found := evidence{held: map[identity.ProgramID][]string{}}
	for _, truth := range s.Engines() {
		for _, arrival := range truth.Arrivals {
			if arrival.Outcome != engine.OutcomeRefused {
				found.arrivals = append(found.arrivals, seen{Arrival: arrival, engine: truth.Name})
			}
		}
		for _, prefix := range truth.Held {
			found.held[prefix.Program] = append(found.held[prefix.Program], truth.Name)
		}
	}
	slices.SortStableFunc(found.arrivals, func(a, b seen) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.Stream.Call.Sequence, b.Stream.Call.Sequence))
	})
	truth := s.Ledger.Truth()
	found.executions, found.byKey = truth.Executions, truth.ByKey
	return found
}

// check returns every violation that callers' and back ends' records show.
func (s *site) check(records []*programRecord) []violation {
	found := s.evidence()
	var violations []violation
	violations = append(violations, checkOrder(found)...)
	violations = append(violations, checkUnrepeatable(found)...)
	for _, record := range records {
		violations = append(violations, checkHistory(found, record)...)
		violations = append(violations, s.checkBudget(found, record)...)
		violations = append(violations, checkAnswers(found, record)...)
		violations = append(violations, checkNotRun(found, record)...)
		violations = append(violations, checkMemory(found, record)...)
		violations = append(violations, checkProgress(record)...)
	}
	return violations
}

// checkOrder: on each branch, no call arrives at any engine after a later call did.
func checkOrder(found evidence) []violation {
	type branch struct {
		program identity.ProgramID
		branch  identity.BranchID
	}
	last := map[branch]seen{}
	var violations []violation
	for _, arrival := range found.arrivals {
		key := branch{program: arrival.Stream.Call.Program, branch: arrival.Stream.Call.Branch}
		former, known := last[key]
		if known && former.Stream.Call.Sequence > arrival.Stream.Call.Sequence {
			violations = append(violations, violation{pointOrder, fmt.Sprintf("%s reached %s at %s after %s reached %s at %s",
				arrival.Stream, arrival.engine, clock(arrival.Arrival), former.Stream, former.engine, clock(former.Arrival))})
			continue
		}
		last[key] = arrival
	}
	return violations
}

func clock(arrival engine.Arrival) string { return arrival.Arrived.Format("15:04:05.000000") }

// checkUnrepeatable: no key of an unrepeatable operation was executed twice.
func checkUnrepeatable(found evidence) []violation {
	counts := map[string]int{}
	for _, execution := range found.executions {
		if execution.Effect == application.Unrepeatable {
			counts[execution.Key]++
		}
	}
	var violations []violation
	for key, count := range counts {
		if count > 1 {
			violations = append(violations, violation{pointUnrepeatable, fmt.Sprintf("%s ran %d times", key, count)})
		}
	}
	return violations
}

// checkHistory: every model call reached the engines with exactly the turns and answers
// of the branch so far.
func checkHistory(found evidence, record *programRecord) []violation {
	expected := map[identity.CallID][]engine.Digest{}
	histories := map[identity.BranchID][]engine.Digest{}
	for _, outcome := range record.outcomes {
		if outcome.request.Kind != api.CallModel {
			continue
		}
		history := histories[outcome.id.Branch]
		for _, message := range outcome.request.Messages {
			history = append(history, engine.Digest(model.Digest(backend.Message{Role: message.Role, Content: message.Content})))
		}
		expected[outcome.id] = slices.Clone(history)
		if outcome.answer != nil {
			history = append(history, engine.Digest(model.Digest(backend.Message{Role: "assistant", Content: outcome.answer.Text})))
		}
		histories[outcome.id.Branch] = history
	}
	var violations []violation
	for _, arrival := range found.arrivals {
		if arrival.Stream.Call.Program != record.id {
			continue
		}
		wanted, known := expected[arrival.Stream.Call]
		if !known || !slices.Equal(wanted, arrival.Messages) {
			violations = append(violations, violation{pointHistory, fmt.Sprintf("%s reached %s with %d messages, expected %d of its own",
				arrival.Stream, arrival.engine, len(arrival.Messages), len(wanted))})
		}
	}
	return violations
}

// checkBudget: the tokens that engines computed for a program, repeats included, stay
// within the budget of its class.
func (s *site) checkBudget(found evidence, record *programRecord) []violation {
	var spent int64
	for _, arrival := range found.arrivals {
		if arrival.Stream.Call.Program == record.id {
			spent += int64(arrival.PromptTokens + arrival.Tokens)
		}
	}
	if spent > s.plan.budget {
		return []violation{{pointBudget, fmt.Sprintf("%s spent %d of %d tokens", record.id, spent, s.plan.budget)}}
	}
	return nil
}

// checkAnswers: the streamed tokens form the answer, and an engine generated it for this
// call.
func checkAnswers(found evidence, record *programRecord) []violation {
	var violations []violation
	for _, outcome := range record.outcomes {
		if outcome.answer == nil {
			continue
		}
		if answered := outcome.answer; answered.Program != string(record.id) || answered.Sequence != uint64(outcome.id.Sequence) || answered.Branch != string(outcome.id.Branch) {
			violations = append(violations, violation{pointAnswer, fmt.Sprintf("%s got the answer of %s/%s/%d",
				outcome.id, answered.Program, answered.Branch, answered.Sequence)})
		}
		if outcome.request.Kind != api.CallModel {
			violations = append(violations, checkOutput(found, outcome)...)
			continue
		}
		if outcome.streamed != outcome.answer.Text {
			violations = append(violations, violation{pointAnswer, fmt.Sprintf("%s was streamed %q, the answer is %q",
				outcome.id, outcome.streamed, outcome.answer.Text)})
		}
		if !ranToEnd(found, outcome.id) {
			violations = append(violations, violation{pointAnswer, fmt.Sprintf("%s was answered but no engine finished it", outcome.id)})
		}
	}
	return violations
}

func ranToEnd(found evidence, call identity.CallID) bool {
	return slices.ContainsFunc(found.arrivals, func(arrival seen) bool {
		return arrival.Stream.Call == call && arrival.Outcome == engine.OutcomeFinished
	})
}

// checkOutput: an application's answer belongs to an execution of this call.
func checkOutput(found evidence, outcome *outcome) []violation {
	ran := slices.ContainsFunc(found.executions, func(execution application.Execution) bool {
		return execution.Stream.Call == outcome.id
	})
	if !ran || len(outcome.answer.Output) == 0 {
		return []violation{{pointAnswer, fmt.Sprintf("%s was answered %q but no application ran it", outcome.id, outcome.answer.Output)}}
	}
	return nil
}

// checkNotRun: a call whose attempts were all rejected as not run reached no back end.
func checkNotRun(found evidence, record *programRecord) []violation {
	var violations []violation
	for _, outcome := range record.outcomes {
		if outcome.problem == nil || outcome.everAmbiguous {
			continue
		}
		for _, arrival := range found.arrivals {
			if arrival.Stream.Call == outcome.id {
				violations = append(violations, violation{pointNotRun, fmt.Sprintf("%s was rejected (%s) but reached %s", outcome.id, outcome.problem.Code, arrival.engine)})
			}
		}
		for _, execution := range found.executions {
			if execution.Stream.Call == outcome.id {
				violations = append(violations, violation{pointNotRun, fmt.Sprintf("%s was rejected (%s) but ran at %s", outcome.id, outcome.problem.Code, execution.Replica)})
			}
		}
	}
	return violations
}

// checkMemory: no engine has memory in use for a program that has ended.
func checkMemory(found evidence, record *programRecord) []violation {
	if holders := found.held[record.id]; record.ended && len(holders) > 0 {
		return []violation{{pointMemory, fmt.Sprintf("%s has ended but %v still cache its prefixes", record.id, holders)}}
	}
	return nil
}

// checkProgress: each call has an answer, a final rejection, or one after which its
// caller gave up.
func checkProgress(record *programRecord) []violation {
	var violations []violation
	for _, outcome := range record.outcomes {
		stuck := outcome.answer == nil && (outcome.problem == nil || (!isFinal(outcome.problem) && outcome.everAmbiguous))
		if stuck {
			violations = append(violations, violation{pointProgress, fmt.Sprintf("%s has no outcome after %d attempts, the last rejection is %v", outcome.id, outcome.attempts, outcome.problem)})
		}
	}
	if !record.ended {
		violations = append(violations, violation{pointProgress, fmt.Sprintf("%s could not be ended", record.id)})
	}
	return violations
}
