package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Write writes t as JSONL, in the order of its events.
func Write(w io.Writer, t *Trace) error {
	buffered := bufio.NewWriter(w)
	header, err := encode(t.Header)
	if err != nil {
		return fmt.Errorf("trace: header: %w", err)
	}
	_, _ = buffered.Write(header) // Flush returns the first error of a write
	for _, event := range t.Events {
		line, err := encodeEvent(event)
		if err != nil {
			return fmt.Errorf("trace: event %q at %v: %w", event.Body.Kind(), event.At, err)
		}
		_, _ = buffered.Write(line)
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("trace: write: %w", err)
	}
	return nil
}

// encodeEvent encodes the time and the kind, followed by the fields of the body.
func encodeEvent(event Event) ([]byte, error) {
	head, err := encode(struct {
		At    Duration `json:"at"`
		Event Kind     `json:"event"`
	}{event.At, event.Body.Kind()})
	if err != nil {
		return nil, err
	}
	body, err := encode(event.Body)
	if err != nil {
		return nil, err
	}
	if bytes.Equal(body, []byte("{}\n")) {
		return head, nil
	}
	head[len(head)-2] = ',' // replaces the closing brace
	return append(head[:len(head)-1], body[1:]...), nil
}

func encode(value any) ([]byte, error) {
	var line bytes.Buffer
	encoder := json.NewEncoder(&line)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(value)
	return line.Bytes(), err
}
