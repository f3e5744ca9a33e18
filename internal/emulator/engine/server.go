package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// Control paths of the emulator, which a real engine does not have.
const (
	PathFaults  = "/faults"
	PathRestart = "/restart"
	PathDrain   = "/drain"
	PathTruth   = "/truth"
)

const (
	// maxBodyBytes bounds request bodies; long histories fit.
	maxBodyBytes = 32 << 20
	// keepaliveInterval is how often an idle stream sends a comment.
	keepaliveInterval = time.Second
	apiVersion        = "1"
)

// NewServer returns the HTTP handler of e: OpenAI-compatible generation, the rest of
// backend.Engine, and the control paths that inject faults and read the engine's record.
// An engine that is down or loses a response breaks the connection.
func NewServer(e *Engine) http.Handler {
	mux := http.NewServeMux()
	server := &server{engine: e}
	mux.HandleFunc("POST "+backend.PathChatCompletions, server.chat)
	mux.HandleFunc("GET "+backend.PathStreams+"{id}", server.resume)
	mux.HandleFunc("GET "+backend.PathState, server.export)
	mux.HandleFunc("PUT "+backend.PathState, server.importState)
	config := huma.DefaultConfig("stepseam engine stand-in", apiVersion)
	config.CreateHooks = nil // responses carry no links to their schema
	// Bodies without a JSON content type, as curl -d sends them, are parsed as JSON.
	config.Formats = maps.Clone(config.Formats)
	config.Formats["application/x-www-form-urlencoded"] = huma.DefaultJSONFormat
	api := humago.New(mux, config)
	server.registerEngine(api)
	server.registerStandIn(api)
	return mux
}

type server struct{ engine *Engine }

// chat serves chat completions, streamed or whole.
func (s *server) chat(w http.ResponseWriter, r *http.Request) {
	request, streamed, err := readChat(w, r)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	running, err := s.engine.start(r.Context(), request)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	if streamed {
		s.stream(w, r, running)
		return
	}
	result, err := s.engine.follow(r.Context(), running, 0, nil)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	response := newResponse(running, backend.ObjectCompletion)
	response.Choices = []backend.ChatChoice{{
		Message:      &backend.Message{Role: "assistant", Content: result.Text},
		FinishReason: &result.FinishReason,
	}}
	response.Usage = backend.NewChatUsage(result.Usage)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// readChat parses a chat completion request with its headers. A request without a stream
// id becomes a program of its own.
func readChat(w http.ResponseWriter, r *http.Request) (backend.GenerateRequest, bool, error) {
	var body backend.ChatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		return backend.GenerateRequest{}, false, fmt.Errorf("%w: body: %w", backend.ErrRefused, err)
	}
	request := backend.GenerateRequest{
		Model: body.Model, Adapter: body.Adapter, Messages: body.Messages, MaxTokens: body.MaxTokens, Seed: body.Seed,
	}
	if text := r.Header.Get(backend.HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return request, false, fmt.Errorf("%w: header %s: %w", backend.ErrRefused, backend.HeaderPriority, err)
		}
		request.Priority = priority
	}
	if text := r.Header.Get(backend.HeaderStream); text != "" {
		id, err := backend.ParseStreamID(text)
		if err != nil {
			return request, false, fmt.Errorf("%w: header %s: %w", backend.ErrRefused, backend.HeaderStream, err)
		}
		request.Stream = id
	} else {
		program := "anonymous-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + r.RemoteAddr
		request.Stream.Call = identity.CallID{
			Program: identity.ProgramID(program), Branch: identity.MainBranch, Sequence: 1,
		}
	}
	return request, body.Stream, nil
}

func newResponse(running *stream, object string) backend.ChatResponse {
	return backend.ChatResponse{
		ID: backend.FormatStreamID(running.request.Stream), Object: object,
		Created: running.record.Arrived.Unix(), Model: running.request.Model,
	}
}

// resume attaches to a stream from the token index in the query.
func (s *server) resume(w http.ResponseWriter, r *http.Request) {
	id, err := backend.ParseStreamID(r.PathValue("id"))
	if err != nil {
		backend.WriteError(w, fmt.Errorf("%w: %w", backend.ErrRefused, err))
		return
	}
	known, err := s.engine.find(r.Context(), id)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	s.stream(w, r, known)
}

// stream writes the events of a stream from its first token. One goroutine follows the
// stream; only this one writes.
func (s *server) stream(w http.ResponseWriter, r *http.Request, followed *stream) {
	writer := &eventWriter{writer: w, controller: http.NewResponseController(w), template: newResponse(followed, backend.ObjectChunk)}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	tokens := make(chan backend.Token)
	var result backend.GenerateResult
	var outcome error
	go func() {
		defer close(tokens)
		result, outcome = s.engine.follow(ctx, followed, 0, func(token backend.Token) error {
			select {
			case tokens <- token:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	writer.begin()
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for writer.err == nil {
		select {
		case token, more := <-tokens:
			if !more {
				writer.finish(result, outcome)
				return
			}
			writer.token(token)
		case <-keepalive.C:
			if !s.engine.Faults().Frozen {
				writer.comment("waiting")
			}
		}
	}
}

// eventWriter writes server-sent events and keeps the first error.
type eventWriter struct {
	writer     io.Writer
	controller *http.ResponseController
	template   backend.ChatResponse
	err        error
}

func (e *eventWriter) begin() {
	if w, isResponse := e.writer.(http.ResponseWriter); isResponse {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusOK)
	}
	e.flush()
}

func (e *eventWriter) flush() {
	if e.err == nil {
		e.err = e.controller.Flush()
	}
}

func (e *eventWriter) write(format string, arguments ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.writer, format, arguments...)
	}
}

func (e *eventWriter) comment(text string) {
	e.write(": %s\n\n", text)
	e.flush()
}

func (e *eventWriter) data(response backend.ChatResponse) {
	data, err := json.Marshal(response)
	if err != nil {
		e.err = err
		return
	}
	e.write("data: %s\n\n", data)
}

func (e *eventWriter) token(token backend.Token) {
	response := e.template
	response.Choices = []backend.ChatChoice{{Delta: &backend.Delta{Content: token.Text}}}
	e.write("id: %d\n", token.Index)
	e.data(response)
	e.flush()
}

// finish writes the end of the stream. A broken stream ends without the end marker.
func (e *eventWriter) finish(result backend.GenerateResult, outcome error) {
	if outcome != nil {
		document, answerable := backend.NewErrorDocument(outcome)
		if !answerable {
			panic(http.ErrAbortHandler)
		}
		data, err := json.Marshal(document)
		if err == nil {
			e.write("event: %s\ndata: %s\n\n", backend.EventError, data)
		}
		e.flush()
		return
	}
	response := e.template
	response.Choices = []backend.ChatChoice{{Delta: &backend.Delta{}, FinishReason: &result.FinishReason}}
	response.Usage = backend.NewChatUsage(result.Usage)
	e.data(response)
	e.write("data: %s\n\n", backend.StreamEnd)
	e.flush()
}

func prefixOf(r *http.Request) (identity.ProgramID, identity.BranchID, error) {
	query := r.URL.Query()
	program, branch := query.Get("program"), query.Get("branch")
	if program == "" || branch == "" {
		return "", "", fmt.Errorf("%w: the query needs program and branch", backend.ErrRefused)
	}
	return identity.ProgramID(program), identity.BranchID(branch), nil
}

func (s *server) export(w http.ResponseWriter, r *http.Request) {
	program, branch, err := prefixOf(r)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	state, err := s.engine.Export(r.Context(), program, branch)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(state)
}

func (s *server) importState(w http.ResponseWriter, r *http.Request) {
	program, branch, err := prefixOf(r)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	state, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		backend.WriteError(w, fmt.Errorf("%w: body: %w", backend.ErrRefused, err))
		return
	}
	if err := s.engine.Import(r.Context(), program, branch, state); err != nil {
		backend.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// answerable converts err to the error type that huma writes, or breaks the connection.
func answerable(err error) error {
	if err == nil {
		return nil
	}
	document, known := backend.NewErrorDocument(err)
	if !known {
		panic(http.ErrAbortHandler)
	}
	return document
}

var errNoProgram = errors.New("the query needs a program")
