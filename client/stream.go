package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"stepseam.example/stepseam/api"
)

// ErrStreamRestarted tells that the tokens handed out are not the answer's: the
// call was answered anew on the way. The answer that comes with it is whole.
var ErrStreamRestarted = errors.New("client: the answer was begun anew; take the answer's text instead of the tokens")

// TokenFunc takes one token of a stream. Its error ends the stream; the call
// itself goes on and can be fetched.
type TokenFunc func(index int, text string) error

// Stream runs a call and hands out its tokens as they come. A broken stream is
// resumed at another node after the last token, with the same sequence and body.
func (c *Client) Stream(ctx context.Context, program string, call api.CallRequest, onToken TokenFunc) (api.Answer, error) {
	if onToken == nil {
		return c.Call(ctx, program, call)
	}
	call.Stream = true
	return c.stream(ctx, http.MethodPost, callsPath(program), call, onToken)
}

// FetchStream is Fetch with the answer's tokens from the first one on.
func (c *Client) FetchStream(ctx context.Context, program, branch string, sequence uint64, onToken TokenFunc) (api.Answer, error) {
	if onToken == nil {
		return c.Fetch(ctx, program, branch, sequence)
	}
	return c.stream(ctx, http.MethodGet, fetchPath(program, branch, sequence), nil, onToken)
}

// streaming is a stream over its tries.
type streaming struct {
	client  *Client
	onToken TokenFunc
	next    int
	text    []byte
	answer  api.Answer
	// refused is the caller's own error.
	refused error
}

func (c *Client) stream(ctx context.Context, method, path string, body any, onToken TokenFunc) (api.Answer, error) {
	s := &streaming{client: c, onToken: onToken}
	attempts := c.newAttempts()
	for {
		at, before := c.nodes.pick(), s.next
		err := s.try(ctx, c.nodes.addresses[at], method, path, body)
		switch {
		case err == nil:
			return s.finish()
		case s.refused != nil:
			return api.Answer{}, s.refused
		}
		if s.next > before {
			// A stream that gets on is no failure in a row.
			attempts.started, attempts.pause = time.Now(), c.options.FirstPause
		}
		if stop := attempts.next(ctx, at, err); stop != nil {
			return api.Answer{}, stop
		}
	}
}

// finish compares the tokens with the answer's text: an owner that changed
// between two tries may have answered anew.
func (s *streaming) finish() (api.Answer, error) {
	if s.next > 0 && s.answer.Text != string(s.text) {
		return s.answer, ErrStreamRestarted
	}
	return s.answer, nil
}

func (s *streaming) try(ctx context.Context, node, method, path string, body any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headers := http.Header{"Accept": {api.MediaEventStream}}
	if s.next > 0 {
		headers.Set(api.HeaderLastEventID, strconv.Itoa(s.next-1))
	}
	// Nothing comes before the first token or comment; from the sending on, silence
	// means that the node is gone.
	silence := time.AfterFunc(s.client.options.StreamSilence, cancel)
	defer silence.Stop()
	response, err := s.client.send(ctx, node, method, path, body, headers)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return s.read(node, response.Body, func() { silence.Reset(s.client.options.StreamSilence) })
}

// read takes events until the one that ends the stream. alive is called for each line.
func (s *streaming) read(node string, body io.Reader, alive func()) error {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return fmt.Errorf("%w: %s: the stream broke off: %w", ErrUnreachable, node, err)
		}
		alive()
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		if !isData {
			continue // ids and names stand in the data too; comments have no meaning
		}
		var event api.Event
		if err := json.Unmarshal(data, &event); err != nil {
			return fmt.Errorf("%w: %s: event: %w", ErrUnreachable, node, err)
		}
		ended, err := s.take(node, &event)
		if ended || err != nil {
			return err
		}
	}
}

// take handles one event and tells whether it ends the stream.
func (s *streaming) take(node string, event *api.Event) (ended bool, err error) {
	switch {
	case event.Kind == api.EventToken && event.Index == s.next:
		s.next++
		s.text = append(s.text, event.Text...)
		if s.onToken == nil {
			return false, nil // a node that does not know how to leave them out
		}
		s.refused = s.onToken(event.Index, event.Text)
		return false, s.refused
	case event.Kind == api.EventAnswer && event.Answer != nil:
		s.answer = *event.Answer
		return true, nil
	case event.Kind == api.EventProblem && event.Problem != nil:
		return true, restored(event.Problem)
	default:
		return true, fmt.Errorf("%w: %s: event %q %d in place of token %d", ErrUnreachable, node, event.Kind, event.Index, s.next)
	}
}
