package program_test

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

const (
	machineBudget   = 250
	machineMaxCalls = 40
	programID       = identity.ProgramID("p")
)

// modelAttempt is one dispatch as observed by a back end.
type modelAttempt struct {
	stream   identity.StreamID
	key      string
	cost     int64
	resolved bool
	ran      bool
}

// modelBranch is the conversation of one branch as observed by its caller.
type modelBranch struct {
	answered int
	open     *program.Request
	messages []api.Message
}

// machine compares the state machine with a simple model: the list of attempts and
// the messages of each branch. Its exported methods are the actions of the property
// test.
type machine struct {
	now      time.Time
	set      *program.Set
	replayed *program.Set
	reserve  func(prompt, answer int64) int64
	attempts []*modelAttempt
	branches map[identity.BranchID]*modelBranch
	// keyRuns maps idempotency keys to the calls whose attempts ran.
	keyRuns map[string]map[identity.CallID]bool
	// cancelled contains the streams that a confirmed release has cancelled.
	cancelled map[identity.StreamID]bool
	ended     bool
}

func newMachine(reserve func(prompt, answer int64) int64) *machine {
	m := &machine{
		now: time.Unix(1000, 0), set: program.NewSet(), replayed: program.NewSet(), reserve: reserve,
		branches: map[identity.BranchID]*modelBranch{}, keyRuns: map[string]map[identity.CallID]bool{},
		cancelled: map[identity.StreamID]bool{},
	}
	for _, id := range []identity.BranchID{"main", "a", "b"} {
		m.branches[id] = &modelBranch{}
	}
	return m
}

func (m *machine) program() *program.Program { return m.set.Get(programID) }

// commit applies records, and their decoded binary form to a second set.
func (m *machine) commit(t *rapid.T, records ...program.Record) {
	for _, record := range records {
		if err := m.set.Apply(record); err != nil {
			t.Fatalf("apply %T: %v", record, err)
		}
		decoded, err := program.Decode(program.Encode(record))
		if err != nil {
			t.Fatalf("decode %T: %v", record, err)
		}
		if err := m.replayed.Apply(decoded); err != nil {
			t.Fatalf("apply decoded %T: %v", record, err)
		}
	}
}

func (m *machine) drawCall(t *rapid.T) program.Request {
	branchID := rapid.SampledFrom([]identity.BranchID{"main", "a", "b"}).Draw(t, "branch")
	branch := m.branches[branchID]
	sequence := uint64(max(branch.answered+rapid.SampledFrom([]int{1, 1, 1, 1, 2, 0, -1}).Draw(t, "offset"), 1))
	call := api.CallRequest{Sequence: sequence, Branch: string(branchID), Kind: api.CallModel, MaxTokens: rapid.IntRange(1, 60).Draw(t, "max tokens")}
	call.IdempotencyKey = rapid.SampledFrom([]string{"", "", "", "", "", "k1", "k2"}).Draw(t, "key")
	content := fmt.Sprintf("%s-%d", branchID, sequence)
	if call.IdempotencyKey != "" {
		content, call.MaxTokens = call.IdempotencyKey, 5
	}
	call.Messages = []api.Message{{Role: "user", Content: content}}
	if rapid.Bool().Draw(t, "whole history") && call.IdempotencyKey == "" {
		call.WholeHistory = true
		call.Messages = append(append([]api.Message(nil), branch.messages...), call.Messages...)
	}
	return program.NewRequest(programID, call)
}

// Begin sends a call with a random sequence near the next one of its branch.
func (m *machine) Begin(t *rapid.T) {
	request := m.drawCall(t)
	branch := m.branches[request.ID.Branch]
	evaluation := m.program().Evaluate(m.now, request)
	next := identity.Sequence(branch.answered + 1)
	if evaluation.Action == program.ActionRun && (request.ID.Sequence != next || branch.open != nil) {
		t.Fatalf("call %s is runnable while %d is next", request.ID, next)
	}
	if evaluation.Action == program.ActionRepeat {
		m.commit(t, program.Deduplicated{ID: request.ID, Digest: request.Digest, Of: evaluation.Call.Request.ID, At: m.now})
		branch.answered++
		return
	}
	if evaluation.Action != program.ActionRun {
		return
	}
	intent, problem := m.program().Begin(m.now, request, m.dispatch(t))
	if problem != nil {
		return
	}
	m.commit(t, intent)
	opened := intent.Request
	branch.open = &opened
	m.sent(intent.Attempt, request.IdempotencyKey)
}

func (m *machine) dispatch(t *rapid.T) program.Dispatch {
	name := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "backend")
	return program.Dispatch{Backend: name, Epoch: 1, ReservationRule: m.reserve}
}

func (m *machine) sent(attempt program.Attempt, key string) {
	m.attempts = append(m.attempts, &modelAttempt{stream: attempt.Stream, key: key, cost: attempt.Reserved})
}

// drawOpen chooses an open call and its model attempt.
func (m *machine) drawOpen(t *rapid.T) (*program.Call, *modelAttempt) {
	open := m.program().OpenCalls()
	if len(open) == 0 {
		t.Skip("no open call")
	}
	call := rapid.SampledFrom(open).Draw(t, "open call")
	for _, attempt := range m.attempts {
		if attempt.stream == call.Attempt.Stream {
			return call, attempt
		}
	}
	t.Fatalf("call %s has an attempt that was not sent: %s", call.Request.ID, call.Attempt.Stream)
	return nil, nil
}

// Answer lets an engine answer an open call and report its token counts.
func (m *machine) Answer(t *rapid.T) {
	call, attempt := m.drawOpen(t)
	if !call.Pending {
		t.Skip("nothing under way")
	}
	request := call.Request
	prompt := m.program().Prompt(request)
	size := 0
	for _, message := range prompt {
		size += len(message.Content) // the worst case of a tokenizer: one token per byte
	}
	usage := api.Usage{PromptTokens: size, CompletionTokens: rapid.IntRange(1, request.MaxTokens).Draw(t, "answer tokens")}
	text := fmt.Sprintf("answer-%s", request.ID)
	m.commit(t, program.Result{Stream: attempt.stream, Answer: program.Answer{Text: text, Usage: usage, At: m.now}})
	attempt.resolved, attempt.ran = true, true
	attempt.cost = int64(usage.PromptTokens + usage.CompletionTokens)
	branch := m.branches[request.ID.Branch]
	branch.answered++
	branch.open = nil
	branch.messages = append(branch.messages, request.Messages...)
	branch.messages = append(branch.messages, api.Message{Role: "assistant", Content: text})
	m.noteRun(attempt)
}

func (m *machine) noteRun(attempt *modelAttempt) {
	if attempt.key == "" {
		return
	}
	if m.keyRuns[attempt.key] == nil {
		m.keyRuns[attempt.key] = map[identity.CallID]bool{}
	}
	m.keyRuns[attempt.key][attempt.stream.Call] = true
}

// NotRun resolves an attempt that was refused.
func (m *machine) NotRun(t *rapid.T) {
	call, attempt := m.drawOpen(t)
	if !call.Pending {
		t.Skip("nothing under way")
	}
	m.commit(t, program.NotRun{Stream: attempt.stream})
	attempt.resolved, attempt.cost = true, 0
}

// Retry starts another attempt of an open call; an attempt without a result stays
// charged.
func (m *machine) Retry(t *rapid.T) {
	call, attempt := m.drawOpen(t)
	retry, problem := m.program().Retry(m.now, call, m.dispatch(t))
	if problem != nil {
		return
	}
	m.commit(t, retry)
	attempt.resolved = true
	m.sent(retry.Attempt, call.Request.IdempotencyKey)
}

// LateAnswer delivers the answer of an attempt that is already resolved, which must
// not change the state.
func (m *machine) LateAnswer(t *rapid.T) {
	if len(m.attempts) == 0 {
		t.Skip("nothing was sent")
	}
	late := rapid.SampledFrom(m.attempts).Draw(t, "attempt")
	if !late.resolved {
		t.Skip("not late")
	}
	before := m.set.Snapshot()
	m.commit(t, program.Result{Stream: late.stream, Answer: program.Answer{Text: "late", At: m.now}})
	if !bytes.Equal(before, m.set.Snapshot()) {
		t.Fatalf("the late answer to %s changed the state", late.stream)
	}
}

// Drop withdraws an open call.
func (m *machine) Drop(t *rapid.T) {
	call, attempt := m.drawOpen(t)
	branch := call.Request.ID.Branch
	m.commit(t, program.Withdrawn{Call: call.Request.ID, At: m.now})
	attempt.resolved = true
	m.branches[branch].open = nil
}

// Confirm lets an engine confirm the first release of the outbox.
func (m *machine) Confirm(t *rapid.T) {
	outbox := m.program().Outbox()
	if len(outbox) == 0 {
		t.Skip("nothing to release")
	}
	for _, stream := range outbox[0].Streams {
		m.cancelled[stream] = true
	}
	m.commit(t, program.Released{ID: programID, Backend: outbox[0].Backend, Branch: outbox[0].Branch})
}

// Evict evicts the cached prefix of a paused branch.
func (m *machine) Evict(t *rapid.T) {
	paused := m.program().Paused()
	if len(paused) == 0 {
		t.Skip("nothing pauses")
	}
	slices.SortFunc(paused, func(a, b program.Paused) int { return cmp.Compare(a.Branch, b.Branch) })
	branch := rapid.SampledFrom(paused).Draw(t, "paused").Branch
	m.commit(t, program.Evicted{ID: programID, Branch: branch})
	if placements := m.program().Placements(branch); len(placements) > 0 {
		t.Fatalf("branch %s still has placements %v", branch, placements)
	}
}

// End ends the program with a low probability.
func (m *machine) End(t *rapid.T) {
	if rapid.IntRange(0, 99).Draw(t, "end") > 0 {
		t.Skip("not yet")
	}
	if record, running := m.program().End(m.now, api.ProgramEnded); running {
		m.commit(t, record)
		m.ended = true
	}
}

// Check compares the state with the model.
func (m *machine) Check(t *rapid.T) {
	m.now = m.now.Add(time.Second)
	p := m.program()
	total := int64(0)
	for _, attempt := range m.attempts {
		total += attempt.cost
	}
	if got := p.Spent() + p.Reserved(); got != total {
		t.Fatalf("spent plus reserved is %d, the sum over the attempts is %d", got, total)
	}
	if total > machineBudget {
		t.Fatalf("the program spent %d of a budget of %d", total, machineBudget)
	}
	if p.Calls() > machineMaxCalls {
		t.Fatalf("%d calls exceed the limit of %d", p.Calls(), machineMaxCalls)
	}
	for key, calls := range m.keyRuns {
		if len(calls) > 1 {
			t.Fatalf("key %q was answered for %d calls", key, len(calls))
		}
	}
	m.checkHistory(t)
	m.checkPlacements(t)
	m.checkReplay(t)
}

func (m *machine) checkHistory(t *rapid.T) {
	if m.ended {
		return // an ended program no longer has its messages
	}
	for id, branch := range m.branches {
		if got := m.program().History(id); fmt.Sprint(got) != fmt.Sprint(branch.messages) {
			t.Fatalf("history of %s is %v, want %v", id, got, branch.messages)
		}
	}
}

// checkPlacements checks that the engine of each pending attempt is a placement or in
// the outbox, until a confirmed release has cancelled the stream.
func (m *machine) checkPlacements(t *rapid.T) {
	for _, call := range m.program().OpenCalls() {
		if call.Pending && !m.program().MayHoldCache(call.Attempt.Backend) && !m.cancelled[call.Attempt.Stream] {
			t.Fatalf("%s runs at %s, which is neither a placement nor in the outbox", call.Request.ID, call.Attempt.Backend)
		}
	}
}

// checkReplay checks that replayed records and a restored snapshot give the same state.
func (m *machine) checkReplay(t *rapid.T) {
	snapshot := m.set.Snapshot()
	if !bytes.Equal(snapshot, m.replayed.Snapshot()) {
		t.Fatal("replaying the records gives another state")
	}
	restored := program.NewSet()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snapshot, restored.Snapshot()) {
		t.Fatal("restoring the snapshot gives another state")
	}
}

func runMachine(t *rapid.T, reserve func(prompt, answer int64) int64) {
	m := newMachine(reserve)
	m.commit(t, program.Created{ID: programID, Tenant: "t", Class: "c", At: m.now, Limits: program.Limits{
		Model: "m", BudgetTokens: machineBudget, MaxCalls: machineMaxCalls, MaxTokens: 60,
	}})
	t.Repeat(rapid.StateMachineActions(m))
}

func TestProgramMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runMachine(t, nil) })
}
