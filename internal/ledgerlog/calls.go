package ledgerlog

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/logstore"
)

// batchCalls are the calls for one batch. All have the same sequence number, so the store writes the
// batch once, whichever of them it answers. A call that is not answered in time goes on beside
// its repeats, since a slow store may answer it first.
type batchCalls struct {
	appender *appender
	// context ends once the outcome is known.
	context context.Context
	keys    []string
	records [][]byte
	made    int
	answers chan callAnswer
	// late is a success that came between two calls, or nil.
	late *callAnswer
}

// callAnswer is the outcome of one call.
type callAnswer struct {
	number int
	result logstore.AppendResult
	err    error
}

func newBatchCalls(ctx context.Context, a *appender, keys []string, records [][]byte) *batchCalls {
	return &batchCalls{appender: a, context: ctx, keys: keys, records: records, answers: make(chan callAnswer)}
}

// next makes one more call and waits until it is answered, or an earlier one successfully, or
// until the call is to be repeated. unanswered is how many identical calls got no response. If
// the store recovers while a probe hangs, the probe gets the timeout of a first call from then
// on.
func (c *batchCalls) next(unanswered int, recovered <-chan struct{}) (logstore.AppendResult, error) {
	if c.late != nil {
		return c.late.result, nil
	}
	c.made++
	timeout := c.appender.retransmission.timeout(unanswered)
	go c.send(c.made, logstore.AppendRequest{
		Partition: c.appender.partition, Keys: c.keys, Records: c.records, AnswerWithin: timeout,
		Producer: c.appender.producer, Epoch: c.appender.epoch, Sequence: c.appender.sequence,
	})
	if c.appender.availability.Available(c.appender.partition) {
		recovered = nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case one := <-c.answers:
			if one.err == nil || one.number == c.made {
				return one.result, one.err
			}
		case <-timer.C:
			return logstore.AppendResult{}, fmt.Errorf("%w: no answer within %s", logstore.ErrOutcomeUnknown, timeout)
		case <-recovered:
			recovered = nil
			timer.Reset(min(timeout, c.appender.retransmission.timeout(0)))
		}
	}
}

// send makes one call.
func (c *batchCalls) send(number int, request logstore.AppendRequest) {
	ctx, cancel := context.WithTimeout(c.context, maxTimeout)
	defer cancel()
	began := time.Now()
	result, err := c.appender.store.Append(ctx, request)
	if c.context.Err() != nil {
		return
	}
	took := time.Since(began)
	c.appender.metrics.appendSeconds.Observe(took.Seconds())
	if err == nil {
		c.appender.retransmission.answered(took)
	}
	select {
	case c.answers <- callAnswer{number: number, result: result, err: err}:
	case <-c.context.Done():
	}
}

// pause waits before the next call, at most until the store has recovered or an earlier call is
// answered successfully.
func (c *batchCalls) pause(pause time.Duration, recovered <-chan struct{}) {
	timer := time.NewTimer(jitter(pause))
	defer timer.Stop()
	for {
		select {
		case one := <-c.answers:
			if one.err == nil {
				c.late = &one
				return
			}
		case <-timer.C:
			return
		case <-recovered:
			return
		}
	}
}
