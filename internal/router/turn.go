package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/heldbytes"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
)

const (
	// ledgerTimeFraction is the fraction of the remaining time that the ledger may take,
	// so that a rejected client has time to retry at another node.
	ledgerTimeFraction = 0.45
	// maxLedgerWait bounds the time that the ledger may take.
	maxLedgerWait = 1500 * time.Millisecond
)

// prepareTurn reserves the budget of a turn and prepends its history to the body. If it
// returns nil, the request has been rejected.
func (r *Router) prepareTurn(ctx context.Context, reply *reply, call *call) *coordinator.Turn {
	request := coordinator.Request{
		Program: call.turn.program, Budgeted: call.turn.budgeted, Budget: call.turn.budget, MaxTurnTokens: call.maxTokens,
	}
	if call.route.Retain {
		request.Previous = call.turn.previous
	}
	if !request.Budgeted && request.Previous == "" {
		return &coordinator.Turn{}
	}
	wait := min(time.Duration(float64(call.left())*ledgerTimeFraction), maxLedgerWait)
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	began := time.Now()
	turn, err := r.config.Turns.Begin(waiting, request)
	reply.ledgerWait = time.Since(began)
	if err != nil {
		r.rejectTurn(ctx, reply, err)
		return nil
	}
	call.prompt.CacheLocation = balance.CacheLocation{Instance: turn.CacheLocation.Instance, Tokens: int(turn.CacheLocation.Tokens)}
	reply.charged, reply.unlogged, reply.coordinator = turn.Charged, turn.Unlogged, string(turn.Coordinator)
	if err := r.prependHistory(waiting, call, turn.Chain); err != nil {
		turn.Finish(0)
		r.rejectTurn(ctx, reply, err)
		return nil
	}
	return turn
}

// prependHistory replaces the body of a turn by the texts of the previous turns followed
// by the new input.
func (r *Router) prependHistory(ctx context.Context, call *call, chain []ledger.Location) error {
	if len(chain) == 0 {
		return nil
	}
	size := len(call.body)
	for _, location := range chain {
		size += int(location.Size)
	}
	// Counted before they are read, here or by another node that sends them.
	if err := call.held.Grow(int64(size)); err != nil {
		return err
	}
	texts, err := r.config.Turns.Texts(ctx, call.turn.program, chain, call.allowedRegions)
	if err != nil {
		return err
	}
	whole := make([]byte, 0, size)
	for _, text := range texts {
		whole = append(whole, text...)
	}
	call.body = append(whole, call.body...)
	return nil
}

// newInput returns a copy of the turn's own input, without its history.
func (c *call) newInput() []byte {
	return append([]byte(nil), c.body[len(c.body)-c.inputBytes:]...)
}

func (r *Router) rejectTurn(ctx context.Context, reply *reply, err error) {
	var spent *ledgerlog.BudgetExhaustedError
	switch {
	case errors.As(err, &spent):
		reply.charged = spent.Charged
		reply.reject(http.StatusPaymentRequired, rejection{reason: "budget_spent", cause: err})
	case errors.Is(err, ledgerlog.ErrBudgetReserved):
		reply.reject(http.StatusServiceUnavailable, rejection{reason: "budget_reserved", retryAfter: longRetryAfter, cause: err})
	case errors.Is(err, ledgerlog.ErrNoSuchTurn):
		reply.reject(http.StatusNotFound, rejection{reason: "no_such_turn", cause: err})
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.rejectLeft(false, err)
	case errors.Is(err, heldbytes.ErrFull):
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonBuffersFull, retryAfter: shortRetryAfter, cause: err})
	case errors.Is(err, ledgerlog.ErrStoreUnavailable):
		reply.reject(http.StatusServiceUnavailable, rejection{reason: "store_away", retryAfter: r.storeRetryAfter(longRetryAfter), cause: err})
	default:
		reply.reject(http.StatusServiceUnavailable, rejection{reason: "ledger_unavailable", retryAfter: longRetryAfter, cause: err})
	}
}
