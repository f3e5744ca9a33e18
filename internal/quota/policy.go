// Package quota decides how many requests of a tenant may run at all nodes of a site
// together. One node, the tenant's allocator, hands out tokens in batches from a sliding
// window; the others spend them, one a request, before they expire. The package is pure:
// the caller hands in the time as a monotonic reading.
//
// The bound. Let Q = (rate x window + burst) x (1 + overage) + slack be what may run in
// each window. A token is spent within Life of its granting, so what runs in a window was
// granted in a span of window + Life. An allocator grants at most Q - Spare in each such
// span. What one that takes over can't learn from the one before it, it takes for used,
// but for a part of Spare. So the bound holds while at most two take over in a window.
// Two that both think they allot stay under it by sharing: each grants the part of the
// limit that its side's nodes are of all nodes, see Share. Until a cut is noticed, after
// D at most, both grant in full, which is at most Q/window x D more in all.
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
)

// Life is how long a token may be spent after it was asked for.
func (p Policy) Life() time.Duration { return p.Window / lifePart }

// Span is how long a granted token may count against a window.
func (p Policy) Span() time.Duration { return p.Window + p.Life() }

// Nominal is what a limit allows in a span.
func (p Policy) Nominal(limit Limit) float64 {
	return limit.RatePerSecond*p.Span().Seconds() + limit.Burst
}

// InWindow is what a limit allows in a window.
func (p Policy) InWindow(limit Limit) float64 {
	return limit.RatePerSecond*p.Window.Seconds() + limit.Burst
}

// Allowed is what may run in a window at most.
func (p Policy) Allowed(limit Limit) float64 {
	return p.InWindow(limit)*(1+p.Overage) + p.Slack
}

// Spare is the part of Allowed that allocators may grant before they know what others
// have granted.
func (p Policy) Spare(limit Limit) float64 {
	return (p.Allowed(limit) - p.InWindow(limit)) / sparePart
}

// Granted is what one allocator grants in a span at most.
func (p Policy) Granted(limit Limit) float64 { return p.Allowed(limit) - p.Spare(limit) }
