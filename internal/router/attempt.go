package router

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// maxNotRun is the maximum number of replicas to try that do not run the request. maxMisdirected is
	// that of entries to try that name no replica, which are removed then.
	maxNotRun      = 3
	maxMisdirected = 16
	// maxCapacityWaits bounds how often a program's request waits for full replicas and
	// tries them again. capacityWait is the mean wait. The request must have the time of
	// minWaitsLeft such waits left.
	maxCapacityWaits = 6
	capacityWait     = 60 * time.Millisecond
	minWaitsLeft     = 4
	// minTimeLeft is the minimum remaining time for which an attempt is worth starting.
	minTimeLeft = 5 * time.Millisecond
)

// retryState tracks the attempts of one request.
type retryState struct {
	// excluded lists the replicas that were already tried.
	excluded []string
	// mayHaveRun counts the replicas that ran the request or may have run it.
	mayHaveRun int
	// notRun counts the replicas that provably did not run it, misdirected the entries that named none.
	notRun, misdirected int
	// capacityWaits counts the waits for capacity.
	capacityWaits int
	// chosenAt is when a replica was last chosen, or none was found. The reason of a
	// rejection is what held at that time: permits for cold replicas may have renewed since.
	chosenAt    time.Duration
	lastFailure *exchange.FailureError
	// localError is the reason for which this node stopped before an attempt, or nil.
	localError error
}

// attempt is a request at one replica.
type attempt struct {
	response *exchange.Answer
	replica  fleet.Replica
	inFlight *balance.InFlightRequest
	router   *Router
	call     *call
	// stopTimer stops the response timer.
	stopTimer func()
	// numbered is set once a numbered event was received.
	numbered bool
	// forwarded is set once an event was sent to the client.
	forwarded bool
	// result is how the response ended, empty until that is known.
	result responseResult
}

// responseResult is how a response of a replica ended, in metrics.
type responseResult string

const (
	resultWhole  responseResult = "whole"
	resultBroken responseResult = "broken"
	// resultLeft is that of a response that this node stopped reading.
	resultLeft responseResult = "left"
)

// finish releases the connection and records whether the replica is at fault.
func (a *attempt) finish(failed bool) { a.finishStream(failed, nil) }

// fail finishes the attempt with an error response of the replica.
func (a *attempt) fail() *exchange.FailureError {
	a.finish(true)
	return &exchange.FailureError{Outcome: exchange.OutcomeRan, Reason: exchange.ReasonUnsigned, Status: a.response.Status}
}

// incomplete returns the failure of a response that broke off.
func (a *attempt) incomplete(cause error) *exchange.FailureError {
	reason := exchange.ReasonIncomplete
	if errors.Is(cause, exchange.ErrForeign) {
		reason = exchange.ReasonForeign
	}
	return &exchange.FailureError{
		Outcome: exchange.OutcomeRan, Reason: reason, Status: a.response.Status,
		Cause: fmt.Errorf("after %d bytes of a body delimited by %s: %w", a.response.Received(), a.response.Framing, cause),
	}
}

// finishStream is like finish, and reports to the replica's aggregator the segments that
// are now in its cache.
func (a *attempt) finishStream(failed bool, cached []balance.Segment) {
	a.stopTimer()
	a.router.metrics.responses.WithLabelValues(string(a.response.Framing), string(cmp.Or(a.result, resultLeft))).Inc()
	a.response.Close()
	a.router.config.Tracker.End(a.inFlight, failed, a.router.Now())
	a.router.reportLoad(a.call, a.replica, cached)
}

// errNoReplica means that no replica is left to try.
var errNoReplica = errors.New("router: no replica accepted the request")

// send tries replicas until one responds. It returns errNoReplica, an error that wraps
// errStale, an error of the tenant's limit, or a *exchange.FailureError after which the call
// must not be retried.
func (r *Router) send(ctx context.Context, call *call, reply *reply, retry *retryState) (*attempt, error) {
	for {
		if err := r.checkLeaseBeforeRun(call, retry); err != nil {
			retry.localError = err
			return nil, err
		}
		if err := r.checkQuarantine(call); err != nil {
			retry.localError = err
			return nil, err
		}
		chosen, found := r.choose(ctx, call, retry)
		if !found {
			if r.waitForCapacity(ctx, call, retry) {
				continue
			}
			return nil, errNoReplica
		}
		if err := r.admitRepeat(ctx, call); err != nil {
			return nil, err
		}
		attempt, failure := r.sendTo(ctx, call, chosen, reply)
		if failure == nil {
			return attempt, nil
		}
		r.recordFailure(ctx, call, chosen.replica, retry, failure)
		if !mayRetry(ctx, call, retry) && !r.waitForCapacity(ctx, call, retry) {
			return nil, failure
		}
	}
}

// checkLeaseBeforeRun returns an error if the lease on the configuration has expired and
// no replica can have run the request. Requests that may have run are completed.
func (r *Router) checkLeaseBeforeRun(call *call, retry *retryState) error {
	if call.tenant == nil || retry.mayHaveRun > 0 {
		return nil
	}
	return r.checkLease()
}

// waitForCapacity waits before all replicas are tried again, if they rejected a program's
// request because they were full: rejecting it may abort the whole program. A stream that has
// begun waits as well, since it can't go elsewhere. It reports whether to try again.
func (r *Router) waitForCapacity(ctx context.Context, call *call, retry *retryState) bool {
	full := retry.lastFailure != nil && retry.lastFailure.Reason == exchange.ReasonShed
	waits := call.origin != nil || call.turn.program != "" && retry.mayHaveRun == 0
	if !full || !waits || retry.capacityWaits == maxCapacityWaits {
		return false
	}
	pause := capacityWait/2 + time.Duration(r.config.Random()*float64(capacityWait))
	if call.left() < minWaitsLeft*pause || wait.For(ctx, pause) != nil {
		return false
	}
	retry.capacityWaits++
	retry.notRun, retry.excluded = 0, nil
	return true
}

// mayRetry reports whether the call may be sent to another replica.
func mayRetry(ctx context.Context, call *call, retry *retryState) bool {
	if ctx.Err() != nil || call.left() < minTimeLeft || retry.notRun >= maxNotRun || retry.misdirected >= maxMisdirected {
		return false
	}
	if retry.mayHaveRun == 0 {
		return true
	}
	return call.route.Repeatable() && retry.mayHaveRun < max(call.route.MaxAttempts, 1)
}

func (r *Router) recordFailure(ctx context.Context, call *call, replica fleet.Replica, retry *retryState, failure *exchange.FailureError) {
	retry.excluded = append(retry.excluded, replica.IncarnationID())
	retry.lastFailure = failure
	switch {
	case failure.Reason == exchange.ReasonWithheld && failure.Outcome == exchange.OutcomeNotRun:
		// Nothing was sent, so this does not count as an attempt.
	case failure.Reason == exchange.ReasonMoved:
		retry.misdirected++
		call.permitUsed = false
	case failure.Outcome == exchange.OutcomeNotRun:
		retry.notRun++
		call.permitUsed = false
	default:
		retry.mayHaveRun++
	}
	r.endAttempt(ctx, call, &replica, failure)
	if failure.Reason == exchange.ReasonMoved {
		r.config.Fleet.Remove(replica.Instance, replica.StartedAtMs, r.Now())
	}
	r.metrics.failedAttempts.WithLabelValues(string(failure.Reason)).Inc()
	r.config.Logger.LogAttrs(ctx, slog.LevelInfo, "attempt failed",
		slog.String("id", call.id), slog.String("replica", replica.IncarnationID()), slog.String("replica_version", replica.Version), slog.String("reason", string(failure.Reason)),
		slog.String("outcome", failure.Outcome.String()), slog.Int("status", failure.Status), slog.String("content", r.content(call).String()),
		errorAttr(failure.Cause), durationAttr("left", call.left()))
}

func targetOf(replica fleet.Replica) exchange.Target {
	return exchange.Target{Instance: replica.Instance, StartedAtMs: replica.StartedAtMs, Address: replica.Address}
}

// sendTo sends the call to one replica. If it returns no failure, the response belongs to
// this request and the caller must finish the attempt.
func (r *Router) sendTo(ctx context.Context, call *call, chosen chosenReplica, reply *reply) (*attempt, *exchange.FailureError) {
	replica := chosen.replica
	reply.attempts++
	reply.replica, reply.replicaVersion, reply.aggregated = replica.IncarnationID(), replica.Version, chosen.aggregated
	left := call.left()
	if left < minTimeLeft {
		return nil, &exchange.FailureError{Outcome: exchange.OutcomeNotRun, Reason: exchange.ReasonCancelled, Cause: context.DeadlineExceeded}
	}
	if call.service.Slots > 0 && r.config.Names.Priority != "" {
		call.header.Set(r.config.Names.Priority, strconv.Itoa(balance.Priority(call.priority, call.late)))
	}
	call.sentAt, call.heardAt, call.sentTo = r.Now(), time.Time{}, &replica
	inFlight := r.config.Tracker.Begin(balance.Target{
		Instance: replica.IncarnationID(), Service: call.service.Name, Slots: replica.Slots, Known: chosen.aggregated,
		Cold: r.isCold(call, replica.IncarnationID()), Probe: chosen.probe,
	}, call.prompt, call.sentAt)
	r.reportLoad(call, replica, call.prompt.Segments)
	reply.expected, reply.cold = inFlight.Expected(), inFlight.Cold()
	stopTimer := r.startResponseTimer(call, replica, inFlight)
	response, err := r.config.Replicas.Send(ctx, targetOf(replica), exchange.Request{
		ID: call.id, Method: call.method, URI: call.uri, Host: call.host, Header: call.header, Body: call.body,
		Repeatable: call.route.Repeatable(), Stream: call.route.Kind == routing.KindStreaming, Incarnation: incarnationCheck(call), MaySend: func() error { return r.acquireSend(ctx, call, replica) },
	})
	r.config.Tracker.Answered(inFlight, r.Now())
	attempt := &attempt{response: response, replica: replica, inFlight: inFlight, router: r, call: call, stopTimer: stopTimer}
	reply.response = response
	var failure *exchange.FailureError
	if errors.As(err, &failure) {
		stopTimer()
		atFault := ctx.Err() == nil && failure.Reason != exchange.ReasonWithheld && failure.Reason != exchange.ReasonBuffersFull && failure.Reason != exchange.ReasonIncarnation
		r.config.Tracker.End(inFlight, atFault, r.Now())
		if atFault {
			attempt.recordOutcome(outcomeOf(failure))
		}
		r.reportLoad(call, replica, nil)
		return nil, failure
	}
	r.heard(&replica)
	if failure = r.checkResponse(response); failure != nil {
		attempt.recordOutcome(outcomeOf(failure))
		attempt.finish(failure.Reason == exchange.ReasonShed || failure.Reason == exchange.ReasonMoved)
		return nil, failure
	}
	return attempt, nil
}

// checkResponse returns a failure if a response must not be forwarded to the client.
func (r *Router) checkResponse(response *exchange.Answer) *exchange.FailureError {
	promised := promisesNotRun(response.Status)
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		return &exchange.FailureError{Outcome: exchange.OutcomeNotRun, Reason: exchange.ReasonMoved, Status: response.Status}
	case promised && response.NotRun():
		return &exchange.FailureError{Outcome: exchange.OutcomeNotRun, Reason: exchange.ReasonShed, Status: response.Status}
	case promised:
		// Forwarding the status would give a guarantee that the replica has not given.
		return &exchange.FailureError{Outcome: exchange.OutcomeRan, Reason: exchange.ReasonUnsigned, Status: response.Status}
	case response.Status < http.StatusMultipleChoices && (!response.Stamped() || response.Header.Get("Content-Encoding") != ""):
		return &exchange.FailureError{Outcome: exchange.OutcomeUnknown, Reason: exchange.ReasonUnsigned, Status: response.Status}
	}
	return nil
}

// promisesNotRun reports whether clients interpret a status as a guarantee that the
// request has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// failCall answers a call that no replica has served. The status depends on whether a
// replica may have run it.
func (r *Router) failCall(ctx context.Context, call *call, reply *reply, retry *retryState) {
	cause := error(errNoReplica)
	reason := "no_replica"
	if retry.lastFailure != nil {
		cause, reason = retry.lastFailure, string(retry.lastFailure.Reason)
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		cause, reason = errStopping, reasonStopping
	}
	held := r.checkQuarantine(call)
	if held == nil && isQuarantineError(retry.localError) {
		held = retry.localError
	}
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.rejectLeft(retry.mayHaveRun > 0, cause)
	case held != nil:
		rejectQuarantined(call, reply, held, retry.mayHaveRun > 0)
	case retry.localError != nil:
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonStale, retryAfter: r.storeRetryAfter(shortRetryAfter), cause: retry.localError})
	case retry.mayHaveRun == 0:
		reply.reject(http.StatusServiceUnavailable, r.noReplicaRejection(call, retry.chosenAt, rejection{reason: reason, retryAfter: shortRetryAfter, cause: cause}))
	case call.left() < minTimeLeft:
		reply.reject(http.StatusGatewayTimeout, rejection{reason: "timeout", cause: cause})
	default:
		reply.reject(http.StatusBadGateway, rejection{reason: reason, cause: cause})
	}
}
