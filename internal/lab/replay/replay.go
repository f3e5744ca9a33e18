// Package replay replays a trace on a simulated site of real nodes and compares the
// responses to callers and the requests at back ends with the expected outcomes of
// the trace. Of the nodes' internal state it reads only the version of the table in
// force, the owners of shards and whether a node is draining.
package replay

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/simulated"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/trace"
)

// Options configure a replay.
type Options struct {
	// Mutations injects faulty rules into the site.
	Mutations simulated.Mutations
	// Logger receives the nodes' logs; nil discards them.
	Logger *slog.Logger
	// Record wraps a node's programs, if set, to record the replay.
	Record func(identity.NodeName, serving.Programs) serving.Programs
}

// CallEvidence is the observed result of the call of one line.
type CallEvidence struct {
	Outcome  trace.Outcome
	Answer   *api.Answer
	Streamed string
	Attempts int
	Took     time.Duration
	// Err is the error of the last attempt, nil with an answer.
	Err error
}

// PublicationEvidence is the observed result of the publication of one line.
type PublicationEvidence struct {
	Outcome trace.PublicationOutcome
	Version table.Version
	Err     error
}

// StateEvidence is the observed state of a program.
type StateEvidence struct {
	State api.ProgramState
	Err   error
}

// Evidence has the observations of a replay. The maps are indexed by line number.
type Evidence struct {
	Began        time.Time
	Calls        map[int]CallEvidence
	Publications map[int]PublicationEvidence
	Versions     map[int]map[identity.NodeName]table.Version
	// Holders has the engines that cached a prefix of the line's program.
	Holders map[int][]string
	States  map[int]StateEvidence
	// Failures has the errors of events that could not be executed.
	Failures   map[int]error
	Engines    []engine.Truth
	Executions application.Truth
}

// Run replays t at its event times and returns the observations. In a synctest bubble,
// the caller must sleep for simulated.SettleTime afterwards, so that all goroutines of
// the bubble end.
func Run(ctx context.Context, t *trace.Trace, options Options) (*Evidence, error) {
	site, err := simulated.Start(ctx, planOf(t.Header.Site, options))
	if err != nil {
		return nil, fmt.Errorf("replay: %s: %w", t.File, err)
	}
	defer site.Close()
	p := newPlayer(t, site, options)
	p.play(ctx)
	p.evidence.Engines = site.Engines()
	if site.Ledger != nil {
		p.evidence.Executions = site.Ledger.Truth()
	}
	return p.evidence, nil
}

func planOf(site trace.Site, options Options) simulated.Plan {
	plan := simulated.Plan{
		Seed: site.Seed, Zones: site.Zones, Shards: site.Shards,
		ZoneLatency:    time.Duration(site.Latency.Zones),
		BackendLatency: time.Duration(site.Latency.Backends),
		MachineListLag: time.Duration(site.MachineListLag),
		Table:          trace.TableContent(site.Table),
		Logger:         options.Logger, Mutations: options.Mutations,
	}
	for index := range site.Nodes {
		plan.Nodes = append(plan.Nodes, trace.NodeName(index))
	}
	for _, one := range site.Engines {
		plan.Engines = append(plan.Engines, simulated.Engine{Name: one.Name, Service: one.Service, Models: one.Models})
	}
	for _, one := range site.Applications {
		plan.Applications = append(plan.Applications, simulated.Application{Name: one.Name, Service: one.Service})
	}
	return plan
}

// player executes the events of one trace. Each event has a goroutine that waits for
// the event's time and for the calls on which it depends.
type player struct {
	trace   *trace.Trace
	site    *simulated.Site
	options Options
	began   time.Time
	// finished has a channel per line that is closed when its event has finished. The
	// map is not modified while events run.
	finished map[int]chan struct{}

	// mutex guards the fields below and the maps in evidence.
	mutex    sync.Mutex
	evidence *Evidence
	// undo reverts the failures without a duration.
	undo []func()
}

func newPlayer(t *trace.Trace, site *simulated.Site, options Options) *player {
	p := &player{trace: t, site: site, options: options, began: time.Now(), finished: map[int]chan struct{}{}}
	p.evidence = &Evidence{
		Began: p.began,
		Calls: map[int]CallEvidence{}, Publications: map[int]PublicationEvidence{},
		Versions: map[int]map[identity.NodeName]table.Version{}, Holders: map[int][]string{},
		States: map[int]StateEvidence{}, Failures: map[int]error{},
	}
	for _, event := range t.Events {
		p.finished[event.Line] = make(chan struct{})
	}
	return p
}

func (p *player) play(ctx context.Context) {
	var group sync.WaitGroup
	for _, event := range p.trace.Events {
		group.Go(func() {
			defer close(p.finished[event.Line])
			time.Sleep(time.Until(p.began.Add(time.Duration(event.At))))
			p.execute(ctx, event)
		})
	}
	group.Wait()
	for _, undo := range p.undo {
		undo()
	}
}

// execute executes one event and returns when it has finished.
func (p *player) execute(ctx context.Context, event trace.Event) {
	switch body := event.Body.(type) {
	case trace.Create:
		p.retry(ctx, event, body.Node, func(ctx context.Context, programs serving.Programs) error {
			_, err := programs.Create(ctx, serving.CreateRequest{ID: body.Program, Tenant: body.Tenant, Class: body.Class})
			return err
		})
	case trace.Call:
		p.call(ctx, event, body)
	case trace.End:
		p.awaitCalls(event.Line, func(other trace.Call) bool { return other.Program == body.Program })
		p.retry(ctx, event, body.Node, func(ctx context.Context, programs serving.Programs) error {
			_, err := programs.End(ctx, body.Program)
			return err
		})
	case trace.Cancel:
		p.retry(ctx, event, body.Node, func(ctx context.Context, programs serving.Programs) error {
			_, err := programs.Cancel(ctx, body.Program)
			return err
		})
	case trace.Publish:
		p.publish(ctx, event, body)
	case trace.ExpectVersion, trace.ExpectMemory, trace.ExpectState:
		p.observe(ctx, event)
	default:
		p.fail(event)
	}
}

// awaitCalls waits for the matching calls on earlier lines to finish.
func (p *player) awaitCalls(line int, matches func(trace.Call) bool) {
	for _, event := range p.trace.Events {
		if event.Line >= line {
			return
		}
		if other, isCall := event.Body.(trace.Call); isCall && matches(other) {
			<-p.finished[event.Line]
		}
	}
}

func (p *player) note(change func(*Evidence)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(p.evidence)
}

func (p *player) noteFailure(line int, err error) {
	p.note(func(e *Evidence) { e.Failures[line] = err })
}
