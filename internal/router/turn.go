package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
)

const (
	// ledgerShare is the part of a request's time that the ledger may take, so that
	// a client that is refused has time to ask another node.
	ledgerShare = 0.45
	// maxLedgerWait bounds that.
	maxLedgerWait = 1500 * time.Millisecond
)

// prepareTurn reserves the budget of a turn and puts its history before its input.
// If it returns nil, the request has been answered.
func (r *Router) prepareTurn(ctx context.Context, reply *reply, call *call) *coordinator.Turn {
	call.inputBytes = len(call.body)
	request := coordinator.Request{
		Program: call.turn.program, Budgeted: call.turn.budgeted, Budget: call.turn.budget, MaxTurnTokens: call.mostTokens,
	}
	if call.route.Retain {
		request.Previous = call.turn.previous
	}
	if !request.Budgeted && request.Previous == "" {
		return &coordinator.Turn{}
	}
	wait := min(time.Duration(float64(call.left())*ledgerShare), maxLedgerWait)
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	began := time.Now()
	turn, err := r.config.Turns.Begin(waiting, request)
	reply.waitedLedger = time.Since(began)
	if err != nil {
		r.refuseTurn(ctx, reply, err)
		return nil
	}
	call.prompt.CacheLocation = balance.CacheLocation{Instance: turn.CacheLocation.Instance, Tokens: int(turn.CacheLocation.Tokens)}
	reply.charged, reply.ahead, reply.home = turn.Charged, turn.Unlogged, string(turn.Coordinator)
	if err := r.prependHistory(waiting, call, turn.Chain); err != nil {
		turn.Finish(0)
		r.refuseTurn(ctx, reply, err)
		return nil
	}
	return turn
}

// prependHistory replaces the body of a turn by the texts of the turns before it,
// followed by the new input.
func (r *Router) prependHistory(ctx context.Context, call *call, chain []ledger.Location) error {
	if len(chain) == 0 {
		return nil
	}
	texts, err := r.config.Turns.Texts(ctx, call.turn.program, chain, call.homes)
	if err != nil {
		return err
	}
	size := len(call.body)
	for _, text := range texts {
		size += len(text)
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

func (r *Router) refuseTurn(ctx context.Context, reply *reply, err error) {
	var spent *ledgerlog.BudgetExhaustedError
	switch {
	case errors.As(err, &spent):
		reply.charged = spent.Charged
		reply.refuse(http.StatusPaymentRequired, refusal{reason: "budget_spent", cause: err})
	case errors.Is(err, ledgerlog.ErrBudgetReserved):
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: "budget_reserved", comeBack: longComeBack, cause: err})
	case errors.Is(err, ledgerlog.ErrNoSuchTurn):
		reply.refuse(http.StatusNotFound, refusal{reason: "no_such_turn", cause: err})
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.breakOff("client_left", err)
	case errors.Is(err, ledgerlog.ErrStoreUnavailable):
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: "store_away", comeBack: r.comeBackFromStore(longComeBack), cause: err})
	default:
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: "ledger_unavailable", comeBack: longComeBack, cause: err})
	}
}
