// Package backend defines the interfaces of the back ends, which are model engines and
// application replicas, and implements HTTP clients for them. The emulators in
// internal/emulator implement the same interfaces.
package backend

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// ErrNotDelivered means that the request did not reach the back end.
var ErrNotDelivered = errors.New("backend: request not delivered")

// ErrRefused means that the back end received the request and rejected it.
var ErrRefused = errors.New("backend: refused to run")

// ErrDraining accompanies ErrRefused if the back end is leaving.
var ErrDraining = errors.New("backend: leaving, takes no new work")

// ErrStreamCancelled means that the stream was cancelled before or while it ran.
var ErrStreamCancelled = errors.New("backend: stream was cancelled")

// ErrStreamUnknown means that the engine has no such stream.
var ErrStreamUnknown = errors.New("backend: stream unknown")

// ErrOutcomeUnknown means that no valid response arrived after the request was sent. The
// request may have run, may still be running, or may never have started.
var ErrOutcomeUnknown = errors.New("backend: connection broke, the outcome is unknown")

// ErrStaleFence means that an order's fence is lower than one that the engine has seen.
var ErrStaleFence = errors.New("backend: order carries a stale fence")

// Message is one turn of a conversation, in the shape OpenAI clients use.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest is a request for one completion.
type GenerateRequest struct {
	Stream   identity.StreamID
	Model    string
	Adapter  string
	Messages []Message
	// MaxTokens bounds the completion; it is at least 1.
	MaxTokens int
	// Priority orders work inside the engine; higher runs first.
	Priority int
	// Seed makes the completion deterministic: the same model, messages and seed produce
	// the same tokens on every engine.
	Seed uint64
}

// Token is one generated token, counted from 0 in its stream.
type Token struct {
	Index int
	Text  string
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// GenerateResult is the result of a completed stream.
type GenerateResult struct {
	Text         string
	FinishReason string
	Usage        Usage
}

// LoadReport is a back end's own report of its load. It may be stale.
type LoadReport struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Draining bool `json:"draining"`
	// QueuedPrefillTokens is the number of uncached prompt tokens of waiting requests.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	CacheCapacityTokens int `json:"cache_capacity_tokens"`
	CacheUsedTokens     int `json:"cache_used_tokens"`
	// Models lists the models that are loaded, Adapters the adapters.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// ModelVersions and AdapterVersions are the versions of the models and adapters that
	// were loaded by an order. They omit those that the engine was started with.
	ModelVersions   map[string]string `json:"model_versions,omitempty"`
	AdapterVersions map[string]string `json:"adapter_versions,omitempty"`
	// Fence is the highest fence that the engine has seen since its start, and Loading the
	// loads in progress at the same time.
	Fence   uint64  `json:"fence,omitempty"`
	Loading []Order `json:"loading,omitempty"`
	// AsOf is the time of the report by the engine's clock.
	AsOf time.Time `json:"as_of"`
}

// HeldPrefix is the prefix of one branch of a program in an engine's cache.
type HeldPrefix struct {
	Program identity.ProgramID `json:"program"`
	Branch  identity.BranchID  `json:"branch"`
	Tokens  int                `json:"tokens"`
}

// CacheEventKind is the kind of a change to a cached prefix.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a change of an engine's cache. Events may be late or missing; a gap in
// Number shows missing ones. Numbers also increase over restarts of the engine, with a gap.
type CacheEvent struct {
	Number uint64         `json:"number"`
	Kind   CacheEventKind `json:"kind"`
	// Prefix is the cached prefix after the event; 0 tokens means none.
	Prefix HeldPrefix `json:"prefix"`
}

// OrderKind is the kind of a fenced order.
type OrderKind string

// The kinds of orders that engines accept.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
	// OrderFence raises the engine's fence and changes nothing else.
	OrderFence OrderKind = "fence"
)

// Order changes what an engine serves. An engine rejects an order whose fence is lower than
// one it has seen (ErrStaleFence). A repeated order with the same fence has no further
// effect.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Subject string    `json:"subject"`
	Version string    `json:"version"`
	Fence   uint64    `json:"fence"`
}

// Engine is one model engine replica.
type Engine interface {
	// Generate runs request as a new stream and passes its tokens to onToken in order.
	// When ctx ends, the stream continues at the engine until it is cancelled.
	Generate(ctx context.Context, request GenerateRequest, onToken func(Token) error) (GenerateResult, error)
	// Resume attaches to a stream again, starting at the token with index from. A finished
	// stream can be resumed for a limited time.
	Resume(ctx context.Context, stream identity.StreamID, from int, onToken func(Token) error) (GenerateResult, error)
	// Cancel stops a stream. A stream that arrives after its cancellation is rejected.
	Cancel(ctx context.Context, stream identity.StreamID) error
	// Release evicts the cached prefixes of a program, or of one branch if branch is set.
	// It succeeds if there were none.
	Release(ctx context.Context, program identity.ProgramID, branch identity.BranchID) error
	// CachedPrefixes lists the prefixes in the cache, for the audit.
	CachedPrefixes(ctx context.Context) ([]HeldPrefix, error)
	// Load returns the engine's load report, which may be stale.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events with numbers of at least from.
	CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error)
	// Export returns the cached state of a branch; Import adds it to another engine's cache.
	Export(ctx context.Context, program identity.ProgramID, branch identity.BranchID) ([]byte, error)
	Import(ctx context.Context, program identity.ProgramID, branch identity.BranchID, state []byte) error
	// Order executes a fenced order.
	Order(ctx context.Context, order Order) error
}

// InvokeRequest is a request to run one operation of an application.
type InvokeRequest struct {
	Stream identity.StreamID
	// Operation is the operation's name, and Body its JSON input.
	Operation string
	Body      []byte
	// IdempotencyKey is passed to the application, which may ignore it.
	IdempotencyKey string
}

// Application is one replica of an application, such as a portal.
type Application interface {
	// Invoke runs the operation and returns its JSON output. An error that wraps
	// ErrNotDelivered or ErrRefused means that the operation did not run.
	Invoke(ctx context.Context, request InvokeRequest) ([]byte, error)
}

// ErrNoReport means that a back end does not support load reports.
var ErrNoReport = errors.New("backend: gives no load report")

// LoadReporter is a back end that reports its load. Every Engine implements it; an
// Application may.
type LoadReporter interface {
	Load(ctx context.Context) (LoadReport, error)
}

// LoadOf returns the load report of an application, or ErrNoReport.
func LoadOf(ctx context.Context, application Application) (LoadReport, error) {
	reporter, reports := application.(LoadReporter)
	if !reports {
		return LoadReport{}, ErrNoReport
	}
	return reporter.Load(ctx)
}

// Directory returns a client for the back end at an address.
type Directory interface {
	Engine(address netip.AddrPort) Engine
	Application(address netip.AddrPort) Application
}
