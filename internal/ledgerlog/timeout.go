package ledgerlog

import (
	"sync"
	"time"
)

const (
	// firstTimeout bounds a call while no answer has been measured.
	firstTimeout = 250 * time.Millisecond
	// minTimeout and maxTimeout bound the wait for one call's answer.
	minTimeout = 120 * time.Millisecond
	maxTimeout = 800 * time.Millisecond
	// Weights of the newest sample, as of RFC 6298: 1/8 in the mean, 1/4 in the
	// deviation; the timeout is the mean and four deviations.
	meanShift          = 3
	deviationShift     = 2
	deviationsInBounds = 4
)

// retransmission estimates how long to wait for the answer of a call before it is
// repeated, from the times of answered calls. It is safe for concurrent use.
type retransmission struct {
	// mutex guards all below.
	mutex    sync.Mutex
	measured bool
	// mean and deviation are of the answered calls' times.
	mean, deviation time.Duration
}

// answered takes the time of a call that was answered.
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

// timeout bounds one call; unanswered is how often it has been repeated without
// an answer, each of which doubles the time.
func (r *retransmission) timeout(unanswered int) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wait := firstTimeout
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
