// Package quota implements the accounting of tenants' request limits across the nodes of a
// site. One node, the tenant's allocator, grants tokens from a token bucket in batches. The
// other nodes spend one token per request until the tokens expire. The package is pure: all
// times are monotonic readings passed by the caller.
//
// Authority: package shares gives each of some nodes, the lessors, a fraction of every limit;
// the fractions add up to one at most. A lessor leases its fraction, by partition of the
// tenants, to one allocator at a time. An allocator grants tokens only under leases that are
// valid at the time of the grant. With leases of fractions f in total its bucket holds
// Capacity x f tokens at most and refills at Refill x f.
//
// Bound: let Q = (rate x window + burst) x (1 + overage) + slack be the number of requests
// allowed in each window. A token is spent within TokenTTL of the request for it, so the
// requests of a window were granted within Span = window + TokenTTL. All buckets of a tenant
// together hold Capacity tokens at most at any time, since no fraction is leased twice at a
// time, and refill at Refill at most. A lease that begins brings no tokens with it, one that
// ends takes its part of the capacity away, and tokens that are handed over leave their
// former bucket. So all allocators together grant Capacity + Refill x Span = Q at most in a
// Span. It does not matter how often the leases change hands, or what any node believes
// about the others; that determines only how much of the limit can be used.
package quota

import "time"

// Policy determines how strictly tenants' limits are enforced.
type Policy struct {
	// Window is the period in which requests are counted.
	Window time.Duration
	// Overage is the fraction of a limit, and Slack the number of requests, by which a
	// tenant may exceed it.
	Overage, Slack float64
}

// Limit is the limit of one tenant.
type Limit struct {
	// RatePerSecond x window + Burst requests are allowed in each window.
	RatePerSecond, Burst float64
}

const (
	// ttlDivisor divides the window into the TTL of tokens. A longer TTL saves messages but
	// leaves more of a limit unused.
	ttlDivisor = 10
	// minCapacity is the minimum capacity of a bucket, for limits without any burst. A
	// bucket without all leases holds less than its capacity, so that one token would not
	// suffice.
	minCapacity = 2
)

// TokenTTL is how long a token is valid after it was requested.
func (p Policy) TokenTTL() time.Duration { return p.Window / ttlDivisor }

// Span is how long a granted token may count against a window.
func (p Policy) Span() time.Duration { return p.Window + p.TokenTTL() }

// Allowed is the maximum number of requests served in a window.
func (p Policy) Allowed(limit Limit) float64 {
	return (limit.RatePerSecond*p.Window.Seconds()+limit.Burst)*(1+p.Overage) + p.Slack
}

// Capacity is the maximum number of tokens in all buckets of a tenant.
func (p Policy) Capacity(limit Limit) float64 {
	allowed := p.Allowed(limit)
	return max(allowed-limit.RatePerSecond*p.Span().Seconds(), min(minCapacity, allowed/2))
}

// Refill is the number of tokens added to all buckets of a tenant per second: the limit's
// rate, or slightly less if there is neither burst nor slack.
func (p Policy) Refill(limit Limit) float64 {
	remaining := p.Allowed(limit) - p.Capacity(limit)
	return min(limit.RatePerSecond, remaining/p.Span().Seconds())
}
