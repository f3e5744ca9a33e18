package router

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"stepseam.example/stepseam/internal/exchange"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxUnnumberedBytes and maxUnnumberedEvents bound what comes without a numbered event. It is not sent
	// before that.
	maxUnnumberedBytes  = 64 << 10
	maxUnnumberedEvents = 256
	// freeBytes are held for each stream without counting.
	freeBytes = 8 << 10
)

var (
	errEventTooLarge  = errors.New("router: event exceeds the maximum size")
	errEventTruncated = errors.New("router: stream ended within an event")
	errUnnumbered     = errors.New("router: too many bytes without a numbered event")
	errOutputTooLarge = errors.New("router: the stream exceeds the maximum size")
	errTurnTooLong    = errors.New("router: the stream exceeds the maximum of the turn")
	// errForeignEvent means that bytes of another response are among those of an event.
	errForeignEvent = fmt.Errorf("router: %w", exchange.ErrForeign)
	// errOutOfOrder means that the IDs of a response do not rise: some of its events are another run's.
	errOutOfOrder = fmt.Errorf("router: events out of order: %w", exchange.ErrForeign)
	// errBeginsAnew means that a run follows from its start.
	errBeginsAnew = fmt.Errorf("router: the events begin anew: %w", exchange.ErrForeign)
)

// event is one event of a text/event-stream.
type event struct {
	// raw contains the event's lines, including the final empty line.
	raw []byte
	// id is the event's number; hasID is false if it has none.
	id    int64
	hasID bool
	// ambiguous is set if it has more than one.
	ambiguous bool
	// data is the concatenation of the data fields, joined by line feeds.
	data    []byte
	hasData bool
}

// output returns the event's contribution to the output of a persisted turn.
func (e *event) output() []byte {
	if !e.hasData {
		return nil
	}
	return append(e.data[:len(e.data):len(e.data)], '\n')
}

// holdsWholeEvent reports whether the next event can be read without waiting.
func holdsWholeEvent(reader *bufio.Reader) bool {
	buffered, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// eventReader reads the events of one stream.
type eventReader struct {
	reader *bufio.Reader
	// grow is called with the size of an event before more of it is kept; nil means no limit beyond
	// maxEventBytes.
	grow func(size int) error
	// isHeadLine reports whether a line can only be of a response's head; nil if that is not checked.
	isHeadLine func(line []byte) bool
	// order checks the IDs; nil if they are not checked.
	order *eventOrder
}

// next reads the next complete event. It returns io.EOF if the stream ends after a complete event.
func (r *eventReader) next() (event, error) {
	var parsed event
	for {
		start := len(parsed.raw)
		if err := r.readLine(&parsed); errors.Is(err, io.EOF) && len(parsed.raw) > 0 {
			return event{}, fmt.Errorf("%w: %w", errEventTruncated, io.ErrUnexpectedEOF)
		} else if err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(parsed.raw[start:], "\r\n")
		if len(line) == 0 {
			return parsed, r.order.check(&parsed)
		}
		parsed.parseField(line)
		if parsed.ambiguous || r.isHeadLine != nil && r.isHeadLine(line) {
			return event{}, fmt.Errorf("%w: line %.80q", errForeignEvent, line)
		}
	}
}

// readLine appends the next line to the event.
func (r *eventReader) readLine(parsed *event) error {
	for {
		part, err := r.reader.ReadSlice('\n')
		size := len(parsed.raw) + len(part)
		if size > maxEventBytes {
			return errEventTooLarge
		}
		if r.grow != nil && len(part) > 0 {
			if err := r.grow(size); err != nil {
				return err
			}
		}
		parsed.raw = append(parsed.raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (e *event) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		e.ambiguous = e.hasID && (err != nil || id != e.id)
		e.id, e.hasID = id, err == nil
	case "data":
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.hasData = true
	}
}

// eventOrder checks that the IDs of one response rise.
type eventOrder struct {
	// first and last are those of the first and the last event with one, or -1.
	first, last int64
}

// check returns an error if an event does not follow the last one, and makes it the last one otherwise.
func (o *eventOrder) check(next *event) error {
	switch {
	case o == nil || !next.hasID:
		return nil
	case next.id <= o.first:
		return fmt.Errorf("%w: %d after %d", errBeginsAnew, next.id, o.last)
	case next.id <= o.last:
		return fmt.Errorf("%w: %d after %d", errOutOfOrder, next.id, o.last)
	case o.last < 0:
		o.first = next.id
	}
	o.last = next.id
	return nil
}
