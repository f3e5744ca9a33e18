package ledgerlog

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	// archivePageTimeout bounds the read of one page of an archive.
	archivePageTimeout = time.Second
	// restoreInterval is the time between two reads of the archive of an incomplete partition.
	restoreInterval = 500 * time.Millisecond
)

// archive is the keyed partition with a copy of what outlives the records of one partition of the
// ledger.
type archive struct {
	store     logstore.Store
	partition logstore.Partition
}

// load returns the items that are not texts, and the offset at which the partition ended when the
// first of them were read. Its error wraps ErrUnavailable.
func (a *archive) load(ctx context.Context) (*ledger.Snapshot, logstore.Offset, error) {
	snapshot := ledger.NewSnapshot()
	var end logstore.Offset
	request := logstore.NewestRequest{Partition: a.partition}
	for pages := 0; ; pages++ {
		page, err := a.page(ctx, request)
		if err != nil {
			return nil, 0, err
		}
		if pages == 0 {
			end = page.End
		}
		for _, item := range page.Items {
			if ledger.IsTextKey(item.Key) {
				return snapshot, end, nil
			}
			if err := snapshot.Add(item.Key, item.Value); err != nil {
				return nil, 0, fmt.Errorf("%w: archive of partition %d: %w", ErrUnavailable, a.partition.Number, err)
			}
		}
		if !page.More {
			return snapshot, end, nil
		}
		request.After = page.Next
	}
}

func (a *archive) page(ctx context.Context, request logstore.NewestRequest) (logstore.NewestResult, error) {
	within, cancel := context.WithTimeout(ctx, archivePageTimeout)
	defer cancel()
	page, err := a.store.Newest(within, request)
	if err != nil {
		return page, fmt.Errorf("%w: archive of partition %d: %w", ErrUnavailable, a.partition.Number, err)
	}
	return page, nil
}

// setLongestRest sets the source of how long a program may rest between two turns.
func (r *reader) setLongestRest(longest func() time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.longestRest = longest
}

// rest returns how long a program may rest between two turns, or 0 if that is not known. It
// requires the mutex.
func (r *reader) rest() time.Duration {
	if r.longestRest == nil {
		return 0
	}
	return r.longestRest()
}

// skipTo skips records that the log has dropped. Unless they are known to be part of what was restored
// before, it restores the archive. Only the read in progress may call it.
func (r *reader) skipTo(first logstore.Offset) error {
	if r.archive == nil || r.covered(first) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.state.SkipTo(uint64(first))
		return nil
	}
	// The read of the archive is shared, so it has no caller's deadline.
	snapshot, _, err := r.archive.load(context.Background())
	if err != nil {
		r.metrics.restores.WithLabelValues("failed").Inc()
		return err
	}
	r.restore(snapshot, first)
	return nil
}

// covered reports whether all records before an offset are known.
func (r *reader) covered(offset logstore.Offset) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Covered(uint64(offset))
}

func (r *reader) restore(snapshot *ledger.Snapshot, first logstore.Offset) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now, next := r.clock(), r.state.Next()
	r.state.Restore(snapshot, uint64(first), now)
	r.restoredAt = now
	outcome := "complete"
	switch {
	case r.state.Incomplete(now):
		outcome = "incomplete"
	case !snapshot.Found:
		outcome = "no_archive"
	}
	r.metrics.restores.WithLabelValues(outcome).Inc()
	report := r.logger.Info
	if outcome != "complete" {
		report = r.logger.Warn
	}
	report("restored a partition whose records the log has dropped", "partition", r.partition.Number, "outcome", outcome,
		"next", next, "first", first, "archived_to", snapshot.Position, "turns", len(snapshot.Turns()), "programs", len(snapshot.Programs()))
}

// closeGap restores the archive of an incomplete partition again, since another node may have written
// there what this one lacks. Only the read in progress may call it.
func (r *reader) closeGap() {
	if !r.restoreDue() {
		return
	}
	snapshot, _, err := r.archive.load(context.Background())
	if err != nil {
		return // the partition stays incomplete
	}
	r.mutex.Lock()
	closes := r.state.Closes(snapshot)
	r.mutex.Unlock()
	if closes {
		r.restore(snapshot, logstore.Offset(snapshot.Position))
	}
}

// restoreDue reports whether the partition is incomplete and its archive was not read lately.
func (r *reader) restoreDue() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock()
	if r.archive == nil || !r.state.Incomplete(now) || now-r.restoredAt < restoreInterval {
		return false
	}
	r.restoredAt = now
	return true
}

// incomplete reports whether turns and charges may be missing.
func (r *reader) incomplete() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Incomplete(r.clock())
}

func (r *reader) incompleteError() error {
	return fmt.Errorf("%w: partition %d", ErrIncomplete, r.partition.Number)
}
