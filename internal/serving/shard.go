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

// machine is the replicated state of the programs of one shard. Its mutex is also the
// mutex of the shard: it guards the programs and serializes the enqueueing of records.
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

// Snapshot implements journal.StateMachine. The journal calls it from within Enqueue,
// where the caller already holds the mutex and has applied the records that are being
// enqueued.
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

// shard serves one shard during one epoch.
type shard struct {
	owner   *Owner
	journal journal.Shard
	machine *machine
	opened  time.Time

	// context ends when the shard is lost or handed over.
	context context.Context
	cancel  context.CancelFunc
	// drivers counts the goroutines of the shard. It is incremented only under the
	// machine's mutex while stopped is false.
	drivers sync.WaitGroup

	// The machine's mutex guards the rest. closing rejects new calls; stopped also ends
	// the running ones.
	closing bool
	stopped bool
	runs    map[identity.CallID]*run
	entries map[identity.ProgramID]*entry
	// unsent are the attempts of open calls whose intent is recorded but which were not
	// sent, because the lease had lapsed.
	unsent map[identity.StreamID]struct{}
}

// entry is the volatile state of a program, which is not in the journal.
type entry struct {
	// runs counts the active runs of the program.
	runs int
	// changed is closed and replaced when the state or runs of the program change; nil
	// while nothing waits for it.
	changed chan struct{}
	// releasing is true while a goroutine processes the outbox.
	releasing bool
	// pending is the commit of the newest creation or end record, nil once it is
	// replicated.
	pending *pendingCommit
}

// pendingCommit is a commit in progress, shared by all callers that wait for it. err is
// valid once done is closed.
type pendingCommit struct {
	done chan struct{}
	err  error
}

func newShard(o *Owner, opened journal.Shard, state *machine) *shard {
	ctx, cancel := context.WithCancel(context.Background())
	return &shard{
		owner:   o,
		journal: opened,
		machine: state,
		opened:  time.Now(),
		context: ctx,
		cancel:  cancel,
		runs:    map[identity.CallID]*run{},
		entries: map[identity.ProgramID]*entry{},
		unsent:  map[identity.StreamID]struct{}{},
	}
}

// watch removes the shard once the journal reports its loss.
func (s *shard) watch() {
	select {
	case <-s.journal.Lost():
	case <-s.context.Done():
	}
	s.owner.removeShard(s)
}

// stop ends all work on the shard and waits for it. Callers are redirected to the next
// owner.
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

// close rejects new work for a planned handover and waits for the dispatched application
// calls.
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

// waitFunc blocks until records are replicated.
type waitFunc func(ctx context.Context) error

// commit applies records to the state and then enqueues them. The order matters: the
// journal may take a snapshot while enqueueing, which must include them. The caller holds
// the machine's mutex, which keeps the records in the order of the state changes.
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
			s.owner.logger.Error("record could not be applied to the state", "shard", s.journal.ID(),
				"epoch", s.journal.Epoch(), "program", record.Program(), "error", err)
			return nil, api.NewProblem(api.CodeInternal, "record of program %s: %s", record.Program(), err)
		}
		s.notifyChanged(record.Program())
	}
	enqueue := s.journal.Enqueue
	if durable {
		enqueue = s.journal.EnqueueDurable
	}
	wait, err := enqueue(encoded...)
	if err != nil {
		s.closing = true // the state is ahead of the journal and must not be served
		return nil, s.notOwner()
	}
	return wait, nil
}

// await waits until records are replicated or the shard ends.
func (s *shard) await(wait waitFunc) error {
	if err := wait(s.context); err != nil {
		return s.notOwner()
	}
	return nil
}

// entryOf returns the entry of the program, creating it if necessary. The caller holds
// the mutex.
func (s *shard) entryOf(id identity.ProgramID) *entry {
	found := s.entries[id]
	if found == nil {
		found = &entry{}
		s.entries[id] = found
	}
	return found
}

// notifyChanged wakes everything that waits for the program and starts processing its
// outbox. The caller holds the mutex.
func (s *shard) notifyChanged(id identity.ProgramID) {
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
		go s.processOutbox(id)
	}
}

// awaitChange returns a channel that is closed at the next change of the program. The
// caller holds the mutex.
func (s *shard) awaitChange(id identity.ProgramID) <-chan struct{} {
	e := s.entryOf(id)
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// trackCommit starts a shared wait for records that were just enqueued. The caller holds
// the mutex.
func (s *shard) trackCommit(id identity.ProgramID, wait waitFunc) *pendingCommit {
	h := &pendingCommit{done: make(chan struct{})}
	s.entryOf(id).pending = h
	s.drivers.Add(1)
	go func() {
		defer s.drivers.Done()
		h.err = s.await(wait)
		close(h.done)
		s.machine.mutex.Lock()
		defer s.machine.mutex.Unlock()
		if e := s.entries[id]; e != nil && e.pending == h && h.err == nil {
			e.pending = nil
		}
	}()
	return h
}

// wait blocks until the records are replicated. A nil commit is already replicated.
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
