package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	// readTimeout bounds one call of the store.
	readTimeout = 800 * time.Millisecond
	// readAttempts is how often a read is attempted for its callers.
	readAttempts = 2
)

// reader has the state of one partition of the ledger and reads further records on demand.
// Concurrent callers share reads.
type reader struct {
	store     logstore.Store
	partition logstore.Partition
	metrics   *metrics
	logger    *slog.Logger
	// onText is called for each text in the index that a read returns.
	onText func(location ledger.Location, text []byte)
	// window sets the size of reads.
	window *readWindow
	// clock returns a monotonic reading.
	clock func() time.Duration
	// longestRest returns how long a program may rest between two turns; nil means not at all.
	longestRest func() time.Duration
	// archive has what the log has dropped; nil if there is none.
	archive *archive

	// mutex guards the fields below.
	mutex sync.Mutex
	state *ledger.Partition
	// end is the end of the partition as last reported by the store.
	end logstore.Offset
	// verdicts contains the verdicts on this node's reservations until they are fetched.
	verdicts map[ledger.AttemptID]*ledger.Verdict
	// reading is the read in progress, or nil.
	reading *sharedRead
	// started counts the reads; answered is the number of the last one that succeeded.
	started, answered uint64
	// largestText is the maximum size of a text in the partition.
	largestText int
	// textsRefused is set if it was logged that the partition has no room for texts.
	textsRefused bool
	// restoredAt is when the archive was last read for a partition that is incomplete.
	restoredAt time.Duration
	// confirmed is when the last call was sent whose response showed that the log had no
	// unknown records. The response itself may arrive much later, after other nodes have
	// written.
	confirmed time.Duration
}

// sharedRead is one read with any number of waiters; err is set before done is closed.
type sharedRead struct {
	done chan struct{}
	err  error
}

// expectVerdict makes the reader keep the verdict on attempt.
func (r *reader) expectVerdict(attempt ledger.AttemptID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.verdicts[attempt] = nil
}

// verdict returns and forgets the verdict on attempt, or false if it is not known yet.
func (r *reader) verdict(attempt ledger.AttemptID) (ledger.Verdict, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	verdict := r.verdicts[attempt]
	delete(r.verdicts, attempt)
	if verdict == nil {
		return ledger.Verdict{}, false
	}
	return *verdict, true
}

// applyWritten applies records that this node wrote at offset first, unless unread records come
// before them. This saves a read. ago is the time since the records were first sent: if the
// call was repeated, any of its attempts may have taken effect.
func (r *reader) applyWritten(first logstore.Offset, records [][]byte, ago time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if logstore.Offset(r.state.Next()) == first {
		r.apply(records)
		r.confirmed = max(r.confirmed, r.clock()-ago)
	}
}

// caughtUp reports whether the partition has been read to its end at least once.
func (r *reader) caughtUp() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.answered > 0 || r.confirmed > 0
}

// owner returns the incarnation that owns the partition, as far as it has been read.
func (r *reader) owner() ledger.IncarnationID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Owner()
}

// knows reports whether the log has a record of program, as far as it has been read.
func (r *reader) knows(program ledger.ProgramID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Knows(program)
}

// assumedReservations returns the reservations that must precede writer's first one of a program
// unless it is an exclusive owner, or none if the program has a record. lost reports
// whether unlogged grants to the program may exist, as far as known.
func (r *reader) assumedReservations(program ledger.ProgramID, writer ledger.IncarnationID, budget, maxTokens uint32) (assumed []ledger.Reservation, lost bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.state.Knows(program) {
		return nil, false
	}
	return r.state.AssumedReservations(program, writer, budget, maxTokens, r.answered > 0 || r.confirmed > 0), r.state.MayHaveUnloggedGrants()
}

// openReservations returns the open reservations of a program, as far as known.
func (r *reader) openReservations(program ledger.ProgramID) []ledger.OpenReservation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.OpenReservations(program, r.clock())
}

// ownedCleanly reports whether the records show that only the owner can have made unlogged
// grants.
func (r *reader) ownedCleanly() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.OwnedCleanly()
}

// exclusive reports whether an incarnation may make unlogged grants.
func (r *reader) exclusive(incarnation ledger.IncarnationID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	longestRest := time.Duration(0)
	if r.longestRest != nil {
		// A program may have run under an earlier configuration, which this node need not have seen.
		// Its account is kept for as long in any case.
		longestRest = max(r.longestRest(), ledger.AccountTTL)
	}
	return r.state.MayGrantUnlogged(incarnation, r.confirmed, longestRest, r.clock())
}

// apply requires the mutex.
func (r *reader) apply(records [][]byte) {
	now := r.clock()
	for _, record := range records {
		verdict, decided := r.state.Apply(record, now)
		if !decided {
			continue
		}
		if _, expected := r.verdicts[verdict.Attempt]; expected {
			r.verdicts[verdict.Attempt] = &verdict
		}
	}
}

// readTo reads on until the record at offset has been applied.
func (r *reader) readTo(ctx context.Context, offset logstore.Offset) error {
	return r.readUntil(ctx, func() bool { return logstore.Offset(r.state.Next()) > offset })
}

// readToEnd reads all records that were written before the call.
func (r *reader) readToEnd(ctx context.Context) error {
	return r.readUntil(ctx, r.endReached())
}

// endReached returns a function that reports whether all records that were written before the
// call of endReached have been read. The returned function requires the mutex.
func (r *reader) endReached() func() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	readNumber := r.started + 1
	return func() bool { return r.answered >= readNumber && logstore.Offset(r.state.Next()) >= r.end }
}

// readUntil reads on until enough returns true. enough is called with the mutex held.
func (r *reader) readUntil(ctx context.Context, enough func() bool) error {
	failures := 0
	for {
		r.mutex.Lock()
		if enough() {
			r.mutex.Unlock()
			return nil
		}
		if ctx.Err() != nil {
			r.mutex.Unlock()
			return r.readEnded(ctx)
		}
		if r.reading == nil {
			r.started++
			r.reading = &sharedRead{done: make(chan struct{})}
			go r.read(r.reading)
		}
		reading := r.reading
		r.mutex.Unlock()
		select {
		case <-reading.done:
		case <-ctx.Done():
			return r.readEnded(ctx)
		}
		if reading.err != nil {
			failures++
			if failures >= readAttempts {
				return reading.err
			}
		}
	}
}

func (r *reader) readEnded(ctx context.Context) error {
	return fmt.Errorf("ledgerlog: read partition %d: %w", r.partition.Number, ctx.Err())
}

func (r *reader) read(reading *sharedRead) {
	r.closeGap()
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	from := r.next()
	began, sent := time.Now(), r.clock()
	result, err := r.store.Read(ctx, logstore.ReadRequest{Partition: r.partition, From: from, MaxBytes: r.window.size()})
	took := time.Since(began)
	r.metrics.readSeconds.Observe(took.Seconds())

	var trimmed *logstore.TrimmedError
	switch {
	case err == nil:
		r.window.answered(took, from+logstore.Offset(len(result.Records)) < result.End)
	case ctx.Err() != nil:
		r.window.unanswered()
	case errors.As(err, &trimmed):
		err = r.skipTo(trimmed.First)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err != nil:
		r.metrics.readFailures.Inc()
		reading.err = fmt.Errorf("ledgerlog: read partition %d: %w", r.partition.Number, err)
	case trimmed == nil:
		r.applyRead(from, result, sent)
	}
	r.reading = nil
	close(reading.done)
}

// next returns the offset of the first record that has not been applied.
func (r *reader) next() logstore.Offset {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return logstore.Offset(r.state.Next())
}

// applyRead requires the mutex. Own records may have been applied since the read was sent.
func (r *reader) applyRead(from logstore.Offset, result logstore.ReadResult, sent time.Duration) {
	r.end = result.End
	r.answered = r.started
	r.confirmed = max(r.confirmed, sent)
	known := int(logstore.Offset(r.state.Next()) - from)
	if known < len(result.Records) {
		r.emitTexts(result.Records[known:])
		r.apply(result.Records[known:])
	}
}

// turn returns the index entry of a turn, as far as the partition has been read.
func (r *reader) turn(turn ledger.TurnID) (ledger.IndexedTurn, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Turn(turn)
}

// find returns the index entry of a turn. Unless the turn is known, it reads the partition until
// it has the turn, at most to its end.
func (r *reader) find(ctx context.Context, turn ledger.TurnID) (entry ledger.IndexedTurn, found bool, err error) {
	atEnd := r.endReached()
	incomplete := false
	err = r.readUntil(ctx, func() bool {
		entry, found = r.state.Turn(turn)
		incomplete = r.state.Incomplete(r.clock())
		return found || atEnd()
	})
	if err == nil && !found && incomplete {
		err = r.incompleteError()
	}
	return entry, found, err
}
