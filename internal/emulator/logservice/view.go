package logservice

import (
	"context"
	"time"

	"stepseam.example/stepseam/internal/siteservices"
)

// View is the service as one caller sees it. Its faults apply in addition to the
// service's own.
type View struct {
	service *Service
	name    string
	// faults and script are guarded by service.mutex.
	faults Faults
	script script
}

var _ siteservices.Log = (*View)(nil)

// ViewFor returns the view of the caller name, the same one on every call.
func (s *Service) ViewFor(name string) *View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	view := s.views[name]
	if view == nil {
		view = &View{service: s, name: name}
		s.views[name] = view
	}
	return view
}

// SetFaults replaces the faults that apply to this caller only.
func (v *View) SetFaults(faults Faults) {
	v.service.mutex.Lock()
	defer v.service.mutex.Unlock()
	v.faults = faults
	v.service.wakeReaders()
}

// Faults returns the faults that apply to this caller only.
func (v *View) Faults() Faults {
	v.service.mutex.Lock()
	defer v.service.mutex.Unlock()
	return v.faults
}

// SetDown partitions this caller from the service, or reconnects it.
func (v *View) SetDown(down bool) {
	v.service.mutex.Lock()
	defer v.service.mutex.Unlock()
	v.faults.Down = down
	v.service.wakeReaders()
}

// Script queues outcomes for this caller's next appends.
func (v *View) Script(outcomes ...Outcome) {
	v.service.mutex.Lock()
	defer v.service.mutex.Unlock()
	v.script.outcomes = append(v.script.outcomes, outcomes...)
}

// Append implements siteservices.Log for a caller without a view of its own.
func (s *Service) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	return s.ViewFor("").Append(ctx, stream, records)
}

// Read implements siteservices.Log for a caller without a view of its own.
func (s *Service) Read(
	ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration,
) (siteservices.ReadResult, error) {
	return s.ViewFor("").Read(ctx, stream, from, limit, wait)
}

// appendAnswer is the result of an append.
type appendAnswer struct {
	offset siteservices.Offset
	err    error
}

// Append implements siteservices.Log. An accepted request takes effect after half the
// delay even if the caller has given up by then; the caller gets
// siteservices.ErrOutcomeUnknown.
func (v *View) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	if ctx.Err() != nil {
		return 0, unavailable("append " + stream + ": " + ctx.Err().Error())
	}
	outcome, delay := v.admitAppend()
	if outcome == RefuseAppend {
		return 0, unavailable("append " + stream)
	}
	copied := cloneRecords(records)
	if delay == 0 {
		answer := v.effect(stream, copied, outcome)
		return answer.offset, answer.err
	}
	answers := make(chan appendAnswer, 1)
	time.AfterFunc(delay/2, func() {
		answer := v.effect(stream, copied, outcome)
		time.AfterFunc(delay-delay/2, func() { answers <- answer })
	})
	select {
	case answer := <-answers:
		return answer.offset, answer.err
	case <-ctx.Done():
		return 0, answerLost("append " + stream + ": " + ctx.Err().Error())
	}
}

// admitAppend draws the outcome and the delay of one append.
func (v *View) admitAppend() (Outcome, time.Duration) {
	v.service.mutex.Lock()
	defer v.service.mutex.Unlock()
	return v.service.draw(v), v.service.faults.AppendDelay + v.faults.AppendDelay
}

// effect applies an admitted append according to outcome. If an outage began meanwhile,
// the request is lost.
func (v *View) effect(stream string, records [][]byte, outcome Outcome) appendAnswer {
	v.service.mutex.Lock()
	defer v.service.mutex.Unlock()
	if outcome == LoseRequest || v.service.faults.Down {
		return appendAnswer{err: answerLost("append " + stream)}
	}
	offset := v.service.store(stream, records)
	if outcome == LoseAnswer || v.faults.Down {
		return appendAnswer{err: answerLost("append " + stream)}
	}
	return appendAnswer{offset: offset}
}

// Read implements siteservices.Log. Records are shared with the service and must not be
// changed.
func (v *View) Read(
	ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration,
) (siteservices.ReadResult, error) {
	deadline := time.Now().Add(wait)
	if err := v.admitRead(ctx, stream); err != nil {
		return siteservices.ReadResult{}, err
	}
	for {
		result, grown, changed, err := v.lookUp(stream, from, limit)
		left := time.Until(deadline)
		if err != nil || len(result.Records) > 0 || left <= 0 {
			return result, err
		}
		timer := time.NewTimer(left)
		select {
		case <-grown:
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return siteservices.ReadResult{}, answerLost("read " + stream + ": " + ctx.Err().Error())
		}
		timer.Stop()
	}
}

// admitRead draws the faults of one read and waits for its delay.
func (v *View) admitRead(ctx context.Context, stream string) error {
	if ctx.Err() != nil {
		return unavailable("read " + stream + ": " + ctx.Err().Error())
	}
	v.service.mutex.Lock()
	delay := v.service.faults.ReadDelay + v.faults.ReadDelay
	refused, lost := false, false
	for _, faults := range []Faults{v.service.faults, v.faults} {
		refused = refused || faults.Down || v.service.chance(faults.Refuse)
		lost = lost || v.service.chance(faults.LoseAfter)
	}
	v.service.mutex.Unlock()
	if refused {
		return unavailable("read " + stream)
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return answerLost("read " + stream + ": " + ctx.Err().Error())
		}
	}
	if lost {
		return answerLost("read " + stream)
	}
	return nil
}

// lookUp reads once and returns the channels that are closed when another look is needed.
func (v *View) lookUp(stream string, from siteservices.Offset, limit int) (
	result siteservices.ReadResult, grown, changed <-chan struct{}, err error,
) {
	v.service.mutex.Lock()
	defer v.service.mutex.Unlock()
	if v.service.faults.Down || v.faults.Down {
		return siteservices.ReadResult{}, nil, nil, unavailable("read " + stream)
	}
	target := v.service.stream(stream)
	v.service.counts.Reads++
	return target.slice(from, limit), target.grown, v.service.changed, nil
}
