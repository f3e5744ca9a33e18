package replay

import (
	"slices"
	"testing"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/lab/replay"
	"stepseam.example/stepseam/internal/trace"
)

// compareWrong compares a replay with wrong forms of each expected outcome in turn; each
// one must be detected.
func compareWrong(t *testing.T, played *trace.Trace, found *replay.Evidence) {
	t.Helper()
	tried := 0
	for index, event := range played.Events {
		for _, wrong := range mutations(event) {
			tried++
			mutated := *played
			mutated.Events = slices.Clone(played.Events)
			mutated.Events[index] = wrong
			if !detected(wrong, replay.Compare(&mutated, found)) {
				t.Errorf("%s:%d: the wrong form %+v is not detected", played.File, wrong.Line, wrong.Body)
			}
		}
	}
	if tried == 0 {
		t.Errorf("%s has no expected outcome", played.File)
	}
}

// detected reports whether a wrong line was detected. A mutated line of a race is detected
// at the line of the racer that lost.
func detected(wrong trace.Event, differences []replay.Difference) bool {
	publication, _ := wrong.Body.(trace.Publish)
	return slices.ContainsFunc(differences, func(one replay.Difference) bool {
		return one.Line == wrong.Line || publication.RaceOf != ""
	})
}

// mutations returns wrong forms of a line. Lines without an expected outcome have none.
func mutations(event trace.Event) []trace.Event {
	bodies := wrongBodies(event.Body)
	wrong := make([]trace.Event, 0, len(bodies))
	for _, body := range bodies {
		wrong = append(wrong, trace.Event{Line: event.Line, At: event.At, Body: body})
	}
	if _, isBound := event.Body.(trace.ExpectNoNewWork); isBound {
		wrong = append(wrong, trace.Event{Line: event.Line, At: 0, Body: event.Body})
	}
	return wrong
}

func wrongBodies(body trace.Body) []trace.Body {
	switch stated := body.(type) {
	case trace.Call:
		return wrongCalls(stated)
	case trace.Publish:
		return []trace.Body{wrongPublication(stated)}
	case trace.ExpectExecutions:
		stated.AtLeast, stated.AtMost = stated.AtMost+1, stated.AtMost+1
		return []trace.Body{stated}
	case trace.ExpectOrder:
		shorter, longer := stated, stated
		shorter.Sequences = stated.Sequences[1:]
		longer.Sequences = append(slices.Clone(stated.Sequences), 99)
		return []trace.Body{shorter, longer}
	case trace.ExpectConversation:
		stated.Turns++
		return []trace.Body{stated}
	case trace.ExpectSpent:
		stated.AtLeast, stated.AtMost = 0, stated.AtLeast-1
		return []trace.Body{stated}
	case trace.ExpectVersion:
		stated.Version++
		return []trace.Body{stated}
	case trace.ExpectMemory:
		stated.Held = !stated.Held
		return []trace.Body{stated}
	case trace.ExpectState:
		if stated.State == api.ProgramRunning {
			stated.State = api.ProgramEnded
		} else {
			stated.State = api.ProgramRunning
		}
		return []trace.Body{stated}
	}
	return nil
}

func wrongCalls(stated trace.Call) []trace.Body {
	var wrong []trace.Body
	with := func(change func(*trace.Outcome)) {
		mutated := stated
		change(&mutated.Outcome)
		wrong = append(wrong, mutated)
	}
	switch stated.Outcome.Kind {
	case trace.OutcomeAnswered, trace.OutcomeReplayed:
		with(func(o *trace.Outcome) {
			*o = trace.Outcome{Kind: trace.OutcomeRefused, Code: api.CodeNoOwner, NotRun: true}
		})
		with(func(o *trace.Outcome) { *o = trace.Outcome{Kind: trace.OutcomeUnknown} })
		with(func(o *trace.Outcome) { o.Digest = "0" })
	case trace.OutcomeRefused:
		with(func(o *trace.Outcome) { *o = trace.Outcome{Kind: trace.OutcomeAnswered} })
		with(func(o *trace.Outcome) { o.NotRun = !o.NotRun })
		with(func(o *trace.Outcome) { o.Code = api.CodeInternal })
	default:
		with(func(o *trace.Outcome) { *o = trace.Outcome{Kind: trace.OutcomeAnswered} })
		with(func(o *trace.Outcome) {
			*o = trace.Outcome{Kind: trace.OutcomeRefused, Code: api.CodeNoOwner, NotRun: true}
		})
	}
	with(func(o *trace.Outcome) { o.Within = 1 })
	return wrong
}

func wrongPublication(stated trace.Publish) trace.Publish {
	switch {
	case stated.RaceOf != "":
		stated.RaceOf += ", held by one alone"
	case stated.Outcome == trace.PublicationAccepted:
		stated.Outcome = trace.PublicationConflict
	default:
		stated.Outcome = trace.PublicationAccepted
	}
	return stated
}
