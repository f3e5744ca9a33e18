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

// none is the outcome of a request that says nothing of its replica's soundness.
const none outlier.Outcome = 0

// became notes what became of the request at its replica.
func (a *attempt) became(outcome outlier.Outcome) {
	a.router.noteOutcome(a.call, a.replica, a.sending, outcome)
}

// outcomeOf tells what a failure says of the replica. One that refuses work is sound.
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
	case exchange.ReasonShed, exchange.ReasonMoved, exchange.ReasonCancelled, exchange.ReasonWithheld:
	}
	return none
}

// noteOutcome counts what became of a request for this node and tells the replica's keeper.
func (r *Router) noteOutcome(call *call, replica fleet.Replica, sending *balance.InFlightRequest, outcome outlier.Outcome) {
	if outcome == none {
		return
	}
	judged, counted := r.config.Tracker.RecordOutcome(sending, outcome, r.Now())
	if !counted {
		return
	}
	if r.config.Keepers != nil {
		r.config.Keepers.ReportOutcome(kept(replica, call), outcome, judged.BaselineFailureRate)
		return
	}
	LogTransition(r.config.Logger, aggregator.EjectionChange{Instance: replica.IncarnationID(), Transition: judged})
}

// LogTransition writes the line of a replica that is ejected or returns.
func LogTransition(logger *slog.Logger, changed aggregator.EjectionChange) {
	name := slog.String("replica", changed.Instance)
	switch changed.Change {
	case outlier.NowEjected:
		logger.Warn("replica ejected", name, slog.Uint64("key", uint64(changed.Key)), slog.String("reason", changed.Reason.String()),
			slog.Int("failures", changed.Failures), slog.Int("of", changed.Outcomes), slog.Float64("others_share", changed.BaselineFailureRate))
	case outlier.NowReinstated:
		logger.Info("replica returns", name, slog.Uint64("key", uint64(changed.Key)), slog.String("reason", changed.Reason.String()))
	case outlier.Unchanged:
	}
}

// watchSilence counts a request as failed whose replica is silent beyond patience, until the
// returned function is called. The request itself goes on.
func (r *Router) watchSilence(call *call, replica fleet.Replica, sending *balance.InFlightRequest) (answered func()) {
	patience, known := r.config.Tracker.ResponseTimeout(sending, call.route.Kind == routing.KindStreaming)
	if !known {
		return func() {}
	}
	timer := time.AfterFunc(patience, func() { r.noteOutcome(call, replica, sending, outlier.NoResponse) })
	return func() { timer.Stop() }
}
