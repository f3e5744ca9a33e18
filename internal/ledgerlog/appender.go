package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed call.
	minRetryPause = 40 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// callOverhead is what a record takes in a call besides its bytes.
	callOverhead = 4
)

// errAbandoned tells that the waiting time ended before the outcome was known.
var errAbandoned = errors.New("ledgerlog: gave up waiting for the store")

// submission is a group of adjacent records that waits to be written.
type submission struct {
	records [][]byte
	bytes   int
	// context ends the wait; records under one that never ends are written whenever that is possible.
	context context.Context
	// outcome has room for one result.
	outcome chan appendOutcome
}

type appendOutcome struct {
	first logstore.Offset
	err   error
}

// expired tells whether nobody waits for the records any more.
func (s *submission) expired() bool { return s.context.Err() != nil }

const (
	// firstGap and longestGap bound the pause between two calls that refusals lead to.
	firstGap   = 10 * time.Millisecond
	longestGap = 160 * time.Millisecond
)

// pacer spaces this node's appends while the store refuses some of them, so that
// each call takes more records. It is safe for concurrent use.
type pacer struct {
	// gap is in nanoseconds.
	gap atomic.Int64
}

// refused makes the gaps longer.
func (p *pacer) refused() {
	p.gap.Store(int64(min(max(2*time.Duration(p.gap.Load()), firstGap), longestGap)))
}

// reset leaves no gaps.
func (p *pacer) reset() { p.gap.Store(0) }

// accepted makes the gaps a little shorter, down to none.
func (p *pacer) accepted() {
	const keepPercent = 92
	gap := p.gap.Load() * keepPercent / 100
	if gap < int64(time.Millisecond) {
		gap = 0
	}
	p.gap.Store(gap)
}

// wait pauses between two calls.
func (p *pacer) wait() {
	if gap := time.Duration(p.gap.Load()); gap > 0 {
		sleepAbout(gap)
	}
}

// appender writes records to one partition, one call at a time: what comes in
// during a call goes into the next. Each call has a sequence number, so that a
// call whose answer was lost is repeated without writing twice.
type appender struct {
	store     logstore.Store
	gate      Availability
	partition logstore.Partition
	producer  string
	callBytes int
	logger    *slog.Logger
	metrics   *metrics
	pacer     *pacer
	// retransmission says when a call is repeated, with the same sequence number.
	retransmission *retransmission
	// written is told of each batch in the log, and how long ago it was sent first, before
	// those who wait for it.
	written func(first logstore.Offset, records [][]byte, ago time.Duration)

	// mutex guards all below.
	mutex   sync.Mutex
	queue   []*submission
	running bool
	epoch   uint64
	// sequence is the number of the next call.
	sequence uint64
	// gathering is used by the running call alone.
	gathering gathering
}

// append writes records and returns the offset of the first. Errors: ctx's end
// as errAbandoned, in which case the records may be written after all; or what the
// store said.
func (a *appender) append(ctx context.Context, records [][]byte) (logstore.Offset, error) {
	return a.submit(ctx, records).wait()
}

// wait returns what append does.
func (s *submission) wait() (logstore.Offset, error) {
	select {
	case outcome := <-s.outcome:
		return outcome.first, outcome.err
	case <-s.context.Done():
		return 0, fmt.Errorf("%w: %w", errAbandoned, s.context.Err())
	}
}

func newSubmission(ctx context.Context, records [][]byte) *submission {
	made := &submission{records: records, context: ctx, outcome: make(chan appendOutcome, 1)}
	for _, record := range records {
		made.bytes += len(record) + callOverhead
	}
	return made
}

func (a *appender) submit(ctx context.Context, records [][]byte) *submission {
	waiting := newSubmission(ctx, records)
	a.enqueue(waiting)
	return waiting
}

func (a *appender) enqueue(waiting ...*submission) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queue = append(a.queue, waiting...)
	if !a.running && len(a.queue) > 0 {
		a.running = true
		go a.run()
	}
}

// idle tells whether everything that was submitted is written.
func (a *appender) idle() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !a.running
}

func (a *appender) run() {
	pause := minRetryPause
	for {
		batch := a.next()
		if len(batch) == 0 {
			return
		}
		a.gathering.called(len(batch), time.Now())
		regained := a.gate.Recovered()
		err := a.write(batch)
		if err == nil {
			pause = minRetryPause
			a.pacer.accepted()
			a.pacer.wait()
			continue
		}
		a.space()
		a.metrics.appendFailures.Inc()
		a.putBack(batch)
		a.rest(pause, regained)
		pause = min(2*pause, maxRetryPause)
	}
}

// waiting tells whether there is something to write, and ends the run otherwise.
func (a *appender) waiting() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.running = len(a.queue) > 0
	return a.running
}

// next returns the submissions for one call once the store may be called and others have had
// the time to go with it, and none once nobody waits for any.
func (a *appender) next() []*submission {
	for a.waiting() {
		ctx, cancel := context.WithTimeout(context.Background(), maxRetryPause)
		err := a.gate.Await(ctx, a.partition)
		cancel()
		if err == nil {
			time.Sleep(a.gathering.wait(time.Now()))
			return a.take()
		}
		if a.ended() {
			return nil
		}
	}
	return nil
}

// ended drops the submissions that nobody waits for, and tells whether there is no other.
func (a *appender) ended() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queue = slices.DeleteFunc(a.queue, (*submission).expired)
	a.running = len(a.queue) > 0
	return !a.running
}

// take returns the submissions for one call, and none once the queue is empty.
func (a *appender) take() []*submission {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var batch []*submission
	size := 0
	for len(a.queue) > 0 {
		next := a.queue[0]
		if next.expired() {
			a.queue = a.queue[1:]
			continue
		}
		if size > 0 && size+next.bytes > a.callBytes {
			break
		}
		size += next.bytes
		batch = append(batch, next)
		a.queue = a.queue[1:]
	}
	a.running = len(batch) > 0
	return batch
}

func (a *appender) putBack(batch []*submission) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queue = append(batch, a.queue...)
}

// write makes one call and, while it is not known whether that took effect,
// repeats it. It returns an error only if the batch was not written, for certain.
func (a *appender) write(batch []*submission) error {
	var records [][]byte
	for _, one := range batch {
		records = append(records, one.records...)
	}
	unanswered := 0
	pause := minRetryPause
	sent := time.Now()
	for {
		regained := a.gate.Recovered()
		result, err := a.call(records, unanswered, regained)
		switch {
		case err == nil:
			a.sequence++
			a.resolve(batch, records, result.First, time.Since(sent))
			return nil
		case errors.Is(err, logstore.ErrSequence), errors.Is(err, logstore.ErrFenced):
			a.logger.Warn("store forgot the producer", "partition", a.partition.Number, "topic", a.partition.Topic,
				"epoch", a.epoch, "sequence", a.sequence, "error", err)
			a.epoch, a.sequence = a.epoch+1, 0
			if unanswered > 0 {
				a.fail(batch, fmt.Errorf("%w: %w", logstore.ErrOutcomeUnknown, err))
				return nil
			}
		case errors.Is(err, logstore.ErrOutcomeUnknown):
			unanswered++
		case unanswered == 0:
			return err
		}
		a.metrics.appendFailures.Inc()
		a.rest(pause, regained)
		pause = min(2*pause, maxRetryPause)
		// What may have been done is repeated however long that takes, and this wait has no end.
		_ = a.gate.Await(context.Background(), a.partition)
	}
}

// space spaces the calls after a refusal. That of a store that is away says nothing of how
// many it takes.
func (a *appender) space() {
	if a.gate.Available(a.partition) {
		a.pacer.refused()
		return
	}
	a.pacer.reset()
}

// rest pauses after a failed call, unless the store has regained since it began. Where it
// is known to be away, the gate paces, and the pause is short.
func (a *appender) rest(pause time.Duration, regained <-chan struct{}) {
	if !a.gate.Available(a.partition) {
		pause = minRetryPause
	}
	sleepUntil(regained, pause)
}

// call makes one call; unanswered is how many of the same have got no answer. A probe that
// hangs when the store answers others again gets the time of a first call from then on.
func (a *appender) call(records [][]byte, unanswered int, regained <-chan struct{}) (logstore.AppendResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.retransmission.timeout(unanswered))
	defer cancel()
	if !a.gate.Available(a.partition) {
		go a.shorten(ctx, cancel, regained)
	}
	began := time.Now()
	result, err := a.store.Append(ctx, logstore.AppendRequest{
		Partition: a.partition, Records: records,
		Producer: a.producer, Epoch: a.epoch, Sequence: a.sequence,
	})
	took := time.Since(began)
	a.metrics.appendSeconds.Observe(took.Seconds())
	if err == nil {
		a.retransmission.answered(took)
	}
	return result, err
}

func (a *appender) shorten(ctx context.Context, cancel context.CancelFunc, regained <-chan struct{}) {
	select {
	case <-regained:
		_ = wait.For(ctx, a.retransmission.timeout(0)) // either way it is over
		cancel()
	case <-ctx.Done():
	}
}

func (a *appender) resolve(batch []*submission, records [][]byte, first logstore.Offset, ago time.Duration) {
	if a.written != nil {
		a.written(first, records, ago)
	}
	for _, one := range batch {
		one.outcome <- appendOutcome{first: first}
		first += logstore.Offset(len(one.records))
	}
}

func (a *appender) fail(batch []*submission, err error) {
	for _, one := range batch {
		one.outcome <- appendOutcome{err: err}
	}
}

// sleepUntil waits for between half of pause and one and a half of it, so that nodes that
// failed together do not come back together, and until the store has regained at most.
func sleepUntil(regained <-chan struct{}, pause time.Duration) {
	timer := time.NewTimer(about(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-regained:
	}
}

// sleepAbout is sleepUntil without an early end.
func sleepAbout(pause time.Duration) { time.Sleep(about(pause)) }

func about(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }
