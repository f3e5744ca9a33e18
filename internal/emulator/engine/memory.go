package engine

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine/model"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wire"
)

// publishedEvent is a cache event and the time from which it is visible.
type publishedEvent struct {
	event  backend.CacheEvent
	seenAt time.Time
}

// Release implements backend.Engine.
func (e *Engine) Release(ctx context.Context, program identity.ProgramID, branch identity.BranchID) error {
	_, err := deliver(ctx, e, func() (none, error) {
		e.cache.Release(program, branch)
		e.noteCache()
		e.noteLoad()
		return none{}, nil
	})
	if err != nil {
		return fmt.Errorf("engine %s: release %s: %w", e.parameters.Name, program, err)
	}
	return nil
}

// CachedPrefixes implements backend.Engine.
func (e *Engine) CachedPrefixes(ctx context.Context) ([]backend.HeldPrefix, error) {
	held, err := deliver(ctx, e, func() ([]backend.HeldPrefix, error) { return e.held(), nil })
	if err != nil {
		return nil, fmt.Errorf("engine %s: held: %w", e.parameters.Name, err)
	}
	return held, nil
}

func (e *Engine) held() []backend.HeldPrefix {
	all := e.cache.Held()
	held := make([]backend.HeldPrefix, 0, len(all))
	for _, prefix := range all {
		held = append(held, backend.HeldPrefix{
			Program: prefix.Key.Program, Branch: prefix.Key.Branch, Tokens: prefix.Tokens,
		})
	}
	return held
}

// Load implements backend.Engine.
func (e *Engine) Load(ctx context.Context) (backend.LoadReport, error) {
	report, err := deliver(ctx, e, func() (backend.LoadReport, error) { return e.reportSeen(time.Now()), nil })
	if err != nil {
		return backend.LoadReport{}, fmt.Errorf("engine %s: load: %w", e.parameters.Name, err)
	}
	return report, nil
}

// noteLoad records the load for the reports. A later report of an interval replaces the
// earlier one; reports older than the newest visible one are dropped.
func (e *Engine) noteLoad() {
	now := time.Now()
	queued := 0
	for _, s := range e.waiting {
		queued += s.prefill
	}
	for _, s := range e.running {
		queued += s.prefill
	}
	report := backend.LoadReport{
		Running: len(e.running), Waiting: len(e.waiting), Draining: e.draining,
		QueuedPrefillTokens: queued,
		CacheCapacityTokens: e.cache.Capacity(), CacheUsedTokens: e.cache.Used(),
		Models: e.modelNames, Adapters: e.adapterNames,
		ModelVersions: knownVersions(e.models), AdapterVersions: knownVersions(e.adapters),
		Fence: e.fence, Loading: e.loadsUnderWay(),
		AsOf: now,
	}
	last := len(e.reports) - 1
	if last >= 0 && e.reports[last].AsOf.Truncate(e.parameters.ReportInterval).Equal(now.Truncate(e.parameters.ReportInterval)) {
		e.reports[last] = report
		return
	}
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && e.seen(e.reports[1], now) {
		e.reports = e.reports[1:]
	}
}

// seen reports whether a load report is visible: its interval ended ReportLag ago.
func (e *Engine) seen(report backend.LoadReport, now time.Time) bool {
	end := report.AsOf.Truncate(e.parameters.ReportInterval).Add(e.parameters.ReportInterval)
	return !end.Add(e.parameters.ReportLag).After(now)
}

// reportSeen returns the newest visible report. Without a change it is repeated at each
// interval, so that its time states how old the figures may be.
func (e *Engine) reportSeen(now time.Time) backend.LoadReport {
	visible := e.reports[0]
	for _, report := range e.reports[1:] {
		if e.seen(report, now) {
			visible = report
		}
	}
	if repeated := now.Add(-e.parameters.ReportLag).Truncate(e.parameters.ReportInterval); repeated.After(visible.AsOf) {
		visible.AsOf = repeated
	}
	return visible
}

// noteCache turns the cache's changes into events and records the memory in use.
func (e *Engine) noteCache() {
	now := time.Now()
	for _, change := range e.cache.TakeChanges() {
		kind := backend.CacheEvicted
		if change.Stored {
			kind = backend.CacheStored
		}
		e.publish(now, backend.CacheEvent{Number: e.nextEvent, Kind: kind, Prefix: backend.HeldPrefix{
			Program: change.Key.Program, Branch: change.Key.Branch, Tokens: change.Tokens,
		}})
		e.nextEvent++
	}
	e.record.sample(MemorySample{At: now, Tokens: e.cache.Used(), Programs: e.cache.Programs()})
}

// publish makes an event visible after a delay, or drops it.
func (e *Engine) publish(now time.Time, event backend.CacheEvent) {
	span := e.parameters.EventDelayLongest - e.parameters.EventDelayShortest
	delay := e.parameters.EventDelayShortest + time.Duration(e.random.Float64()*float64(span))
	if e.random.Float64() < e.parameters.EventLoss {
		return
	}
	seenAt := now.Add(delay)
	if last := len(e.events) - 1; last >= 0 && e.events[last].seenAt.After(seenAt) {
		seenAt = e.events[last].seenAt // events become visible in order
	}
	e.events = append(e.events, publishedEvent{event: event, seenAt: seenAt})
	if excess := len(e.events) - e.parameters.MaxEvents; excess > 0 {
		e.events = e.events[excess:]
	}
}

// CacheEvents implements backend.Engine.
func (e *Engine) CacheEvents(ctx context.Context, from uint64) ([]backend.CacheEvent, error) {
	events, err := deliver(ctx, e, func() ([]backend.CacheEvent, error) {
		now := time.Now()
		var events []backend.CacheEvent
		for _, published := range e.events {
			if published.event.Number >= from && !published.seenAt.After(now) {
				events = append(events, published.event)
			}
		}
		return events, nil
	})
	if err != nil {
		return nil, fmt.Errorf("engine %s: cache events: %w", e.parameters.Name, err)
	}
	return events, nil
}

// Export implements backend.Engine. The state names the prefix instead of containing its
// bytes; the transfer takes its modelled time.
func (e *Engine) Export(ctx context.Context, program identity.ProgramID, branch identity.BranchID) ([]byte, error) {
	segments, err := deliver(ctx, e, func() ([]model.Segment, error) {
		segments := e.cache.Segments(model.Key{Program: program, Branch: branch})
		if len(segments) == 0 {
			return nil, fmt.Errorf("%w: no prefix is held", backend.ErrRefused)
		}
		return segments, nil
	})
	if err == nil {
		err = e.transfer(ctx, model.CountTokens(segments))
	}
	if err != nil {
		return nil, fmt.Errorf("engine %s: export %s/%s: %w", e.parameters.Name, program, branch, err)
	}
	return encodeState(segments), nil
}

// Import implements backend.Engine.
func (e *Engine) Import(ctx context.Context, program identity.ProgramID, branch identity.BranchID, state []byte) error {
	segments, err := decodeState(state)
	if err == nil {
		err = e.importState(ctx, model.Key{Program: program, Branch: branch}, segments)
	}
	if err != nil {
		return fmt.Errorf("engine %s: import %s/%s: %w", e.parameters.Name, program, branch, err)
	}
	return nil
}

func (e *Engine) importState(ctx context.Context, key model.Key, segments []model.Segment) error {
	_, err := deliver(ctx, e, func() (none, error) {
		if e.draining {
			return none{}, fmt.Errorf("%w: %w", backend.ErrRefused, backend.ErrDraining)
		}
		return none{}, nil
	})
	if err != nil {
		return err
	}
	if err := e.transfer(ctx, model.CountTokens(segments)); err != nil {
		return err
	}
	_, err = deliver(ctx, e, func() (none, error) {
		if !e.cache.Store(key, segments) {
			return none{}, fmt.Errorf("%w: no room for the prefix", backend.ErrRefused)
		}
		e.noteCache()
		e.noteLoad()
		return none{}, nil
	})
	return afterSending(err)
}

// transfer waits for the time that moving tokens of KV cache takes.
func (e *Engine) transfer(ctx context.Context, tokens int) error {
	e.mutex.Lock()
	duration := e.parameters.Timing.TransferTime(tokens)
	if e.faults.Slow > 1 {
		duration = time.Duration(float64(duration) * e.faults.Slow)
	}
	broken := e.broken
	e.mutex.Unlock()
	select {
	case <-time.After(duration):
		return nil
	case <-broken:
		return backend.ErrOutcomeUnknown
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, ctx.Err())
	}
}

// encodeState encodes the segments of a prefix.
func encodeState(segments []model.Segment) []byte {
	encoder := wire.NewEncoder(nil)
	encoder.Uint32(uint32(len(segments)))
	for _, segment := range segments {
		encoder.Uint64(segment.Digest)
		encoder.Uint32(uint32(segment.Tokens))
	}
	return encoder.Bytes()
}

func decodeState(state []byte) ([]model.Segment, error) {
	decoder := wire.NewDecoder(state)
	count := decoder.Uint32()
	var segments []model.Segment
	for range count {
		segments = append(segments, model.Segment{Digest: decoder.Uint64(), Tokens: int(decoder.Uint32())})
		if decoder.Err() != nil {
			break
		}
	}
	if err := decoder.Finish(); err != nil {
		return nil, fmt.Errorf("%w: exported state: %w", backend.ErrRefused, err)
	}
	return segments, nil
}
