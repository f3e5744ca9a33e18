// Package coldstart bounds what cold replicas get. A replica that has just started, or has
// turned cold again, bears a number of requests a second from all nodes together and
// falls over well above that. The package tells which replicas are cold and which nodes
// may send there how much, without any message between the nodes. It is pure: times are
// monotonic readings that the caller hands in.
package coldstart

import (
	"math"
	"time"
)

// RateLimit is what a service's cold replicas bear.
type RateLimit struct {
	// PerSecond is how many requests a second one of them takes of all nodes; 0 sets no
	// bound.
	PerSecond float64
	// ColdDuration is how long a replica stays cold after its start.
	ColdDuration time.Duration
}

// window is the span in which a replica's bound counts what reaches it.
const window = time.Second

// unevenWay is by how much the ways of two requests to a replica may differ: what is sent
// within a period must not reach it within a window together with what is sent after it. It
// keeps a twentieth of what cold replicas bear unused, and covers a connection that has to
// be made.
const unevenWay = 50 * time.Millisecond

// sendPeriod is the span in which a node counts what it sends to a replica.
const sendPeriod = window + unevenWay

// share is how the bound of one replica is dealt out: each of senders nodes may send each
// requests in any period.
type share struct {
	senders, each int
	period        time.Duration
}

// shareOut deals a bound out over the nodes that live, of all that may serve. Nodes that
// can't be seen may live behind a cut and send as well; so the nodes on one side share
// only their part, and the parts of all sides add up to the bound.
func shareOut(perSecond float64, live, known int) share {
	part := perSecond * float64(live) / float64(max(live, known, 1))
	senders := min(int(part), live)
	if senders > 0 {
		return share{senders: senders, each: int(part) / senders, period: sendPeriod}
	}
	if live < known || perSecond <= 0 {
		return share{period: sendPeriod}
	}
	return share{senders: 1, each: 1, period: time.Duration(math.Ceil(float64(sendPeriod) / perSecond))}
}
