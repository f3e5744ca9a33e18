package tables

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// ErrGap tells that the log no longer has records that this node must fold.
var ErrGap = errors.New("tables: the table stream has a gap")

// ErrStreamTruncated tells that the log holds less than this node has read from
// it: it lost what it had acknowledged.
var ErrStreamTruncated = errors.New("tables: the table stream is shorter than what was read from it")

// follow reads the stream by long polls until ctx ends.
func (c *Controller) follow(ctx context.Context) error {
	c.persist(ctx, c.startFromSummary)
	wait := time.Duration(0) // the first read only asks for what is there
	for ctx.Err() == nil {
		c.persist(ctx, func(ctx context.Context) error {
			_, err := c.readOnce(ctx, wait)
			return err
		})
		wait = c.config.PollWait
	}
	return nil
}

// persist repeats step with growing pauses until it succeeds or ctx ends.
func (c *Controller) persist(ctx context.Context, step func(context.Context) error) {
	for retry := retryFirst; ; retry = min(2*retry, retryLast) {
		err := step(ctx)
		if ctx.Err() != nil {
			return
		}
		c.noteFailure(err)
		if err == nil {
			return
		}
		c.pause(ctx, retry)
	}
}

// noteFailure keeps the reason why the stream cannot be followed, and logs it
// when it begins and ends.
func (c *Controller) noteFailure(err error) {
	c.mutex.Lock()
	before := c.failure
	c.failure = err
	c.mutex.Unlock()
	switch {
	case err != nil && before == nil:
		c.config.Logger.Warn("table stream cannot be followed, versions come from peers alone", "error", err)
	case err == nil && before != nil:
		c.config.Logger.Info("table stream followed again")
	}
}

// readOnce reads on from where the ledger stands and folds what comes. It tells
// whether that was the end of the stream.
func (c *Controller) readOnce(ctx context.Context, wait time.Duration) (end bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerGrace)
	defer cancel()
	c.mutex.Lock()
	from := c.ledger.Next()
	c.mutex.Unlock()
	result, err := c.config.Log.Read(ctx, table.Stream, from, readLimit, wait)
	if err != nil {
		return false, fmt.Errorf("tables: read stream at %d: %w", from, err)
	}
	return c.fold(from, result)
}

// catchUp reads on until the end of the stream as it was when catchUp began.
func (c *Controller) catchUp(ctx context.Context) error {
	for {
		end, err := c.readOnce(ctx, 0)
		if end || err != nil {
			return err
		}
	}
}

// fold takes the records of one read. Reads and peers may have brought the
// ledger on meanwhile; records that it has folded already are passed over.
func (c *Controller) fold(asked siteservices.Offset, result siteservices.ReadResult) (end bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if result.End < asked {
		return false, fmt.Errorf("%w: it ends at %d, read up to %d", ErrStreamTruncated, result.End, asked)
	}
	if len(result.Records) > 0 && result.From > c.ledger.Next() {
		return false, fmt.Errorf("%w: from %d to %d", ErrGap, c.ledger.Next(), result.From)
	}
	for index, raw := range result.Records {
		if result.From+siteservices.Offset(index) < c.ledger.Next() {
			continue
		}
		if err = c.ledger.Apply(raw); err != nil {
			break // what was folded before still counts
		}
	}
	end = c.ledger.Next() >= result.End
	c.reachedEnd = c.reachedEnd || end
	c.enforce()
	return end, err
}
