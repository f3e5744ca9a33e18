package engine

import (
	"context"
	"fmt"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// none is a request or a response without content.
type none struct{}

// body is a JSON response.
type body[T any] struct{ Body T }

func respond[T any](value T, err error) (*body[T], error) {
	if err != nil {
		return nil, answerable(err)
	}
	return &body[T]{Body: value}, nil
}

func operation(id, method, path, summary string, status int) huma.Operation {
	return huma.Operation{
		OperationID: id, Method: method, Path: path, Summary: summary, DefaultStatus: status, MaxBodyBytes: maxBodyBytes,
	}
}

// registerEngine registers the JSON requests of backend.Engine.
func (s *server) registerEngine(api huma.API) {
	huma.Register(api, operation("cancel", http.MethodDelete, backend.PathStreams+"{id}", "Cancel a stream, arrived or not", http.StatusNoContent),
		func(ctx context.Context, input *struct {
			ID string `path:"id"`
		},
		) (*none, error) {
			id, err := backend.ParseStreamID(input.ID)
			if err != nil {
				return nil, answerable(fmt.Errorf("%w: %w", backend.ErrRefused, err))
			}
			return nil, answerable(s.engine.Cancel(ctx, id))
		})
	huma.Register(api, operation("release", http.MethodDelete, backend.PathPrefixes, "Free the cache memory of a program or branch", http.StatusNoContent),
		func(ctx context.Context, input *struct {
			Program string `query:"program"`
			Branch  string `query:"branch"`
		},
		) (*none, error) {
			if input.Program == "" {
				return nil, answerable(fmt.Errorf("%w: %w", backend.ErrRefused, errNoProgram))
			}
			return nil, answerable(s.engine.Release(ctx, identity.ProgramID(input.Program), identity.BranchID(input.Branch)))
		})
	huma.Register(api, operation("held", http.MethodGet, backend.PathPrefixes, "List the cache memory held", http.StatusOK),
		func(ctx context.Context, _ *none) (*body[[]backend.HeldPrefix], error) {
			return respond(s.engine.CachedPrefixes(ctx))
		})
	huma.Register(api, operation("load", http.MethodGet, backend.PathLoad, "Read the lagging load report", http.StatusOK),
		func(ctx context.Context, _ *none) (*body[backend.LoadReport], error) {
			return respond(s.engine.Load(ctx))
		})
	huma.Register(api, operation("cache-events", http.MethodGet, backend.PathCacheEvents, "Read cache events, late and with gaps", http.StatusOK),
		func(ctx context.Context, input *struct {
			From uint64 `query:"from"`
		},
		) (*body[[]backend.CacheEvent], error) {
			events, err := s.engine.CacheEvents(ctx, input.From)
			return respond(append([]backend.CacheEvent{}, events...), err)
		})
	huma.Register(api, operation("order", http.MethodPost, backend.PathOrders, "Carry out a fenced order", http.StatusNoContent),
		func(ctx context.Context, input *body[backend.Order]) (*none, error) {
			return nil, answerable(s.engine.Order(ctx, input.Body))
		})
}

// DrainRequest is the body of a request that sets draining.
type DrainRequest struct {
	Draining bool `json:"draining"`
}

// registerStandIn registers the control paths.
func (s *server) registerStandIn(api huma.API) {
	huma.Register(api, operation("faults", http.MethodGet, PathFaults, "Read the injected faults", http.StatusOK),
		func(context.Context, *none) (*body[Faults], error) {
			return respond(s.engine.Faults(), nil)
		})
	huma.Register(api, operation("set-faults", http.MethodPut, PathFaults, "Replace the injected faults", http.StatusOK),
		func(_ context.Context, input *body[Faults]) (*body[Faults], error) {
			s.engine.SetFaults(input.Body)
			return respond(s.engine.Faults(), nil)
		})
	huma.Register(api, operation("restart", http.MethodPost, PathRestart, "Lose cache, streams and orders", http.StatusNoContent),
		func(context.Context, *none) (*none, error) {
			s.engine.Restart()
			return nil, nil
		})
	huma.Register(api, operation("drain", http.MethodPut, PathDrain, "Refuse new work and finish what runs", http.StatusNoContent),
		func(_ context.Context, input *body[DrainRequest]) (*none, error) {
			s.engine.SetDraining(input.Body.Draining)
			return nil, nil
		})
	huma.Register(api, operation("truth", http.MethodGet, PathTruth, "Read what the engine itself saw", http.StatusOK),
		func(context.Context, *none) (*body[Truth], error) {
			return respond(s.engine.Truth(), nil)
		})
}
