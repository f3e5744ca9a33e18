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

// readLimit is how many records one read asks for.
const readLimit = 256

// errLogAway tells that the log did not take a request, for certain.
var errLogAway = errors.New("journal: the log is away")

// StreamName returns the name of shard's log stream.
func StreamName(shard identity.ShardID) string { return fmt.Sprintf("shard-%04d", shard) }

// stream is one shard's log stream with the fold of what was read of it. One
// goroutine at a time uses it.
type stream struct {
	manager *Manager
	name    string
	ledger  *Ledger
	// size is the size of the last append.
	size int
	// onStep takes the effects of each record read.
	onStep func(Step) error
}

// openStream finds the newest base of the shard's stream and folds from there.
// The last record names the base, so the read is bounded by the distance between
// two snapshots however long the stream is.
func (m *Manager) openStream(ctx context.Context, shard identity.ShardID, onStep func(Step) error) (*stream, error) {
	s := &stream{manager: m, name: StreamName(shard), onStep: onStep}
	base, err := s.findBase(ctx)
	if err != nil {
		return nil, err
	}
	s.ledger = NewLedger(shard, base)
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
		s.manager.noteLog(err)
		return result, fmt.Errorf("journal: read %s at %d: %w", s.name, from, err)
	}
	s.manager.noteLog(nil)
	return result, nil
}

// catchUp folds all that the stream holds now.
func (s *stream) catchUp(ctx context.Context) error {
	for {
		result, err := s.read(ctx, s.ledger.Next(), readLimit)
		if err != nil {
			return err
		}
		for _, raw := range result.Records {
			if err := s.take(raw); err != nil {
				return err
			}
		}
		if s.ledger.Next() >= result.End || len(result.Records) == 0 {
			return nil
		}
	}
}

func (s *stream) take(raw []byte) error {
	offset := s.ledger.Next()
	step := s.ledger.Apply(raw)
	if step.Verdict == Damaged {
		s.manager.config.Logger.Error("damaged log record passed over", "stream", s.name, "offset", uint64(offset))
	}
	if s.onStep == nil {
		return nil
	}
	if err := s.onStep(step); err != nil {
		return fmt.Errorf("journal: %s at %d: %w", s.name, offset, err)
	}
	return nil
}

// append puts records at the stream's end, adjacent, and returns what the log's
// order makes of the last. It tries until that is known or ctx ends. An answer
// that got lost is read back before the next try, and a second copy that lands
// late all the same counts once. With patient unset, a log that is away ends it
// at once with errLogAway, provided that nothing can have landed.
func (s *stream) append(ctx context.Context, patient bool, records ...*Record) (Verdict, error) {
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
		if !patient {
			return 0, fmt.Errorf("%w: %w", errLogAway, err)
		}
		if err := s.manager.pauseForLog(ctx, attempt); err != nil {
			return 0, fmt.Errorf("journal: append %s: %w", s.name, err)
		}
	}
}

// appendOnce tells whether the records may have landed.
func (s *stream) appendOnce(ctx context.Context, raws [][]byte) (sent bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, s.manager.config.LogTimeout)
	defer cancel()
	offset, err := s.manager.config.Log.Append(callCtx, s.name, raws)
	s.manager.noteLog(err)
	if errors.Is(err, siteservices.ErrUnavailable) {
		return false, err
	}
	if err == nil && offset == s.ledger.Next() {
		for _, raw := range raws {
			if err := s.take(raw); err != nil {
				return true, err
			}
		}
	}
	return true, err
}

// readBack folds on until the record id is met. If the log holds no copy it is
// appended again.
func (s *stream) readBack(ctx context.Context, id RecordID, raws [][]byte) (Verdict, error) {
	for attempt := 0; ; attempt++ {
		if verdict, met := s.ledger.Verdict(id); met {
			return verdict, nil
		}
		if err := ctx.Err(); err != nil {
			return 0, fmt.Errorf("journal: read back %s: %w", s.name, err)
		}
		if err := s.catchUp(ctx); err != nil {
			if err := s.manager.pauseForLog(ctx, attempt); err != nil {
				return 0, fmt.Errorf("journal: read back %s: %w", s.name, err)
			}
			continue
		}
		if _, met := s.ledger.Verdict(id); met {
			continue
		}
		if _, err := s.appendOnce(ctx, raws); err != nil {
			_ = s.manager.pauseForLog(ctx, attempt) // the loop looks at ctx itself
		}
	}
}

// The bounds of the pause between two tries at a log that fails.
const (
	logPauseShortest = 50 * time.Millisecond
	logPauseLongest  = 2 * time.Second
)

// pauseForLog waits before the next try: until the probe finds the log up, and
// then a moment drawn at random so that all writers do not come at once.
func (m *Manager) pauseForLog(ctx context.Context, attempt int) error {
	if err := m.health.await(ctx, false); err != nil {
		return err
	}
	longest := min(logPauseShortest<<min(attempt, 10), logPauseLongest)
	return wait.For(ctx, longest/2+m.random.duration(longest/2))
}

// noteLog keeps the log's health from the outcome of a request.
func (m *Manager) noteLog(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, siteservices.ErrOutcomeUnknown) && !errors.Is(err, context.DeadlineExceeded) {
		return // one lost answer tells nothing of the next request
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
