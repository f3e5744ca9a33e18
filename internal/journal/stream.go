package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/wait"
)

// readLimit is the maximum number of records of one read.
const readLimit = 256

// errLogUnavailable reports that the log certainly did not accept a request.
var errLogUnavailable = errors.New("journal: the log is unavailable")

// StreamName returns the name of shard's log stream.
func StreamName(shard identity.ShardID) string { return fmt.Sprintf("shard-%04d", shard) }

// stream reads and appends one shard's log stream. It is used by one goroutine at a
// time.
type stream struct {
	manager *Manager
	name    string
	ledger  *StreamState
	// size is the size of the last append in bytes.
	size int
	// onEffect is called with the effect of each record; it may be nil.
	onEffect func(Effect) error
}

// openStream finds the newest base of the shard's stream and reads from there. The
// last record names the base, so the read is bounded by the distance between two
// snapshots regardless of the stream's length.
func (m *Manager) openStream(ctx context.Context, shard identity.ShardID, onStep func(Effect) error) (*stream, error) {
	s := &stream{manager: m, name: StreamName(shard), onEffect: onStep}
	base, err := s.findBase(ctx)
	if err != nil {
		return nil, err
	}
	s.ledger = NewStreamState(shard, base)
	if err := s.catchUp(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *stream) findBase(ctx context.Context) (siteservices.Offset, error) {
	first, err := s.read(ctx, 0, 1)
	if err != nil {
		return 0, err
	}
	for end := first.End; end > 0; end-- {
		last, err := s.read(ctx, end-1, 1)
		if err != nil {
			return 0, err
		}
		if len(last.Records) == 0 {
			break
		}
		if record, err := DecodeRecord(last.Records[0]); err == nil {
			return record.Base, nil
		}
	}
	return 0, nil
}

func (s *stream) read(ctx context.Context, from siteservices.Offset, limit int) (siteservices.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.manager.config.LogTimeout)
	defer cancel()
	result, err := s.manager.config.Log.Read(ctx, s.name, from, limit, 0)
	if err != nil {
		s.manager.recordLogOutcome(err)
		return result, fmt.Errorf("journal: read %s at %d: %w", s.name, from, err)
	}
	s.manager.recordLogOutcome(nil)
	return result, nil
}

// catchUp reads to the end of the stream.
func (s *stream) catchUp(ctx context.Context) error {
	for {
		result, err := s.read(ctx, s.ledger.Next(), readLimit)
		if err != nil {
			return err
		}
		for _, raw := range result.Records {
			if err := s.apply(raw); err != nil {
				return err
			}
		}
		if s.ledger.Next() >= result.End || len(result.Records) == 0 {
			return nil
		}
	}
}

func (s *stream) apply(raw []byte) error {
	offset := s.ledger.Next()
	step := s.ledger.Apply(raw)
	if step.Verdict == Corrupt {
		s.manager.config.Logger.Error("damaged log record passed over", "stream", s.name, "offset", uint64(offset))
	}
	if s.onEffect == nil {
		return nil
	}
	if err := s.onEffect(step); err != nil {
		return fmt.Errorf("journal: %s at %d: %w", s.name, offset, err)
	}
	return nil
}

// append appends records as one batch and returns the verdict on the last. It
// retries until the verdict is known or ctx ends. If the outcome of an append is
// unknown, the stream is read before the next attempt; a duplicate that is written
// late takes no effect. If retry is false and the log is unavailable, append fails
// at once with errLogUnavailable, provided that no record can have been written.
func (s *stream) append(ctx context.Context, retry bool, records ...*Record) (Verdict, error) {
	raws := make([][]byte, len(records))
	s.size = 0
	for i, record := range records {
		record.Base = s.ledger.Base()
		raws[i] = record.Encode()
		s.size += len(raws[i])
	}
	last := records[len(records)-1].ID
	for attempt := 0; ; attempt++ {
		sent, err := s.appendOnce(ctx, raws)
		if sent {
			return s.readBack(ctx, last, raws)
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("journal: append %s: %w", s.name, ctx.Err())
		}
		if !retry {
			return 0, fmt.Errorf("%w: %w", errLogUnavailable, err)
		}
		if err := s.manager.backOffFromLog(ctx, attempt); err != nil {
			return 0, fmt.Errorf("journal: append %s: %w", s.name, err)
		}
	}
}

// appendOnce reports whether the records may have been written.
func (s *stream) appendOnce(ctx context.Context, raws [][]byte) (sent bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, s.manager.config.LogTimeout)
	defer cancel()
	offset, err := s.manager.config.Log.Append(callCtx, s.name, raws)
	s.manager.recordLogOutcome(err)
	if errors.Is(err, siteservices.ErrUnavailable) {
		return false, err
	}
	if err == nil && offset == s.ledger.Next() {
		for _, raw := range raws {
			if err := s.apply(raw); err != nil {
				return true, err
			}
		}
	}
	return true, err
}

// readBack reads until record id is found. If the log does not contain it, the
// records are appended again.
func (s *stream) readBack(ctx context.Context, id RecordID, raws [][]byte) (Verdict, error) {
	for attempt := 0; ; attempt++ {
		if verdict, met := s.ledger.Verdict(id); met {
			return verdict, nil
		}
		if err := ctx.Err(); err != nil {
			return 0, fmt.Errorf("journal: read back %s: %w", s.name, err)
		}
		if err := s.catchUp(ctx); err != nil {
			if err := s.manager.backOffFromLog(ctx, attempt); err != nil {
				return 0, fmt.Errorf("journal: read back %s: %w", s.name, err)
			}
			continue
		}
		if _, met := s.ledger.Verdict(id); met {
			continue
		}
		if _, err := s.appendOnce(ctx, raws); err != nil {
			_ = s.manager.backOffFromLog(ctx, attempt) // the loop checks ctx itself
		}
	}
}

// Bounds of the backoff after a failed request to the log.
const (
	minLogBackoff = 50 * time.Millisecond
	maxLogBackoff = 2 * time.Second
)

// backOffFromLog waits until the log is available, and then for a random backoff so
// that writers do not retry at the same time.
func (m *Manager) backOffFromLog(ctx context.Context, attempt int) error {
	if err := m.health.await(ctx, false); err != nil {
		return err
	}
	longest := min(minLogBackoff<<min(attempt, 10), maxLogBackoff)
	return wait.For(ctx, longest/2+m.random.duration(longest/2))
}

// recordLogOutcome updates the log's health from the outcome of a request.
func (m *Manager) recordLogOutcome(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, siteservices.ErrOutcomeUnknown) && !errors.Is(err, context.DeadlineExceeded) {
		return // a single unknown outcome does not mean that the log is unavailable
	}
	down := err != nil
	if !m.health.set(down) {
		return
	}
	if down {
		m.config.Logger.Warn("log service away", "error", err)
		return
	}
	m.config.Logger.Info("log service back")
}
