package router

const (
	// maxRecordedTogether bounds the events that are recorded at other nodes together.
	maxRecordedTogether = 32
	// maxResponseBytes bounds the body of a response, and maxOutputBytes the output of a persisted turn.
	maxResponseBytes = 32 << 20
	maxOutputBytes   = 1 << 20
	// maxRecordedEvents bounds the events of a transcript, and recordedEventBytes is the size of one
	// besides its data.
	maxRecordedEvents  = 1 << 15
	recordedEventBytes = 64
	// maxRepeatedBytes bounds the events that a replica sends though the client has them.
	maxRepeatedBytes = 1 << 20
	// maxGaps bounds the pauses between events that are measured for one stream.
	maxGaps = 4096
)

// pendingEvents are events of a replica that have not been sent to the client. They are sent once
// there is a numbered one among them, and at the end of the stream.
type pendingEvents struct {
	events []event
	// bytes is their size, output that of their contribution to the output.
	bytes, output int
	// numbered is set if one of them has an ID, and last is that of the last such event.
	numbered bool
	last     int64
	// repeated is the size of the events that were left out, since the client has them.
	repeated int
}

func (p *pendingEvents) add(one event) {
	p.events, p.bytes, p.output = append(p.events, one), p.bytes+len(one.raw), p.output+len(one.data)+1
	if one.hasID {
		p.numbered, p.last = true, one.id
	}
}

// skip leaves out an event that the client has, with the events without an ID before it, which were sent
// together with it.
func (p *pendingEvents) skip(one event) {
	p.repeated += len(one.raw)
	if !p.numbered {
		p.repeated += p.bytes
		p.clear()
	}
}

func (p *pendingEvents) clear() { *p = pendingEvents{events: p.events[:0], repeated: p.repeated} }

// checkBounds returns an error if an event makes the stream exceed a limit.
func (s *stream) checkBounds(next event, pending *pendingEvents) error {
	call, size := s.call, pending.bytes+len(next.raw)
	switch {
	case !next.hasID && !pending.numbered && (size > maxUnnumberedBytes || len(pending.events) == maxUnnumberedEvents):
		return errUnnumbered
	case s.reply.bytes+size > maxResponseBytes, pending.repeated > maxRepeatedBytes, call.route.Retain && len(s.output)+pending.output+len(next.data) > maxOutputBytes:
		return errOutputTooLarge
	case s.recorded+len(pending.events) >= maxRecordedEvents:
		return errOutputTooLarge
	case call.turn.budgeted && call.maxTokens > 0 && s.isNew(next, pending) && s.tokensWith(pending) >= call.maxTokens:
		return errTurnTooLong
	}
	return s.hold(pending.output+len(next.data)+1, len(pending.events)+1)
}

// receivedBytes returns the bytes to count for events that are not sent, whose data exists twice.
func receivedBytes(events int) int64 { return int64(max(2*events-freeBytes, 0)) }

// hold counts the output of a persisted turn with more bytes of some events: once as it is, once as it
// is written with the input, and if the client may resume the stream once as events of the transcript.
func (s *stream) hold(more, events int) error {
	if !s.call.route.Retain {
		return nil
	}
	copies, overhead := 2, 0
	if s.call.route.Resumable {
		copies, overhead = 3, (s.recorded+events)*recordedEventBytes
	}
	return s.held.Grow(int64(max(copies*(len(s.output)+more)+overhead+s.call.inputBytes-freeBytes, 0)))
}

// isNew reports whether a numbered event was neither sent to the client before nor is pending.
func (s *stream) isNew(next event, pending *pendingEvents) bool {
	last := s.lastEvent
	if pending.numbered {
		last = pending.last
	}
	return next.hasID && next.id > last
}

// tokensWith returns the tokens of the stream once pending events are sent.
func (s *stream) tokensWith(pending *pendingEvents) uint32 {
	tokens := s.tokensBefore + s.tokens
	for _, one := range pending.events {
		if one.hasID {
			tokens += s.call.tokensPerEvent()
		}
	}
	return tokens
}
