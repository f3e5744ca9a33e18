package router

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/heldbytes"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/outlier"
	"stepseam.example/stepseam/internal/quarantine"
	"stepseam.example/stepseam/internal/transcript"
)

// stream is the response to a streaming request while it is forwarded.
type stream struct {
	reply *reply
	call  *call
	// lastEvent is the ID of the last event that the client has received, or -1.
	lastEvent int64
	// tokens counts the tokens sent to the client for this request, tokensBefore those that it
	// received before it resumed the stream.
	tokens, tokensBefore uint32
	// output collects the data of the events if the turn is persisted, with those that the client
	// received before it resumed the stream.
	output []byte
	// held counts the bytes of output and of the transcript's events.
	held *heldbytes.Holder
	// recorded is the number of events in the transcript.
	recorded int
	// transcript records the events at other nodes; nil until the first one and if they are not
	// recorded.
	transcript *transcript.Writer
	// headerSent reports whether the response header has been sent.
	headerSent bool
	// began is what began the stream if it is a new one, by the entry of its replica. entryConfirmed is
	// set if that was its present entry, versionKnown if it has a version, too.
	began                        origin.Origin
	entryConfirmed, versionKnown bool
}

// serveStream serves a streaming request, usually a turn of a program.
func (r *Router) serveStream(ctx context.Context, reply *reply, call *call) {
	if !r.resolveOrigin(ctx, reply, call) {
		return
	}
	stream := &stream{reply: reply, call: call, lastEvent: call.lastEvent, held: r.responses.Holder("")}
	defer stream.held.Release()
	if !r.claimTranscript(ctx, stream) {
		return
	}
	turn := r.prepareTurn(ctx, reply, call)
	if turn == nil {
		return
	}
	if call.origin == nil && !r.admits(ctx, call, turn) {
		turn.Finish(0)
		reply.reject(http.StatusServiceUnavailable, rejection{reason: "replicas_full", retryAfter: fullRetryAfter})
		return
	}
	if turn.First && !r.admitProgram(ctx, reply, call) {
		turn.Finish(0)
		return
	}
	defer func() { turn.Finish(stream.tokens) }()
	if !r.runStream(ctx, stream) {
		return
	}
	if call.route.Retain {
		// The turn is finished before it is persisted, so that the coordinator usually knows
		// the unused tokens by then and can make the next reservation in the same call.
		turn.Finish(stream.tokens)
		r.persistTurn(ctx, stream, turn.Chain)
	}
	reply.endBody()
}

// runStream forwards events, and continues at another replica after a failure if the
// stream is resumable. It reports whether the response is complete except for its end.
func (r *Router) runStream(ctx context.Context, stream *stream) bool {
	retry := &retryState{}
	for {
		attempt, err := r.send(ctx, stream.call, stream.reply, retry)
		if err != nil {
			r.failStream(ctx, stream, retry)
			return false
		}
		failure, whole := r.forwardResponse(ctx, stream, retry, attempt)
		if failure == nil {
			stream.reply.answered = whole
			return whole
		}
		r.recordFailure(ctx, stream.call, attempt.replica, retry, failure)
		if !mayRetry(ctx, stream.call, retry) {
			r.failStream(ctx, stream, retry)
			return false
		}
		r.continueStream(ctx, stream, attempt)
		if stream.lastEvent >= 0 {
			stream.call.header.Set(r.config.Names.LastEvent, strconv.FormatInt(stream.lastEvent, 10))
		}
	}
}

// forwardResponse forwards one replica's response. whole reports that it was a stream and
// is complete.
func (r *Router) forwardResponse(ctx context.Context, stream *stream, retry *retryState, attempt *attempt) (failure *exchange.FailureError, whole bool) {
	if attempt.response.Status >= http.StatusMultipleChoices {
		return r.forwardFailure(ctx, stream, retry, attempt), false
	}
	failure = r.forwardEvents(ctx, stream, attempt)
	return failure, failure == nil
}

// forwardFailure forwards an error response of a replica if no event has been sent to the
// client before. It returns the failure if the call may be retried.
func (r *Router) forwardFailure(ctx context.Context, stream *stream, retry *retryState, attempt *attempt) *exchange.FailureError {
	if !stream.headerSent {
		return r.forwardBody(ctx, stream.call, stream.reply, retry, attempt)
	}
	if attempt.response.Status < http.StatusInternalServerError {
		attempt.finish(false)
		stream.reply.abort("not_resumed", nil)
	}
	attempt.recordOutcome(outlier.ErrorResponse)
	return attempt.fail()
}

func (r *Router) failStream(ctx context.Context, stream *stream, retry *retryState) {
	if !stream.headerSent {
		r.failCall(ctx, stream.call, stream.reply, retry)
		return
	}
	reason, cause := "no_replica", error(errNoReplica)
	if retry.lastFailure != nil {
		reason, cause = string(retry.lastFailure.Reason), retry.lastFailure
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		reason, cause = reasonStopping, errStopping
	}
	switch err := r.checkQuarantine(stream.call); {
	case isQuarantineError(err):
		reason, cause = reasonEndsUnclear, err
		if errors.Is(err, quarantine.ErrQuarantined) {
			reason = reasonQuarantined
		}
	case stream.call.left() < minTimeLeft:
		reason = "timeout"
	case stream.call.origin != nil && !r.anyReplica(stream.call, func(*fleet.Replica) bool { return true }):
		reason, cause = reasonVersionGone, errVersionGone
	}
	stream.reply.abort(reason, cause)
}

// forwardEvents forwards the events of one replica as they arrive. Events that the client
// already has are skipped.
func (r *Router) forwardEvents(ctx context.Context, stream *stream, attempt *attempt) *exchange.FailureError {
	var pending pendingEvents
	var arrivals eventArrivals
	defer func() { r.config.Tracker.StreamEnded(attempt.inFlight, arrivals.gaps, r.Now()) }()
	received := r.responses.Holder(attempt.replica.IncarnationID())
	defer received.Release()
	reader := &eventReader{
		reader: attempt.response.Body, isHeadLine: r.config.Names.Replica.IsHeadLine, order: &eventOrder{first: -1, last: -1},
		grow: func(size int) error { return received.Grow(receivedBytes(pending.bytes + size)) },
	}
	for {
		event, err := reader.next()
		err = stream.confirmEnd(ctx, attempt, err)
		if endsStream(err) {
			r.endEvents(ctx, stream, attempt, pending.events)
			return nil
		}
		if err == nil {
			err = stream.checkBounds(event, &pending)
		}
		if err != nil {
			return r.failEvents(ctx, stream, attempt, err)
		}
		if failure := r.eventArrived(stream.call, attempt, &arrivals, event.hasID); failure != nil {
			attempt.finish(false)
			return failure
		}
		if !event.hasID || stream.isNew(event, &pending) {
			pending.add(event)
		} else {
			pending.skip(event)
		}
		if !pending.numbered || stream.transcript != nil && len(pending.events) < maxRecordedTogether && holdsWholeEvent(attempt.response.Body) {
			continue
		}
		r.sendEvents(ctx, stream, attempt, pending.events)
		pending.clear()
		received.Release()
	}
}

var (
	// errNoEvents means that the connection of a response ended without an event.
	errNoEvents = errors.New("router: the connection ended before the first event")
	// errUnframedEnd means that a stream that began with a framed response goes on in one that its connection
	// delimits. Its end would be framed as certain.
	errUnframedEnd = errors.New("router: the end of a connection can't end a framed response")
)

// endsStream reports whether an error of an eventReader is the end of a body behind a whole event.
func endsStream(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, errEventTruncated) }

// confirmEnd returns the error of an eventReader, or why the end of a connection is not that of the stream
// which it delimits.
func (s *stream) confirmEnd(ctx context.Context, attempt *attempt, err error) error {
	switch {
	case !endsStream(err), attempt.response.Framing != exchange.FramingConnection:
		return err
	case !attempt.numbered:
		return errNoEvents
	case s.headerSent && !s.reply.unframed:
		return errUnframedEnd
	}
	return cmp.Or(attempt.response.ConfirmEnd(ctx), err)
}

// endEvents sends the last events of a whole stream and finishes the attempt.
func (r *Router) endEvents(ctx context.Context, stream *stream, attempt *attempt, last []event) {
	r.sendEvents(ctx, stream, attempt, last)
	if !stream.headerSent {
		stream.sendHeader(attempt.response)
	}
	attempt.recordOutcome(outlier.Success)
	attempt.result = resultWhole
	attempt.finishStream(false, stream.cachedSegments())
}

// failEvents finishes an attempt whose stream broke off or exceeds a limit. A turn that has all of its
// tokens is not continued.
func (r *Router) failEvents(ctx context.Context, stream *stream, attempt *attempt, err error) *exchange.FailureError {
	atFault := ctx.Err() == nil && !errors.Is(err, heldbytes.ErrFull) && !errors.Is(err, heldbytes.ErrOwnerFull)
	if atFault {
		attempt.recordOutcome(outlier.BrokenResponse)
		attempt.result = resultBroken
		r.logEvents(ctx, stream, attempt, "stream of a replica broke off", errorAttr(err))
	}
	if errors.Is(err, errForeignEvent) || errors.Is(err, errOutOfOrder) || errors.Is(err, errBeginsAnew) {
		attempt.response.RecordForeign()
	}
	attempt.finish(atFault)
	if errors.Is(err, errOutOfOrder) && attempt.forwarded {
		// Which of the events sent are the other run's is not known.
		failure := attempt.incomplete(err)
		r.endAttempt(ctx, stream.call, &attempt.replica, failure)
		stream.reply.abort(string(failure.Reason), failure)
	}
	if errors.Is(err, errTurnTooLong) {
		_ = http.NewResponseController(stream.reply.writer).Flush()
		stream.reply.abort("turn_too_long", err)
	}
	return attempt.incomplete(err)
}

// sendEvents records events and sends them to the client.
func (r *Router) sendEvents(ctx context.Context, stream *stream, attempt *attempt, events []event) {
	if len(events) == 0 {
		return
	}
	announce := func() {}
	if !stream.headerSent {
		announce = r.recordOrigin(stream, attempt)
	}
	r.recordEvents(ctx, stream, attempt, events)
	attempt.forwarded = true
	for _, event := range events {
		stream.forward(event, attempt)
	}
	if !holdsWholeEvent(attempt.response.Body) {
		// A flush error recurs at the next write.
		_ = http.NewResponseController(stream.reply.writer).Flush()
	}
	announce()
}

func (s *stream) sendHeader(response *exchange.Answer) {
	s.reply.sendHeader(response, -1)
	s.headerSent = true
}

// forward sends one event to the client. Its tokens are charged even if the client has
// disconnected.
func (s *stream) forward(event event, attempt *attempt) {
	if !s.headerSent {
		s.sendHeader(attempt.response)
	}
	if event.hasID {
		s.lastEvent = event.id
		s.tokens += s.call.tokensPerEvent()
	}
	if s.call.route.Retain {
		s.output = append(s.output, event.output()...)
	}
	s.reply.events++
	s.reply.bytes += len(event.raw)
	if _, err := s.reply.writer.Write(event.raw); err != nil {
		attempt.finish(false)
		s.reply.abort(reasonClientLeft, err)
	}
}

// persistTurn makes the turn durable before the end of its response is sent.
func (r *Router) persistTurn(ctx context.Context, stream *stream, chain []ledger.Location) {
	call := stream.call
	text := append(call.newInput(), stream.output...)
	err := r.config.Turns.PersistTurn(ctx, ledger.IndexEntry{
		Program: call.turn.program, Turn: turnID(call.tenant, call.id), Chain: chain,
		// A turn that goes on from this one at the last moment needs its texts until it has ended.
		Retention:     call.route.RetainFor + call.route.Timeout,
		CacheLocation: ledger.CacheLocation{Instance: stream.reply.replica, Tokens: uint32(call.prompt.Tokens) + stream.tokensBefore + stream.tokens},
	}, text, call.allowedRegions)
	if err != nil {
		stream.reply.abort("turn_not_kept", err)
	}
}
