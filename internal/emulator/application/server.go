package application

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// Control paths of the emulator, which a real application does not have.
const (
	PathFaults = "/faults"
	PathDrain  = "/drain"
	PathTruth  = "/truth"
)

const (
	maxBodyBytes = 4 << 20
	apiVersion   = "1"
)

// NewServer returns the HTTP handler of a: its operations and the control paths that
// inject faults and read the recorded executions. A replica that is down or loses a
// response breaks the connection.
func NewServer(a *Application) http.Handler {
	mux := http.NewServeMux()
	server := &server{application: a}
	mux.HandleFunc("POST "+backend.PathOperations+"{operation}", server.invoke)
	mux.HandleFunc("GET "+backend.PathLoad, server.load)
	config := huma.DefaultConfig("stepseam application stand-in", apiVersion)
	config.CreateHooks = nil // responses carry no links to their schema
	// Bodies without a JSON content type, as curl -d sends them, are parsed as JSON.
	config.Formats = maps.Clone(config.Formats)
	config.Formats["application/x-www-form-urlencoded"] = huma.DefaultJSONFormat
	api := humago.New(mux, config)
	server.register(api)
	return mux
}

type server struct{ application *Application }

func (s *server) invoke(w http.ResponseWriter, r *http.Request) {
	request, err := readInvoke(w, r)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	answer, err := s.application.Invoke(r.Context(), request)
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (s *server) load(w http.ResponseWriter, r *http.Request) {
	report, err := s.application.Load(r.Context())
	if err != nil {
		backend.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func readInvoke(w http.ResponseWriter, r *http.Request) (backend.InvokeRequest, error) {
	input, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return backend.InvokeRequest{}, fmt.Errorf("%w: body: %w", backend.ErrRefused, err)
	}
	var stream identity.StreamID
	if text := r.Header.Get(backend.HeaderStream); text != "" {
		stream, err = backend.ParseStreamID(text)
		if err != nil {
			return backend.InvokeRequest{}, fmt.Errorf("%w: header %s: %w", backend.ErrRefused, backend.HeaderStream, err)
		}
	}
	return backend.InvokeRequest{
		Stream: stream, Operation: r.PathValue("operation"), Body: input,
		IdempotencyKey: r.Header.Get(backend.HeaderIdempotencyKey),
	}, nil
}

type none struct{}

type body[T any] struct{ Body T }

// DrainRequest is the body of a request that sets draining.
type DrainRequest struct {
	Draining bool `json:"draining"`
}

// register registers the control paths.
func (s *server) register(api huma.API) {
	huma.Register(api, huma.Operation{OperationID: "faults", Method: http.MethodGet, Path: PathFaults, Summary: "Read the injected faults"},
		func(context.Context, *none) (*body[Faults], error) {
			return &body[Faults]{Body: s.application.Faults()}, nil
		})
	huma.Register(api, huma.Operation{OperationID: "set-faults", Method: http.MethodPut, Path: PathFaults, Summary: "Replace the injected faults"},
		func(_ context.Context, input *body[Faults]) (*body[Faults], error) {
			s.application.SetFaults(input.Body)
			return &body[Faults]{Body: s.application.Faults()}, nil
		})
	huma.Register(api, huma.Operation{
		OperationID: "drain", Method: http.MethodPut, Path: PathDrain, Summary: "Refuse new work and finish what runs",
		DefaultStatus: http.StatusNoContent,
	}, func(_ context.Context, input *body[DrainRequest]) (*none, error) {
		s.application.SetDraining(input.Body.Draining)
		return nil, nil
	})
	huma.Register(api, huma.Operation{OperationID: "truth", Method: http.MethodGet, Path: PathTruth, Summary: "Read what the replicas executed"},
		func(context.Context, *none) (*body[Truth], error) {
			return &body[Truth]{Body: s.application.Ledger().Truth()}, nil
		})
}
