package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/quota"
)

// tenantTokens holds this node's tokens of one tenant and the pending request for more.
type tenantTokens struct {
	service *Service
	tenant  string

	// mutex guards all fields below. It is not held during calls to other nodes.
	mutex sync.Mutex
	cache *quota.TokenCache
	// waiting counts the requests that wait for tokens.
	waiting quota.Amount
	// pending is closed when the token request in flight has completed; nil if there is
	// none.
	pending chan struct{}
	// allocatorID identifies the allocator that responded last.
	allocatorID quota.AllocatorID
	// noWaitUntil is the time until which requests do not wait for the allocator.
	noWaitUntil time.Duration
	// lastError is the reason for noWaitUntil.
	lastError *UnavailableError
	usedAt    time.Duration
	// refused counts the requests rejected because of the limit.
	refused uint64
}

// describe sets the request rate and the number of rejected requests.
func (t *tenantTokens) describe(status *TenantStatus, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	status.RequestRate, status.Refused = t.cache.Rate(now), t.refused
}

// maxWaits bounds how often a request waits for a response whose tokens are taken by
// others.
const maxWaits = 3

// take takes a token and waits for one if necessary.
func (t *tenantTokens) take(ctx context.Context) (token quota.Token, err error) {
	err = t.acquire(ctx, quota.Amount{Requests: 1}, func() (done <-chan struct{}, err error) {
		token, done, err = t.tryTake(ctx)
		return done, err
	})
	return token, err
}

// takeProgramStart takes the token for starting a program and waits for it if necessary.
func (t *tenantTokens) takeProgramStart(ctx context.Context) error {
	return t.acquire(ctx, quota.Amount{ProgramStarts: 1}, func() (<-chan struct{}, error) { return t.tryTakeProgramStart(ctx) })
}

// acquire calls try until it succeeds or fails, and waits on the channel that it returns, for
// waitTimeout in total. Without a response until then, requests are rejected at once until
// there is one.
func (t *tenantTokens) acquire(ctx context.Context, needed quota.Amount, try func() (done <-chan struct{}, err error)) error {
	deadline := t.service.config.Now() + waitTimeout
	for range maxWaits {
		done, err := try()
		if done == nil {
			return err
		}
		responded := t.await(ctx, done, deadline)
		t.endWait(needed)
		if !responded {
			t.stopWaiting()
		}
	}
	return &OverLimitError{Tenant: t.tenant, RetryAfter: t.service.config.Policy.TokenTTL(), ProgramStart: needed.ProgramStarts > 0}
}

// tryTake takes a token, or returns an error or a channel to wait on before the next
// attempt.
func (t *tenantTokens) tryTake(ctx context.Context) (quota.Token, <-chan struct{}, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.service.config.Now()
	t.usedAt = now
	if token, taken := t.cache.Take(now); taken {
		if t.pending == nil && t.cache.Low(now) {
			t.requestLocked(ctx, now)
		}
		return token, nil, nil
	}
	if after := t.cache.Refused(now); after > 0 {
		t.refused++
		return quota.Token{}, nil, &OverLimitError{Tenant: t.tenant, RetryAfter: after}
	}
	if now < t.noWaitUntil {
		return quota.Token{}, nil, t.unavailableLocked(now)
	}
	return quota.Token{}, t.waitLocked(ctx, quota.Amount{Requests: 1}, now), nil
}

func (t *tenantTokens) tryTakeProgramStart(ctx context.Context) (<-chan struct{}, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.service.config.Now()
	if t.cache.TakeProgramStart(now) {
		return nil, nil
	}
	if after := t.cache.ProgramStartsRefused(now); after > 0 {
		t.refused++
		return nil, &OverLimitError{Tenant: t.tenant, RetryAfter: after, ProgramStart: true}
	}
	if now < t.noWaitUntil {
		return nil, nil // the request itself has a token, which suffices without an allocator
	}
	return t.waitLocked(ctx, quota.Amount{ProgramStarts: 1}, now), nil
}

// unavailableLocked returns the error of a request that does not wait for the allocator. It
// requires the mutex.
func (t *tenantTokens) unavailableLocked(now time.Duration) error {
	return &UnavailableError{Tenant: t.tenant, RetryAfter: t.noWaitUntil - now, Cause: t.lastError.Cause}
}

// waitLocked returns the channel that is closed with the next response. The caller must
// call endWait afterwards.
func (t *tenantTokens) waitLocked(ctx context.Context, needed quota.Amount, now time.Duration) <-chan struct{} {
	t.waiting = t.waiting.Plus(needed)
	if t.pending == nil {
		t.requestLocked(ctx, now)
	}
	return t.pending
}

func (t *tenantTokens) endWait(needed quota.Amount) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.waiting = t.waiting.Minus(needed)
}

// await waits for a response until a deadline. It reports false if there was none.
func (t *tenantTokens) await(ctx context.Context, done <-chan struct{}, deadline time.Duration) bool {
	timer := time.NewTimer(deadline - t.service.config.Now())
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		return false
	case <-ctx.Done():
	}
	return true
}

// stopWaiting lets requests not wait for the pending response.
func (t *tenantTokens) stopWaiting() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pending == nil {
		return // the response has just arrived
	}
	t.noWaitUntil = t.service.config.Now() + allocatorRetryDelay
	t.lastError = &UnavailableError{Tenant: t.tenant, RetryAfter: allocatorRetryDelay, Cause: errNoResponse}
}

// requestLocked requests tokens in the background. The request serves all waiting callers,
// so it does not end with ctx.
func (t *tenantTokens) requestLocked(ctx context.Context, now time.Duration) {
	done := make(chan struct{})
	t.pending = done
	allocatorID := t.allocatorID
	request := t.cache.NewRequest(allocatorID, t.waiting, now)
	go func() {
		response, err := t.service.requestTokens(context.WithoutCancel(ctx), &tokenRequest{Tenant: t.tenant, AllocatorID: allocatorID, Request: request})
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.handleResponse(request, response, err, now)
		t.pending = nil
		close(done)
	}()
}

// handleResponse requires the mutex.
func (t *tenantTokens) handleResponse(request quota.Request, response *tokenResponse, err error, sentAt time.Duration) {
	now := t.service.config.Now()
	if err != nil {
		var unavailable *UnavailableError
		if errors.As(err, &unavailable) {
			t.noWaitUntil, t.lastError = now+min(unavailable.RetryAfter, quota.LeaseTTL), unavailable
		}
		return
	}
	t.allocatorID, t.noWaitUntil = response.AllocatorID, 0
	t.cache.ApplyGrant(response.AllocatorID, request, response.Grant, sentAt, now)
}

func (t *tenantTokens) refund(token quota.Token) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cache.Refund(token, t.service.config.Now())
}

// idle reports whether the tokens have not been used recently.
func (t *tenantTokens) idle(now time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.pending == nil && now-t.usedAt > idleTTL
}

// sendReturns returns expired tokens to the allocator, unless a pending request will do so.
func (t *tenantTokens) sendReturns(ctx context.Context, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pending == nil && t.cache.HasReturns(t.allocatorID, now) {
		t.requestLocked(ctx, now)
	}
}
