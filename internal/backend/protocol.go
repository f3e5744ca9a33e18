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

// The paths of an engine's HTTP interface. Generation has the shape that OpenAI
// clients use; the rest is what the platform's engines offer beside it.
const (
	PathChatCompletions = "/v1/chat/completions"
	// PathStreams takes GET to resume and DELETE to cancel, with an escaped
	// stream id behind it.
	PathStreams     = "/v1/streams/"
	PathPrefixes    = "/v1/prefixes"
	PathState       = "/v1/prefixes/state"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
	// PathOperations takes POST with an operation's name behind it, at an application.
	PathOperations = "/v1/operations/"
)

// The headers of requests to back ends.
const (
	HeaderStream         = "Stepseam-Stream"
	HeaderPriority       = "Stepseam-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// The content types of answers.
const (
	contentTypeJSON        = "application/json"
	contentTypeProblem     = "application/problem+json"
	contentTypeEventStream = "text/event-stream"
	contentTypeState       = "application/octet-stream"
)

// ErrorCode is the stable name of a back end's refusal.
type ErrorCode string

// The codes that back ends answer with. Any other code, or none, says nothing
// certain: the request may have run.
const (
	CodeRefused         ErrorCode = "refused"
	CodeDraining        ErrorCode = "draining"
	CodeStreamCancelled ErrorCode = "stream_cancelled"
	CodeStreamUnknown   ErrorCode = "stream_unknown"
	CodeStaleFence      ErrorCode = "stale_fence"
)

// ErrorDocument is a back end's answer to a request that it did not carry out,
// in the form of RFC 9457.
type ErrorDocument struct {
	Title  string    `json:"title"`
	Status int       `json:"status"`
	Detail string    `json:"detail,omitempty"`
	Code   ErrorCode `json:"code"`
}

// Error returns code and detail.
func (d *ErrorDocument) Error() string { return string(d.Code) + ": " + d.Detail }

// GetStatus returns the HTTP status, as huma wants it.
func (d *ErrorDocument) GetStatus() int { return d.Status }

// ContentType makes huma answer with a problem document.
func (d *ErrorDocument) ContentType(string) string { return contentTypeProblem }

// errorKinds pairs sentinels with their codes; the first match counts, so the
// narrower ones stand first.
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

// NewErrorDocument returns the document of err, and false where err is none that
// a back end can answer with: then it has to break the connection.
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

// WriteError answers a request with the document of err; where err is none that
// can be answered with, it breaks the connection, as a handler may.
func WriteError(w http.ResponseWriter, err error) {
	document, answerable := NewErrorDocument(err)
	if !answerable {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", contentTypeProblem)
	w.WriteHeader(document.Status)
	_ = json.NewEncoder(w).Encode(document)
}

// sentinel returns the error that a document stands for.
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

// FormatStreamID writes a stream id as one line: five fields between slashes,
// each escaped. In a URL it has to be escaped once more.
func FormatStreamID(id identity.StreamID) string {
	return strings.Join([]string{
		url.PathEscape(string(id.Call.Program)),
		url.PathEscape(string(id.Call.Branch)),
		strconv.FormatUint(uint64(id.Call.Sequence), 10),
		strconv.FormatUint(uint64(id.Epoch), 10),
		strconv.FormatUint(uint64(id.Attempt), 10),
	}, "/")
}

// streamFields is how many fields FormatStreamID writes.
const streamFields = 5

// ParseStreamID reads what FormatStreamID wrote.
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

// ChatResponse is a whole completion, or one chunk of a streamed one.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// The objects that a ChatResponse can be.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// ChatChoice holds Message in a whole completion, Delta in a chunk.
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

// ChatUsage counts tokens in the shape that OpenAI clients know.
type ChatUsage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails tells how much of the prompt was in the cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// NewChatUsage returns usage in the chat shape.
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

// The marks of the event stream.
const (
	// StreamEnd is the data of the last event of a whole stream.
	StreamEnd = "[DONE]"
	// EventError names an event whose data is an ErrorDocument.
	EventError = "error"
)
