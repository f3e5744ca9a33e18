// Package replay replays a trace over a whole simulated site of real nodes and
// compares what the callers got and what the back ends saw with the outcomes that
// the trace states. It reads nothing of the nodes' own books, except the version
// of the table in force and the state of a program, which only they can tell.
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

// Options are what a replay may be given besides its trace.
type Options struct {
	// Wrong replaces rules of the site by wrong ones.
	Wrong simulated.Wrong
	// Logger takes the nodes' logs; nil drops them.
	Logger *slog.Logger
	// Record wraps what callers see of a node, to record the replay itself.
	Record func(identity.NodeName, serving.Programs) serving.Programs
}

// CallEvidence is what a caller got for one line.
type CallEvidence struct {
	Outcome  trace.Outcome
	Answer   *api.Answer
	Streamed string
	Attempts int
	Took     time.Duration
	// Err is the last error of an outcome without answer.
	Err error
}

// PublicationEvidence is what an operator was told for one line.
type PublicationEvidence struct {
	Outcome trace.PublicationOutcome
	Version table.Version
	Err     error
}

// StateEvidence is what was told of a program.
type StateEvidence struct {
	State api.ProgramState
	Err   error
}

// Evidence is all that a replay saw, by the number of the line it belongs to.
type Evidence struct {
	Began        time.Time
	Calls        map[int]CallEvidence
	Publications map[int]PublicationEvidence
	Versions     map[int]map[identity.NodeName]table.Version
	// Holders are the engines that held memory of the line's program.
	Holders map[int][]string
	States  map[int]StateEvidence
	// Failures are lines that could not be carried out.
	Failures   map[int]error
	Engines    []engine.Truth
	Executions application.Truth
}

// Run replays t and returns what was seen. It takes as long as the trace. Inside
// a synctest bubble that is no time, but the caller sleeps simulated.Settle then,
// so that everything in the bubble ends.
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
		Logger:         options.Logger, Wrong: options.Wrong,
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

// player carries the events of one trace out. Each event has a goroutine, which
// waits for its time and for the calls that have to come before it.
type player struct {
	trace   *trace.Trace
	site    *simulated.Site
	options Options
	began   time.Time
	// concluded is closed for each line once its event is over. It is not changed
	// while events run.
	concluded map[int]chan struct{}

	// mutex guards all below, evidence with its maps included.
	mutex    sync.Mutex
	evidence *Evidence
	// undo ends the failures that last as long as the trace.
	undo []func()
}

func newPlayer(t *trace.Trace, site *simulated.Site, options Options) *player {
	p := &player{trace: t, site: site, options: options, began: time.Now(), concluded: map[int]chan struct{}{}}
	p.evidence = &Evidence{
		Began: p.began,
		Calls: map[int]CallEvidence{}, Publications: map[int]PublicationEvidence{},
		Versions: map[int]map[identity.NodeName]table.Version{}, Holders: map[int][]string{},
		States: map[int]StateEvidence{}, Failures: map[int]error{},
	}
	for _, event := range t.Events {
		p.concluded[event.Line] = make(chan struct{})
	}
	return p
}

func (p *player) play(ctx context.Context) {
	var group sync.WaitGroup
	for _, event := range p.trace.Events {
		group.Go(func() {
			defer close(p.concluded[event.Line])
			time.Sleep(time.Until(p.began.Add(time.Duration(event.At))))
			p.carryOut(ctx, event)
		})
	}
	group.Wait()
	for _, undo := range p.undo {
		undo()
	}
}

// carryOut brings one event about and returns when it is over.
func (p *player) carryOut(ctx context.Context, event trace.Event) {
	switch body := event.Body.(type) {
	case trace.Create:
		p.insist(ctx, event, body.Node, func(ctx context.Context, programs serving.Programs) error {
			_, err := programs.Create(ctx, serving.CreateRequest{ID: body.Program, Tenant: body.Tenant, Class: body.Class})
			return err
		})
	case trace.Call:
		p.call(ctx, event, body)
	case trace.End:
		p.awaitCalls(event.Line, func(other trace.Call) bool { return other.Program == body.Program })
		p.insist(ctx, event, body.Node, func(ctx context.Context, programs serving.Programs) error {
			_, err := programs.End(ctx, body.Program)
			return err
		})
	case trace.Cancel:
		p.insist(ctx, event, body.Node, func(ctx context.Context, programs serving.Programs) error {
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

// awaitCalls waits for the calls on lines before line that match.
func (p *player) awaitCalls(line int, matches func(trace.Call) bool) {
	for _, event := range p.trace.Events {
		if event.Line >= line {
			return
		}
		if other, isCall := event.Body.(trace.Call); isCall && matches(other) {
			<-p.concluded[event.Line]
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
