package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// creditIdleTimeout is how long a program's credit is idle before it is settled.
	creditIdleTimeout = 3 * time.Second
	// rebaseIdleTimeout is how long a credit is idle before what exceeds one turn is returned.
	rebaseIdleTimeout = 500 * time.Millisecond
	// grantTimeout is how long a turn may take before its grant counts as used in full.
	grantTimeout = time.Minute
	// lazySubmitDelay is how long a reservation that no turn waits for may be delayed to share
	// a call.
	lazySubmitDelay = 250 * time.Millisecond
	// claimInterval is the minimum time between two claims of one partition.
	claimInterval = time.Second
	// releaseTimeout is how long an owner that is alive may take to release.
	releaseTimeout = 4 * time.Second
	// substituteReleaseTimeout is the same for a substitute coordinator. An earlier claim would
	// be of no use: the substitute would not be an exclusive owner yet, and the displaced owner
	// would not be one after its return.
	substituteReleaseTimeout = ledger.TakeoverDelay
	// firstReadTimeout bounds the first read of a partition.
	firstReadTimeout = 2 * time.Second
	// availabilityPollInterval is the time between two checks whether the store is still
	// available.
	availabilityPollInterval = 50 * time.Millisecond
	// maxReserveAttempts is how often a turn tries to reserve tokens that other live nodes have
	// reserved, and reserveRetryInterval the time in between. A node that is not the
	// coordinator returns the rest of a reservation as soon as its turn ends.
	maxReserveAttempts   = 3
	reserveRetryInterval = 60 * time.Millisecond
	// abandonedTTL is how long the end of a turn that has not begun is remembered.
	abandonedTTL = 10 * time.Second
)

// creditManager manages this node's credits of the programs of one partition, and the ownership
// of the partition.
type creditManager struct {
	partition    *partition
	availability Availability
	incarnation  ledger.IncarnationID
	// members is set before the first turn.
	members Members
	clock   func() time.Duration
	// statementInterval is how often an exclusive owner states that it is; 0 if the store drops
	// no records.
	statementInterval time.Duration

	// mutex guards the fields below.
	mutex   sync.Mutex
	credits map[ledger.ProgramID]*creditEntry
	// abandoned contains the turns that were finished before they began, with the time of that.
	abandoned map[ledger.GrantID]time.Duration
	// claimedAt is when the ownership was last claimed. claiming is set while an ownership
	// record is being written.
	claimedAt time.Duration
	claiming  bool
	// statedAt is when this node last wrote that it is the exclusive owner.
	statedAt time.Duration
	// wantedSince is when this node first wanted the ownership of another one; zero if it does
	// not.
	wantedSince time.Duration
	// releasing is set while the ownership is to be given up.
	releasing bool
	// resigned is set from when a release is submitted until a later claim of this node has been read.
	// The log may have the release, or may yet get it, so that other nodes assume no unlogged grants.
	resigned bool
	// unreleased is set from when a claim is submitted until a later release of this node has been read.
	unreleased bool
}

// creditEntry is a credit and its pending reservation.
type creditEntry struct {
	credit *ledger.Credit
	// pending is the reservation being written, or nil. Its done channel is closed after its
	// other fields are set.
	pending *pendingReservation
	// allowUnlogged permits unlogged grants before the first verdict. It is set if this node
	// was the exclusive owner and the log had no record of the program when the credit was
	// created.
	allowUnlogged bool
	// refillRefused is set if the last reservation was refused, which stops reservations in
	// advance.
	refillRefused bool
	// assumed contains the assumed reservations to write before the first one whose verdict becomes known.
	assumed []ledger.Reservation
}

// Grant is the right to use the tokens of one turn.
type Grant struct {
	Program ledger.ProgramID
	ID      ledger.GrantID
	// Charged is the amount charged to the budget before this turn, in tokens, as far as known.
	Charged uint64
	// Unlogged is set if the reservation is not in the log yet.
	Unlogged bool
	// First is set if no tokens were granted to the program before.
	First bool
}

// attempt is the outcome of an attempt to begin a turn: a grant, or the reservation to wait for.
type attempt struct {
	grant Grant
	call  *pendingReservation
	// own is set if the reservation was made for this turn.
	own bool
	// waits is the credit whose next reservation should include this turn, or nil.
	waits *creditEntry
}

// begin begins a turn. Its errors are those of Ledger.BeginTurn. A node that is not the
// coordinator reserves only what the turn needs.
func (m *creditManager) begin(ctx context.Context, request TurnRequest) (Grant, error) {
	if err := m.checkComplete(ctx, request.Program); err != nil {
		return Grant{}, err
	}
	for refused := 0; ; {
		tried := m.tryBegin(request)
		call := tried.call
		if call == nil {
			return m.checkAbandoned(tried.grant)
		}
		if call != refusedReservation {
			m.partition.flush()
		}
		err := m.await(ctx, call)
		m.stopWaiting(tried.waits, request)
		if err != nil {
			return Grant{}, err
		}
		if call.err != nil {
			return Grant{}, fmt.Errorf("%w: reserve: %w", ErrUnavailable, call.err)
		}
		if !tried.own || call.granted {
			continue
		}
		err = m.refusalError(request.Program)
		refused++
		if !errors.Is(err, ErrBudgetReserved) || refused >= maxReserveAttempts || wait.For(ctx, reserveRetryInterval) != nil {
			return Grant{}, err
		}
	}
}

// checkComplete returns an error if charges of a program may be missing, after another attempt to find
// them. What this node has reserved for the program before may be used in any case.
func (m *creditManager) checkComplete(ctx context.Context, program ledger.ProgramID) error {
	if !m.partition.reader.incomplete() || m.hasCredit(program) {
		return nil
	}
	if err := m.partition.reader.readToEnd(ctx); err != nil {
		return fmt.Errorf("%w: reserve: %w", ErrUnavailable, err)
	}
	if m.partition.reader.incomplete() {
		return m.partition.reader.incompleteError()
	}
	return nil
}

func (m *creditManager) hasCredit(program ledger.ProgramID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, known := m.credits[program]
	return known
}

// stopWaiting removes a turn from those that wait for a credit's next reservation.
func (m *creditManager) stopWaiting(entry *creditEntry, request TurnRequest) {
	if entry == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry.credit.WaitingTokens -= uint64(request.MaxTurnTokens)
}

// await waits for a reservation's outcome. If the store becomes unavailable for the partition,
// it returns at once, and the reservation continues in the background.
func (m *creditManager) await(ctx context.Context, call *pendingReservation) error {
	ticker := time.NewTicker(availabilityPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-call.done:
			return nil
		default:
		}
		if !m.availability.Available(m.partition.appender.partition) {
			return ErrStoreUnavailable
		}
		select {
		case <-call.done:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("%w: reserve: %w", ErrUnavailable, ctx.Err())
		case <-ticker.C:
		}
	}
}

// checkAbandoned returns the grant unless its turn was finished before it began.
func (m *creditManager) checkAbandoned(grant Grant) (Grant, error) {
	m.mutex.Lock()
	_, abandoned := m.abandoned[grant.ID]
	m.mutex.Unlock()
	if abandoned {
		m.finish(grant.Program, grant.ID, 0)
		return Grant{}, ErrAbandoned
	}
	return grant, nil
}

// tryBegin begins a turn if its tokens fit the credit. Otherwise it returns the reservation to
// wait for.
func (m *creditManager) tryBegin(request TurnRequest) attempt {
	program, maxTokens, coordinator := request.Program, request.MaxTurnTokens, request.Coordinator
	available := m.availability.Available(m.partition.appender.partition)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	exclusive := m.exclusive()
	reserves := coordinator || exclusive || available
	entry, known := m.credits[program]
	if !reserves && (!known || entry.pending == nil && !entry.credit.Fits(maxTokens, false)) {
		return attempt{call: unavailableReservation, own: true}
	}
	own := false
	if !known {
		entry = &creditEntry{credit: ledger.NewCredit(program, m.incarnation, request.Budget, maxTokens, m.clock())}
		entry.allowUnlogged = exclusive && !m.partition.reader.knows(program)
		entry.credit.Recall(m.partition.reader.openReservations(program))
		entry.credit.CountLost(m.members.IsAlive)
		ample := coordinator
		if !exclusive {
			var lost bool
			entry.assumed, lost = m.partition.reader.assumedReservations(program, m.incarnation, request.Budget, maxTokens)
			ample = ample && !lost
		}
		m.credits[program] = entry
		m.reserveMore(entry, request, ample)
		own = true
	}
	if entry.credit.Fits(maxTokens, entry.allowUnlogged && exclusive) {
		grant := Grant{Program: program, ID: request.ID, Charged: entry.credit.Charged, Unlogged: entry.pending != nil, First: entry.credit.Fresh()}
		entry.credit.Open(grant.ID, maxTokens, m.clock())
		if coordinator && entry.pending == nil && !entry.refillRefused && entry.credit.Low() {
			m.reserveMore(entry, request, false)
		}
		return attempt{grant: grant}
	}
	if entry.pending == nil && entry.credit.Exhausted(maxTokens) {
		return attempt{call: refusedReservation, own: true}
	}
	if entry.pending == nil {
		m.reserveMore(entry, request, coordinator)
		own = true
	}
	if own {
		return attempt{call: entry.pending, own: true}
	}
	entry.credit.WaitingTokens += uint64(maxTokens)
	return attempt{call: entry.pending, waits: entry}
}

// rebase replaces a program's reservations by one for its next turn, written with the
// partition's next call. It does nothing while the store is unavailable.
func (m *creditManager) rebase(program ledger.ProgramID) {
	if !m.availability.Available(m.partition.appender.partition) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if entry, known := m.credits[program]; known && !m.releasing {
		m.rebaseEntry(entry)
	}
}

// rebaseEntry requires the mutex.
func (m *creditManager) rebaseEntry(entry *creditEntry) {
	if entry.pending != nil {
		return
	}
	entry.credit.CountLost(m.members.IsAlive)
	settled, next, changed := entry.credit.Rebase(ledger.AttemptID(rand.Uint64()))
	if !changed {
		return
	}
	m.settle(settled)
	if next != nil {
		m.reserve(entry, nil, *next, false)
	}
}

// maySettle reports whether an incarnation may still return what it has reserved.
func (m *creditManager) maySettle(incarnation ledger.IncarnationID) bool {
	return incarnation == m.incarnation || incarnation != "" && m.members.MayBeAlive(incarnation)
}

// returnsSoon reports whether an incarnation can be expected to return what it does not use.
func (m *creditManager) returnsSoon(incarnation ledger.IncarnationID) bool {
	return incarnation != "" && m.members.IsReachable(incarnation)
}

// finish ends a turn, or prevents it from beginning if it has not.
func (m *creditManager) finish(program ledger.ProgramID, grant ledger.GrantID, used uint32) {
	if m.finishAndSettle(program, grant, used) {
		m.partition.flush()
	}
}

// finishAndSettle ends a turn and reports whether that settled the program's credit, for which
// the program's next coordinator may be waiting.
func (m *creditManager) finishAndSettle(program ledger.ProgramID, grant ledger.GrantID, used uint32) (settled bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry, known := m.credits[program]
	if !known || !entry.credit.Finish(grant, used, m.clock()) {
		m.abandoned[grant] = m.clock()
		return false
	}
	switch {
	case m.releasing:
		return m.settleIfIdle(program, entry, 0)
	case !entry.credit.MayReserveAhead() && m.availability.Available(m.partition.appender.partition):
		m.settleIfIdle(program, entry, 0)
	}
	return false
}

// forgetAbandoned requires the mutex.
func (m *creditManager) forgetAbandoned() {
	now := m.clock()
	for grant, since := range m.abandoned {
		if now-since > abandonedTTL {
			delete(m.abandoned, grant)
		}
	}
}

// settleIfIdle settles and removes a credit that has been idle for the given time. It reports
// whether that produced records to write. A credit whose unlogged grants are in no record is kept and
// makes a reservation for them first. The caller must hold the mutex.
func (m *creditManager) settleIfIdle(program ledger.ProgramID, entry *creditEntry, idle time.Duration) bool {
	if entry.pending != nil || !entry.credit.Idle(idle, m.clock()) {
		return false
	}
	if entry.credit.Unrecorded() {
		m.reserveMore(entry, TurnRequest{Program: program}, false)
		return true
	}
	records := entry.credit.Settle()
	m.settle(records)
	delete(m.credits, program)
	return len(records) > 0
}

// settle writes settlements with the partition's next call. What they return would be charged for as long
// as the program goes on if they were lost. A second one of an attempt has no effect.
func (m *creditManager) settle(settlements []ledger.Record) {
	for _, record := range settlements {
		m.partition.submitRepeatedly(ledger.Encode(record))
	}
}

// refusalError returns the error for a turn whose reservation was refused.
func (m *creditManager) refusalError(program ledger.ProgramID) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry, known := m.credits[program]
	switch {
	case !known:
		return &BudgetExhaustedError{}
	case entry.credit.Blocked():
		return fmt.Errorf("%w: %s", ErrBudgetReserved, entry.credit.Explain(m.maySettle))
	}
	return &BudgetExhaustedError{Charged: entry.credit.Charged, Detail: entry.credit.Explain(m.maySettle)}
}

// settleIdle settles idle credits. If this node does not coordinate the partition, or stops, it
// settles all credits without an open turn and gives up the ownership.
func (m *creditManager) settleIdle(coordinator bool) {
	idle := creditIdleTimeout
	switch {
	case !coordinator:
		idle = 0
	case !m.availability.Available(m.partition.appender.partition):
		// Programs whose turns could not be persisted come back, and nothing can be reserved
		// for them while the store is unavailable.
		idle = grantTimeout
	}
	m.mutex.Lock()
	m.releasing = !coordinator
	if !coordinator {
		m.wantedSince = 0
	}
	m.forgetAbandoned()
	undecided, settled := false, false
	for program, entry := range m.credits {
		entry.credit.Expire(grantTimeout, m.clock())
		undecided = undecided || entry.pending != nil || entry.credit.Uncovered()
		if coordinator && idle == creditIdleTimeout && entry.credit.Idle(rebaseIdleTimeout, m.clock()) && entry.credit.HoldsExcess() {
			m.rebaseEntry(entry)
		}
		settled = m.settleIfIdle(program, entry, idle) || settled
	}
	switch {
	case coordinator:
		m.stateLimit()
	case !undecided:
		m.release()
	}
	m.mutex.Unlock()
	if !coordinator && (settled || undecided) {
		m.partition.flush()
	}
}

// allDecided reports whether no reservation and no ownership record is pending.
func (m *creditManager) allDecided() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, entry := range m.credits {
		if entry.pending != nil {
			return false
		}
	}
	return !m.claiming
}

// exclusive reports whether this node may make unlogged grants. The caller must hold the mutex until
// they are made, so that none follows a release.
func (m *creditManager) exclusive() bool {
	return !m.releasing && !m.resigned && m.partition.reader.exclusive(m.incarnation)
}
