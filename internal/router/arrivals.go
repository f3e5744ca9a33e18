package router

import (
	"time"

	"stepseam.example/stepseam/internal/exchange"
)

// eventArrivals are the times of the events of one response.
type eventArrivals struct {
	last time.Time
	// gaps are the pauses between two events, at most maxGaps.
	gaps []time.Duration
}

// eventArrived records the arrival of an event. It returns a failure if the response must not be
// forwarded.
func (r *Router) eventArrived(call *call, attempt *attempt, arrivals *eventArrivals, numbered bool) *exchange.FailureError {
	now := time.Now()
	if arrivals.last.IsZero() {
		if failure := r.checkOrigin(call, attempt); failure != nil {
			return failure
		}
		r.reportLoad(call, attempt.replica, nil)
	} else if len(arrivals.gaps) < maxGaps {
		arrivals.gaps = append(arrivals.gaps, now.Sub(arrivals.last))
	}
	arrivals.last, call.heardAt = now, now
	r.heard(&attempt.replica)
	if numbered && !attempt.numbered {
		attempt.numbered = true
		attempt.stopTimer()
		r.config.Tracker.FirstEvent(attempt.inFlight, r.Now())
	}
	return nil
}
