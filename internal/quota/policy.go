// Package quota decides how many requests of a tenant may run at all nodes of a site
// together. One node, the tenant's allocator, hands out tokens in batches from a token
// bucket; the others spend them, one a request, before they expire. The package is pure:
// the caller hands in the time as a monotonic reading.
//
// The bound. Let Q = (rate x window + burst) x (1 + overage) + slack be what may run in
// each window. A token is spent within Life of its granting, so what runs in a window was
// granted in a span of window + Life, in which a bucket grants at most Capacity + Refill x
// span = Q - Spare. What an allocator can't learn from the one before it, it takes for
// spent: it begins with a part of Spare, and two buckets that follow each other grant no
// more than one. So the bound holds while at most two take over uncleanly in a window.
// Two that both think they allot stay under it by sharing: each grants the part of the
// limit that its side's nodes are of all nodes. Until a cut is noticed, after D at most,
// both grant in full, which is at most Capacity + Refill x D more.
package quota

import "time"

// Policy is what the site's operators promise of tenants' limits.
type Policy struct {
	// Window is the span in which requests are counted.
	Window time.Duration
	// Overage is the part of a limit, and Slack the number of requests, by which a
	// tenant may be served beyond it.
	Overage, Slack float64
}

// Limit is one tenant's.
type Limit struct {
	// RatePerSecond and Burst allow RatePerSecond x window + Burst requests in a window.
	RatePerSecond, Burst float64
}

const (
	// lifePart of a window is how long a token may be spent. Longer ones need fewer
	// messages and leave more of a limit unused.
	lifePart = 10
	// sparePart of what may run beyond a limit is kept for allocators that take over.
	sparePart = 4
	// leastCapacity is that of a bucket whose limit leaves nothing beyond its rate.
	leastCapacity = 1
)

// TokenTTL is how long a token may be spent after it was asked for.
func (p Policy) TokenTTL() time.Duration { return p.Window / lifePart }

// Span is how long a granted token may count against a window.
func (p Policy) Span() time.Duration { return p.Window + p.TokenTTL() }

// Allowed is what may run in a window at most.
func (p Policy) Allowed(limit Limit) float64 {
	return p.inWindow(limit)*(1+p.Overage) + p.Slack
}

func (p Policy) inWindow(limit Limit) float64 {
	return limit.RatePerSecond*p.Window.Seconds() + limit.Burst
}

// Reserve is the part of Allowed that allocators may grant before they know what others
// have granted.
func (p Policy) Reserve(limit Limit) float64 {
	return (p.Allowed(limit) - p.inWindow(limit)) / sparePart
}

// Capacity is how many tokens a bucket holds at most.
func (p Policy) Capacity(limit Limit) float64 {
	return max(p.Allowed(limit)-p.Reserve(limit)-limit.RatePerSecond*p.Span().Seconds(), leastCapacity)
}

// Refill is how many tokens a bucket gets in a second: the limit's rate, or a little less
// where there is neither burst nor slack.
func (p Policy) Refill(limit Limit) float64 {
	left := p.Allowed(limit) - p.Reserve(limit) - p.Capacity(limit)
	return min(limit.RatePerSecond, left/p.Span().Seconds())
}
