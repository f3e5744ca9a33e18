package serving

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/program"
	"stepseam.example/stepseam/internal/siteservices"
)

// recoverOpenCalls starts a run for each call that the previous owner left open, and the
// processing of the outboxes.
func (s *shard) recoverOpenCalls() {
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	now := time.Now()
	s.machine.set.All(func(p *program.Program) bool {
		for _, call := range p.OpenCalls() {
			s.recoverCall(p, call, now)
		}
		if p.OutboxLength() > 0 {
			s.notifyChanged(p.ID())
		}
		return true
	})
}

// recoverCall starts a run for an open call. The caller holds the mutex.
func (s *shard) recoverCall(p *program.Program, call *program.Call, now time.Time) *run {
	r := &run{
		id: call.Request.ID, request: call.Request, arrived: call.Attempt.At,
		deadline: now.Add(s.callTimeout(p)), dispatched: true, recovered: true, done: make(chan struct{}),
	}
	r.context, r.cancel = context.WithCancelCause(s.context)
	if !p.Running() {
		r.cancel(errProgramEnded)
	}
	s.runs[r.id] = r
	s.entryOf(r.id.Program).runs++
	s.owner.metrics.recovered.Inc()
	s.drivers.Add(1)
	go s.drive(r)
	return r
}

// resumeOpen starts runs for open calls that have none, since their runs ended when the
// lease lapsed and the lease was renewed before another node claimed the shard. The
// caller holds the mutex and has checked the lease.
func (s *shard) resumeOpen(now time.Time) {
	s.machine.set.All(func(p *program.Program) bool {
		for _, call := range p.OpenCalls() {
			if s.runs[call.Request.ID] == nil {
				s.recoverCall(p, call, now)
			}
		}
		return true
	})
}

// recover resolves the attempt that the previous run left. It returns nil if the call
// needs another attempt.
func (d *driver) recover() *outcome {
	s := d.shard
	s.machine.mutex.Lock()
	p := s.machine.set.Get(d.run.id.Program)
	call := p.Call(d.run.id)
	d.open = true
	d.attempt, d.pending = call.PendingAttempt()
	d.timeout = s.callTimeout(p)
	if call.HasLostAttempt {
		d.lostAttempts++
	}
	_, unsent := s.unsent[d.attempt.Stream]
	s.machine.mutex.Unlock()
	d.reason = "taken over from the former owner"
	if err := s.checkLease(); err != nil {
		return failed(err)
	}
	if d.pending && unsent {
		if result := d.recordNotRun(); result != nil {
			return result
		}
	}
	switch {
	case !d.pending && d.run.context.Err() == nil:
		return nil
	case d.run.request.Kind == api.CallModel && d.run.context.Err() == nil:
		return d.recoverStream()
	case d.run.context.Err() != nil:
		return d.stoppedOutcome()
	case !d.mayRetry():
		return d.outcomeUnknown("the node that sent it stopped before the answer came")
	}
	d.lostAttempts++
	return nil
}

// recoverStream resumes the stream of the previous run, or ensures that the stream no
// longer runs.
func (d *driver) recoverStream() *outcome {
	limited, cancel := context.WithTimeout(d.run.context, d.timeout)
	defer cancel()
	ctx, stop := d.watch(limited)
	defer stop()
	client := d.owner().config.Directory.Engine(d.attempt.Address)
	end := d.classify(ctx, d.resume(ctx, client, backend.ErrStreamUnknown))
	if end.status != attemptLost {
		result, _ := d.settle(end)
		return result
	}
	if !d.mayRetry() {
		return d.outcomeUnknown("the node that sent it stopped before the answer came")
	}
	d.logFailure("stream of the previous owner could not be resumed", end.err)
	d.lostAttempts++
	if !errors.Is(end.err, backend.ErrStreamUnknown) && !errors.Is(end.err, backend.ErrStreamCancelled) {
		d.excluded = append(d.excluded, d.attempt.Backend)
	}
	return d.fence()
}

// listed reports whether the last known machine list contains a machine at address. It
// returns true if the list is empty, which means that it is not known.
func (o *Owner) listed(address netip.AddrPort) bool {
	machines := o.config.Board.Machines.Load()
	if len(machines) == 0 {
		return true
	}
	return lo.ContainsBy(machines, func(m siteservices.Machine) bool { return m.Address == address })
}
