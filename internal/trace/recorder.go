package trace

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/serving"
)

// Recorder records callers' requests as events of a trace, with the observed
// outcomes as the expected ones. It wraps a node's serving.Programs, so each
// attempt of a caller is an event of its own. It is safe for concurrent use.
type Recorder struct {
	began time.Time

	// mutex guards the fields below.
	mutex    sync.Mutex
	events   []Event
	created  map[identity.ProgramID]bool
	branches map[branchKey]*branchTraffic
}

// branchTraffic tracks the calls of one branch.
type branchTraffic struct {
	// open counts the calls in flight; lastOutcome is the time of the last outcome.
	open        int
	lastOutcome time.Time
}

type branchKey struct {
	program identity.ProgramID
	branch  identity.BranchID
}

// NewRecorder returns a recorder whose event times are relative to began.
func NewRecorder(began time.Time) *Recorder {
	return &Recorder{began: began, created: map[identity.ProgramID]bool{}, branches: map[branchKey]*branchTraffic{}}
}

// Programs wraps the programs of the node name and records the requests to them.
func (r *Recorder) Programs(name identity.NodeName, programs serving.Programs) serving.Programs {
	return &recordedPrograms{Programs: programs, recorder: r, node: NodeReference(name)}
}

// Events returns the recorded events in order of their start, with the line
// numbers that Write gives them. Requests in flight are not included.
func (r *Recorder) Events() []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := slices.Clone(r.events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for index := range events {
		events[index].Line = index + firstEventLine
	}
	return events
}

// firstEventLine follows the line of the header.
const firstEventLine = 2

func (r *Recorder) add(at time.Time, body Body) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, Event{At: Duration(at.Sub(r.began)), Body: body})
}

// send registers a call that is sent now. It returns the time since the branch's
// last outcome, or nil if there is none yet or another call is in flight.
func (r *Recorder) send(branch branchKey) *Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	traffic := r.branches[branch]
	if traffic == nil {
		traffic = &branchTraffic{}
		r.branches[branch] = traffic
	}
	traffic.open++
	if traffic.open > 1 || traffic.lastOutcome.IsZero() {
		return nil
	}
	pause := Duration(time.Since(traffic.lastOutcome))
	return &pause
}

func (r *Recorder) finish(branch branchKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	traffic := r.branches[branch]
	traffic.open--
	traffic.lastOutcome = time.Now()
}

// firstCreation reports whether the program's creation was not recorded before,
// and marks it as recorded.
func (r *Recorder) firstCreation(program identity.ProgramID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := !r.created[program]
	r.created[program] = true
	return first
}

// recordedPrograms records the requests to one node. Fetch and Get are read-only
// and are not recorded.
type recordedPrograms struct {
	serving.Programs
	recorder *Recorder
	node     NodeReference
}

// Create implements serving.Programs. Repeated creations of a program are recorded
// once.
func (p *recordedPrograms) Create(ctx context.Context, request serving.CreateRequest) (api.Program, error) {
	at := time.Now()
	created, err := p.Programs.Create(ctx, request)
	if err == nil && p.recorder.firstCreation(request.ID) {
		p.recorder.add(at, Create{Program: request.ID, Tenant: request.Tenant, Class: request.Class, Node: p.node})
	}
	return created, err
}

// Call implements serving.Programs.
func (p *recordedPrograms) Call(ctx context.Context, request serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	at := time.Now()
	event := Call{Program: request.Program, Node: p.node, Call: request.Call}
	branch := branchKey{program: request.Program, branch: event.CallID().Branch}
	event.Pause = p.recorder.send(branch)
	answer, err := p.Programs.Call(ctx, request, onToken)
	event.Outcome = OutcomeOf(answer, err)
	if event.Outcome.Kind == OutcomeConnectionLost {
		event.Timeout = Duration(time.Since(at))
	}
	p.recorder.finish(branch)
	p.recorder.add(at, event)
	return answer, err
}

// End implements serving.Programs.
func (p *recordedPrograms) End(ctx context.Context, program identity.ProgramID) (api.Program, error) {
	at := time.Now()
	ended, err := p.Programs.End(ctx, program)
	if err == nil {
		p.recorder.add(at, End{Program: program, Node: p.node})
	}
	return ended, err
}

// Cancel implements serving.Programs.
func (p *recordedPrograms) Cancel(ctx context.Context, program identity.ProgramID) (api.Program, error) {
	at := time.Now()
	cancelled, err := p.Programs.Cancel(ctx, program)
	if err == nil {
		p.recorder.add(at, Cancel{Program: program, Node: p.node})
	}
	return cancelled, err
}
