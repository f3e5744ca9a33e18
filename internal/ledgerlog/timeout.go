package ledgerlog

import (
	"sync"
	"time"
)

const (
	// initialTimeout bounds a call before any response time has been measured.
	initialTimeout = 250 * time.Millisecond
	// minTimeout and maxTimeout bound the wait for one response.
	minTimeout = 120 * time.Millisecond
	maxTimeout = 800 * time.Millisecond
	// Weights of the newest sample as in RFC 6298: 1/8 in the mean and 1/4 in the deviation.
	// The timeout is the mean plus four deviations.
	meanShift          = 3
	deviationShift     = 2
	deviationsInBounds = 4
)

// retransmission estimates how long to wait for a response before a call is repeated, from the
// response times of earlier calls. It is safe for concurrent use.
type retransmission struct {
	// mutex guards the fields below.
	mutex    sync.Mutex
	measured bool
	// mean and deviation are those of the response times.
	mean, deviation time.Duration
}

// answered records a response time.
func (r *retransmission) answered(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.measured {
		r.measured, r.mean, r.deviation = true, took, took/2
		return
	}
	difference := took - r.mean
	r.mean += difference >> meanShift
	r.deviation += (max(difference, -difference) - r.deviation) >> deviationShift
}

// timeout returns the timeout of one call; unanswered is how many repeats got no response, each
// of which doubles the timeout.
func (r *retransmission) timeout(unanswered int) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wait := initialTimeout
	if r.measured {
		wait = max(r.mean+deviationsInBounds*r.deviation, minTimeout)
	}
	for range unanswered {
		if wait >= maxTimeout {
			break
		}
		wait *= 2
	}
	return min(wait, maxTimeout)
}
