package tables

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// ErrGap is returned if the log no longer has records that this node must apply.
var ErrGap = errors.New("tables: the table stream has a gap")

// ErrStreamTruncated is returned if the stream is shorter than what this node has
// read from it: the log has lost acknowledged records.
var ErrStreamTruncated = errors.New("tables: the table stream is shorter than what was read from it")

// readStream reads the stream by long polls until ctx ends.
func (c *Controller) readStream(ctx context.Context) error {
	c.retry(ctx, c.startFromSnapshot)
	wait := time.Duration(0) // the first read returns immediately
	for ctx.Err() == nil {
		c.retry(ctx, func(ctx context.Context) error {
			_, err := c.readOnce(ctx, wait)
			return err
		})
		wait = c.config.PollWait
	}
	return nil
}

// retry repeats step with exponential backoff until it succeeds or ctx ends.
func (c *Controller) retry(ctx context.Context, step func(context.Context) error) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		err := step(ctx)
		if ctx.Err() != nil {
			return
		}
		c.recordFailure(err)
		if err == nil {
			return
		}
		c.pause(ctx, pause)
	}
}

// recordFailure records why the stream cannot be read, and logs when a failure
// begins and ends.
func (c *Controller) recordFailure(err error) {
	c.mutex.Lock()
	before := c.failure
	c.failure = err
	c.mutex.Unlock()
	switch {
	case err != nil && before == nil:
		c.config.Logger.Warn("cannot read the table stream, receiving versions from peers only", "error", err)
	case err == nil && before != nil:
		c.config.Logger.Info("table stream is readable again")
	}
}

// readOnce reads from the version log's next offset and applies the records. It
// reports whether the end of the stream was reached.
func (c *Controller) readOnce(ctx context.Context, wait time.Duration) (end bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	c.mutex.Lock()
	from := c.versions.Next()
	c.mutex.Unlock()
	result, err := c.config.Log.Read(ctx, table.Stream, from, readLimit, wait)
	if err != nil {
		return false, fmt.Errorf("tables: read stream at %d: %w", from, err)
	}
	return c.apply(from, result)
}

// catchUp reads until the end of the stream.
func (c *Controller) catchUp(ctx context.Context) error {
	for {
		end, err := c.readOnce(ctx, 0)
		if end || err != nil {
			return err
		}
	}
}

// apply applies the records of a read that started at from. The version log may
// have advanced in the meantime through another read or a peer; records that are
// already applied are skipped.
func (c *Controller) apply(from siteservices.Offset, result siteservices.ReadResult) (end bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if result.End < from {
		return false, fmt.Errorf("%w: it ends at %d, read up to %d", ErrStreamTruncated, result.End, from)
	}
	if len(result.Records) > 0 && result.From > c.versions.Next() {
		return false, fmt.Errorf("%w: from %d to %d", ErrGap, c.versions.Next(), result.From)
	}
	for index, raw := range result.Records {
		if result.From+siteservices.Offset(index) < c.versions.Next() {
			continue
		}
		if err = c.versions.Apply(raw); err != nil {
			break // the records before it remain applied
		}
	}
	end = c.versions.Next() >= result.End
	c.reachedEnd = c.reachedEnd || end
	c.putInForce()
	return end, err
}
