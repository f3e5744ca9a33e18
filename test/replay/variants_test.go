package replay

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/lab/replay"
	"stepseam.example/stepseam/internal/lab/simulated"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/trace"
)

// variant is a site with one wrong rule, and the kind of line at which the replay of a
// trace must differ.
type variant struct {
	trace string
	name  string
	shows trace.Kind
	wrong simulated.Mutations
	// change alters the site; nil changes nothing.
	change func(trace.Event) trace.Event
}

const (
	call         trace.Kind = "call"
	executions   trace.Kind = "expect_executions"
	conversation trace.Kind = "expect_conversation"
	memory       trace.Kind = "expect_memory"
)

func variants() []variant {
	runsAgain := simulated.Mutations{Hooks: serving.Hooks{MayRetry: func(identity.CallID, bool) bool { return true }}}
	notDurable := simulated.Mutations{Hooks: serving.Hooks{RequiresDurableIntent: func(identity.CallID, bool) bool { return false }}}
	noReservation := simulated.Mutations{Hooks: serving.Hooks{Reserve: func(int64, int64) int64 { return 0 }}}
	noLease := simulated.Mutations{Hooks: serving.Hooks{CheckLease: func(journal.Shard) error { return nil }}}
	forgets := simulated.Mutations{Directory: wrongly(wrongBackends{forget: true})}
	keepsMemory := simulated.Mutations{Directory: wrongly(wrongBackends{keepMemory: true})}
	hidesLeaving := simulated.Mutations{Directory: wrongly(wrongBackends{hideLeaving: true})}
	sendsTwice := simulated.Mutations{Directory: wrongly(wrongBackends{sendTwice: true})}
	noFence := simulated.Mutations{Hooks: serving.Hooks{
		Fence:      func(identity.StreamID) error { return nil },
		CheckLease: func(journal.Shard) error { return nil },
	}}
	ignoresTables := simulated.Mutations{Log: func(log siteservices.Log) siteservices.Log { return firstTableLog{Log: log} }}
	return []variant{
		{trace: "quito-deadline-night", name: "the oldest turn is dropped", shows: conversation, wrong: forgets},
		{trace: "quito-deadline-night", name: "engines get no release requests", shows: memory, wrong: keepsMemory},
		{trace: "quito-owner-killed-mid-enrolment", name: "unrepeatable calls run again", shows: executions, wrong: runsAgain},
		{trace: "quito-fee-answer-lost", name: "unrepeatable calls run again", shows: executions, wrong: runsAgain},
		{trace: "quito-operator-race", name: "new versions are not read", shows: "expect_version", wrong: ignoresTables},
		{trace: "quito-zone-cut", name: "the oldest turn is dropped", shows: conversation, wrong: forgets},
		{trace: "quito-zone-cut", name: "engines get no release requests", shows: memory, wrong: keepsMemory},
		{trace: "quito-owner-frozen-past-its-lease", name: "unrepeatable calls run again", shows: executions, wrong: runsAgain},
		{trace: "quito-budget", name: "no reservation", shows: "expect_spent", wrong: noReservation},
		{trace: "quito-frozen-owner-sends-late", name: "lost streams are not cancelled", shows: "expect_order", wrong: noFence},
		{trace: "quito-planned-stops", name: "nodes are killed in place of stopped", shows: call, change: killInPlaceOfDrain},
		{trace: "haldane-long-conversation", name: "the oldest turn is dropped", shows: conversation, wrong: forgets},
		{trace: "haldane-doubled-ticket", name: "requests are sent twice", shows: executions, wrong: sendsTwice},
		{trace: "haldane-technician-while-a-zone-is-cut", name: "the lease is not looked at", shows: call, wrong: noLease},
		{trace: "haldane-log-outage-of-an-hour", name: "unrepeatable calls are not made durable", shows: call, wrong: notDurable},
		{trace: "haldane-engine-leaving", name: "leaving engines look live", shows: "expect_no_new_work", wrong: hidesLeaving},
		{trace: "haldane-endless-loop", name: "engines get no release requests", shows: memory, wrong: keepsMemory},
		{trace: "haldane-hung-tool", name: "unrepeatable calls run again", shows: executions, wrong: runsAgain},
		{trace: "haldane-cancelled-program", name: "engines get no release requests", shows: memory, wrong: keepsMemory},
	}
}

// killInPlaceOfDrain stops nodes without a handover.
func killInPlaceOfDrain(event trace.Event) trace.Event {
	if stop, isDrain := event.Body.(trace.Drain); isDrain {
		event.Body = trace.Kill(stop)
	}
	return event
}

// TestTracesFindWrongVariants replays each trace over a site with a wrong rule: the line
// that checks the rule must differ.
func TestTracesFindWrongVariants(t *testing.T) {
	t.Parallel()
	for _, wrong := range variants() {
		t.Run(wrong.trace+"/"+wrong.name, func(t *testing.T) {
			t.Parallel()
			played := readTrace(t, "testdata/"+wrong.trace+".jsonl")
			for index, event := range played.Events {
				if wrong.change != nil {
					played.Events[index] = wrong.change(event)
				}
			}
			differences := replay.Compare(played, run(t, played, replay.Options{Mutations: wrong.wrong}))
			for _, event := range played.Events {
				if event.Body.Kind() != wrong.shows {
					continue
				}
				if found := slices.IndexFunc(differences, func(one replay.Difference) bool { return one.Line == event.Line }); found >= 0 {
					t.Log(differences[found])
					return
				}
			}
			t.Errorf("no line of kind %s differs, only %v", wrong.shows, differences)
		})
	}
}

// TestEveryTraceHasAWrongVariant ensures that each trace has a wrong variant.
func TestEveryTraceHasAWrongVariant(t *testing.T) {
	t.Parallel()
	for _, file := range traceFiles(t) {
		if !slices.ContainsFunc(variants(), func(one variant) bool { return one.trace == nameOf(file) }) {
			t.Errorf("%s has no wrong variant", file)
		}
	}
}

// firstTableLog returns the first table to a node and no later one.
type firstTableLog struct{ siteservices.Log }

// Read implements siteservices.Log.
func (l firstTableLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	if stream == table.Stream && from > 0 {
		time.Sleep(wait + time.Millisecond)
		return l.Log.Read(ctx, stream, 1<<30, limit, 0)
	}
	return l.Log.Read(ctx, stream, from, 1, wait)
}

// wrongBackends returns back-end clients with one injected fault.
type wrongBackends struct {
	backend.Directory
	// forget drops the oldest turn of every longer conversation, keepMemory reports
	// releases that engines did not get, hideLeaving shows leaving engines as live,
	// sendTwice sends each application request twice.
	forget, keepMemory, hideLeaving, sendTwice bool
}

func wrongly(wrong wrongBackends) func(backend.Directory) backend.Directory {
	return func(inner backend.Directory) backend.Directory {
		wrong := wrong
		wrong.Directory = inner
		return wrong
	}
}

func (w wrongBackends) Engine(address netip.AddrPort) backend.Engine {
	return wrongEngine{Engine: w.Directory.Engine(address), wrong: w}
}

func (w wrongBackends) Application(address netip.AddrPort) backend.Application {
	return wrongApplication{Application: w.Directory.Application(address), wrong: w}
}

type wrongEngine struct {
	backend.Engine
	wrong wrongBackends
}

func (e wrongEngine) Generate(ctx context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	if e.wrong.forget && len(request.Messages) > 2 {
		request.Messages = request.Messages[1:]
	}
	result, err := e.Engine.Generate(ctx, request, onToken)
	if e.wrong.hideLeaving && err != nil {
		err = backend.ErrRefused
	}
	return result, err
}

func (e wrongEngine) Release(ctx context.Context, program identity.ProgramID, branch identity.BranchID) error {
	if e.wrong.keepMemory {
		return nil
	}
	return e.Engine.Release(ctx, program, branch)
}

func (e wrongEngine) Load(ctx context.Context) (backend.LoadReport, error) {
	report, err := e.Engine.Load(ctx)
	report.Draining = report.Draining && !e.wrong.hideLeaving
	return report, err
}

type wrongApplication struct {
	backend.Application
	wrong wrongBackends
}

func (a wrongApplication) Invoke(ctx context.Context, request backend.InvokeRequest) ([]byte, error) {
	if a.wrong.sendTwice {
		_, _ = a.Application.Invoke(ctx, request) // the second response is returned
	}
	return a.Application.Invoke(ctx, request)
}

// Load returns the replica's report.
func (a wrongApplication) Load(ctx context.Context) (backend.LoadReport, error) {
	return backend.LoadOf(ctx, a.Application)
}
