package quota

import (
	"math"
	"time"
)

// AllocatorID identifies one incarnation of an allocator.
type AllocatorID uint64

// Token is the permission to run one request.
type Token struct {
	allocatorID AllocatorID
	stamp       Stamp
}

// AllocatorID returns the allocator that granted the token.
func (t Token) AllocatorID() AllocatorID { return t.allocatorID }

// batch is the remainder of one grant.
type batch struct {
	allocatorID AllocatorID
	stamp       Stamp
	// expires is a reading of this node's clock.
	expires   time.Duration
	remaining Amount
}

const (
	// rateDecayTime is the time constant of the exponential decay of a node's request rate.
	rateDecayTime = time.Second
	// prefetchFraction is the fraction of the token TTL for which tokens are prefetched.
	prefetchFraction = 0.8
	// prefetchesPerTTL limits the frequency of prefetch requests.
	prefetchesPerTTL = 10
	// lowFraction is the fill level, relative to the prefetch target, that triggers a
	// prefetch.
	lowFraction = 0.4
)

// TokenCache holds the unspent tokens of one tenant at one node. It is not safe for
// concurrent use.
type TokenCache struct {
	policy  Policy
	batches []batch
	// returns counts the tokens to return to allocators.
	returns map[AllocatorID]returnedTokens
	// nextPrefetch is the earliest time of the next prefetch request.
	nextPrefetch time.Duration
	// rate and programStartRate are requests and program starts per second.
	rate, programStartRate float64
	rateUpdatedAt          time.Duration
	// refusedUntil and programStartsRefusedUntil are from the last response.
	refusedUntil, programStartsRefusedUntil time.Duration
}

// returnedTokens are tokens to return to an allocator. since is the stamp of the oldest grant
// of which they are left.
type returnedTokens struct {
	amount Amount
	since  Stamp
}

// NewTokenCache returns an empty cache.
func NewTokenCache(policy Policy, now time.Duration) *TokenCache {
	return &TokenCache{policy: policy, returns: map[AllocatorID]returnedTokens{}, rateUpdatedAt: now}
}

// Take takes the token for a request; false if there is none.
func (c *TokenCache) Take(now time.Duration) (Token, bool) {
	c.expire(now)
	for i := range c.batches {
		if b := &c.batches[i]; b.remaining.Requests > 0 {
			b.remaining.Requests--
			c.recordUse(Amount{Requests: 1}, now)
			return Token{allocatorID: b.allocatorID, stamp: b.stamp}, true
		}
	}
	return Token{}, false
}

// TakeProgramStart takes the token for starting a program; false if there is none.
func (c *TokenCache) TakeProgramStart(now time.Duration) bool {
	c.expire(now)
	for i := range c.batches {
		if b := &c.batches[i]; b.remaining.ProgramStarts > 0 {
			b.remaining.ProgramStarts--
			c.recordUse(Amount{ProgramStarts: 1}, now)
			return true
		}
	}
	return false
}

// Refund returns the token of a request that was not run.
func (c *TokenCache) Refund(token Token, now time.Duration) {
	c.expire(now)
	c.addReturn(token.allocatorID, Amount{Requests: 1}, token.stamp)
}

// addReturn adds tokens to those returned to an allocator with the next request.
func (c *TokenCache) addReturn(allocatorID AllocatorID, amount Amount, stamp Stamp) {
	returned, found := c.returns[allocatorID]
	if !found || stamp < returned.since {
		returned.since = stamp
	}
	returned.amount = returned.amount.Plus(amount)
	c.returns[allocatorID] = returned
}

// expire removes expired batches.
func (c *TokenCache) expire(now time.Duration) {
	live := c.batches[:0]
	for _, b := range c.batches {
		if now < b.expires {
			live = append(live, b)
			continue
		}
		if b.remaining != (Amount{}) {
			c.addReturn(b.allocatorID, b.remaining, b.stamp)
		}
	}
	c.batches = live
}

// recordUse adds spent tokens to the request rate.
func (c *TokenCache) recordUse(spent Amount, now time.Duration) {
	c.decayRate(now)
	c.rate += float64(spent.Requests) / rateDecayTime.Seconds()
	c.programStartRate += float64(spent.ProgramStarts) / rateDecayTime.Seconds()
}

// decayRate decays the request rate by the time passed.
func (c *TokenCache) decayRate(now time.Duration) {
	decay := math.Exp(-float64(now-c.rateUpdatedAt) / float64(rateDecayTime))
	c.rate, c.programStartRate, c.rateUpdatedAt = c.rate*decay, c.programStartRate*decay, now
}

// remaining returns the number of unspent tokens.
func (c *TokenCache) remaining() Amount {
	total := Amount{}
	for _, b := range c.batches {
		total = total.Plus(b.remaining)
	}
	return total
}

// prefetchTarget is the number of tokens to hold at the current request rate.
func (c *TokenCache) prefetchTarget() Amount {
	horizon := prefetchFraction * c.policy.TokenTTL().Seconds()
	return Amount{Requests: int(math.Ceil(c.rate * horizon)), ProgramStarts: int(math.Ceil(c.programStartRate * horizon))}
}

// Low reports whether more tokens should be requested in advance.
func (c *TokenCache) Low(now time.Duration) bool {
	if now < c.refusedUntil || now < c.nextPrefetch {
		return false
	}
	c.expire(now)
	c.decayRate(now)
	remaining, prefetchTarget := c.remaining(), c.prefetchTarget()
	return float64(remaining.Requests) < lowFraction*float64(prefetchTarget.Requests) ||
		now >= c.programStartsRefusedUntil && float64(remaining.ProgramStarts) < lowFraction*float64(prefetchTarget.ProgramStarts)
}

// NewRequest returns the next request to an allocator. It takes the returned tokens out of
// the cache. They are dropped if the request fails, since the allocator may have received
// them.
func (c *TokenCache) NewRequest(allocatorID AllocatorID, needed Amount, now time.Duration) Request {
	c.expire(now)
	c.decayRate(now)
	prefetchTarget, remaining := c.prefetchTarget(), c.remaining()
	c.nextPrefetch = now + c.policy.TokenTTL()/prefetchesPerTTL
	returned := c.returns[allocatorID]
	clear(c.returns)
	return Request{
		Needed: needed, Wanted: needed.Plus(prefetchTarget.Minus(remaining)),
		Returned: returned.amount, ReturnedSince: returned.since,
	}
}

// HasReturns reports whether there are tokens to return to an allocator.
func (c *TokenCache) HasReturns(allocatorID AllocatorID, now time.Duration) bool {
	c.expire(now)
	return c.returns[allocatorID].amount != (Amount{})
}

// ApplyGrant applies the response to a request that was sent at sentAt.
func (c *TokenCache) ApplyGrant(allocatorID AllocatorID, request Request, grant Grant, sentAt, now time.Duration) {
	if grant.Amount != (Amount{}) {
		c.batches = append(c.batches, batch{
			allocatorID: allocatorID, stamp: grant.Stamp, expires: sentAt + c.policy.TokenTTL(), remaining: grant.Amount,
		})
	}
	if grant.Amount.Requests < request.Needed.Requests {
		c.refusedUntil = now + grant.RequestAfter
	}
	if grant.Amount.ProgramStarts < request.Needed.ProgramStarts {
		c.programStartsRefusedUntil = now + grant.ProgramStartAfter
	}
}

// Refused returns the time until the allocator may have tokens; 0 if it may have some now.
func (c *TokenCache) Refused(now time.Duration) time.Duration { return max(c.refusedUntil-now, 0) }

// ProgramStartsRefused returns the time until a program may start; 0 if one may start now.
func (c *TokenCache) ProgramStartsRefused(now time.Duration) time.Duration {
	return max(c.programStartsRefusedUntil-now, 0)
}

// Rate returns the recent rate of requests per second at this node.
func (c *TokenCache) Rate(now time.Duration) float64 {
	c.decayRate(now)
	return c.rate
}
