package router

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/quarantine"
)

// The reasons of requests that are not sent since replicas have ended under them, or may have.
const (
	reasonQuarantined = "request_quarantined"
	reasonEndsUnclear = "replica_ends_unclear"
	reasonStarting    = "node_starting"
)

// unclearRetryAfter is the Retry-After delay while it is not known whether replicas have ended: it
// takes some heartbeats of a replica.
const unclearRetryAfter = time.Second

// quarantineRequest returns the call's request for the quarantine.
func (r *Router) quarantineRequest(call *call) *quarantine.Request {
	return &quarantine.Request{
		Key: r.content(call), Identified: call.turn.program != "",
		Lifetime:   max(call.clientTimeout, call.route.RetainFor, 2*call.programTimeLeft),
		ClientLeft: call.clientTimeout - time.Since(call.arrived),
	}
}

// checkQuarantine returns an error as of quarantine.Service.Check if the call must not be sent to a
// replica.
func (r *Router) checkQuarantine(call *call) error {
	if r.config.Quarantine == nil || r.config.Quarantine.Idle() {
		return nil
	}
	return r.config.Quarantine.Check(r.quarantineRequest(call))
}

// mayEndReplica reports whether replicas have ended under the call, or may have. It goes where the
// fewest others run.
func (r *Router) mayEndReplica(call *call) bool {
	return r.config.Quarantine != nil && !r.config.Quarantine.Idle() && r.config.Quarantine.Suspects(r.content(call))
}

// beginAttempt registers an attempt if further replicas must not end under the call. Errors: as of
// checkQuarantine.
func (r *Router) beginAttempt(ctx context.Context, call *call, replica *fleet.Replica) error {
	if r.config.Quarantine == nil || r.config.Quarantine.Idle() {
		return nil
	}
	registered, err := r.config.Quarantine.Begin(ctx, r.quarantineRequest(call), r.sendOf(call, replica), call.registered)
	call.registered = registered
	return err
}

func quarantineReplica(replica *fleet.Replica) quarantine.Replica {
	return quarantine.Replica{Instance: replica.Instance, StartedAtMs: replica.StartedAtMs}
}

func (r *Router) sendOf(call *call, replica *fleet.Replica) quarantine.Send {
	silence := r.Now() - call.sentAt
	if !call.heardAt.IsZero() {
		silence = time.Since(call.heardAt)
	}
	return quarantine.Send{Replica: quarantineReplica(replica), Began: call.sentAt, Until: r.Now() + call.left(), Silence: silence}
}

// heard notes that bytes of a replica have arrived.
func (r *Router) heard(replica *fleet.Replica) {
	if r.config.Quarantine != nil {
		r.config.Quarantine.Heard(quarantineReplica(replica))
	}
}

// endAttempt is called with each failed attempt. If its replica may have ended under the call, it
// returns once other nodes know that.
func (r *Router) endAttempt(ctx context.Context, call *call, replica *fleet.Replica, failure *exchange.FailureError) {
	if r.config.Quarantine == nil {
		return
	}
	registered := call.registered
	call.registered, call.sentTo = quarantine.Attempt{}, nil
	switch {
	case failure.Outcome == exchange.OutcomeNotRun:
		r.config.Quarantine.End(registered)
	case ctx.Err() != nil:
		r.config.Quarantine.Silent(r.quarantineRequest(call), r.sendOf(call, replica), registered, replica.Address)
	case brokeOff(failure.Reason):
		r.config.Quarantine.Broke(ctx, r.quarantineRequest(call), r.sendOf(call, replica), registered, replica.Address, failure.Cause)
	default:
		r.config.Quarantine.Over(r.quarantineRequest(call), r.sendOf(call, replica), registered, replica.Address)
	}
}

// brokeOff reports whether a connection may have ended with its replica.
func brokeOff(reason exchange.Reason) bool {
	switch reason {
	case exchange.ReasonSend, exchange.ReasonReset, exchange.ReasonIncomplete, exchange.ReasonWithheld:
		return true
	case exchange.ReasonConnect, exchange.ReasonMalformed, exchange.ReasonForeign, exchange.ReasonUnsigned, exchange.ReasonShed,
		exchange.ReasonMoved, exchange.ReasonCancelled, exchange.ReasonVersion:
	}
	return false
}

// endCall is called at the end of each call.
func (r *Router) endCall(call *call, reply *reply) {
	if r.config.Quarantine == nil {
		return
	}
	if call.sentTo != nil && !reply.answered {
		r.config.Quarantine.Over(r.quarantineRequest(call), r.sendOf(call, call.sentTo), call.registered, call.sentTo.Address)
		return
	}
	r.config.Quarantine.End(call.registered)
	if reply.answered && !r.config.Quarantine.Idle() {
		r.config.Quarantine.Answered(r.quarantineRequest(call))
	}
}

// rejectQuarantined answers a call that must not be sent. Clients do not repeat a request after the
// status 400. They may while it is not known whether replicas have ended, or whose request it was.
func rejectQuarantined(call *call, reply *reply, err error, mayHaveRun bool) {
	switch {
	case errors.Is(err, quarantine.ErrQuarantined) && call.turn.program == "" && !mayHaveRun:
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonQuarantined, retryAfter: unclearRetryAfter, cause: err})
	case errors.Is(err, quarantine.ErrQuarantined):
		reply.reject(http.StatusBadRequest, rejection{reason: reasonQuarantined, cause: err})
	case errors.Is(err, quarantine.ErrSettling) && !mayHaveRun:
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonEndsUnclear, retryAfter: quarantine.SettleTime, cause: err})
	case errors.Is(err, quarantine.ErrStarting):
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonStarting, retryAfter: shortRetryAfter, cause: err})
	case mayHaveRun:
		reply.reject(http.StatusBadGateway, rejection{reason: reasonEndsUnclear, cause: err})
	default:
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonEndsUnclear, retryAfter: unclearRetryAfter, cause: err})
	}
}

func isQuarantineError(err error) bool {
	return errors.Is(err, quarantine.ErrQuarantined) || errors.Is(err, quarantine.ErrUnclear) || errors.Is(err, quarantine.ErrStarting)
}

// quarantineAttrs returns the log fields of a call that was refused since replicas have ended under
// its content, or may have.
func (r *Router) quarantineAttrs(call *call, reply *reply) []slog.Attr {
	if r.config.Quarantine == nil || !isQuarantineError(reply.cause) {
		return nil
	}
	key := r.content(call)
	return []slog.Attr{slog.String("content", key.String()), slog.Any("ends", r.config.Quarantine.EndsOf(key))}
}
