package router

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// maxNotRun is how many replicas that did not run a request are left for another.
	maxNotRun = 3
	// maxRounds bounds how often full replicas are offered a program's request again,
	// roundPause is the usual pause before that, and roundShare how many pauses the
	// request must have left.
	maxRounds  = 6
	roundPause = 60 * time.Millisecond
	roundShare = 4
	// minLeft is the least time in which a replica could do anything.
	minLeft = 5 * time.Millisecond
)

// attempts is the course of one request over replicas.
type attempts struct {
	// except lists the replicas that were tried.
	except []string
	// mayHaveRun counts replicas that ran the request or may have.
	mayHaveRun int
	// notRun counts those that did not.
	notRun int
	// rounds counts the pauses after which full replicas were offered the request again.
	rounds int
	last   *exchange.FailureError
	// refused is why this node itself passes the request on no further, or nil.
	refused error
}

// attempt is a request at one replica.
type attempt struct {
	answer  *exchange.Answer
	replica fleet.Replica
	sending *balance.InFlightRequest
	router  *Router
	call    *call
	// answered ends the watch for a replica that is silent.
	answered func()
}

// finish gives the connection back and notes whether the replica is at fault.
func (a *attempt) finish(failed bool) { a.finishHolding(failed, nil) }

// failed ends the attempt with the replica's own failure.
func (a *attempt) failed() *exchange.FailureError {
	a.finish(true)
	return &exchange.FailureError{Outcome: exchange.OutcomeRan, Reason: exchange.ReasonUnsigned, Status: a.answer.Status}
}

// finishHolding does the same as finish after a whole stream; held are the parts that the replica
// holds from now on, which its keeper is told with the end.
func (a *attempt) finishHolding(failed bool, held []balance.Segment) {
	a.answered()
	a.answer.Close()
	a.router.config.Tracker.End(a.sending, failed, a.router.Now())
	a.router.report(a.call, a.replica, held)
}

// errNoReplica tells that nothing is left to try.
var errNoReplica = errors.New("router: no replica takes the request")

// send offers the call to replicas until one answers it. Errors: errNoReplica; one that
// wraps errStale; a *exchange.FailureError after which the call must not be tried again.
func (r *Router) send(ctx context.Context, call *call, reply *reply, course *attempts) (*attempt, error) {
	for {
		if err := r.mayBegin(call, course); err != nil {
			course.refused = err
			return nil, err
		}
		chosen, found := r.choose(ctx, call, course)
		if !found {
			if r.awaitRoom(ctx, call, course) {
				continue
			}
			return nil, errNoReplica
		}
		tried, failure := r.sendTo(ctx, call, chosen, reply)
		if failure == nil {
			return tried, nil
		}
		r.noteFailure(ctx, call, chosen.replica, course, failure)
		if !mayTryAgain(ctx, call, course) && !r.awaitRoom(ctx, call, course) {
			return nil, failure
		}
	}
}

// mayBegin returns an error if a request with a key may not begin to run any more. What
// runs already is served to its end.
func (r *Router) mayBegin(call *call, course *attempts) error {
	if call.tenant == nil || course.mayHaveRun > 0 {
		return nil
	}
	return r.confirmed()
}

// awaitRoom pauses before the replicas, which were full, are offered a program's
// request again, since its refusal may end the whole program. It returns false
// where the request is not to be offered again.
func (r *Router) awaitRoom(ctx context.Context, call *call, course *attempts) bool {
	full := course.last != nil && course.last.Reason == exchange.ReasonShed && course.mayHaveRun == 0
	if !full || call.turn.program == "" || course.rounds == maxRounds {
		return false
	}
	pause := roundPause/2 + time.Duration(r.config.Random()*float64(roundPause))
	if call.left() < roundShare*pause || wait.For(ctx, pause) != nil {
		return false
	}
	course.rounds++
	course.notRun, course.except = 0, nil
	return true
}

// mayTryAgain tells whether another replica may get the call.
func mayTryAgain(ctx context.Context, call *call, course *attempts) bool {
	if ctx.Err() != nil || call.left() < minLeft || course.notRun >= maxNotRun {
		return false
	}
	if course.mayHaveRun == 0 {
		return true
	}
	return call.route.Repeatable() && course.mayHaveRun < max(call.route.MaxAttempts, 1)
}

func (r *Router) noteFailure(ctx context.Context, call *call, replica fleet.Replica, course *attempts, failure *exchange.FailureError) {
	course.except = append(course.except, replica.IncarnationID())
	course.last = failure
	switch {
	case failure.Reason == exchange.ReasonWithheld && failure.Outcome == exchange.OutcomeNotRun:
		// The replica was not asked, so this is none of the tries.
	case failure.Outcome == exchange.OutcomeNotRun:
		course.notRun++
	default:
		course.mayHaveRun++
		call.ran = true
	}
	if failure.Reason == exchange.ReasonMoved {
		r.config.Fleet.Remove(replica.Instance, replica.StartedAtMs)
	}
	r.metrics.failedAttempts.WithLabelValues(string(failure.Reason)).Inc()
	r.config.Logger.LogAttrs(ctx, slog.LevelInfo, "attempt failed",
		slog.String("id", call.id), slog.String("replica", replica.IncarnationID()), slog.String("reason", string(failure.Reason)),
		slog.String("outcome", failure.Outcome.String()), slog.Int("status", failure.Status),
		errorAttr(failure.Cause), durationAttr("left", call.left()))
}

func targetOf(replica fleet.Replica) exchange.Target {
	return exchange.Target{Instance: replica.Instance, StartedAtMs: replica.StartedAtMs, Address: replica.Address}
}

// sendTo offers the call to one replica. Without a failure the answer is one of
// the replica's own to this request, and finish must be called.
func (r *Router) sendTo(ctx context.Context, call *call, chosen chosenReplica, reply *reply) (*attempt, *exchange.FailureError) {
	replica := chosen.replica
	reply.attempts++
	reply.replica, reply.known = replica.IncarnationID(), chosen.known
	left := call.left()
	if left < minLeft {
		return nil, &exchange.FailureError{Outcome: exchange.OutcomeNotRun, Reason: exchange.ReasonCancelled, Cause: context.DeadlineExceeded}
	}
	call.header.Set(r.config.Names.TimeoutMs, strconv.FormatInt(left.Milliseconds(), 10))
	if call.service.Slots > 0 && r.config.Names.Priority != "" {
		call.header.Set(r.config.Names.Priority, strconv.Itoa(balance.Priority(call.priority, call.late)))
	}
	sending := r.config.Tracker.Begin(balance.Target{
		Instance: replica.IncarnationID(), Service: call.service.Name, Slots: replica.Slots, Known: chosen.known,
		Cold: r.isCold(call, replica.IncarnationID()), Probe: chosen.probe,
	}, call.prompt, r.Now())
	r.report(call, replica, call.prompt.Segments)
	reply.expected, reply.cold = sending.Expected(), sending.Cold()
	answered := r.watchSilence(call, replica, sending)
	answer, err := r.config.Replicas.Send(ctx, targetOf(replica), exchange.Request{
		ID: call.id, Method: call.method, URI: call.uri, Host: call.host, Header: call.header, Body: call.body,
		Repeatable: call.route.Repeatable(), MaySend: func() error { return r.maySend(call, replica) },
	})
	r.config.Tracker.Answered(sending, r.Now())
	tried := &attempt{answer: answer, replica: replica, sending: sending, router: r, call: call, answered: answered}
	var failure *exchange.FailureError
	if errors.As(err, &failure) {
		answered()
		atFault := ctx.Err() == nil && failure.Reason != exchange.ReasonWithheld
		r.config.Tracker.End(sending, atFault, r.Now())
		if atFault {
			tried.became(outcomeOf(failure))
		}
		r.report(call, replica, nil)
		return nil, failure
	}
	if failure = r.judge(answer); failure != nil {
		tried.became(outcomeOf(failure))
		tried.finish(failure.Reason == exchange.ReasonShed || failure.Reason == exchange.ReasonMoved)
		return nil, failure
	}
	call.ran = true
	return tried, nil
}

// judge tells whether an answer's head can go to the client.
func (r *Router) judge(answer *exchange.Answer) *exchange.FailureError {
	promise := isPromise(answer.Status)
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return &exchange.FailureError{Outcome: exchange.OutcomeNotRun, Reason: exchange.ReasonMoved, Status: answer.Status}
	case promise && answer.NotRun():
		return &exchange.FailureError{Outcome: exchange.OutcomeNotRun, Reason: exchange.ReasonShed, Status: answer.Status}
	case promise:
		// The status would promise what the replica has not said.
		return &exchange.FailureError{Outcome: exchange.OutcomeRan, Reason: exchange.ReasonUnsigned, Status: answer.Status}
	case answer.Status < http.StatusMultipleChoices && (!answer.Stamped() || answer.Header.Get("Content-Encoding") != ""):
		return &exchange.FailureError{Outcome: exchange.OutcomeUnknown, Reason: exchange.ReasonUnsigned, Status: answer.Status}
	}
	return nil
}

// isPromise tells whether clients read status as "has not run and never will".
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// giveUp answers a call that no replica has answered, by what is certain of it.
func (r *Router) giveUp(ctx context.Context, call *call, reply *reply, course *attempts) {
	cause := error(errNoReplica)
	reason := "no_replica"
	if course.last != nil {
		cause, reason = course.last, string(course.last.Reason)
	}
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.breakOff("client_left", cause)
	case course.refused != nil:
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: reasonStale, comeBack: r.comeBackFromStore(shortComeBack), cause: course.refused})
	case course.mayHaveRun == 0:
		reply.refuse(http.StatusServiceUnavailable, r.withoutReplica(call, refusal{reason: reason, comeBack: shortComeBack, cause: cause}))
	case call.left() < minLeft:
		reply.refuse(http.StatusGatewayTimeout, refusal{reason: "timeout", cause: cause})
	default:
		reply.refuse(http.StatusBadGateway, refusal{reason: reason, cause: cause})
	}
}
