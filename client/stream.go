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

// ErrStreamRestarted means that the tokens passed to the callback do not match the answer,
// because the call was run again during the stream. The answer returned with it is
// complete.
var ErrStreamRestarted = errors.New("client: the call was run again during the stream; use the answer's text instead of the tokens")

// TokenFunc receives one token of a stream. If it returns an error, the stream ends; the
// call continues and its answer can be fetched.
type TokenFunc func(index int, text string) error

// Stream runs a call and passes its tokens to onToken as they arrive. A broken stream is
// resumed at another node after the last token, with the same sequence and body.
func (c *Client) Stream(ctx context.Context, program string, call api.CallRequest, onToken TokenFunc) (api.Answer, error) {
	if onToken == nil {
		return c.Call(ctx, program, call)
	}
	call.Stream = true
	return c.stream(ctx, http.MethodPost, callsPath(program), call, onToken)
}

// FetchStream is like Fetch, and passes all tokens of the answer to onToken.
func (c *Client) FetchStream(ctx context.Context, program, branch string, sequence uint64, onToken TokenFunc) (api.Answer, error) {
	if onToken == nil {
		return c.Fetch(ctx, program, branch, sequence)
	}
	return c.stream(ctx, http.MethodGet, fetchPath(program, branch, sequence), nil, onToken)
}

// streamState is the state of one stream over its attempts.
type streamState struct {
	client  *Client
	onToken TokenFunc
	// next is the index of the next token, and text the tokens before it.
	next   int
	text   []byte
	answer api.Answer
	// callbackErr is the error that onToken returned.
	callbackErr error
}

func (c *Client) stream(ctx context.Context, method, path string, body any, onToken TokenFunc) (api.Answer, error) {
	s := &streamState{client: c, onToken: onToken}
	attempts := c.newAttempts()
	for {
		at, before := c.nodes.pick(), s.next
		err := s.try(ctx, c.nodes.addresses[at], method, path, body)
		switch {
		case err == nil:
			return s.finish()
		case s.callbackErr != nil:
			return api.Answer{}, s.callbackErr
		}
		if s.next > before {
			// Progress resets the retry time and the backoff.
			attempts.started, attempts.pause = time.Now(), c.options.FirstPause
		}
		if stop := attempts.next(ctx, at, err); stop != nil {
			return api.Answer{}, stop
		}
	}
}

// finish compares the tokens with the answer's text. A new owner may have run the call
// again between two attempts.
func (s *streamState) finish() (api.Answer, error) {
	if s.next > 0 && s.answer.Text != string(s.text) {
		return s.answer, ErrStreamRestarted
	}
	return s.answer, nil
}

func (s *streamState) try(ctx context.Context, node, method, path string, body any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headers := http.Header{"Accept": {api.MediaEventStream}}
	if s.next > 0 {
		headers.Set(api.HeaderLastEventID, strconv.Itoa(s.next-1))
	}
	// The timer runs from the sending of the request, since a node sends comments before
	// the first token too. When it expires, the node has failed.
	silence := time.AfterFunc(s.client.options.StreamSilence, cancel)
	defer silence.Stop()
	response, err := s.client.send(ctx, node, method, path, body, headers)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return s.read(node, response.Body, func() { silence.Reset(s.client.options.StreamSilence) })
}

// read handles events up to the one that ends the stream. It calls alive for each line.
func (s *streamState) read(node string, body io.Reader, alive func()) error {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return fmt.Errorf("%w: %s: stream interrupted: %w", ErrUnreachable, node, err)
		}
		alive()
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		if !isData {
			continue // the data repeats ids and names; comments only keep the stream alive
		}
		var event api.Event
		if err := json.Unmarshal(data, &event); err != nil {
			return fmt.Errorf("%w: %s: invalid event: %w", ErrUnreachable, node, err)
		}
		ended, err := s.handleEvent(node, &event)
		if ended || err != nil {
			return err
		}
	}
}

// handleEvent handles one event and reports whether it ends the stream.
func (s *streamState) handleEvent(node string, event *api.Event) (ended bool, err error) {
	switch {
	case event.Kind == api.EventToken && event.Index == s.next:
		s.next++
		s.text = append(s.text, event.Text...)
		if s.onToken == nil {
			return false, nil // the node does not support omitting tokens
		}
		s.callbackErr = s.onToken(event.Index, event.Text)
		return false, s.callbackErr
	case event.Kind == api.EventAnswer && event.Answer != nil:
		s.answer = *event.Answer
		return true, nil
	case event.Kind == api.EventProblem && event.Problem != nil:
		return true, decodeRetryAfter(event.Problem)
	default:
		return true, fmt.Errorf("%w: %s: unexpected event %q %d, want token %d", ErrUnreachable, node, event.Kind, event.Index, s.next)
	}
}
