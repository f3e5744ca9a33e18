package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"stepseam.example/stepseam/internal/identity"
)

// The paths of the HTTP interfaces of back ends. Generation is compatible with OpenAI clients;
// the other paths are specific to the platform.
const (
	PathChatCompletions = "/v1/chat/completions"
	// PathStreams is followed by an escaped stream id. GET resumes the stream, DELETE
	// cancels it.
	PathStreams     = "/v1/streams/"
	PathPrefixes    = "/v1/prefixes"
	PathState       = "/v1/prefixes/state"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
	// PathOperations is followed by an operation's name. POST runs the operation at an
	// application.
	PathOperations = "/v1/operations/"
)

// The headers of requests to back ends.
const (
	HeaderStream         = "Stepseam-Stream"
	HeaderPriority       = "Stepseam-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// The content types of requests and responses.
const (
	contentTypeJSON        = "application/json"
	contentTypeProblem     = "application/problem+json"
	contentTypeEventStream = "text/event-stream"
	contentTypeState       = "application/octet-stream"
)

// ErrorCode is the stable, machine-readable identifier of a back end's error.
type ErrorCode string

// The error codes of back ends. Any other code, or none, leaves the outcome unknown.
const (
	CodeRefused         ErrorCode = "refused"
	CodeDraining        ErrorCode = "draining"
	CodeStreamCancelled ErrorCode = "stream_cancelled"
	CodeStreamUnknown   ErrorCode = "stream_unknown"
	CodeStaleFence      ErrorCode = "stale_fence"
)

// ErrorDocument is the RFC 9457 problem document of a request that a back end did not carry
// out.
type ErrorDocument struct {
	Title  string    `json:"title"`
	Status int       `json:"status"`
	Detail string    `json:"detail,omitempty"`
	Code   ErrorCode `json:"code"`
}

// Error implements error.
func (d *ErrorDocument) Error() string { return string(d.Code) + ": " + d.Detail }

// GetStatus implements huma.StatusError.
func (d *ErrorDocument) GetStatus() int { return d.Status }

// ContentType implements huma.ContentTypeFilter, so that huma responds with a problem document.
func (d *ErrorDocument) ContentType(string) string { return contentTypeProblem }

// errorKinds maps errors to codes and statuses. The first match counts, so more specific
// errors come first.
var errorKinds = []struct {
	err    error
	code   ErrorCode
	status int
}{
	{ErrDraining, CodeDraining, http.StatusServiceUnavailable},
	{ErrStreamCancelled, CodeStreamCancelled, http.StatusGone},
	{ErrStreamUnknown, CodeStreamUnknown, http.StatusNotFound},
	{ErrStaleFence, CodeStaleFence, http.StatusConflict},
	{ErrRefused, CodeRefused, http.StatusUnprocessableEntity},
}

// NewErrorDocument returns the document of err. It returns false if err has no code; then the
// back end must close the connection instead.
func NewErrorDocument(err error) (*ErrorDocument, bool) {
	for _, kind := range errorKinds {
		if errors.Is(err, kind.err) {
			return &ErrorDocument{
				Title: http.StatusText(kind.status), Status: kind.status, Detail: err.Error(), Code: kind.code,
			}, true
		}
	}
	return nil, false
}

// WriteError writes the document of err as the response. If err has no code, it aborts the
// connection with http.ErrAbortHandler.
func WriteError(w http.ResponseWriter, err error) {
	document, answerable := NewErrorDocument(err)
	if !answerable {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", contentTypeProblem)
	w.WriteHeader(document.Status)
	_ = json.NewEncoder(w).Encode(document)
}

// sentinel returns the error of this package for the document's code.
func (d *ErrorDocument) sentinel() error {
	if d.Code == CodeDraining {
		return fmt.Errorf("%w: %w: %s", ErrRefused, ErrDraining, d.Detail)
	}
	for _, kind := range errorKinds {
		if kind.code == d.Code {
			return fmt.Errorf("%w: %s", kind.err, d.Detail)
		}
	}
	return fmt.Errorf("%w: status %d, code %q: %s", ErrOutcomeUnknown, d.Status, d.Code, d.Detail)
}

// FormatStreamID formats a stream id as five escaped fields separated by slashes. In a URL the
// result must be escaped again.
func FormatStreamID(id identity.StreamID) string {
	return strings.Join([]string{
		url.PathEscape(string(id.Call.Program)),
		url.PathEscape(string(id.Call.Branch)),
		strconv.FormatUint(uint64(id.Call.Sequence), 10),
		strconv.FormatUint(uint64(id.Epoch), 10),
		strconv.FormatUint(uint64(id.Attempt), 10),
	}, "/")
}

// streamFields is the number of fields in a formatted stream id.
const streamFields = 5

// ParseStreamID parses the result of FormatStreamID.
func ParseStreamID(text string) (identity.StreamID, error) {
	fields := strings.Split(text, "/")
	if len(fields) != streamFields {
		return identity.StreamID{}, fmt.Errorf("backend: stream id %q: want %d fields, have %d", text, streamFields, len(fields))
	}
	program, errProgram := url.PathUnescape(fields[0])
	branch, errBranch := url.PathUnescape(fields[1])
	sequence, errSequence := strconv.ParseUint(fields[2], 10, 64)
	epoch, errEpoch := strconv.ParseUint(fields[3], 10, 64)
	attempt, errAttempt := strconv.ParseUint(fields[4], 10, 32)
	if err := errors.Join(errProgram, errBranch, errSequence, errEpoch, errAttempt); err != nil {
		return identity.StreamID{}, fmt.Errorf("backend: stream id %q: %w", text, err)
	}
	return identity.StreamID{
		Call: identity.CallID{
			Program: identity.ProgramID(program), Branch: identity.BranchID(branch), Sequence: identity.Sequence(sequence),
		},
		Epoch: identity.Epoch(epoch), Attempt: uint32(attempt),
	}, nil
}

// StreamPath returns the URL path of a stream, escaped.
func StreamPath(id identity.StreamID) string {
	return PathStreams + url.PathEscape(FormatStreamID(id))
}

// ChatRequest is the body of a chat completion request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter,omitempty"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Seed      uint64    `json:"seed"`
	Stream    bool      `json:"stream"`
}

// ChatResponse is a complete completion or one chunk of a streamed one.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// The values of ChatResponse.Object.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// ChatChoice has a Message in a complete completion and a Delta in a chunk.
type ChatChoice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the new text of a chunk: one token.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatUsage counts tokens in the format of the OpenAI API.
type ChatUsage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails has the number of prompt tokens found in the cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// NewChatUsage converts usage to the format of the OpenAI API.
func NewChatUsage(usage Usage) *ChatUsage {
	return &ChatUsage{
		PromptTokens: usage.PromptTokens, CompletionTokens: usage.CompletionTokens,
		TotalTokens:         usage.PromptTokens + usage.CompletionTokens,
		PromptTokensDetails: PromptTokensDetails{CachedTokens: usage.CachedTokens},
	}
}

func (u *ChatUsage) usage() Usage {
	return Usage{
		PromptTokens: u.PromptTokens, CachedTokens: u.PromptTokensDetails.CachedTokens, CompletionTokens: u.CompletionTokens,
	}
}

// The markers of the event stream.
const (
	// StreamEnd is the data of the last event of a complete stream.
	StreamEnd = "[DONE]"
	// EventError is the name of an event whose data is an ErrorDocument.
	EventError = "error"
)
