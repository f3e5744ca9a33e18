// Package quota implements the accounting of tenants' request limits across the nodes of a
// site. One node, the tenant's allocator, grants tokens from a token bucket in batches. The
// other nodes spend one token per request until the tokens expire. The package is pure: all
// times are monotonic readings passed by the caller.
//
// Bound: let Q = (rate x window + burst) x (1 + overage) + slack be the number of requests
// allowed in each window. A token is spent within TokenTTL of its grant, so the requests of
// a window were granted within Span = window + TokenTTL, in which a bucket grants at most
// Capacity + Refill x Span = Q - Reserve. A handover between allocators adds nothing to
// this. An allocator that cannot obtain its predecessor's account starts with a fraction of
// Reserve, so the bound holds if at most two such takeovers happen in a window.
//
// During a network partition each side has an allocator. Both together stay within the
// bound, since each grants only the fraction of the limit that corresponds to its side's
// fraction of the nodes. Until the partition is detected, after a time D, both grant the
// whole limit, which exceeds the bound by at most Capacity + Refill x D.
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
	// reserveDivisor divides what is allowed beyond a limit into the part reserved for
	// takeovers.
	reserveDivisor = 4
	// minCapacity is the minimum capacity of a bucket, for limits without any burst.
	minCapacity = 1
)

// TokenTTL is how long a token is valid after it was requested.
func (p Policy) TokenTTL() time.Duration { return p.Window / ttlDivisor }

// Span is how long a granted token may count against a window.
func (p Policy) Span() time.Duration { return p.Window + p.TokenTTL() }

// Allowed is the maximum number of requests served in a window.
func (p Policy) Allowed(limit Limit) float64 {
	return p.inWindow(limit)*(1+p.Overage) + p.Slack
}

func (p Policy) inWindow(limit Limit) float64 {
	return limit.RatePerSecond*p.Window.Seconds() + limit.Burst
}

// Reserve is the part of Allowed that allocators may grant without knowing the grants of
// their predecessors.
func (p Policy) Reserve(limit Limit) float64 {
	return (p.Allowed(limit) - p.inWindow(limit)) / reserveDivisor
}

// Capacity is the maximum number of tokens in a bucket.
func (p Policy) Capacity(limit Limit) float64 {
	return max(p.Allowed(limit)-p.Reserve(limit)-limit.RatePerSecond*p.Span().Seconds(), minCapacity)
}

// Refill is the number of tokens added to a bucket per second: the limit's rate, or
// slightly less if there is neither burst nor slack.
func (p Policy) Refill(limit Limit) float64 {
	remaining := p.Allowed(limit) - p.Reserve(limit) - p.Capacity(limit)
	return min(limit.RatePerSecond, remaining/p.Span().Seconds())
}
