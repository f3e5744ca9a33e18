package simulated

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
)

// endpointNetwork implements node.Network for one incarnation of a node.
type endpointNetwork struct{ endpoint *network.Endpoint }

func (n endpointNetwork) Client() peer.Client              { return n.endpoint }
func (n endpointNetwork) Packets() membership.PacketConn   { return n.endpoint.Packets() }
func (n endpointNetwork) Serve() error                     { n.endpoint.Serve(); return nil }
func (n endpointNetwork) Shutdown(_ context.Context) error { return nil }
func (n endpointNetwork) Close()                           { n.endpoint.Kill() }

// gatedLog is a node's log client. Its operations block while the node is paused and
// fail once it was killed.
type gatedLog struct {
	endpoint *network.Endpoint
	log      siteservices.Log
}

func (g gatedLog) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	if err := g.endpoint.Gate(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", siteservices.ErrUnavailable, err)
	}
	offset, err := g.log.Append(ctx, stream, records)
	if gateErr := g.endpoint.Gate(context.WithoutCancel(ctx)); gateErr != nil {
		return 0, fmt.Errorf("%w: %w", siteservices.ErrOutcomeUnknown, gateErr)
	}
	return offset, err
}

func (g gatedLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	if err := g.endpoint.Gate(ctx); err != nil {
		return siteservices.ReadResult{}, fmt.Errorf("%w: %w", siteservices.ErrUnavailable, err)
	}
	result, err := g.log.Read(ctx, stream, from, limit, wait)
	if gateErr := g.endpoint.Gate(context.WithoutCancel(ctx)); gateErr != nil {
		return siteservices.ReadResult{}, fmt.Errorf("%w: %w", siteservices.ErrUnavailable, gateErr)
	}
	return result, err
}

// gatedMachines is a node's client of the machine list, with the same behaviour as
// gatedLog.
type gatedMachines struct {
	endpoint *network.Endpoint
	list     siteservices.MachineList
}

func (g gatedMachines) Machines(ctx context.Context) ([]siteservices.Machine, error) {
	if err := g.endpoint.Gate(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", siteservices.ErrUnavailable, err)
	}
	return g.list.Machines(ctx)
}

// noWeights is a weight store whose queue is always empty.
type noWeights struct{}

func (noWeights) Wait(context.Context, string, string) (time.Duration, error) { return 0, nil }

// errNoSuchBackend is returned for an address without a back end.
var errNoSuchBackend = errors.New("simulated: no back end at this address")

// directory creates a node's clients of the site's back ends.
type directory struct {
	site     *Site
	endpoint *network.Endpoint
	zone     identity.Zone
}

func (d directory) Engine(address netip.AddrPort) backend.Engine {
	return gatedEngine{directory: d, address: address}
}

func (d directory) Application(address netip.AddrPort) backend.Application {
	return gatedApplication{directory: d, address: address}
}

// stallPoll is the interval at which a stalled request checks whether it may continue.
const stallPoll = 10 * time.Millisecond

// gated sends one request to a back end. It blocks while the node is stalled or paused
// before the send, and while the node is paused before the response is processed. It
// fails if the node is partitioned from the back end's zone. A stalled request is sent
// even if its context is cancelled meanwhile, because a paused process can't notice
// that between its last check and the send.
func (d directory) gated(ctx context.Context, zone identity.Zone, request func(context.Context) error) error {
	for d.site.stalled(d.endpoint.Node().Name) {
		ctx = context.WithoutCancel(ctx)
		time.Sleep(stallPoll)
	}
	if err := d.endpoint.Gate(ctx); err != nil {
		return fmt.Errorf("%w: %w", backend.ErrNotDelivered, err)
	}
	if d.site.backendCut(d.endpoint.Node().Name, zone) {
		return fmt.Errorf("%w: network partition", backend.ErrNotDelivered)
	}
	time.Sleep(d.site.plan.BackendLatency)
	err := request(ctx)
	time.Sleep(d.site.plan.BackendLatency)
	if gateErr := d.endpoint.Gate(context.WithoutCancel(ctx)); gateErr != nil {
		return fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, gateErr)
	}
	if d.site.backendCut(d.endpoint.Node().Name, zone) {
		return fmt.Errorf("%w: network partition", backend.ErrOutcomeUnknown)
	}
	return err
}

// gatedEngine is a node's client of one engine.
type gatedEngine struct {
	directory directory
	address   netip.AddrPort
}

func (g gatedEngine) with(ctx context.Context, request func(context.Context, backend.Engine) error) error {
	found, known := g.directory.site.engines[g.address]
	if !known {
		return fmt.Errorf("%w: %w: %s", backend.ErrNotDelivered, errNoSuchBackend, g.address)
	}
	return g.directory.gated(ctx, found.zone, func(ctx context.Context) error { return request(ctx, found.Engine) })
}

// gateTokens delays tokens while the node is paused, and fails the stream if the node
// was killed or partitioned from the engine's zone.
func (g gatedEngine) gateTokens(onToken func(backend.Token) error) func(backend.Token) error {
	endpoint, zone := g.directory.endpoint, g.directory.site.engines[g.address].zone
	return func(token backend.Token) error {
		if err := endpoint.Gate(context.Background()); err != nil {
			return fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, err)
		}
		if g.directory.site.backendCut(endpoint.Node().Name, zone) {
			return fmt.Errorf("%w: network partition", backend.ErrOutcomeUnknown)
		}
		return onToken(token)
	}
}

func (g gatedEngine) Generate(ctx context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (result backend.GenerateResult, err error) {
	err = g.with(ctx, func(ctx context.Context, engine backend.Engine) error {
		result, err = engine.Generate(ctx, request, g.gateTokens(onToken))
		return err
	})
	return result, err
}

func (g gatedEngine) Resume(ctx context.Context, stream identity.StreamID, from int, onToken func(backend.Token) error) (result backend.GenerateResult, err error) {
	err = g.with(ctx, func(ctx context.Context, engine backend.Engine) error {
		result, err = engine.Resume(ctx, stream, from, g.gateTokens(onToken))
		return err
	})
	return result, err
}

func (g gatedEngine) Cancel(ctx context.Context, stream identity.StreamID) error {
	return g.with(ctx, func(ctx context.Context, engine backend.Engine) error { return engine.Cancel(ctx, stream) })
}

func (g gatedEngine) Release(ctx context.Context, program identity.ProgramID, branch identity.BranchID) error {
	return g.with(ctx, func(ctx context.Context, engine backend.Engine) error { return engine.Release(ctx, program, branch) })
}

func (g gatedEngine) CachedPrefixes(ctx context.Context) (held []backend.HeldPrefix, err error) {
	err = g.with(ctx, func(ctx context.Context, engine backend.Engine) error {
		held, err = engine.CachedPrefixes(ctx)
		return err
	})
	return held, err
}

func (g gatedEngine) Load(ctx context.Context) (report backend.LoadReport, err error) {
	err = g.with(ctx, func(ctx context.Context, engine backend.Engine) error { report, err = engine.Load(ctx); return err })
	return report, err
}

func (g gatedEngine) CacheEvents(ctx context.Context, from uint64) (events []backend.CacheEvent, err error) {
	err = g.with(ctx, func(ctx context.Context, engine backend.Engine) error {
		events, err = engine.CacheEvents(ctx, from)
		return err
	})
	return events, err
}

func (g gatedEngine) Export(ctx context.Context, program identity.ProgramID, branch identity.BranchID) (state []byte, err error) {
	err = g.with(ctx, func(ctx context.Context, engine backend.Engine) error {
		state, err = engine.Export(ctx, program, branch)
		return err
	})
	return state, err
}

func (g gatedEngine) Import(ctx context.Context, program identity.ProgramID, branch identity.BranchID, state []byte) error {
	return g.with(ctx, func(ctx context.Context, engine backend.Engine) error {
		return engine.Import(ctx, program, branch, state)
	})
}

func (g gatedEngine) Order(ctx context.Context, order backend.Order) error {
	return g.with(ctx, func(ctx context.Context, engine backend.Engine) error { return engine.Order(ctx, order) })
}

// gatedApplication is a node's client of one application replica.
type gatedApplication struct {
	directory directory
	address   netip.AddrPort
}

func (g gatedApplication) with(ctx context.Context, request func(context.Context, *applicationReplica) error) error {
	found, known := g.directory.site.applications[g.address]
	if !known {
		return fmt.Errorf("%w: %w: %s", backend.ErrNotDelivered, errNoSuchBackend, g.address)
	}
	return g.directory.gated(ctx, found.zone, func(ctx context.Context) error { return request(ctx, found) })
}

func (g gatedApplication) Invoke(ctx context.Context, request backend.InvokeRequest) (answer []byte, err error) {
	err = g.with(ctx, func(ctx context.Context, replica *applicationReplica) error {
		answer, err = replica.Invoke(ctx, request)
		return err
	})
	return answer, err
}

// Load implements backend.LoadReporter.
func (g gatedApplication) Load(ctx context.Context) (report backend.LoadReport, err error) {
	err = g.with(ctx, func(ctx context.Context, replica *applicationReplica) error {
		report, err = replica.Load(ctx)
		return err
	})
	return report, err
}
