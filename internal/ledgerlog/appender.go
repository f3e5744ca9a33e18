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
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed call.
	minRetryPause = 40 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// callOverhead is the size of a record's framing in a call, in bytes.
	callOverhead = 4
)

// errWaitEnded reports that the caller's context ended before the outcome was known.
var errWaitEnded = errors.New("ledgerlog: gave up waiting for the store")

// submission is a group of adjacent records that is waiting to be written.
type submission struct {
	records [][]byte
	// keys has the key of each record of a keyed topic; it is nil for other topics.
	keys  []string
	bytes int
	// context ends the wait. Records whose context never ends are retried until they are
	// written.
	context context.Context
	// idempotent is set if the records may be written twice. They are repeated where the outcome of
	// a call stays unknown.
	idempotent bool
	// outcome is buffered for one result.
	outcome chan appendOutcome
}

type appendOutcome struct {
	first logstore.Offset
	err   error
}

// expired reports whether the caller has stopped waiting.
func (s *submission) expired() bool { return s.context.Err() != nil }

const (
	// minGap and maxGap bound the pause between two calls after refusals.
	minGap = 10 * time.Millisecond
	maxGap = 160 * time.Millisecond
)

// pacer spaces this node's appends while the store refuses some of them, so that each call
// carries more records. It is safe for concurrent use.
type pacer struct {
	// gap is in nanoseconds.
	gap atomic.Int64
}

// refused doubles the gap.
func (p *pacer) refused() {
	p.gap.Store(int64(min(max(2*time.Duration(p.gap.Load()), minGap), maxGap)))
}

// reset removes the gap.
func (p *pacer) reset() { p.gap.Store(0) }

// accepted shrinks the gap by a few percent, down to none.
func (p *pacer) accepted() {
	const keepPercent = 92
	gap := p.gap.Load() * keepPercent / 100
	if gap < int64(time.Millisecond) {
		gap = 0
	}
	p.gap.Store(gap)
}

// wait pauses for the current gap, with jitter.
func (p *pacer) wait() {
	if gap := time.Duration(p.gap.Load()); gap > 0 {
		sleepJittered(gap)
	}
}

// appender writes records to one partition, one call at a time; records that are submitted
// during a call go into the next one. Each call has a sequence number, so that a call whose
// outcome is unknown can be repeated without writing twice.
type appender struct {
	store        logstore.Store
	availability Availability
	partition    logstore.Partition
	producer     string
	callBytes    int
	logger       *slog.Logger
	metrics      *metrics
	pacer        *pacer
	// retransmission estimates when a call is repeated with the same sequence number.
	retransmission *retransmission
	// onWritten is called for each batch in the log, with the time since it was first sent,
	// before its waiters are released.
	onWritten func(first logstore.Offset, records [][]byte, ago time.Duration)

	// mutex guards the fields below.
	mutex   sync.Mutex
	queue   []*submission
	running bool
	epoch   uint64
	// sequence is the number of the next call.
	sequence uint64
	// batchDelay is used only by the goroutine that runs calls.
	batchDelay batchDelay
}

// append writes records and returns the offset of the first. Errors wrap errWaitEnded if ctx
// ended, in which case the records may still be written, or are those of the store.
func (a *appender) append(ctx context.Context, records [][]byte) (logstore.Offset, error) {
	return a.submit(ctx, records).wait()
}

// wait returns the outcome of the submission, with the errors of append.
func (s *submission) wait() (logstore.Offset, error) {
	select {
	case outcome := <-s.outcome:
		return outcome.first, outcome.err
	case <-s.context.Done():
		return 0, fmt.Errorf("%w: %w", errWaitEnded, s.context.Err())
	}
}

func newSubmission(ctx context.Context, records [][]byte) *submission {
	made := &submission{records: records, context: ctx, outcome: make(chan appendOutcome, 1)}
	for _, record := range records {
		made.bytes += len(record) + callOverhead
	}
	return made
}

// newKeyedSubmission is newSubmission for a keyed topic.
func newKeyedSubmission(ctx context.Context, keys []string, records [][]byte) *submission {
	made := newSubmission(ctx, records)
	made.keys = keys
	for _, key := range keys {
		made.bytes += len(key) + 1
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

// idle reports whether everything that was submitted is written.
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
		a.batchDelay.callStarted(len(batch), time.Now())
		recovered := a.availability.Recovered()
		err := a.write(batch)
		if err == nil {
			pause = minRetryPause
			a.pacer.accepted()
			a.pacer.wait()
			continue
		}
		a.adjustPace()
		a.metrics.appendFailures.Inc()
		a.requeue(batch)
		a.pauseAfterFailure(pause, recovered)
		pause = min(2*pause, maxRetryPause)
	}
}

// waiting reports whether there is something to write, and otherwise marks the run as ended.
func (a *appender) waiting() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.running = len(a.queue) > 0
	return a.running
}

// next returns the submissions for one call once the store may be called and the batch delay
// has passed. It returns none once nobody is waiting.
func (a *appender) next() []*submission {
	for a.waiting() {
		ctx, cancel := context.WithTimeout(context.Background(), maxRetryPause)
		err := a.availability.Await(ctx, a.partition)
		cancel()
		if err == nil {
			time.Sleep(a.batchDelay.wait(time.Now()))
			return a.dequeue()
		}
		if a.dropExpired() {
			return nil
		}
	}
	return nil
}

// dropExpired drops the submissions that nobody waits for and reports whether no other is left.
func (a *appender) dropExpired() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queue = slices.DeleteFunc(a.queue, (*submission).expired)
	a.running = len(a.queue) > 0
	return !a.running
}

// dequeue returns the submissions for one call, or none if the queue is empty.
func (a *appender) dequeue() []*submission {
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

func (a *appender) requeue(batch []*submission) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queue = append(batch, a.queue...)
}

// write makes one call and repeats it while its outcome is unknown. It returns an error only if
// the batch was certainly not written.
func (a *appender) write(batch []*submission) error {
	var records [][]byte
	var keys []string
	for _, one := range batch {
		records, keys = append(records, one.records...), append(keys, one.keys...)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls := newBatchCalls(ctx, a, keys, records)
	unanswered := 0
	pause := minRetryPause
	sent := time.Now()
	for {
		recovered := a.availability.Recovered()
		result, err := calls.next(unanswered, recovered)
		switch {
		case err == nil:
			a.sequence++
			a.resolve(batch, records, result.First, time.Since(sent))
			return nil
		case errors.Is(err, logstore.ErrSequence), errors.Is(err, logstore.ErrFenced):
			a.logger.Warn("store rejected the producer; starting a new epoch", "partition", a.partition.Number, "topic", a.partition.Topic,
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
		calls.pause(a.retryPause(pause), recovered)
		pause = min(2*pause, maxRetryPause)
		if calls.late == nil {
			// A call that may have taken effect is repeated until its outcome is known, so this
			// wait has no end.
			_ = a.availability.Await(context.Background(), a.partition)
		}
	}
}

// adjustPace widens the gap after a refusal. Failures while the store is unavailable say
// nothing about its capacity and reset the gap.
func (a *appender) adjustPace() {
	if a.availability.Available(a.partition) {
		a.pacer.refused()
		return
	}
	a.pacer.reset()
}

// pauseAfterFailure pauses after a failed call, unless the store has recovered since the call
// began.
func (a *appender) pauseAfterFailure(pause time.Duration, recovered <-chan struct{}) {
	sleepUntilRecovered(recovered, a.retryPause(pause))
}

// retryPause returns the pause after a failed call. While the store is known to be unavailable,
// it is short, since the circuit breaker paces the calls.
func (a *appender) retryPause(pause time.Duration) time.Duration {
	if !a.availability.Available(a.partition) {
		return minRetryPause
	}
	return pause
}

func (a *appender) resolve(batch []*submission, records [][]byte, first logstore.Offset, ago time.Duration) {
	if a.onWritten != nil {
		a.onWritten(first, records, ago)
	}
	for _, one := range batch {
		one.outcome <- appendOutcome{first: first}
		first += logstore.Offset(len(one.records))
	}
}

// fail ends submissions with an error, except those that may be repeated.
func (a *appender) fail(batch []*submission, err error) {
	var repeated []*submission
	for _, one := range batch {
		if one.idempotent {
			repeated = append(repeated, one)
			continue
		}
		one.outcome <- appendOutcome{err: err}
	}
	a.requeue(repeated)
}

// sleepUntilRecovered waits for half to one and a half times pause, so that nodes that failed
// together do not retry together, or until the store has recovered.
func sleepUntilRecovered(recovered <-chan struct{}, pause time.Duration) {
	timer := time.NewTimer(jitter(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-recovered:
	}
}

// sleepJittered is sleepUntilRecovered without an early end.
func sleepJittered(pause time.Duration) { time.Sleep(jitter(pause)) }

func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }
