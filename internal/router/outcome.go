package router

import (
	"log/slog"
	"net/http"
	"time"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/outlier"
	"stepseam.example/stepseam/internal/routing"
)

// noOutcome means that a request says nothing about its replica's health.
const noOutcome outlier.Outcome = 0

// recordOutcome records the outcome of the attempt.
func (a *attempt) recordOutcome(outcome outlier.Outcome) {
	a.router.recordOutcome(a.call, a.replica, a.inFlight, outcome)
}

// outcomeOf maps a failure to an outcome of the replica. A replica that sheds load is
// healthy.
func outcomeOf(failure *exchange.FailureError) outlier.Outcome {
	switch failure.Reason {
	case exchange.ReasonConnect:
		return outlier.Unreachable
	case exchange.ReasonSend, exchange.ReasonReset:
		return outlier.NoResponse
	case exchange.ReasonUnsigned:
		if failure.Status >= http.StatusInternalServerError {
			return outlier.ErrorResponse
		}
		return outlier.BrokenResponse
	case exchange.ReasonMalformed, exchange.ReasonForeign, exchange.ReasonIncomplete:
		return outlier.BrokenResponse
	case exchange.ReasonShed, exchange.ReasonMoved, exchange.ReasonCancelled, exchange.ReasonBuffersFull, exchange.ReasonWithheld, exchange.ReasonIncarnation:
	}
	return noOutcome
}

// recordOutcome counts an outcome at this node and reports it to the replica's aggregator.
func (r *Router) recordOutcome(call *call, replica fleet.Replica, inFlight *balance.InFlightRequest, outcome outlier.Outcome) {
	if outcome == noOutcome {
		return
	}
	transition, counted := r.config.Tracker.RecordOutcome(inFlight, outcome, r.Now())
	if !counted {
		return
	}
	if r.config.Keepers != nil {
		r.config.Keepers.ReportOutcome(aggregatorReplica(replica, call), outcome, transition.BaselineFailureRate)
		return
	}
	LogTransition(r.config.Logger, aggregator.EjectionChange{Instance: replica.IncarnationID(), Transition: transition})
}

// LogTransition logs that a replica was ejected or reinstated.
func LogTransition(logger *slog.Logger, changed aggregator.EjectionChange) {
	name := slog.String("replica", changed.Instance)
	switch changed.Change {
	case outlier.NowEjected:
		logger.Warn("replica ejected", name, slog.Uint64("key", uint64(changed.Key)), slog.String("reason", changed.Reason.String()),
			slog.Int("failures", changed.Failures), slog.Int("of", changed.Outcomes), slog.Float64("others_share", changed.BaselineFailureRate))
	case outlier.NowReinstated:
		logger.Info("replica reinstated", name, slog.Uint64("key", uint64(changed.Key)), slog.String("reason", changed.Reason.String()))
	case outlier.Unchanged:
	}
}

// startResponseTimer records a failure of the replica if no response arrives within the
// response timeout and the returned function is not called before. The request itself
// continues.
func (r *Router) startResponseTimer(call *call, replica fleet.Replica, inFlight *balance.InFlightRequest) (stopTimer func()) {
	timeout, known := r.config.Tracker.ResponseTimeout(inFlight, call.route.Kind == routing.KindStreaming)
	if !known {
		return func() {}
	}
	timer := time.AfterFunc(timeout, func() { r.recordOutcome(call, replica, inFlight, outlier.NoResponse) })
	return func() { timer.Stop() }
}
