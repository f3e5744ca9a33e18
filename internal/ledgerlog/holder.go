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
	// creditIdle is how long a program's credit rests before it is settled.
	creditIdle = 3 * time.Second
	// grantLife is how long a turn may take before it counts as handed out in full.
	grantLife = time.Minute
	// gatherPause is how long a reservation that nobody waits for may wait for
	// others to go with.
	gatherPause = 250 * time.Millisecond
	// ownPause is the least time between two claims of one partition.
	ownPause = time.Second
	// releasePatience is how long an owner that lives may take to release.
	releasePatience = 4 * time.Second
	// standInPatience is how long a stand-in leaves the ownership to an owner that lives. It
	// would not be sure before, and the owner not when it comes back.
	standInPatience = ledger.TakeoverDelay
	// learnTimeout bounds the first read of a partition.
	learnTimeout = 2 * time.Second
	// awayPause is the time between two looks whether the store still answers.
	awayPause = 50 * time.Millisecond
	// reserveTries is how often a turn asks for its tokens where others that live have
	// reserved them, and releasePause the time between: a node that is no home gives back
	// what a turn has left as soon as that ends.
	reserveTries = 3
	releasePause = 60 * time.Millisecond
	// abandonedLife is how long the end of a turn that has not begun is remembered.
	abandonedLife = 10 * time.Second
)

// holder holds this node's credits of one partition's programs and its ownership.
type holder struct {
	partition *partition
	gate      Availability
	life      ledger.IncarnationID
	// members is set before the first turn.
	members Members
	clock   func() time.Duration

	// mutex guards all below.
	mutex   sync.Mutex
	credits map[ledger.ProgramID]*heldCredit
	// abandoned holds turns that were ended before they began, and when.
	abandoned map[ledger.GrantID]time.Duration
	// claimedAt is when the ownership was claimed last; claiming tells that a
	// record of it is being written.
	claimedAt time.Duration
	claiming  bool
	// wantedSince is when the ownership was wanted first while another had it.
	wantedSince time.Duration
	// leaving tells that the ownership is to be given back.
	leaving bool
}

// heldCredit is a credit with the reservation under way for it.
type heldCredit struct {
	credit *ledger.Credit
	// asking is closed once the reservation under way is decided; nil if there is
	// none. The error is set before.
	asking *reservationCall
	// ahead tells that tokens may be handed out before the first verdict: when the
	// credit began, this node was sure and the log knew nothing of the program.
	ahead bool
	// dry tells that a reservation in advance was refused.
	dry bool
}

// Grant is the right to hand out the tokens of one turn.
type Grant struct {
	Program ledger.ProgramID
	ID      ledger.GrantID
	// Charged is what was known to stand against the budget before, in tokens.
	Charged uint64
	// Unlogged tells that the log does not hold it yet.
	Unlogged bool
	// First tells that the program has been handed out nothing before.
	First bool
}

// take begins a turn. Errors are those of Ledger.Take. Nodes that should not own
// the partition reserve no more than the turn needs.
func (h *holder) take(ctx context.Context, request TurnRequest) (Grant, error) {
	for refused := 0; ; {
		grant, call, own := h.tryTake(request)
		if call == nil {
			return h.unlessAbandoned(grant)
		}
		if call != refusedCall {
			h.partition.flush()
		}
		if err := h.await(ctx, call); err != nil {
			return Grant{}, err
		}
		if call.err != nil {
			return Grant{}, fmt.Errorf("%w: reserve: %w", ErrUnavailable, call.err)
		}
		if !own || call.granted {
			continue
		}
		err := h.refusal(request.Program)
		refused++
		if !errors.Is(err, ErrBudgetReserved) || refused >= reserveTries || wait.For(ctx, releasePause) != nil {
			return Grant{}, err
		}
	}
}

// await waits for a reservation's outcome. Where the store answers nothing on the partition,
// it does not: the reservation goes on in the background, and the turn is refused at once.
func (h *holder) await(ctx context.Context, call *reservationCall) error {
	ticker := time.NewTicker(awayPause)
	defer ticker.Stop()
	for {
		select {
		case <-call.done:
			return nil
		default:
		}
		if !h.gate.Available(h.partition.appender.partition) {
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

// unlessAbandoned returns a grant unless its turn was ended before it began.
func (h *holder) unlessAbandoned(grant Grant) (Grant, error) {
	h.mutex.Lock()
	_, abandoned := h.abandoned[grant.ID]
	h.mutex.Unlock()
	if abandoned {
		h.finish(grant.Program, grant.ID, 0)
		return Grant{}, ErrAbandoned
	}
	return grant, nil
}

// tryTake begins a turn if it fits. Otherwise it returns the reservation to wait
// for; own tells that this turn has asked for it.
func (h *holder) tryTake(request TurnRequest) (grant Grant, call *reservationCall, own bool) {
	program, most, home := request.Program, request.MaxTurnTokens, request.Coordinator
	sure := h.sure()
	reserves := home || sure || h.gate.Available(h.partition.appender.partition)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held, known := h.credits[program]
	if !reserves && (!known || held.asking == nil && !held.credit.Fits(most, false)) {
		return Grant{}, notReserved, true
	}
	if !known {
		held = &heldCredit{credit: ledger.NewCredit(program, h.life, request.Budget, most, h.clock())}
		held.ahead = sure && !h.partition.follower.knows(program)
		h.credits[program] = held
		h.ask(held, most, home)
		own = true
	}
	if held.credit.Fits(most, held.ahead && sure) {
		grant = Grant{Program: program, ID: request.ID, Charged: held.credit.Charged, Unlogged: held.asking != nil, First: held.credit.Fresh()}
		held.credit.Open(grant.ID, most, h.clock())
		if home && held.asking == nil && !held.dry && held.credit.Low() {
			h.ask(held, most, true)
		}
		return grant, nil, false
	}
	if held.asking == nil && held.credit.Exhausted(most) {
		return Grant{}, refusedCall, true
	}
	if held.asking == nil {
		h.ask(held, most, home)
		own = true
	}
	return Grant{}, held.asking, own
}

// ask reserves more for a credit, in the background. It needs the mutex.
func (h *holder) ask(held *heldCredit, most uint32, ample bool) {
	attempt := ledger.AttemptID(rand.Uint64())
	record := held.credit.NextReservation(attempt, most, held.ahead, ample)
	h.reserve(held, record)
}

// reserve submits a reservation for a credit and takes its verdict, in the background. It
// needs the mutex.
func (h *holder) reserve(held *heldCredit, record ledger.Reservation) {
	call, attempt := &reservationCall{done: make(chan struct{})}, record.Attempt
	held.asking = call
	h.partition.follower.expect(attempt)
	waiting := h.partition.submitLater(ledger.Encode(record))
	go func() {
		verdict, err := h.decide(attempt, waiting)
		h.mutex.Lock()
		defer h.mutex.Unlock()
		if err == nil {
			held.credit.ApplyVerdict(verdict, h.settles)
			call.granted = verdict.Granted > 0
			held.dry = !call.granted
		}
		call.err = err
		held.asking = nil
		close(call.done)
	}()
}

// rebase reserves what a program's next turns need in place of what is reserved, with the
// partition's next call. While the store is away, what is reserved stays.
func (h *holder) rebase(program ledger.ProgramID) {
	if !h.gate.Available(h.partition.appender.partition) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held, known := h.credits[program]
	if !known || h.leaving || held.asking != nil {
		return
	}
	settled, next, changed := held.credit.Rebase(ledger.AttemptID(rand.Uint64()))
	if !changed {
		return
	}
	h.submitAll(settled)
	h.reserve(held, next)
}

// settles tells whether a life may give back what it has reserved.
func (h *holder) settles(life ledger.IncarnationID) bool {
	return life == h.life || h.members.MayBeAlive(life)
}

// decide waits until a reservation stands in the log, however long that takes, and
// returns the verdict.
func (h *holder) decide(attempt ledger.AttemptID, waiting *submission) (ledger.Verdict, error) {
	outcome := <-waiting.outcome
	if outcome.err != nil {
		h.partition.follower.verdict(attempt)
		return ledger.Verdict{}, outcome.err
	}
	for {
		regained := h.gate.Recovered()
		err := h.partition.follower.readTo(context.Background(), outcome.first)
		if verdict, known := h.partition.follower.verdict(attempt); known {
			return verdict, nil
		}
		if err == nil {
			return ledger.Verdict{}, fmt.Errorf("%w: the verdict was passed over", ErrUnavailable)
		}
		h.partition.follower.expect(attempt)
		sleepUntil(regained, maxRetryPause)
	}
}

// finish ends a turn, or keeps it from beginning.
func (h *holder) finish(program ledger.ProgramID, grant ledger.GrantID, used uint32) {
	if h.finishHeld(program, grant, used) {
		h.partition.flush()
	}
}

// finishHeld ends a turn and tells whether that has settled the program's credit, which
// the program's next home may be waiting for.
func (h *holder) finishHeld(program ledger.ProgramID, grant ledger.GrantID, used uint32) (settled bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held, known := h.credits[program]
	if !known || !held.credit.Finish(grant, used, h.clock()) {
		h.abandoned[grant] = h.clock()
		return false
	}
	return h.leaving && h.settleIfIdle(program, held, 0)
}

// forgetAbandoned needs the mutex.
func (h *holder) forgetAbandoned() {
	now := h.clock()
	for grant, since := range h.abandoned {
		if now-since > abandonedLife {
			delete(h.abandoned, grant)
		}
	}
}

// settleIfIdle settles a credit that has rested for the given time, and forgets it.
// It tells whether records of that are to be written. It needs the mutex.
func (h *holder) settleIfIdle(program ledger.ProgramID, held *heldCredit, rest time.Duration) bool {
	if held.asking != nil || !held.credit.Idle(rest, h.clock()) {
		return false
	}
	records := held.credit.Settle()
	h.submitAll(records)
	delete(h.credits, program)
	return len(records) > 0
}

// submitAll writes records with the partition's next call.
func (h *holder) submitAll(records []ledger.Record) {
	for _, record := range records {
		h.partition.submitLater(ledger.Encode(record))
	}
}

// refusal tells why the last reservation for a program was refused.
func (h *holder) refusal(program ledger.ProgramID) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held, known := h.credits[program]
	switch {
	case !known:
		return &BudgetExhaustedError{}
	case held.credit.Blocked():
		return fmt.Errorf("%w: %d tokens are charged", ErrBudgetReserved, held.credit.Charged)
	}
	return &BudgetExhaustedError{Charged: held.credit.Charged}
}

// tidy settles credits that rest. Where this node is not the home, or stops, it
// settles all without an open turn and gives the ownership back.
func (h *holder) tidy(home bool) {
	rest := creditIdle
	switch {
	case !home:
		rest = 0
	case !h.gate.Available(h.partition.appender.partition):
		// Turns that can't be kept come back, and nothing can be reserved for them anew.
		rest = grantLife
	}
	h.mutex.Lock()
	h.leaving = !home
	if !home {
		h.wantedSince = 0
	}
	h.forgetAbandoned()
	undecided, settled := false, false
	for program, held := range h.credits {
		held.credit.Expire(grantLife, h.clock())
		undecided = undecided || held.asking != nil
		settled = h.settleIfIdle(program, held, rest) || settled
	}
	h.mutex.Unlock()
	if settled && !home {
		h.partition.flush()
	}
	switch {
	case home:
	case undecided:
		h.partition.flush()
	default:
		h.release()
	}
}

// decided tells whether no reservation or record of the ownership is under way.
func (h *holder) decided() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, held := range h.credits {
		if held.asking != nil {
			return false
		}
	}
	return !h.claiming
}

// sure tells whether tokens may be handed out ahead of the log.
func (h *holder) sure() bool {
	h.mutex.Lock()
	leaving := h.leaving
	h.mutex.Unlock()
	return !leaving && h.partition.follower.sure(h.life)
}
