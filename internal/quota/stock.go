package quota

import (
	"math"
	"time"
)

// AllocatorID names one life of an allocator.
type AllocatorID uint64

// Token is the right to run one request.
type Token struct {
	source AllocatorID
	// own tells that it was taken without an allocator.
	own bool
}

// AllocatorID returns the life of the allocator that granted the token; false where the node
// took it without one.
func (t Token) AllocatorID() (source AllocatorID, granted bool) { return t.source, !t.own }

// batch is what is left of one grant.
type batch struct {
	source AllocatorID
	// expires is on this node's clock.
	expires time.Duration
	left    Amount
}

const (
	// paceFor is how fast older requests lose weight in a node's pace.
	paceFor = time.Second
	// aheadPart of a life is what is asked for in advance.
	aheadPart = 0.8
	// aheadPauses is how many questions in advance fit into a life.
	aheadPauses = 10
	// lowPart of what is asked for in advance is left when more is asked for.
	lowPart = 0.4
	// trustFor is how long a node goes on at its own pace without an allocator, if the
	// tenant was well below its limit at the last word of one. It covers the time until
	// the others know that the allocator is gone.
	trustFor = 3 * time.Second
	// trustPace is how much faster than before the node may go then.
	trustPace = 1.25
)

// TokenCache holds one node's tokens of one tenant. It is not safe for concurrent use.
type TokenCache struct {
	policy  Policy
	batches []batch
	// returns are to be given back to allocators.
	returns map[AllocatorID]Amount
	// nextAhead is when more may be asked for in advance again.
	nextAhead time.Duration
	// pace and beginPace are requests and begun programs a second.
	pace, beginPace float64
	pacedAt         time.Duration
	// refusedUntil and beginsRefusedUntil hold what the allocator has said last.
	refusedUntil, beginsRefusedUntil time.Duration
	// heardAt is when an allocator answered last, roomy whether the tenant was well below
	// its limit then; heard is false before the first answer.
	heardAt time.Duration
	heard   bool
	roomy   bool
	// alone tells that tokens are taken without an allocator. own is what may be spent
	// so at ownPace, ownAt when that was reckoned and spent what was, which the next allocator is told.
	alone   bool
	own     float64
	ownPace float64
	ownAt   time.Duration
	spent   Amount
}

// NewTokenCache returns a stock without tokens.
func NewTokenCache(policy Policy, now time.Duration) *TokenCache {
	return &TokenCache{policy: policy, returns: map[AllocatorID]Amount{}, pacedAt: now, ownAt: now}
}

// Take spends a token for a request; false if there is none.
func (s *TokenCache) Take(now time.Duration) (Token, bool) {
	s.expire(now)
	for i := range s.batches {
		if one := &s.batches[i]; one.left.Requests > 0 {
			one.left.Requests--
			s.note(Amount{Requests: 1}, now)
			return Token{source: one.source}, true
		}
	}
	return Token{}, false
}

// TakeProgramStart spends the right to begin a program; false if there is none.
func (s *TokenCache) TakeProgramStart(now time.Duration) bool {
	s.expire(now)
	for i := range s.batches {
		if one := &s.batches[i]; one.left.ProgramStarts > 0 {
			one.left.ProgramStarts--
			s.note(Amount{ProgramStarts: 1}, now)
			return true
		}
	}
	return false
}

// Refund gives back the token of a request that has not run.
func (s *TokenCache) Refund(token Token, now time.Duration) {
	s.expire(now)
	if token.own {
		s.own++
		s.spent.Requests = max(s.spent.Requests-1, 0)
		return
	}
	s.giveBack(token.source, Amount{Requests: 1})
}

// giveBack is told the allocator with the next request, if that is the same life still.
func (s *TokenCache) giveBack(source AllocatorID, amount Amount) {
	s.returns[source] = s.returns[source].Plus(amount)
}

// expire takes tokens out whose life is over.
func (s *TokenCache) expire(now time.Duration) {
	live := s.batches[:0]
	for _, one := range s.batches {
		if now < one.expires {
			live = append(live, one)
			continue
		}
		if one.left != (Amount{}) {
			s.giveBack(one.source, one.left)
		}
	}
	s.batches = live
}

// note counts what was spent in the node's pace.
func (s *TokenCache) note(spent Amount, now time.Duration) {
	s.slow(now)
	s.pace += float64(spent.Requests) / paceFor.Seconds()
	s.beginPace += float64(spent.ProgramStarts) / paceFor.Seconds()
}

// slow lets the pace fall with the time that has passed.
func (s *TokenCache) slow(now time.Duration) {
	decay := math.Exp(-float64(now-s.pacedAt) / float64(paceFor))
	s.pace, s.beginPace, s.pacedAt = s.pace*decay, s.beginPace*decay, now
}

// left is what is in stock.
func (s *TokenCache) left() Amount {
	total := Amount{}
	for _, one := range s.batches {
		total = total.Plus(one.left)
	}
	return total
}

// ahead is what the node would like to have in stock, at its pace.
func (s *TokenCache) ahead() Amount {
	horizon := aheadPart * s.policy.TokenTTL().Seconds()
	return Amount{Requests: int(math.Ceil(s.pace * horizon)), ProgramStarts: int(math.Ceil(s.beginPace * horizon))}
}

// Low tells whether more should be asked for before it is needed.
func (s *TokenCache) Low(now time.Duration) bool {
	if now < s.refusedUntil || now < s.nextAhead {
		return false
	}
	s.expire(now)
	s.slow(now)
	left, ahead := s.left(), s.ahead()
	return float64(left.Requests) < lowPart*float64(ahead.Requests) ||
		now >= s.beginsRefusedUntil && float64(left.ProgramStarts) < lowPart*float64(ahead.ProgramStarts)
}

// NewRequest returns the request to an allocator, whose returns and spent tokens count as told.
func (s *TokenCache) NewRequest(source AllocatorID, needed Amount, now time.Duration) Request {
	s.expire(now)
	s.slow(now)
	ahead, left := s.ahead(), s.left()
	s.nextAhead = now + s.policy.TokenTTL()/aheadPauses
	request := Request{
		Needed: needed, Wanted: needed.Plus(ahead.Minus(left)),
		Spent: s.spent, Returned: s.returns[source],
	}
	s.spent = Amount{}
	clear(s.returns)
	return request
}

// HasReturns tells whether something is to be given back to an allocator.
func (s *TokenCache) HasReturns(source AllocatorID, now time.Duration) bool {
	s.expire(now)
	return s.returns[source] != (Amount{}) || s.spent != (Amount{})
}

// RequestFailed takes back what an allocator was to be told that has not answered. What it was
// to be given back is lost, since it may have heard of it.
func (s *TokenCache) RequestFailed(request Request) { s.spent = s.spent.Plus(request.Spent) }

// ApplyGrant takes the answer to a request that was sent at asked.
func (s *TokenCache) ApplyGrant(source AllocatorID, request Request, grant Grant, asked, now time.Duration) {
	s.heard, s.heardAt, s.alone = true, now, false
	s.roomy = grant.BelowLimit
	if grant.Amount != (Amount{}) {
		s.batches = append(s.batches, batch{
			source: source, expires: asked + s.policy.TokenTTL(), left: grant.Amount,
		})
	}
	if grant.Amount.Requests < request.Needed.Requests {
		s.refusedUntil = now + grant.RequestAfter
	}
	if grant.Amount.ProgramStarts < request.Needed.ProgramStarts {
		s.beginsRefusedUntil = now + grant.ProgramStartAfter
	}
}

// Refused returns how long the allocator has nothing to grant, 0 if it may have.
func (s *TokenCache) Refused(now time.Duration) time.Duration { return max(s.refusedUntil-now, 0) }

// ProgramStartsRefused returns how long no program may begin, 0 if one may.
func (s *TokenCache) ProgramStartsRefused(now time.Duration) time.Duration {
	return max(s.beginsRefusedUntil-now, 0)
}

// TakeWithoutAllocator spends a token without an allocator: at the node's own pace where the tenant
// was well below its limit a short time ago, else from the node's part of the limit.
func (s *TokenCache) TakeWithoutAllocator(limit Limit, nodes int, now time.Duration) (Token, bool) {
	s.slow(now)
	entered := !s.alone
	if entered {
		s.alone, s.own, s.ownPace, s.ownAt = true, 0, s.pace, now
	}
	rate := s.policy.Refill(limit) / float64(max(nodes, 1))
	most := 1.0
	trusted := s.heard && s.roomy && now-s.heardAt < trustFor
	if trusted {
		rate = max(rate, trustPace*s.ownPace)
		most = max(most, rate*s.policy.TokenTTL().Seconds())
	}
	if entered && trusted {
		s.own = most
	}
	s.own = min(s.own+rate*(now-s.ownAt).Seconds(), most)
	s.ownAt = now
	if s.own < 1 {
		return Token{}, false
	}
	s.own--
	s.spent.Requests++
	s.note(Amount{Requests: 1}, now)
	return Token{own: true}, true
}

// Rate returns the requests a second that the node has lately served for the tenant.
func (s *TokenCache) Rate(now time.Duration) float64 {
	s.slow(now)
	return s.pace
}
