package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/quota"
)

// stock is this node's tokens of one tenant and the question for more.
type stock struct {
	service *Service
	tenant  string

	// mutex guards all below; it is held for no call.
	mutex sync.Mutex
	quota *quota.TokenCache
	// waiting counts the requests that wait for tokens.
	waiting quota.Amount
	// asking is closed once the question under way has been answered; nil if there is none.
	asking chan struct{}
	// source is the allocator that answered last.
	source quota.AllocatorID
	// unansweredUntil is how long requests don't wait for an answer.
	unansweredUntil time.Duration
	// lastError is why; it wraps ErrNoAllocator.
	lastError error
	usedAt    time.Duration
	// refused counts the requests that were refused for the limit.
	refused uint64
}

// describe adds what this node has served and refused.
func (s *stock) describe(status *TenantStatus, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status.RequestRate, status.Refused = s.quota.Rate(now), s.refused
}

// rounds bounds how often a request waits for an answer whose tokens others have taken.
const rounds = 3

// take spends a token, for which it waits where there is none.
func (s *stock) take(ctx context.Context, limit quota.Limit) (token quota.Token, err error) {
	err = s.acquire(ctx, quota.Amount{Requests: 1}, func() (asked <-chan struct{}, err error) {
		token, asked, err = s.tryTake(ctx, limit)
		return asked, err
	})
	return token, err
}

// takeBegin spends the right to begin a program, for which it waits where there is none.
func (s *stock) takeBegin(ctx context.Context) error {
	return s.acquire(ctx, quota.Amount{ProgramStarts: 1}, func() (<-chan struct{}, error) { return s.tryBegin(ctx) })
}

// acquire tries to spend what is needed, again after each answer that try has asked for.
func (s *stock) acquire(ctx context.Context, needed quota.Amount, try func() (asked <-chan struct{}, err error)) error {
	for range rounds {
		asked, err := try()
		if asked == nil {
			return err
		}
		s.await(ctx, asked)
		s.endWait(needed)
	}
	return &OverLimitError{Tenant: s.tenant, RetryAfter: s.service.config.Policy.TokenTTL(), ProgramStart: needed.ProgramStarts > 0}
}

// tryTake spends a token or tells why not; an answer that is asked for is to be waited for.
func (s *stock) tryTake(ctx context.Context, limit quota.Limit) (quota.Token, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.service.config.Now()
	s.usedAt = now
	if token, taken := s.quota.Take(now); taken {
		if s.asking == nil && s.quota.Low(now) {
			s.askLocked(ctx, now)
		}
		return token, nil, nil
	}
	if after := s.quota.Refused(now); after > 0 {
		s.refused++
		return quota.Token{}, nil, &OverLimitError{Tenant: s.tenant, RetryAfter: after}
	}
	if now < s.unansweredUntil {
		_, nodes := s.service.placement.counts(now)
		if token, taken := s.quota.TakeWithoutAllocator(limit, nodes, now); taken {
			return token, nil, nil
		}
		return quota.Token{}, nil, s.lastError
	}
	return quota.Token{}, s.waitLocked(ctx, quota.Amount{Requests: 1}, now), nil
}

func (s *stock) tryBegin(ctx context.Context) (<-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.service.config.Now()
	if s.quota.TakeProgramStart(now) {
		return nil, nil
	}
	if after := s.quota.ProgramStartsRefused(now); after > 0 {
		s.refused++
		return nil, &OverLimitError{Tenant: s.tenant, RetryAfter: after, ProgramStart: true}
	}
	if now < s.unansweredUntil {
		return nil, nil // the request has a token; without an allocator that will do
	}
	return s.waitLocked(ctx, quota.Amount{ProgramStarts: 1}, now), nil
}

// waitLocked returns what is closed with the answer to wait for. endWait must be called
// after it.
func (s *stock) waitLocked(ctx context.Context, needed quota.Amount, now time.Duration) <-chan struct{} {
	s.waiting = s.waiting.Plus(needed)
	if s.asking == nil {
		s.askLocked(ctx, now)
	}
	return s.asking
}

func (s *stock) endWait(needed quota.Amount) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting = s.waiting.Minus(needed)
}

// await waits for an answer, as long as requests wait for tokens now.
func (s *stock) await(ctx context.Context, asked <-chan struct{}) {
	timer := time.NewTimer(s.service.patience())
	defer timer.Stop()
	select {
	case <-asked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// askLocked asks the allocator in the background. The end of ctx, which is one
// request's, does not end a question of many.
func (s *stock) askLocked(ctx context.Context, now time.Duration) {
	asked := make(chan struct{})
	s.asking = asked
	source := s.source
	request := s.quota.NewRequest(source, s.waiting, now)
	go func() {
		answer, err := s.service.ask(context.WithoutCancel(ctx), &ask{Tenant: s.tenant, Source: source, Request: request})
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.answered(request, answer, err, now)
		s.asking = nil
		close(asked)
	}()
}

// answered needs the mutex.
func (s *stock) answered(request quota.Request, answer *granted, err error, asked time.Duration) {
	now := s.service.config.Now()
	if err != nil {
		s.quota.RequestFailed(request)
		if !errors.Is(err, errNoLimit) {
			s.unansweredUntil, s.lastError = now+unansweredPause, err
		}
		return
	}
	s.source, s.unansweredUntil = answer.Source, 0
	s.quota.ApplyGrant(answer.Source, request, answer.Grant, asked, now)
}

func (s *stock) refund(token quota.Token) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.quota.Refund(token, s.service.config.Now())
}

// rests tells whether the stock has not been used for long.
func (s *stock) rests(now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.asking == nil && now-s.usedAt > stockIdle
}

// tellReturns gives back what has expired unspent, unless a question is under way that
// will.
func (s *stock) tellReturns(ctx context.Context, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.asking == nil && s.quota.HasReturns(s.source, now) {
		s.askLocked(ctx, now)
	}
}
