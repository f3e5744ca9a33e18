package backends

import (
	"context"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// Result is the outcome of one call at a back end.
type Result struct {
	Address netip.AddrPort
	Stream  identity.StreamID
	Err     error
	// Usage is set if a model call was answered.
	Usage backend.Usage
	// FirstToken and Total are durations since the dispatch; FirstToken is 0 if no
	// token was received.
	FirstToken time.Duration
	Total      time.Duration
}

// Observe returns a directory that wraps inner and reports the outcome of each
// call to observe.
func Observe(inner backend.Directory, observe func(context.Context, Result)) backend.Directory {
	return observedDirectory{inner: inner, observe: observe}
}

// Directory returns the controller's directory wrapped by Observe, with one more
// check: before a call goes to a back end whose last report is stale, as in a
// large fleet, a new report is requested. If the back end is leaving, the call is
// not sent and fails with ErrDraining.
func (c *Controller) Directory() backend.Directory {
	return observedDirectory{inner: c.config.Directory, observe: c.Observe, confirm: c.confirm}
}

type observedDirectory struct {
	inner   backend.Directory
	observe func(context.Context, Result)
	// confirm may refuse a call before it is sent; nil allows all calls.
	confirm func(context.Context, netip.AddrPort) error
}

func (d observedDirectory) Engine(address netip.AddrPort) backend.Engine {
	return observedEngine{Engine: d.inner.Engine(address), address: address, directory: d}
}

func (d observedDirectory) Application(address netip.AddrPort) backend.Application {
	return observedApplication{Application: d.inner.Application(address), address: address, directory: d}
}

// mayCall returns an error if a call must not be sent.
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

// Resume implements backend.Engine. It reports no FirstToken, since the tokens may
// have been buffered and say nothing about the engine's speed.
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

// Load returns the load report of the replica if it supports reports.
func (a observedApplication) Load(ctx context.Context) (backend.LoadReport, error) {
	return backend.LoadOf(ctx, a.Application)
}
