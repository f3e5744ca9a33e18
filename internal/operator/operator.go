package operator

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/problem"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/table"
)

// Tables is the table controller as used by Operator.
type Tables interface {
	State() tables.State
	History() []table.Entry
	Version(ctx context.Context, wanted table.Version) (table.Record, error)
	Publish(ctx context.Context, publication tables.Publication) (table.Entry, error)
}

// Programs gives access to all programs of the site.
type Programs interface {
	Get(ctx context.Context, program identity.ProgramID) (api.Program, error)
	Cancel(ctx context.Context, program identity.ProgramID) (api.Program, error)
}

// Config configures an Operator. Self, Board, Peers, Tables, Programs and Registry are
// required.
type Config struct {
	Self       identity.Node
	ShardCount int
	Board      *blackboard.Board
	Peers      peer.Client
	Tables     Tables
	Programs   Programs
	// Registry collects the node's metrics.
	Registry *prometheus.Registry
	// Explain returns the last decision of this node on a call.
	Explain func(call identity.CallID) (serving.Explanation, bool)
	// OwnPrograms returns the programs of all shards that this node owns.
	OwnPrograms func() []api.Program
	// OwnShards returns the number of shards that this node owns.
	OwnShards func() int
	// Drain starts this node's planned stop and returns without waiting for it. If it is
	// nil, drain requests fail.
	Drain func()
	// TableBytes is the maximum size of a table file; 0 means DefaultTableBytes.
	TableBytes int64
	Logger     *slog.Logger
}

// DefaultTableBytes is the default maximum size of a table file.
const DefaultTableBytes = 4 << 20

// bodyGrowth and bodyOverhead bound the size of a publication's JSON: every byte of the table
// may be escaped, and there are other fields.
const (
	bodyGrowth   = 2
	bodyOverhead = 64 << 10
)

// Operator serves the operators' API of one node. It is safe for concurrent use.
type Operator struct{ config Config }

// New returns an Operator and registers its messages and handlers in registry.
func New(config Config, registry *peer.Registry) *Operator {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.TableBytes == 0 {
		config.TableBytes = DefaultTableBytes
	}
	if config.Explain == nil {
		config.Explain = func(identity.CallID) (serving.Explanation, bool) { return serving.Explanation{}, false }
	}
	if config.OwnPrograms == nil {
		config.OwnPrograms = func() []api.Program { return nil }
	}
	if config.OwnShards == nil {
		config.OwnShards = func() int { return 0 }
	}
	o := &Operator{config: config}
	o.register(registry)
	o.registerMetrics()
	return o
}

// Handler returns the HTTP handler for the operators' address.
func (o *Operator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", o.health)
	mux.HandleFunc("GET /readyz", o.readiness)
	mux.Handle("GET /metrics", promhttp.HandlerFor(o.config.Registry, promhttp.HandlerOpts{}))
	description := huma.DefaultConfig("stepseam operators' interface", "1")
	description.CreateHooks = nil // adds no schema links to the documents
	description.Transformers = []huma.Transformer{problem.Transform}
	interfaces := humago.New(mux, description)
	o.tableEndpoints(interfaces)
	o.siteEndpoints(interfaces)
	o.programEndpoints(interfaces)
	return mux
}
