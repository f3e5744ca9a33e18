package router

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge  = errors.New("router: event exceeds the maximum size")
	errEventTruncated = errors.New("router: stream ended within an event")
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

// readEvent reads the next complete event. It returns io.EOF if the stream ends after a
// complete event.
func readEvent(reader *bufio.Reader) (event, error) {
	var parsed event
	for {
		line, err := reader.ReadSlice('\n')
		parsed.raw = append(parsed.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			rest, more := readLongLine(reader, maxEventBytes-len(parsed.raw))
			parsed.raw = append(parsed.raw, rest...)
			line, err = append(bytes.Clone(line), rest...), more
		}
		if errors.Is(err, io.EOF) && len(parsed.raw) > 0 {
			return event{}, fmt.Errorf("%w: %w", errEventTruncated, io.ErrUnexpectedEOF)
		}
		if err != nil {
			return event{}, err
		}
		if len(parsed.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return parsed, nil
		}
		parsed.parseField(line)
	}
}

func readLongLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var rest []byte
	for {
		part, err := reader.ReadSlice('\n')
		rest = append(rest, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return rest, err
		}
		if len(rest) > limit {
			return rest, errEventTooLarge
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
