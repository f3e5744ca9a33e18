// Package backend holds the clients of the back ends: model engines and
// application replicas. The interfaces here are what the rest of stepseam sees;
// the HTTP clients beside them and the stand-ins of internal/emulator implement
// them.
package backend

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// ErrNotDelivered tells that the request certainly did not reach the back end.
var ErrNotDelivered = errors.New("backend: request not delivered")

// ErrRefused tells that the back end took the request and refused to run it.
var ErrRefused = errors.New("backend: refused to run")

// ErrDraining is an ErrRefused of a back end that is leaving.
var ErrDraining = errors.New("backend: leaving, takes no new work")

// ErrStreamCancelled tells that this stream was cancelled, before or while it ran.
var ErrStreamCancelled = errors.New("backend: stream was cancelled")

// ErrStreamUnknown tells that the engine knows no such stream.
var ErrStreamUnknown = errors.New("backend: stream unknown")

// ErrOutcomeUnknown tells that the connection ended after the request was sent: it may
// have run, be running still, or never have started.
var ErrOutcomeUnknown = errors.New("backend: connection broke, the outcome is unknown")

// ErrStaleFence tells that an order came from a holder that was replaced.
var ErrStaleFence = errors.New("backend: order carries a stale fence")

// Message is one turn of a conversation, in the shape OpenAI clients use.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest asks an engine for one answer.
type GenerateRequest struct {
	Stream   identity.StreamID
	Model    string
	Adapter  string
	Messages []Message
	// MaxTokens bounds the answer; at least 1.
	MaxTokens int
	// Priority orders work inside the engine; higher runs first.
	Priority int
	// Seed makes the answer repeatable: the same model, messages and seed give
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

// GenerateResult ends a stream that ran to its end.
type GenerateResult struct {
	Text         string
	FinishReason string
	Usage        Usage
}

// LoadReport is what an engine says of itself. It lags behind the truth.
type LoadReport struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Draining bool `json:"draining"`
	// QueuedPrefillTokens are the uncached prompt tokens that wait.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	CacheCapacityTokens int `json:"cache_capacity_tokens"`
	CacheUsedTokens     int `json:"cache_used_tokens"`
	// Models lists the models that are loaded, Adapters the adapters.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// ModelVersions and AdapterVersions are the versions of the models and adapters that an order loaded;
	// of what the engine was started with it says nothing.
	ModelVersions   map[string]string `json:"model_versions,omitempty"`
	AdapterVersions map[string]string `json:"adapter_versions,omitempty"`
	// Fence is the highest that the engine has seen since its start; Loading are
	// the loads under way at the same moment.
	Fence   uint64  `json:"fence,omitempty"`
	Loading []Order `json:"loading,omitempty"`
	// AsOf is the engine's own time of the figures.
	AsOf time.Time `json:"as_of"`
}

// HeldPrefix is cache memory that an engine holds for one branch of a program.
type HeldPrefix struct {
	Program identity.ProgramID `json:"program"`
	Branch  identity.BranchID  `json:"branch"`
	Tokens  int                `json:"tokens"`
}

// CacheEventKind tells what happened to a held prefix.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is published late and with gaps; Number shows the gaps. It rises
// over restarts of the engine too, with a gap.
type CacheEvent struct {
	Number uint64         `json:"number"`
	Kind   CacheEventKind `json:"kind"`
	// Prefix tells what the engine holds after the event; 0 tokens is nothing.
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

// Order changes what an engine serves. An engine refuses an order whose fence
// is lower than one it has seen (ErrStaleFence) and treats a repeated order of
// the same fence as done.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Subject string    `json:"subject"`
	Version string    `json:"version"`
	Fence   uint64    `json:"fence"`
}

// Engine is one model engine replica.
type Engine interface {
	// Generate runs request as a new stream. Tokens go to onToken in order.
	// When ctx ends, the stream runs on at the engine until it is cancelled.
	Generate(ctx context.Context, request GenerateRequest, onToken func(Token) error) (GenerateResult, error)
	// Resume attaches to a stream again, from token index from on. A finished
	// stream can be resumed for a while.
	Resume(ctx context.Context, stream identity.StreamID, from int, onToken func(Token) error) (GenerateResult, error)
	// Cancel stops a stream, or refuses it when it arrives later.
	Cancel(ctx context.Context, stream identity.StreamID) error
	// Release frees the cache memory held for a program; for one branch if
	// branch is set. It confirms also if nothing was held.
	Release(ctx context.Context, program identity.ProgramID, branch identity.BranchID) error
	// CachedPrefixes lists the cache memory held, for the audit.
	CachedPrefixes(ctx context.Context) ([]HeldPrefix, error)
	// Load returns the engine's lagging report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events with numbers of from and above.
	CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error)
	// Export copies the prefix of a branch out; Import takes it in elsewhere.
	Export(ctx context.Context, program identity.ProgramID, branch identity.BranchID) ([]byte, error)
	Import(ctx context.Context, program identity.ProgramID, branch identity.BranchID, state []byte) error
	// Order carries out a fenced order.
	Order(ctx context.Context, order Order) error
}

// InvokeRequest asks an application replica to run one operation.
type InvokeRequest struct {
	Stream identity.StreamID
	// Operation names what to do; Body is its JSON input.
	Operation string
	Body      []byte
	// IdempotencyKey is handed on to the application, which need not honour it.
	IdempotencyKey string
}

// Application is one replica of an application, such as a portal.
type Application interface {
	// Invoke runs the operation and returns its JSON answer. An error that
	// wraps ErrNotDelivered or ErrRefused means that it did not run.
	Invoke(ctx context.Context, request InvokeRequest) ([]byte, error)
}

// ErrNoReport tells that a back end gives no load reports.
var ErrNoReport = errors.New("backend: gives no load report")

// LoadReporter is a back end that reports its load. Every Engine does;
// an Application may.
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
