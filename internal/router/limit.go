package router

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"stepseam.example/stepseam/internal/limits"
)

const (
	// minRetryAfter bounds the Retry-After delay of tenants over their limit from below.
	// retryAfterJitter is the maximum random extension as a fraction of the delay, which
	// keeps clients from retrying at the same time.
	minRetryAfter    = 50 * time.Millisecond
	retryAfterJitter = 0.3
)

// admitTenant takes a token of the tenant's rate limit. If it returns false, the request
// has been rejected.
func (r *Router) admitTenant(ctx context.Context, reply *reply, call *call) bool {
	if r.config.Limits == nil {
		return true
	}
	permit, err := r.config.Limits.Admit(ctx, call.tenant)
	if err != nil {
		r.rejectOverLimit(ctx, reply, err)
		return false
	}
	call.permit = permit
	return true
}

// admitProgram takes the permission to start a program. A tenant at its limit may start
// programs only at the rate at which its programs can finish, so that running programs can
// continue. If it returns false, the request has been rejected.
func (r *Router) admitProgram(ctx context.Context, reply *reply, call *call) bool {
	if err := call.permit.StartProgram(ctx); err != nil {
		r.rejectOverLimit(ctx, reply, err)
		return false
	}
	return true
}

func (r *Router) rejectOverLimit(ctx context.Context, reply *reply, err error) {
	var over *limits.OverLimitError
	var unavailable *limits.UnavailableError
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.rejectLeft(false, err)
	case errors.As(err, &over):
		reason := "over_limit"
		if over.ProgramStart {
			reason = "program_over_limit"
		}
		reply.reject(http.StatusTooManyRequests, rejection{reason: reason, retryAfter: r.spread(over.RetryAfter), cause: err})
	case errors.As(err, &unavailable):
		reply.reject(http.StatusServiceUnavailable, rejection{reason: "limit_unknown", retryAfter: r.spread(unavailable.RetryAfter), cause: err})
	default:
		reply.reject(http.StatusServiceUnavailable, rejection{reason: "limit_unknown", retryAfter: shortRetryAfter, cause: err})
	}
}

// spread raises a delay to the minimum and extends it at random, so that clients do not
// return at the same time.
func (r *Router) spread(retryAfter time.Duration) time.Duration {
	retryAfter = max(retryAfter, minRetryAfter)
	return retryAfter + time.Duration(r.config.Random()*retryAfterJitter*float64(retryAfter))
}

// admitRepeat takes another token if a replica may have run the request with the present
// one, since a limit counts the runs of a request at all replicas. Without a token the request
// ends with its last failure. Errors: as of limits.Service.Admit.
func (r *Router) admitRepeat(ctx context.Context, call *call) error {
	if r.config.Limits == nil || !call.permitUsed {
		return nil
	}
	permit, err := r.config.Limits.AdmitRepeat(ctx, call.tenant)
	if err != nil {
		r.config.Logger.LogAttrs(ctx, slog.LevelInfo, "request not repeated, its tenant's limit grants no token",
			slog.String("id", call.id), slog.String("tenant", call.tenant.Name), errorAttr(err))
		return err
	}
	call.permit, call.permitUsed = permit, false
	return nil
}

// refundUnlessRan returns the token if no replica can have run the request with it.
func (c *call) refundUnlessRan() {
	if !c.permitUsed {
		c.permit.Refund()
	}
}
