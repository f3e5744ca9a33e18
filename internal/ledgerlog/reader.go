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
	// readAttempts is how often a failed read is repeated for those who wait.
	readAttempts = 2
)

// follower holds the state of one partition of the ledger and reads on when
// somebody needs more of it. Reads are shared by all who wait for them.
type follower struct {
	store     logstore.Store
	partition logstore.Partition
	metrics   *metrics
	logger    *slog.Logger
	// onText is told of each text in the index that a read brings.
	onText func(location ledger.Location, text []byte)
	// window is how much is read at once.
	window *readWindow
	// clock is a monotonic reading.
	clock func() time.Duration

	// mutex guards all below.
	mutex sync.Mutex
	state *ledger.Partition
	// end is the end of the partition as last heard.
	end logstore.Offset
	// verdicts holds the outcome of this node's reservations until they are fetched.
	verdicts map[ledger.AttemptID]*ledger.Verdict
	// reading is the read under way, or nil.
	reading *sharedRead
	// begun counts the reads; answered is the number of the last one that the
	// store answered.
	begun, answered uint64
	// largestText is the size of the largest text that the partition ever takes.
	largestText int
	// textsApart tells that the partition has been said to have no room for texts.
	textsApart bool
	// confirmed is when a call was sent whose answer told that the log held nothing but what
	// is known. The answer may come much later, when others have written meanwhile.
	confirmed time.Duration
}

// sharedRead is one read that several wait for; err is set before done is closed.
type sharedRead struct {
	done chan struct{}
	err  error
}

// expect makes the follower remember the verdict on attempt.
func (f *follower) expect(attempt ledger.AttemptID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.verdicts[attempt] = nil
}

// verdict returns and forgets the verdict on attempt; false while it is not known.
func (f *follower) verdict(attempt ledger.AttemptID) (ledger.Verdict, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	verdict := f.verdicts[attempt]
	delete(f.verdicts, attempt)
	if verdict == nil {
		return ledger.Verdict{}, false
	}
	return *verdict, true
}

// applyOwn takes records that this node wrote at first, if nothing unread stands
// before them, which saves a read. ago is how long ago they were sent first: a call that is
// repeated may have been done by any of its sendings.
func (f *follower) applyOwn(first logstore.Offset, records [][]byte, ago time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if logstore.Offset(f.state.Next()) == first {
		f.apply(records)
		f.confirmed = max(f.confirmed, f.clock()-ago)
	}
}

// heard tells whether the partition has been read to its end once.
func (f *follower) heard() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.answered > 0 || f.confirmed > 0
}

// owner returns the life that owns the partition, as far as it has been read.
func (f *follower) owner() ledger.IncarnationID {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Owner()
}

// knows tells whether the log, as far as it has been read, has a record of program.
func (f *follower) knows(program ledger.ProgramID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Knows(program)
}

// sure tells whether life may hand out tokens ahead of the log.
func (f *follower) sure(life ledger.IncarnationID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.MayGrantUnlogged(life, f.confirmed, f.clock())
}

// apply needs the mutex.
func (f *follower) apply(records [][]byte) {
	now := f.clock()
	for _, record := range records {
		verdict, decided := f.state.Apply(record, now)
		if !decided {
			continue
		}
		if _, expected := f.verdicts[verdict.Attempt]; expected {
			f.verdicts[verdict.Attempt] = &verdict
		}
	}
}

// readTo reads on until the record at offset has been applied.
func (f *follower) readTo(ctx context.Context, offset logstore.Offset) error {
	return f.readUntil(ctx, func() bool { return logstore.Offset(f.state.Next()) > offset })
}

// readToEnd reads all that was written before the call.
func (f *follower) readToEnd(ctx context.Context) error {
	f.mutex.Lock()
	wanted := f.begun + 1
	f.mutex.Unlock()
	return f.readUntil(ctx, func() bool {
		return f.answered >= wanted && logstore.Offset(f.state.Next()) >= f.end
	})
}

// readUntil reads on until enough, which is called with the mutex held.
func (f *follower) readUntil(ctx context.Context, enough func() bool) error {
	failures := 0
	for {
		f.mutex.Lock()
		if enough() {
			f.mutex.Unlock()
			return nil
		}
		if f.reading == nil {
			f.begun++
			f.reading = &sharedRead{done: make(chan struct{})}
			go f.read(f.reading, logstore.Offset(f.state.Next()))
		}
		reading := f.reading
		f.mutex.Unlock()
		select {
		case <-reading.done:
		case <-ctx.Done():
			return fmt.Errorf("ledgerlog: read partition %d: %w", f.partition.Number, ctx.Err())
		}
		if reading.err != nil {
			failures++
			if failures >= readAttempts {
				return reading.err
			}
		}
	}
}

func (f *follower) read(reading *sharedRead, from logstore.Offset) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	began, sent := time.Now(), f.clock()
	result, err := f.store.Read(ctx, logstore.ReadRequest{Partition: f.partition, From: from, MaxBytes: f.window.size()})
	took := time.Since(began)
	f.metrics.readSeconds.Observe(took.Seconds())

	var trimmed *logstore.TrimmedError
	switch {
	case err == nil:
		f.window.answered(took, from+logstore.Offset(len(result.Records)) < result.End)
	case ctx.Err() != nil:
		f.window.unanswered()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case errors.As(err, &trimmed):
		f.state.SkipTo(uint64(trimmed.First))
	case err != nil:
		f.metrics.readFailures.Inc()
		reading.err = fmt.Errorf("ledgerlog: read partition %d: %w", f.partition.Number, err)
	default:
		f.take(from, result, sent)
	}
	f.reading = nil
	close(reading.done)
}

// take needs the mutex. Own records may have been applied since the read was sent.
func (f *follower) take(from logstore.Offset, result logstore.ReadResult, sent time.Duration) {
	f.end = result.End
	f.answered = f.begun
	f.confirmed = max(f.confirmed, sent)
	known := int(logstore.Offset(f.state.Next()) - from)
	if known < len(result.Records) {
		f.tellTexts(result.Records[known:])
		f.apply(result.Records[known:])
	}
}

// turn returns a kept turn, as far as the partition has been read.
func (f *follower) turn(turn ledger.TurnID) (ledger.IndexedTurn, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Turn(turn)
}

// find returns a kept turn, for which it reads the partition to its end unless the turn
// is known.
func (f *follower) find(ctx context.Context, turn ledger.TurnID) (kept ledger.IndexedTurn, found bool, err error) {
	if kept, found = f.turn(turn); found {
		return kept, true, nil
	}
	if err = f.readToEnd(ctx); err != nil {
		return ledger.IndexedTurn{}, false, err
	}
	kept, found = f.turn(turn)
	return kept, found, nil
}
