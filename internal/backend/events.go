package backend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// serverEvent is one server-sent event.
type serverEvent struct {
	id, name string
	data     []byte
}

// eventReader reads server-sent events of limited size and skips comments.
type eventReader struct {
	lines *bufio.Scanner
	limit int
}

// initialEventBytes is the initial size of the line buffer.
const initialEventBytes = 4 << 10

func newEventReader(reader io.Reader, limit int) *eventReader {
	lines := bufio.NewScanner(reader)
	lines.Buffer(make([]byte, 0, min(initialEventBytes, limit)), limit)
	return &eventReader{lines: lines, limit: limit}
}

// next returns the next event, whose data is valid until the following call. At the end of
// the input it returns io.ErrUnexpectedEOF, since a complete stream ends with an event.
func (r *eventReader) next() (serverEvent, error) {
	var event serverEvent
	hasData := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if hasData {
				return event, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			event.id = string(value)
		case "event":
			event.name = string(value)
		case "data":
			if hasData {
				event.data = append(event.data, '\n')
			}
			event.data = append(event.data, value...)
			hasData = true
			if len(event.data) > r.limit {
				return event, errTooLarge
			}
		}
	}
	if err := r.lines.Err(); err != nil {
		return event, fmt.Errorf("read event: %w", err)
	}
	return event, io.ErrUnexpectedEOF
}
