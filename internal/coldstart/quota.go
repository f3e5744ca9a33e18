// Package coldstart limits the rate of requests to cold replicas. A replica that has just
// started, or has become cold again, is overloaded by more than a certain rate of requests
// from all nodes together. The package tracks which replicas are cold and derives from the
// membership view which nodes may send to them, and how much, without messages between
// nodes. It performs no I/O; times are monotonic readings passed in by the caller.
package coldstart

import (
	"math"
	"time"
)

// RateLimit is the rate limit for cold replicas of a service.
type RateLimit struct {
	// PerSecond is the maximum rate of requests from all nodes to one replica; 0 means no
	// limit.
	PerSecond float64
	// ColdDuration is the time for which a replica stays cold after its start.
	ColdDuration time.Duration
}

// window is the time window over which a replica's rate of incoming requests is measured.
const window = time.Second

// maxDelayDifference is the maximum difference between the network delays of two requests
// to a replica, including connection setup. It extends the send period so that requests of
// consecutive periods do not arrive within one window, at the cost of about 5 % of the
// allowed rate.
const maxDelayDifference = 50 * time.Millisecond

// sendPeriod is the period over which a node counts its requests to a replica.
const sendPeriod = window + maxDelayDifference

// quota is the division of one replica's rate limit among nodes: each of senders nodes
// gets permits requests per period.
type quota struct {
	senders, permits int
	period           time.Duration
}

// divideLimit divides a rate limit among the live nodes. possible additionally counts the
// nodes that may be alive, and sending, on the other side of a network partition: the live
// nodes divide only their proportional fraction of the limit, so that the quotas of all
// sides add up to at most the limit.
func divideLimit(perSecond float64, live, possible int) quota {
	available := perSecond * float64(live) / float64(max(live, possible, 1))
	senders := min(int(available), live)
	if senders > 0 {
		return quota{senders: senders, permits: int(available) / senders, period: sendPeriod}
	}
	if live < possible || perSecond <= 0 {
		return quota{period: sendPeriod}
	}
	return quota{senders: 1, permits: 1, period: time.Duration(math.Ceil(float64(sendPeriod) / perSecond))}
}
