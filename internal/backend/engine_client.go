package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"stepseam.example/stepseam/internal/identity"
)

// EngineClient is an Engine over HTTP.
type EngineClient struct{ client client }

var _ Engine = (*EngineClient)(nil)

// Generate implements Engine.
func (e *EngineClient) Generate(ctx context.Context, request GenerateRequest, onToken func(Token) error) (GenerateResult, error) {
	body, err := json.Marshal(ChatRequest{
		Model: request.Model, Adapter: request.Adapter, Messages: request.Messages,
		MaxTokens: request.MaxTokens, Seed: request.Seed, Stream: true,
	})
	if err != nil {
		return GenerateResult{}, fmt.Errorf("generate %s: %w: %w", request.Stream, ErrNotDelivered, err)
	}
	header := http.Header{}
	header.Set(HeaderStream, FormatStreamID(request.Stream))
	header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	result, err := e.stream(ctx, outgoing{
		method: http.MethodPost, path: PathChatCompletions, header: header, body: body, contentType: contentTypeJSON,
	}, 0, onToken)
	if err != nil {
		return result, fmt.Errorf("generate %s: %w", request.Stream, err)
	}
	return result, nil
}

// Resume implements Engine. It reads the stream from its start, so that the result has the
// complete text, and passes only the tokens from index from to onToken.
func (e *EngineClient) Resume(ctx context.Context, stream identity.StreamID, from int, onToken func(Token) error) (GenerateResult, error) {
	result, err := e.stream(ctx, outgoing{method: http.MethodGet, path: StreamPath(stream)}, from, onToken)
	if err != nil {
		return result, fmt.Errorf("resume %s: %w", stream, err)
	}
	return result, nil
}

func (e *EngineClient) stream(ctx context.Context, out outgoing, from int, onToken func(Token) error) (GenerateResult, error) {
	out.headerTimeout = e.client.options.HeaderTimeout
	in, err := e.client.send(ctx, out)
	if err != nil {
		return GenerateResult{}, err
	}
	defer in.close()
	assembler := streamAssembler{from: from, onToken: onToken}
	events := newEventReader(in, e.client.options.MaxEventBytes)
	for {
		event, err := events.next()
		if err != nil {
			return GenerateResult{}, fmt.Errorf("%w after %d tokens: %w", ErrOutcomeUnknown, assembler.next, err)
		}
		ended, err := assembler.handleEvent(event)
		if err != nil {
			return GenerateResult{}, err
		}
		if ended {
			return assembler.result()
		}
	}
}

// streamAssembler assembles the result from the events of one stream.
type streamAssembler struct {
	from, next int
	onToken    func(Token) error
	text       strings.Builder
	reason     string
	usage      *Usage
}

// handleEvent handles one event and reports whether it is the last one of the stream.
func (a *streamAssembler) handleEvent(event serverEvent) (ended bool, err error) {
	if event.name == EventError {
		var document ErrorDocument
		if err := json.Unmarshal(event.data, &document); err != nil {
			return false, fmt.Errorf("%w: error event: %w", ErrOutcomeUnknown, err)
		}
		return false, document.sentinel()
	}
	if string(event.data) == StreamEnd {
		return true, nil
	}
	var chunk ChatResponse
	if err := json.Unmarshal(event.data, &chunk); err != nil {
		return false, fmt.Errorf("%w: event after token %d: %w", ErrOutcomeUnknown, a.next, err)
	}
	if chunk.Usage != nil {
		usage := chunk.Usage.usage()
		a.usage = &usage
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			a.reason = *choice.FinishReason
		}
		if choice.Delta == nil || choice.Delta.Content == "" {
			continue
		}
		if event.id != "" && event.id != strconv.Itoa(a.next) {
			return false, fmt.Errorf("%w: got token %s, expected %d", ErrOutcomeUnknown, event.id, a.next)
		}
		if err := a.token(choice.Delta.Content); err != nil {
			return false, err
		}
	}
	return false, nil
}

func (a *streamAssembler) token(text string) error {
	index := a.next
	a.next++
	a.text.WriteString(text)
	if index < a.from || a.onToken == nil {
		return nil
	}
	return a.onToken(Token{Index: index, Text: text})
}

// result returns the complete result. It fails if the stream ended without a finish reason
// or usage, or with a different number of tokens than its usage states.
func (a *streamAssembler) result() (GenerateResult, error) {
	if a.reason == "" || a.usage == nil {
		return GenerateResult{}, fmt.Errorf("%w: the stream ended without its usage", ErrOutcomeUnknown)
	}
	if a.usage.CompletionTokens != a.next {
		return GenerateResult{}, fmt.Errorf("%w: got %d tokens of %d", ErrOutcomeUnknown, a.next, a.usage.CompletionTokens)
	}
	return GenerateResult{Text: a.text.String(), FinishReason: a.reason, Usage: *a.usage}, nil
}

// Cancel implements Engine.
func (e *EngineClient) Cancel(ctx context.Context, stream identity.StreamID) error {
	return e.call(ctx, "cancel "+stream.String(), outgoing{method: http.MethodDelete, path: StreamPath(stream)}, nil, nil)
}

func prefixQuery(program identity.ProgramID, branch identity.BranchID) string {
	query := url.Values{"program": {string(program)}}
	if branch != "" {
		query.Set("branch", string(branch))
	}
	return "?" + query.Encode()
}

// Release implements Engine.
func (e *EngineClient) Release(ctx context.Context, program identity.ProgramID, branch identity.BranchID) error {
	out := outgoing{method: http.MethodDelete, path: PathPrefixes + prefixQuery(program, branch)}
	return e.call(ctx, "release "+string(program), out, nil, nil)
}

// CachedPrefixes implements Engine.
func (e *EngineClient) CachedPrefixes(ctx context.Context) ([]HeldPrefix, error) {
	var held []HeldPrefix
	err := e.call(ctx, "held", outgoing{method: http.MethodGet, path: PathPrefixes}, nil, &held)
	return held, err
}

// Load implements Engine.
func (e *EngineClient) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := e.call(ctx, "load", outgoing{method: http.MethodGet, path: PathLoad}, nil, &report)
	return report, err
}

// CacheEvents implements Engine.
func (e *EngineClient) CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := PathCacheEvents + "?from=" + strconv.FormatUint(from, 10)
	err := e.call(ctx, "cache events", outgoing{method: http.MethodGet, path: path}, nil, &events)
	return events, err
}

// Export implements Engine.
func (e *EngineClient) Export(ctx context.Context, program identity.ProgramID, branch identity.BranchID) ([]byte, error) {
	answer, err := e.client.exchange(ctx, outgoing{
		method: http.MethodGet, path: PathState + prefixQuery(program, branch),
		totalTimeout: e.client.options.TransferTimeout,
	})
	var state []byte
	if err == nil {
		state, err = answer.bytes()
	}
	if err != nil {
		return nil, fmt.Errorf("export %s/%s: %w", program, branch, err)
	}
	return state, nil
}

// Import implements Engine.
func (e *EngineClient) Import(ctx context.Context, program identity.ProgramID, branch identity.BranchID, state []byte) error {
	_, err := e.client.exchange(ctx, outgoing{
		method: http.MethodPut, path: PathState + prefixQuery(program, branch), body: state, contentType: contentTypeState,
		totalTimeout: e.client.options.TransferTimeout,
	})
	if err != nil {
		return fmt.Errorf("import %s/%s: %w", program, branch, err)
	}
	return nil
}

// Order implements Engine.
func (e *EngineClient) Order(ctx context.Context, order Order) error {
	out := outgoing{method: http.MethodPost, path: PathOrders, totalTimeout: e.client.options.OrderTimeout}
	return e.call(ctx, "order "+string(order.Kind)+" "+order.Subject, out, order, nil)
}

// call is exchangeJSON with errors prefixed by action.
func (e *EngineClient) call(ctx context.Context, action string, out outgoing, input, output any) error {
	if err := e.client.exchangeJSON(ctx, out, input, output); err != nil {
		return fmt.Errorf("%s: %w", action, err)
	}
	return nil
}

// NotRun reports whether the request that failed with err is known not to have run.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotDelivered) || errors.Is(err, ErrRefused)
}
