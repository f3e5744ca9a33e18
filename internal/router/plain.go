package router

import (
	"context"
	"errors"
	"io"
	"net/http"

	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/outlier"
)

// bufferedBody is the largest body that is read whole before the client gets any
// of it, so that a torn answer can still be replaced by another.
const bufferedBody = 256 << 10

// scarceBody is the same while the bodies of other answers take all that they may, such as
// those of clients that don't read: a usual body still fits.
const scarceBody = 8 << 10

// servePlain serves a request whose answer is one body.
func (r *Router) servePlain(ctx context.Context, reply *reply, call *call) {
	course := &attempts{}
	for {
		tried, err := r.send(ctx, call, reply, course)
		if err != nil {
			r.giveUp(ctx, call, reply, course)
			return
		}
		failure := r.passOn(ctx, call, reply, course, tried)
		if failure == nil {
			return
		}
		r.noteFailure(ctx, call, tried.replica, course, failure)
		if !mayTryAgain(ctx, call, course) {
			r.giveUp(ctx, call, reply, course)
			return
		}
	}
}

// passOn reads an answer's body and sends it to the client. A failure leaves the
// client without any answer yet.
func (r *Router) passOn(ctx context.Context, call *call, reply *reply, course *attempts, tried *attempt) *exchange.FailureError {
	failed := tried.answer.Status >= http.StatusInternalServerError
	if failed {
		tried.became(outlier.ErrorResponse)
	}
	if failed && call.route.Repeatable() && course.mayHaveRun+1 < call.route.MaxAttempts {
		return tried.failed()
	}
	limit, release := r.reserveBody(tried.answer)
	defer release()
	body, err := io.ReadAll(io.LimitReader(tried.answer.Body, limit))
	if err == nil && int64(len(body)) == limit {
		r.passOnLong(reply, tried, body)
		return nil
	}
	if err != nil && ctx.Err() == nil {
		tried.became(outlier.BrokenResponse)
	}
	tried.finish(err != nil && ctx.Err() == nil)
	if err != nil {
		return &exchange.FailureError{Outcome: exchange.OutcomeRan, Reason: exchange.ReasonIncomplete, Status: tried.answer.Status, Cause: err}
	}
	if !failed { // how long a failure took says nothing of the work
		tried.became(outlier.Success)
		r.config.Tracker.BodyReceived(tried.sending, r.Now())
	}
	reply.begin(tried.answer, len(body))
	reply.bytes = len(body)
	if _, err := reply.writer.Write(body); err != nil {
		reply.note("client_left", err)
	}
	return nil
}

// passOnLong passes a long body on as it arrives.
func (r *Router) passOnLong(reply *reply, tried *attempt, begun []byte) {
	reply.begin(tried.answer, int(tried.answer.Length))
	written, err := reply.writer.Write(begun)
	reply.bytes = written
	if err != nil {
		tried.finish(false)
		reply.breakOff("client_left", err)
	}
	chunk := make([]byte, 32<<10)
	for {
		n, err := tried.answer.Body.Read(chunk)
		if _, failed := reply.writer.Write(chunk[:n]); failed != nil {
			tried.finish(false)
			reply.breakOff("client_left", failed)
		}
		reply.bytes += n
		if errors.Is(err, io.EOF) {
			if tried.answer.Status < http.StatusInternalServerError {
				tried.became(outlier.Success)
			}
			tried.finish(false)
			return
		}
		if err != nil {
			tried.became(outlier.BrokenResponse)
			tried.finish(true)
			reply.breakOff(string(exchange.ReasonIncomplete), err)
		}
	}
}

// reserveBody returns how much of an answer's body may be read before the client gets any
// of it. What it takes counts among the bodies that are held until release is called.
func (r *Router) reserveBody(answer *exchange.Answer) (limit int64, release func()) {
	limit = bufferedBody
	if answer.Length >= 0 {
		limit = min(limit, answer.Length+1)
	}
	if r.answers.Add(limit) <= r.config.BufferBytes {
		return limit, func() { r.answers.Add(-limit) }
	}
	r.answers.Add(-limit)
	return min(limit, scarceBody), func() {}
}
