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

// Recorder records callers' traffic as events of a trace, with the outcomes that
// callers got as the stated ones. It stands where callers meet a node, so each
// attempt of a caller is a line of its own. It is safe for concurrent use.
type Recorder struct {
	began time.Time

	// mutex guards all below.
	mutex    sync.Mutex
	events   []Event
	created  map[identity.ProgramID]bool
	branches map[branchKey]*branchTraffic
}

// branchTraffic is what was seen of a branch's calls.
type branchTraffic struct {
	// open counts the calls without outcome; concluded is when the last one had its.
	open      int
	concluded time.Time
}

type branchKey struct {
	program identity.ProgramID
	branch  identity.BranchID
}

// NewRecorder returns a recorder whose events' times count from began.
func NewRecorder(began time.Time) *Recorder {
	return &Recorder{began: began, created: map[identity.ProgramID]bool{}, branches: map[branchKey]*branchTraffic{}}
}

// Programs returns programs as callers of the node name see them, recorded.
func (r *Recorder) Programs(name identity.NodeName, programs serving.Programs) serving.Programs {
	return &recordedPrograms{Programs: programs, recorder: r, node: NodeReference(name)}
}

// Events returns what was recorded, in the order in which it began. Their lines
// are those that Write gives them.
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

// firstEventLine is the line after the header's.
const firstEventLine = 2

func (r *Recorder) add(at time.Time, body Body) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, Event{At: Duration(at.Sub(r.began)), Body: body})
}

// send notes that a call is sent now. It returns how long after the branch's last
// outcome that is, nil where none has an outcome yet or another call is open.
func (r *Recorder) send(branch branchKey) *Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	traffic := r.branches[branch]
	if traffic == nil {
		traffic = &branchTraffic{}
		r.branches[branch] = traffic
	}
	traffic.open++
	if traffic.open > 1 || traffic.concluded.IsZero() {
		return nil
	}
	pause := Duration(time.Since(traffic.concluded))
	return &pause
}

func (r *Recorder) conclude(branch branchKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	traffic := r.branches[branch]
	traffic.open--
	traffic.concluded = time.Now()
}

// firstCreation tells whether the program was not recorded before.
func (r *Recorder) firstCreation(program identity.ProgramID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := !r.created[program]
	r.created[program] = true
	return first
}

// recordedPrograms is one node as its callers see it. Fetch and Get change
// nothing and are handed on.
type recordedPrograms struct {
	serving.Programs
	recorder *Recorder
	node     NodeReference
}

// Create implements serving.Programs. Repeats of a creation are one event.
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
	if event.Outcome.Is == OutcomeLost {
		event.Timeout = Duration(time.Since(at))
	}
	p.recorder.conclude(branch)
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
