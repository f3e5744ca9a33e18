package transcript

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

const (
	// storeTimeout bounds how long an event waits to be stored, beside the round trip to the
	// holders. An event that is sent without being stored makes a resumption behind it unknown.
	storeTimeout = 50 * time.Millisecond
	// maxBatchBytes bounds the data in one request.
	maxBatchBytes = 256 << 10
)

// Writer appends the events of one stream to its transcript. Its methods must not be called
// concurrently.
type Writer struct {
	service   *Service
	stream    Stream
	ballot    Ballot
	expiresAt time.Duration
	holders   []identity.Node
	roundTrip time.Duration

	// mutex guards the fields below.
	mutex  sync.Mutex
	events []Event
	// copies are in the order of holders.
	copies []holderCopy
	fenced bool
	// changed is closed and replaced whenever copies or fenced change.
	changed chan struct{}
}

// holderCopy is what a writer knows of the copy at one holder.
type holderCopy struct {
	// replaced reports that the holder has none of the former writers' events, stored the number of
	// this writer's events that it has.
	replaced bool
	stored   int
	// sending reports that a request to the holder is under way.
	sending bool
}

// newWriter returns a writer that goes on behind known events. Without known events and with round 1
// there is nothing to replace at the holders.
func (s *Service) newWriter(stream Stream, ballot Ballot, holders []identity.Node, known []Event) *Writer {
	made := &Writer{
		service: s, stream: stream, ballot: ballot, holders: holders, events: known,
		expiresAt: s.config.Now() + min(stream.Lifetime, maxLifetime),
		copies:    make([]holderCopy, len(holders)), changed: make(chan struct{}),
	}
	for i, holder := range holders {
		made.copies[i].replaced = ballot.Round == 1
		made.roundTrip = max(made.roundTrip, s.roundTrip(holder))
	}
	return made
}

// replace stores the known events at a majority of the holders, in place of those of the writer before.
// Otherwise events that this writer sends could be taken for those. Errors wrap ErrUnknown.
func (w *Writer) replace(ctx context.Context) error {
	w.mutex.Lock()
	count := len(w.events)
	w.startSending()
	w.mutex.Unlock()
	stored, err := w.await(ctx, count, callTimeout+w.roundTrip)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	case !stored:
		return fmt.Errorf("%w: too few holders stored it", ErrUnknown)
	}
	return nil
}

// Append adds events and returns once a majority of the holders has stored them, or storeTimeout is
// over. While earlier events are not stored it does not wait. It returns ErrFenced if the client
// has resumed the stream elsewhere; the events must not be sent then.
func (w *Writer) Append(ctx context.Context, events ...Event) error {
	w.mutex.Lock()
	waits := w.storedByMajority(len(w.events))
	w.events = append(w.events, events...)
	count := len(w.events)
	w.startSending()
	w.mutex.Unlock()
	timeout := time.Duration(0)
	if waits {
		timeout = storeTimeout + w.roundTrip
	}
	stored, err := w.await(ctx, count, timeout)
	switch {
	case err != nil:
		return err
	case stored:
		w.service.metrics.appends.WithLabelValues("stored").Inc()
	case waits:
		w.service.metrics.appends.WithLabelValues("timeout").Inc()
	default:
		w.service.metrics.appends.WithLabelValues("behind").Inc()
	}
	return nil
}

// startSending sends the events that holders lack to those without a request under way. The caller
// must hold the mutex.
func (w *Writer) startSending() {
	for i := range w.copies {
		if !w.copies[i].sending {
			w.copies[i].sending = true
			go w.send(i)
		}
	}
}

// await waits until a majority of the holders has the first count events, timeout is over or ctx ends.
func (w *Writer) await(ctx context.Context, count int, timeout time.Duration) (stored bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for waiting := true; ; {
		w.mutex.Lock()
		fenced, changed := w.fenced, w.changed
		stored = w.storedByMajority(count)
		w.mutex.Unlock()
		switch {
		case fenced:
			return false, ErrFenced
		case stored || !waiting:
			return stored, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// storedByMajority reports whether a majority of the holders has the first count events. The caller
// must hold the mutex.
func (w *Writer) storedByMajority(count int) bool {
	stored := 0
	for i := range w.copies {
		if w.copies[i].replaced && w.copies[i].stored >= count {
			stored++
		}
	}
	return stored >= majority(len(w.copies))
}

// send sends the events that a holder lacks, until it has all or a call fails. After a failure the
// next Append tries again.
func (w *Writer) send(holder int) {
	for {
		request := w.nextRequest(holder)
		if request == nil {
			return
		}
		// The copy is completed even if the stream has ended meanwhile: its client may have lost
		// the end.
		answer, err := w.service.call(context.Background(), w.holders[holder], request)
		response, _ := answer.(*appendResponse)
		if !w.handleResponse(holder, request, response, err) {
			return
		}
	}
}

// nextRequest returns the next request to a holder, or nil if it has all events.
func (w *Writer) nextRequest(holder int) *appendRequest {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	from := w.copies[holder].stored
	left := w.expiresAt - w.service.config.Now()
	if w.copies[holder].replaced && from >= len(w.events) || w.fenced || left <= 0 {
		w.copies[holder].sending = false
		return nil
	}
	to, size := from, 0
	for to < len(w.events) && (to == from || size+len(w.events[to].Data) <= maxBatchBytes) {
		size += len(w.events[to].Data)
		to++
	}
	return &appendRequest{
		Key: w.stream.Key, Content: w.stream.Content, Holders: w.holders, Ballot: w.ballot,
		From: uint32(from), Events: w.events[from:to:to], Left: left,
	}
}

// handleResponse reports whether to go on with the holder.
func (w *Writer) handleResponse(holder int, request *appendRequest, response *appendResponse, err error) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	one := &w.copies[holder]
	defer func() {
		close(w.changed)
		w.changed = make(chan struct{})
	}()
	if err == nil && response != nil {
		switch response.Status {
		case statusStored:
			one.replaced, one.stored = true, int(request.From)+len(request.Events)
			return true
		case statusIncomplete:
			if one.stored > 0 {
				one.stored = 0
				return true
			}
		case statusFenced:
			w.fenced = true
		case statusRefused, statusOtherContent:
		}
	}
	one.sending = false
	return false
}
