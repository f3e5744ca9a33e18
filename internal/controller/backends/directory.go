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

// Directory is Observe for the controller's own directory, with one check more:
// before a call goes to a back end whose last report is old, as in a large fleet,
// it is asked for a new one, and if that says that it leaves, the call is refused
// here with ErrDraining and not sent.
func (c *Controller) Directory() backend.Directory {
	return observedDirectory{inner: c.config.Directory, observe: c.Observe, confirm: c.confirm}
}

type observedDirectory struct {
	inner   backend.Directory
	observe func(context.Context, Result)
	// confirm may refuse a call before it is sent; nil lets all pass.
	confirm func(context.Context, netip.AddrPort) error
}

func (d observedDirectory) Engine(address netip.AddrPort) backend.Engine {
	return observedEngine{Engine: d.inner.Engine(address), address: address, directory: d}
}

func (d observedDirectory) Application(address netip.AddrPort) backend.Application {
	return observedApplication{Application: d.inner.Application(address), address: address, directory: d}
}

// mayCall returns why a call must not be sent, or nil.
func (d observedDirectory) mayCall(ctx context.Context, address netip.AddrPort) error {
	if d.confirm == nil {
		return nil
	}
	return d.confirm(ctx, address)
}

type observedEngine struct {
	backend.Engine
	address   netip.AddrPort
	directory observedDirectory
}

// Generate implements backend.Engine.
func (e observedEngine) Generate(ctx context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	if err := e.directory.mayCall(ctx, e.address); err != nil {
		return backend.GenerateResult{}, err
	}
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
	e.directory.observe(ctx, observed)
	return result, err
}

// Resume implements backend.Engine. Its times say nothing of the engine's speed,
// since tokens may have waited for it.
func (e observedEngine) Resume(ctx context.Context, stream identity.StreamID, from int, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	started := time.Now()
	result, err := e.Engine.Resume(ctx, stream, from, onToken)
	e.directory.observe(ctx, Result{Address: e.address, Stream: stream, Err: err, Usage: result.Usage, Total: time.Since(started)})
	return result, err
}

type observedApplication struct {
	backend.Application
	address   netip.AddrPort
	directory observedDirectory
}

// Invoke implements backend.Application.
func (a observedApplication) Invoke(ctx context.Context, request backend.InvokeRequest) ([]byte, error) {
	if err := a.directory.mayCall(ctx, a.address); err != nil {
		return nil, err
	}
	started := time.Now()
	answer, err := a.Application.Invoke(ctx, request)
	a.directory.observe(ctx, Result{Address: a.address, Stream: request.Stream, Err: err, Total: time.Since(started)})
	return answer, err
}

// Load lets the observed replica report its load, if it can.
func (a observedApplication) Load(ctx context.Context) (backend.LoadReport, error) {
	return backend.LoadOf(ctx, a.Application)
}
