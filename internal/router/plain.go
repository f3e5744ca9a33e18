package router

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"

	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/outlier"
)

// maxBufferedBody is the maximum size up to which a response body is read completely
// before any of it is sent to the client, so that the request can be retried if the body
// is truncated.
const maxBufferedBody = 256 << 10

// maxBufferedBodyWhenFull replaces maxBufferedBody while the buffers for responses are
// full, for example because of clients that do not read. Typical bodies still fit.
const maxBufferedBodyWhenFull = 8 << 10

var errResponseTooLarge = errors.New("router: the response exceeds the maximum size")

// servePlain serves a non-streaming request.
func (r *Router) servePlain(ctx context.Context, reply *reply, call *call) {
	retry := &retryState{}
	for {
		attempt, err := r.send(ctx, call, reply, retry)
		if err != nil {
			r.failCall(ctx, call, reply, retry)
			return
		}
		failure := r.forwardBody(ctx, call, reply, retry, attempt)
		if failure == nil {
			return
		}
		r.recordFailure(ctx, call, attempt.replica, retry, failure)
		if !mayRetry(ctx, call, retry) {
			r.failCall(ctx, call, reply, retry)
			return
		}
	}
}

// forwardBody reads a response body and sends it to the client. If it returns a failure,
// nothing has been sent to the client.
func (r *Router) forwardBody(ctx context.Context, call *call, reply *reply, retry *retryState, attempt *attempt) *exchange.FailureError {
	failed := attempt.response.Status >= http.StatusInternalServerError
	if failed {
		attempt.recordOutcome(outlier.ErrorResponse)
	}
	if failed && call.route.Repeatable() && retry.mayHaveRun+1 < call.route.MaxAttempts {
		return attempt.fail()
	}
	if attempt.response.Length > maxResponseBytes {
		attempt.recordOutcome(outlier.BrokenResponse)
		attempt.finish(true)
		return attempt.incomplete(errResponseTooLarge)
	}
	limit, release := r.reserveResponseBuffer(attempt.response)
	defer release()
	body, err := io.ReadAll(io.LimitReader(attempt.response.Body, limit))
	if err == nil && int64(len(body)) == limit {
		r.forwardLongBody(ctx, reply, attempt, body)
		return nil
	}
	if err == nil {
		err = attempt.response.ConfirmEnd(ctx)
	}
	switch {
	case err == nil:
		attempt.result = resultWhole
	case ctx.Err() == nil:
		attempt.recordOutcome(outlier.BrokenResponse)
		attempt.result = resultBroken
	}
	attempt.finish(err != nil && ctx.Err() == nil)
	if err != nil {
		return attempt.incomplete(err)
	}
	if !failed { // the duration of a failure is not representative
		attempt.recordOutcome(outlier.Success)
		r.config.Tracker.BodyReceived(attempt.inFlight, r.Now())
	}
	reply.sendHeader(attempt.response, len(body))
	reply.bytes = len(body)
	if _, err := reply.writer.Write(body); err != nil {
		reply.setReason(reasonClientLeft, err)
		return nil
	}
	reply.endBody()
	reply.answered = !failed
	return nil
}

// forwardLongBody sends prefix and streams the rest of a body that exceeds the buffer.
func (r *Router) forwardLongBody(ctx context.Context, reply *reply, attempt *attempt, prefix []byte) {
	reply.sendHeader(attempt.response, int(attempt.response.Length))
	written, err := reply.writer.Write(prefix)
	reply.bytes = written
	if err != nil {
		attempt.finish(false)
		reply.abort(reasonClientLeft, err)
	}
	chunk := make([]byte, 32<<10)
	for {
		n, err := attempt.response.Body.Read(chunk)
		if _, failed := reply.writer.Write(chunk[:n]); failed != nil {
			attempt.finish(false)
			reply.abort(reasonClientLeft, failed)
		}
		reply.bytes += n
		if err == nil && reply.bytes > maxResponseBytes {
			err = errResponseTooLarge
		}
		if errors.Is(err, io.EOF) {
			err = cmp.Or(attempt.response.ConfirmEnd(ctx), err)
		}
		if errors.Is(err, io.EOF) {
			if attempt.response.Status < http.StatusInternalServerError {
				attempt.recordOutcome(outlier.Success)
			}
			attempt.result = resultWhole
			attempt.finish(false)
			reply.endBody()
			reply.answered = attempt.response.Status < http.StatusInternalServerError
			return
		}
		if err != nil {
			attempt.recordOutcome(outlier.BrokenResponse)
			attempt.result = resultBroken
			attempt.finish(true)
			failure := attempt.incomplete(err)
			r.endAttempt(ctx, attempt.call, &attempt.replica, failure)
			reply.abort(string(failure.Reason), failure)
		}
	}
}

// reserveResponseBuffer returns the number of bytes of a response body that may be
// buffered. The bytes count against the limit on buffered responses until release is
// called.
func (r *Router) reserveResponseBuffer(response *exchange.Answer) (limit int64, release func()) {
	limit = maxBufferedBody
	if response.Length >= 0 {
		limit = min(limit, response.Length+1)
	}
	held := r.responses.Holder("")
	if held.Grow(limit) == nil {
		return limit, held.Release
	}
	return min(limit, maxBufferedBodyWhenFull), func() {}
}
