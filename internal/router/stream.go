package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/outlier"
)

// stream is the answer to one streaming request while it is passed on.
type stream struct {
	reply *reply
	call  *call
	// last is the id of the last event that the client has, or -1.
	last int64
	// tokens counts what was handed to the client in this request.
	tokens uint32
	// output gathers the text of the events of a turn that is kept.
	output []byte
	// begun tells that the head of the answer has been sent.
	begun bool
}

// serveStream serves a request that is answered by events, a program's turn above all.
func (r *Router) serveStream(ctx context.Context, reply *reply, call *call) {
	turn := r.prepareTurn(ctx, reply, call)
	if turn == nil {
		return
	}
	if !r.admits(ctx, call, turn) {
		turn.Finish(0)
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: "replicas_full", comeBack: fullComeBack})
		return
	}
	if turn.First && !r.admitProgram(ctx, reply, call) {
		turn.Finish(0)
		return
	}
	passing := &stream{reply: reply, call: call, last: call.lastEvent}
	defer func() { turn.Finish(passing.tokens) }()
	if r.runStream(ctx, passing) && call.route.Retain {
		// The home is told first, so that as a rule it knows what is left when it keeps the turn,
		// and reserves with the same call.
		turn.Finish(passing.tokens)
		r.keepTurn(ctx, passing, turn.Chain)
	}
}

// runStream passes events on, from one replica after the other where the stream
// may be resumed. It tells whether the whole answer but its end has been sent.
func (r *Router) runStream(ctx context.Context, passing *stream) bool {
	course := &attempts{}
	for {
		tried, err := r.send(ctx, passing.call, passing.reply, course)
		if err != nil {
			r.giveUpStream(ctx, passing, course)
			return false
		}
		failure, whole := r.passAnswer(ctx, passing, course, tried)
		if failure == nil {
			return whole
		}
		r.noteFailure(ctx, passing.call, tried.replica, course, failure)
		if !mayTryAgain(ctx, passing.call, course) {
			r.giveUpStream(ctx, passing, course)
			return false
		}
		if passing.last >= 0 {
			passing.call.header.Set(r.config.Names.LastEvent, strconv.FormatInt(passing.last, 10))
		}
	}
}

// passAnswer passes one replica's answer on; whole tells that it was a stream that came to
// its end.
func (r *Router) passAnswer(ctx context.Context, passing *stream, course *attempts, tried *attempt) (failure *exchange.FailureError, whole bool) {
	if tried.answer.Status >= http.StatusMultipleChoices {
		return r.passOnFailure(ctx, passing, course, tried), false
	}
	failure = r.passEvents(ctx, passing, tried)
	return failure, failure == nil
}

// passOnFailure passes a replica's failure on, if no event has been sent before it. It
// returns it where the call may go to another replica.
func (r *Router) passOnFailure(ctx context.Context, passing *stream, course *attempts, tried *attempt) *exchange.FailureError {
	if !passing.begun {
		return r.passOn(ctx, passing.call, passing.reply, course, tried)
	}
	if tried.answer.Status < http.StatusInternalServerError {
		tried.finish(false)
		passing.reply.breakOff("not_resumed", nil)
	}
	tried.became(outlier.ErrorResponse)
	return tried.failed()
}

func (r *Router) giveUpStream(ctx context.Context, passing *stream, course *attempts) {
	if !passing.begun {
		r.giveUp(ctx, passing.call, passing.reply, course)
		return
	}
	reason, cause := "no_replica", error(errNoReplica)
	if course.last != nil {
		reason, cause = string(course.last.Reason), course.last
	}
	if passing.call.left() < minLeft {
		reason = "timeout"
	}
	passing.reply.breakOff(reason, cause)
}

// passEvents passes the events of one replica on as they arrive. Events that the
// client has already are left out.
func (r *Router) passEvents(ctx context.Context, passing *stream, tried *attempt) *exchange.FailureError {
	flusher := http.NewResponseController(passing.reply.writer)
	var gaps []time.Duration
	var last time.Time
	defer func() { r.config.Tracker.StreamEnded(tried.sending, gaps, r.Now()) }()
	for {
		read, err := readEvent(tried.answer.Body)
		if errors.Is(err, io.EOF) && !errors.Is(err, errEventTorn) {
			if !passing.begun {
				passing.begin(tried.answer)
			}
			tried.became(outlier.Success)
			tried.finishHolding(false, passing.held())
			return nil
		}
		if err != nil {
			if ctx.Err() == nil {
				tried.became(outlier.BrokenResponse)
			}
			tried.finish(ctx.Err() == nil)
			return &exchange.FailureError{Outcome: exchange.OutcomeRan, Reason: exchange.ReasonIncomplete, Status: tried.answer.Status, Cause: err}
		}
		now := time.Now()
		if last.IsZero() {
			tried.answered()
			r.config.Tracker.FirstEvent(tried.sending, r.Now())
			r.report(passing.call, tried.replica, nil)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
		if read.numbered && read.id <= passing.last {
			continue
		}
		passing.pass(read, tried)
		if tried.answer.Body.Buffered() == 0 {
			// A failed flush shows at the next write.
			_ = flusher.Flush()
		}
	}
}

func (s *stream) begin(answer *exchange.Answer) {
	s.reply.begin(answer, -1)
	s.begun = true
}

// pass hands one event to the client. It counts as handed out even if the client
// turns out to be gone.
func (s *stream) pass(read event, tried *attempt) {
	if !s.begun {
		s.begin(tried.answer)
	}
	if read.numbered {
		s.last = read.id
		s.tokens += uint32(max(s.call.service.TokensPerEvent, 1))
	}
	if s.call.route.Retain && read.hasData {
		s.output = append(append(s.output, read.data...), '\n')
	}
	s.reply.events++
	s.reply.bytes += len(read.raw)
	if _, err := s.reply.writer.Write(read.raw); err != nil {
		tried.finish(false)
		s.reply.breakOff("client_left", err)
	}
}

// keepTurn makes the turn durable before the end of its answer is sent.
func (r *Router) keepTurn(ctx context.Context, passing *stream, chain []ledger.Location) {
	call := passing.call
	text := append(call.newInput(), passing.output...)
	err := r.config.Turns.PersistTurn(ctx, ledger.IndexEntry{
		Program: call.turn.program, Turn: turnOf(call.tenant, call.id), Chain: chain, Retention: call.route.RetainFor,
		CacheLocation: ledger.CacheLocation{Instance: passing.reply.replica, Tokens: uint32(call.prompt.Tokens) + passing.tokens},
	}, text, call.homes)
	if err != nil {
		passing.reply.breakOff("turn_not_kept", err)
	}
}
