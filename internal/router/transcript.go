package router

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"stepseam.example/stepseam/internal/transcript"
)

// transcriptTimeFraction is the fraction of the remaining time that the claim of a transcript may
// take, so that a rejected client has time to retry at another node.
const transcriptTimeFraction = 0.2

// errOutputUnknown means that the client does not name the stream that it resumes, or its position,
// or that the route's streams are not recorded.
var errOutputUnknown = errors.New("router: the resumption does not identify the output before it")

// claimTranscript finds the output that a client already has of the persisted stream that it resumes.
// Without it the turn would be persisted without its first part. If it returns false, the request
// has been rejected.
func (r *Router) claimTranscript(ctx context.Context, stream *stream) bool {
	call := stream.call
	if !call.route.Retain || !call.resuming {
		return true
	}
	if call.resumes == "" || !call.positionKnown || !call.route.Resumable || r.config.Transcripts == nil {
		r.rejectUnknownOutput(ctx, stream.reply, errOutputUnknown)
		return false
	}
	waiting, cancel := context.WithTimeout(ctx, time.Duration(float64(call.left())*transcriptTimeFraction))
	defer cancel()
	writer, known, err := r.config.Transcripts.Resume(waiting, r.transcriptOf(call, call.resumes), call.lastEvent)
	if err != nil {
		r.rejectUnknownOutput(ctx, stream.reply, err)
		return false
	}
	stream.transcript, stream.recorded = writer, len(known)
	for _, event := range known {
		stream.output = append(stream.output, event.Data...)
		if event.HasID {
			stream.tokensBefore += call.tokensPerEvent()
		}
	}
	if err := stream.hold(0, 0); err != nil {
		stream.reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonBuffersFull, retryAfter: shortRetryAfter, cause: err})
		return false
	}
	return true
}

func (r *Router) rejectUnknownOutput(ctx context.Context, reply *reply, err error) {
	r.config.Logger.LogAttrs(ctx, slog.LevelInfo, "output of resumed stream not known", errorAttr(err))
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.rejectLeft(false, err)
	case errors.Is(err, transcript.ErrOtherContent):
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonOtherTurn, retryAfter: unavailableRetryAfter, cause: err})
	default:
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonOutputUnknown, retryAfter: shortRetryAfter, cause: err})
	}
}

func (r *Router) transcriptOf(call *call, streamID string) transcript.Stream {
	return transcript.Stream{
		Key: transcript.Key(call.streamKey(streamID)), Content: transcript.Content(r.content(call)),
		Allowed: call.allowedRegions, Lifetime: call.clientTimeout,
	}
}

// recordEvents adds events to the stream's transcript before they are sent, if the client may resume
// the stream and it is persisted. It aborts the response if the client has resumed the stream elsewhere.
func (r *Router) recordEvents(ctx context.Context, stream *stream, attempt *attempt, events []event) {
	call := stream.call
	if !call.route.Retain || !call.route.Resumable || r.config.Transcripts == nil {
		return
	}
	if stream.transcript == nil {
		stream.transcript = r.config.Transcripts.Begin(r.transcriptOf(call, call.id))
	}
	stream.recorded += len(events)
	recorded := make([]transcript.Event, 0, len(events))
	for _, one := range events {
		recorded = append(recorded, transcript.Event{ID: one.id, HasID: one.hasID, Data: one.output()})
	}
	if err := stream.transcript.Append(ctx, recorded...); err != nil {
		attempt.finish(false)
		stream.reply.abort(reasonResumedElsewhere, err)
	}
}
