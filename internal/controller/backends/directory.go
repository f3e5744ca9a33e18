package backends

import (
	"context"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// Result is how one call ended at a back end.
type Result struct {
	Address netip.AddrPort
	Stream  identity.StreamID
	Err     error
	// Usage is set where a model call was answered.
	Usage backend.Usage
	// FirstToken and Total are counted from the dispatch; FirstToken is 0 where
	// no token came.
	FirstToken time.Duration
	Total      time.Duration
}

// Observe returns a directory whose clients tell observe how each call ended
// and are inner's otherwise. So whoever dispatches through it feeds a Controller
// without knowing of it.
func Observe(inner backend.Directory, observe func(context.Context, Result)) backend.Directory {
	return observedDirectory{inner: inner, observe: observe}
}

type observedDirectory struct {
	inner   backend.Directory
	observe func(context.Context, Result)
}

func (d observedDirectory) Engine(address netip.AddrPort) backend.Engine {
	return observedEngine{Engine: d.inner.Engine(address), address: address, observe: d.observe}
}

func (d observedDirectory) Application(address netip.AddrPort) backend.Application {
	return observedApplication{Application: d.inner.Application(address), address: address, observe: d.observe}
}

type observedEngine struct {
	backend.Engine
	address netip.AddrPort
	observe func(context.Context, Result)
}

// Generate implements backend.Engine.
func (e observedEngine) Generate(ctx context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	started := time.Now()
	observed := Result{Address: e.address, Stream: request.Stream}
	result, err := e.Engine.Generate(ctx, request, func(token backend.Token) error {
		if observed.FirstToken == 0 {
			observed.FirstToken = time.Since(started)
		}
		if onToken == nil {
			return nil
		}
		return onToken(token)
	})
	observed.Total, observed.Err, observed.Usage = time.Since(started), err, result.Usage
	e.observe(ctx, observed)
	return result, err
}

// Resume implements backend.Engine. Its times say nothing of the engine's speed,
// since tokens may have waited for it.
func (e observedEngine) Resume(ctx context.Context, stream identity.StreamID, from int, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	started := time.Now()
	result, err := e.Engine.Resume(ctx, stream, from, onToken)
	e.observe(ctx, Result{Address: e.address, Stream: stream, Err: err, Usage: result.Usage, Total: time.Since(started)})
	return result, err
}

type observedApplication struct {
	backend.Application
	address netip.AddrPort
	observe func(context.Context, Result)
}

// Invoke implements backend.Application.
func (a observedApplication) Invoke(ctx context.Context, request backend.InvokeRequest) ([]byte, error) {
	started := time.Now()
	answer, err := a.Application.Invoke(ctx, request)
	a.observe(ctx, Result{Address: a.address, Stream: request.Stream, Err: err, Total: time.Since(started)})
	return answer, err
}

// Load lets the observed replica report its load, if it can.
func (a observedApplication) Load(ctx context.Context) (backend.LoadReport, error) {
	return backend.LoadOf(ctx, a.Application)
}
