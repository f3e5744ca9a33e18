package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
)

const (
	// ledgerShare is the part of a request's time that the ledger may take.
	ledgerShare = 0.5
	// maxLedgerWait bounds that.
	maxLedgerWait = 1500 * time.Millisecond
)

// prepareTurn reserves the budget of a turn and puts its history before its input.
// If it returns false, the request has been answered.
func (r *Router) prepareTurn(ctx context.Context, reply *reply, call *call) (*ledgerlog.Reservation, []ledger.Location, bool) {
	wait := min(time.Duration(float64(call.left())*ledgerShare), maxLedgerWait)
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	began := time.Now()
	var reservation *ledgerlog.Reservation
	if call.turn.budgeted {
		var err error
		reservation, err = r.config.Ledger.Reserve(waiting, call.turn.program, call.turn.budget, call.mostTokens)
		reply.waitedLedger = time.Since(began)
		if err != nil {
			r.refuseTurn(ctx, reply, err)
			return nil, nil, false
		}
		reply.charged = reservation.Charged
	}
	chain, err := r.prependHistory(waiting, call)
	if err != nil {
		if reservation != nil {
			reservation.Settle(0)
		}
		r.refuseTurn(ctx, reply, err)
		return nil, nil, false
	}
	return reservation, chain, true
}

// prependHistory replaces the body of a turn on a route that retains turns by the
// texts of the turns before it, followed by the new input.
func (r *Router) prependHistory(ctx context.Context, call *call) ([]ledger.Location, error) {
	call.inputBytes = len(call.body)
	if !call.route.Retain || call.turn.previous == "" {
		return nil, nil
	}
	chain, err := r.config.Ledger.Chain(ctx, call.turn.program, call.turn.previous)
	if err != nil {
		return nil, err
	}
	texts, err := r.config.Ledger.Texts(ctx, chain)
	if err != nil {
		return nil, err
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
	return chain, nil
}

// newInput returns a copy of the turn's own input, without its history.
func (c *call) newInput() []byte {
	return append([]byte(nil), c.body[len(c.body)-c.inputBytes:]...)
}

func (r *Router) refuseTurn(ctx context.Context, reply *reply, err error) {
	var spent *ledgerlog.SpentError
	switch {
	case errors.As(err, &spent):
		reply.charged = spent.Charged
		reply.refuse(http.StatusPaymentRequired, refusal{reason: "budget_spent", cause: err})
	case errors.Is(err, ledgerlog.ErrNoSuchTurn):
		reply.refuse(http.StatusNotFound, refusal{reason: "no_such_turn", cause: err})
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.breakOff("client_left", err)
	default:
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: "ledger_unavailable", comeBack: longComeBack, cause: err})
	}
}
