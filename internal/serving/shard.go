package serving

import (
	"context"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/program"
)

// machine is the state of one shard's programs. Its mutex is the shard's: who
// holds it may read and change the programs and enqueue records.
type machine struct {
	mutex sync.Mutex
	set   *program.Set
}

func newMachine() *machine { return &machine{set: program.NewSet()} }

// Apply implements journal.StateMachine.
func (m *machine) Apply(record []byte) error {
	decoded, err := program.Decode(record)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.set.Apply(decoded)
}

// Snapshot implements journal.StateMachine. The journal takes it from inside
// Enqueue, so the caller holds the mutex already, and the state covers the
// records that are being enqueued.
func (m *machine) Snapshot() ([]byte, error) { return m.set.Snapshot(), nil }

// Restore implements journal.StateMachine.
func (m *machine) Restore(snapshot []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.set.Restore(snapshot)
}

func (m *machine) len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.set.Len()
}

// shard serves one shard in one epoch.
type shard struct {
	owner   *Owner
	journal journal.Shard
	machine *machine
	opened  time.Time

	// context ends when the shard is lost or handed over.
	context context.Context
	cancel  context.CancelFunc
	// drivers counts the goroutines that run calls; only added to under the
	// machine's mutex while stopped is false.
	drivers sync.WaitGroup

	// The machine's mutex guards the rest.
	closing bool
	stopped bool
	runs    map[identity.CallID]*run
	entries map[identity.ProgramID]*entry
	// unsent holds the attempts whose intent is recorded and that certainly were
	// not sent, because the lease had lapsed by then. Their calls are open.
	unsent map[identity.StreamID]struct{}
}

// entry is what the owner keeps of a program beside its journalled state.
type entry struct {
	// runs counts the program's runs.
	runs int
	// changed is closed and replaced when the program's state or runs change; nil
	// while nobody waits.
	changed chan struct{}
	// releasing is true while a goroutine works off the outbox.
	releasing bool
	// held is the wait for the program's newest records that are acted on outside
	// of runs: creation and end. nil once they are held.
	held *pendingCommit
}

// pendingCommit is the wait for records, shared by all who need them to last.
type pendingCommit struct {
	done chan struct{}
	err  error
}

func newShard(o *Owner, held journal.Shard, state *machine) *shard {
	ctx, cancel := context.WithCancel(context.Background())
	return &shard{
		owner:   o,
		journal: held,
		machine: state,
		opened:  time.Now(),
		context: ctx,
		cancel:  cancel,
		runs:    map[identity.CallID]*run{},
		entries: map[identity.ProgramID]*entry{},
		unsent:  map[identity.StreamID]struct{}{},
	}
}

// watch gives the shard up once the journal says that it is lost.
func (s *shard) watch() {
	select {
	case <-s.journal.Lost():
	case <-s.context.Done():
	}
	s.owner.forget(s)
}

// stop ends all work on the shard; the callers are sent to the next owner.
func (s *shard) stop() {
	s.machine.mutex.Lock()
	already := s.stopped
	s.stopped = true
	s.machine.mutex.Unlock()
	s.cancel()
	if already {
		return
	}
	s.drivers.Wait()
}

// close prepares a planned hand-over.
func (s *shard) close(ctx context.Context) {
	s.machine.mutex.Lock()
	s.closing = true
	var awaited []*run
	for _, r := range s.runs {
		if r.dispatched && !r.resumable() {
			awaited = append(awaited, r)
		}
	}
	s.machine.mutex.Unlock()
	for _, r := range awaited {
		select {
		case <-r.done:
		case <-ctx.Done():
			return
		}
	}
}

func (s *shard) notOwner() error { return notOwner(s.journal.ID()) }

func (s *shard) checkLease() error {
	check := s.owner.config.Hooks.CheckLease
	if check == nil {
		check = journal.Shard.CheckLease
	}
	if err := check(s.journal); err != nil {
		return s.notOwner()
	}
	return nil
}

// waitFunc waits until records are held.
type waitFunc func(ctx context.Context) error

// commit folds records into the state and enqueues them, in this order, since
// the journal may take a snapshot that is to cover them. The caller holds the
// machine's mutex, which keeps the journal in the order of the state's changes.
func (s *shard) commit(durable bool, records ...program.Record) (waitFunc, error) {
	encoded := make([][]byte, len(records))
	for i, record := range records {
		encoded[i] = program.Encode(record)
	}
	if s.stopped {
		return nil, s.notOwner()
	}
	for _, record := range records {
		if err := s.machine.set.Apply(record); err != nil {
			s.owner.logger.Error("record does not fit the state", "shard", s.journal.ID(),
				"epoch", s.journal.Epoch(), "program", record.Program(), "error", err)
			return nil, api.NewProblem(api.CodeInternal, "record of program %s: %s", record.Program(), err)
		}
		s.changed(record.Program())
	}
	enqueue := s.journal.Enqueue
	if durable {
		enqueue = s.journal.EnqueueDurable
	}
	wait, err := enqueue(encoded...)
	if err != nil {
		s.closing = true // the state is ahead of the journal now, so nobody may read it
		return nil, s.notOwner()
	}
	return wait, nil
}

// await waits until records are held, as long as the shard is.
func (s *shard) await(wait waitFunc) error {
	if err := wait(s.context); err != nil {
		return s.notOwner()
	}
	return nil
}

// entryOf returns the program's entry; the caller holds the mutex.
func (s *shard) entryOf(id identity.ProgramID) *entry {
	found := s.entries[id]
	if found == nil {
		found = &entry{}
		s.entries[id] = found
	}
	return found
}

// changed wakes who waits for the program and starts its releases; the caller
// holds the mutex.
func (s *shard) changed(id identity.ProgramID) {
	p := s.machine.set.Get(id)
	if p == nil {
		delete(s.entries, id)
		return
	}
	e := s.entryOf(id)
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
	if p.OutboxLength() > 0 && !e.releasing && !s.stopped {
		e.releasing = true
		s.drivers.Add(1)
		go s.workOutbox(id)
	}
}

// awaitChange returns a channel that is closed at the program's next change; the
// caller holds the mutex.
func (s *shard) awaitChange(id identity.ProgramID) <-chan struct{} {
	e := s.entryOf(id)
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// keep starts the shared wait for records that were just committed; the caller
// holds the mutex.
func (s *shard) keep(id identity.ProgramID, wait waitFunc) *pendingCommit {
	h := &pendingCommit{done: make(chan struct{})}
	s.entryOf(id).held = h
	s.drivers.Add(1)
	go func() {
		defer s.drivers.Done()
		h.err = s.await(wait)
		close(h.done)
		s.machine.mutex.Lock()
		defer s.machine.mutex.Unlock()
		if e := s.entries[id]; e != nil && e.held == h && h.err == nil {
			e.held = nil
		}
	}()
	return h
}

// wait waits until the records are held; nil is held already.
func (h *pendingCommit) wait(ctx context.Context) error {
	if h == nil {
		return nil
	}
	select {
	case <-h.done:
		return h.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
