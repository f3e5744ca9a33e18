package router

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("router: event is too large")
	errEventTorn     = errors.New("router: stream ends within an event")
)

// event is one event of a text/event-stream.
type event struct {
	// raw holds its lines and the empty line behind them.
	raw []byte
	// id is the event's number; numbered is false where it has none.
	id       int64
	numbered bool
	// data is the text of its data fields, joined by line feeds.
	data    []byte
	hasData bool
}

// readEvent reads the next whole event. It returns io.EOF at the end of a stream
// that ends behind an event.
func readEvent(reader *bufio.Reader) (event, error) {
	var read event
	for {
		line, err := reader.ReadSlice('\n')
		read.raw = append(read.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			rest, more := readLongLine(reader, maxEventBytes-len(read.raw))
			read.raw = append(read.raw, rest...)
			line, err = append(bytes.Clone(line), rest...), more
		}
		if errors.Is(err, io.EOF) && len(read.raw) > 0 {
			return event{}, fmt.Errorf("%w: %w", errEventTorn, io.ErrUnexpectedEOF)
		}
		if err != nil {
			return event{}, err
		}
		if len(read.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return read, nil
		}
		read.field(line)
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

func (e *event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		e.id, e.numbered = id, err == nil
	case "data":
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.hasData = true
	}
}
