package router

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
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
)

// event is one event of a text/event-stream.
type event struct {
	// raw contains the event's lines, including the final empty line.
	raw []byte
	// id is the event's number; hasID is false if it has none.
	id    int64
	hasID bool
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
			return parsed, nil
		}
		parsed.parseField(line)
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
	// last is the ID of the last event with one, or -1.
	last int64
}

// follows reports whether an event may come next. If it may, it becomes the last one.
func (o *eventOrder) follows(next event) bool {
	switch {
	case !next.hasID:
		return true
	case next.id <= o.last:
		return false
	}
	o.last = next.id
	return true
}
