package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"stepseam.example/stepseam/internal/limits"
)

const (
	// leastComeBack bounds how soon a tenant that is at its limit may come back, and
	// comeBackSpread is the part by which that differs from one request to the next, so
	// that they don't come back together.
	leastComeBack  = 50 * time.Millisecond
	comeBackSpread = 0.3
)

// admitTenant spends a token of the tenant's limit. If it returns false, the request has
// been answered.
func (r *Router) admitTenant(ctx context.Context, reply *reply, call *call) bool {
	if r.config.Limits == nil {
		return true
	}
	permit, err := r.config.Limits.Admit(ctx, call.tenant)
	if err != nil {
		r.refuseOverLimit(ctx, reply, err)
		return false
	}
	call.permit = permit
	return true
}

// admitProgram spends the right to begin a program. A tenant at its limit begins only as
// many programs as the limit lets end, and goes on with those under way. If it returns
// false, the request has been answered.
func (r *Router) admitProgram(ctx context.Context, reply *reply, call *call) bool {
	if err := call.permit.StartProgram(ctx); err != nil {
		r.refuseOverLimit(ctx, reply, err)
		return false
	}
	return true
}

func (r *Router) refuseOverLimit(ctx context.Context, reply *reply, err error) {
	var over *limits.OverLimitError
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.breakOff("client_left", err)
	case errors.As(err, &over):
		reason := "over_limit"
		if over.ProgramStart {
			reason = "program_over_limit"
		}
		comeBack := max(over.RetryAfter, leastComeBack)
		comeBack += time.Duration(r.config.Random() * comeBackSpread * float64(comeBack))
		reply.refuse(http.StatusTooManyRequests, refusal{reason: reason, comeBack: comeBack, cause: err})
	default:
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: "limit_unknown", comeBack: shortComeBack, cause: err})
	}
}

// refundUnlessRan gives the token of a request back that no replica has run.
func (c *call) refundUnlessRan() {
	if !c.ran {
		c.permit.Refund()
	}
}
