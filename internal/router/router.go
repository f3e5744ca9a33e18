package router

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/clientconn"
	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/distance"
	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/heldbytes"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/quarantine"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/transcript"
)

// Config configures a Router. All fields are required except Regions, Distances,
// Evacuations, ColdStart, Keepers, Limits, Origins, Transcripts, Quarantine, Registerer and those whose
// comments say otherwise.
type Config struct {
	Names    HeaderNames
	Replicas *exchange.Client
	Fleet    *fleet.Directory
	Tracker  *balance.Tracker
	Turns    *coordinator.Service
	// Regions maps zones to regions. Restricted data goes to no zone that it does not
	// contain.
	Regions residency.ZoneRegions
	// Distances returns the network paths to zones; nil treats all zones as near.
	Distances *distance.Map
	// Evacuations reports which zones are evacuated; nil if none ever is.
	Evacuations *evacuation.Zones
	// ColdStart limits the requests to cold replicas; nil sets no limit.
	ColdStart *coldstart.Limiter
	// Zone is the node's own zone. NodeNumber identifies the node and does not change.
	Zone       string
	NodeNumber uint64
	// ScanUpTo is the maximum number of a service's replicas up to which all are
	// considered for a selection. Larger services are sampled. 0 always considers all.
	ScanUpTo int
	// Keepers exchanges load and outcomes with the replicas' aggregators; nil disables
	// that.
	Keepers *aggregator.Service
	// Limits enforces the tenants' rate limits; nil disables them.
	Limits *limits.Service
	// Origins records and finds the version that began each stream; nil if the node resumes no
	// streams of clients.
	Origins *origin.Service
	// Transcripts replicates the output of streams that are persisted and may be resumed; nil if the
	// node resumes no persisted streams.
	Transcripts *transcript.Service
	// Quarantine keeps requests under which replicas end from further ones; nil disables that.
	Quarantine *quarantine.Service
	// Lease is the maximum age of the configuration for serving requests with keys; 0 sets
	// no limit.
	Lease time.Duration
	// Freshness reports the age of the configuration and the availability of the store. It
	// is required if Lease is set.
	Freshness Freshness
	// Now returns a monotonic reading.
	Now func() time.Duration
	// BufferBytes bounds the bytes of buffered request bodies, and separately those of
	// buffered response bodies.
	BufferBytes int64
	// Random returns numbers in [0,1).
	Random     func() float64
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Freshness reports how old the current configuration may be.
type Freshness interface {
	// Age returns the time since the configuration was last confirmed to be the newest. It
	// returns false if it never was.
	Age() (time.Duration, bool)
	// UnavailableForAll reports whether the store is unavailable to all other nodes too,
	// as far as is known.
	UnavailableForAll() bool
}

// Router is the http.Handler for routed requests.
type Router struct {
	config        Config
	splitter      *routing.Splitter
	metrics       *metrics
	configuration atomic.Pointer[routing.Configuration]
	routes        routeHistory
	lifetimes     streamLifetimes
	draining      atomic.Bool
	ownInstances  ownInstances
	// calls is canceled with errStopping by endCalls.
	calls    context.Context
	endCalls context.CancelCauseFunc
	// requests bounds the bytes of request bodies and histories.
	requests *heldbytes.Limit
	// responses bounds the bytes of response bodies that clients have not read yet, of incomplete
	// events and of the output of turns.
	responses *heldbytes.Limit
}

// New returns a router. It answers with status 503 until a configuration is set.
func New(config Config) *Router {
	calls, endCalls := context.WithCancelCause(context.Background())
	return &Router{
		calls: calls, endCalls: endCalls,
		config: config, splitter: routing.NewSplitter(),
		requests: heldbytes.New(config.BufferBytes), responses: heldbytes.New(config.BufferBytes),
		metrics: newMetrics(config.Registerer, config.Replicas),
	}
}

// SetConfiguration installs a configuration unless a version at least as new is installed.
// It reports whether it was installed.
func (r *Router) SetConfiguration(configuration *routing.Configuration) bool {
	for {
		before := r.configuration.Load()
		if before != nil && before.Version >= configuration.Version {
			return false
		}
		if r.configuration.CompareAndSwap(before, configuration) {
			now := r.Now()
			r.routes.update(configuration, now)
			r.lifetimes.reconfigure(before, configuration, now)
			return true
		}
	}
}

// MissedConfigurations records that routes may have led elsewhere unseen until now.
func (r *Router) MissedConfigurations() { r.routes.restart(r.Now()) }

// Configuration returns the current configuration, or nil.
func (r *Router) Configuration() *routing.Configuration { return r.configuration.Load() }

// Drain makes all further responses close their connections.
func (r *Router) Drain() { r.draining.Store(true) }

// EndCalls ends the requests that are being served: those without a response get a status. It is for a
// process that is about to exit.
func (r *Router) EndCalls() { r.endCalls(errStopping) }

// errStopping is the cause of the end of requests by EndCalls.
var errStopping = errors.New("router: the node stops")

// reasonStopping is the reason of requests that EndCalls ended.
const reasonStopping = "stopping"

// Now returns a monotonic reading of the clock that the tracker uses.
func (r *Router) Now() time.Duration { return r.config.Now() }

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	reply := &reply{writer: writer, request: request, router: r}
	defer r.recoverPanic(request, reply)
	if r.draining.Load() {
		reply.closeAfter()
	}
	if r.takenForReplica(request) {
		reply.reject(http.StatusMisdirectedRequest, rejection{reason: "not_a_replica"})
		r.logRejected(request, reply)
		return
	}
	stale := r.checkLease()
	configuration := r.configuration.Load()
	if configuration == nil {
		reply.reject(http.StatusServiceUnavailable, rejection{reason: "no_configuration", retryAfter: longRetryAfter})
		r.logRejected(request, reply)
		return
	}
	if limit := configuration.Limits.HeaderBytes; limit > 0 && headerBytes(request) > limit {
		reply.reject(http.StatusRequestHeaderFieldsTooLarge, rejection{reason: "head_too_large"})
		r.logRejected(request, reply)
		return
	}
	route := configuration.Match(request.Host, request.URL.Path)
	if route == nil {
		reply.reject(http.StatusNotFound, rejection{reason: "no_route"})
		r.logRejected(request, reply)
		return
	}
	tenant, denied := r.authenticate(request, route, configuration, stale)
	if denied != nil {
		reply.reject(denied.status, denied.rejection)
		r.logRejected(request, reply)
		return
	}
	r.serveCall(reply, request, r.newCall(request, route, tenant, configuration), configuration.Limits)
}

// writeGracePeriod is the time after a call's deadline during which a client may still
// read the response. It bounds how long clients that do not read occupy buffers.
const writeGracePeriod = 3 * time.Second

// setWriteDeadline sets the connection's write deadline to writeGracePeriod after the
// call's deadline. The returned function clears it.
func setWriteDeadline(writer http.ResponseWriter, deadline time.Time) (release func()) {
	controller := http.NewResponseController(writer)
	// The error means that the connection does not support deadlines.
	_ = controller.SetWriteDeadline(deadline.Add(writeGracePeriod))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

func (r *Router) serveCall(reply *reply, request *http.Request, call *call, limits routing.Limits) {
	r.metrics.inFlight.Inc()
	defer r.metrics.inFlight.Dec()
	defer setWriteDeadline(reply.writer, call.deadline)()
	call.held = r.requests.Holder("")
	defer call.held.Release()
	body, err := readBodyUntil(reply.writer, request, limits.BodyBytes, call.held, call.deadline)
	if err != nil {
		r.rejectUnreadBody(reply, call, err)
		return
	}
	call.body, call.inputBytes = body, len(body)
	ctx, end := context.WithCancelCause(request.Context())
	defer context.AfterFunc(r.calls, func() { end(errStopping) })()
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	call.cancel = cancel
	defer r.logCompleted(call, reply)
	defer r.endCall(call, reply)
	defer r.recoverPanic(request, reply) // before the line of the request is logged
	switch {
	case r.calls.Err() != nil:
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonStopping, retryAfter: shortRetryAfter})
		return
	case clientconn.PeerClosed(ctx):
		reply.rejectLeft(false, nil)
		return
	}
	if err := r.checkQuarantine(call); err != nil {
		rejectQuarantined(call, reply, err, false)
		return
	}
	if !r.admitTenant(ctx, reply, call) {
		return
	}
	defer call.refundUnlessRan()
	if call.route.Kind == routing.KindStreaming {
		r.serveStream(ctx, reply, call)
		return
	}
	r.servePlain(ctx, reply, call)
}

// rejectUnreadBody ends a request whose body was not read. The server closes the connection unless the
// rest is small.
func (r *Router) rejectUnreadBody(reply *reply, call *call, err error) {
	defer r.logCompleted(call, reply)
	switch {
	case errors.Is(err, heldbytes.ErrFull):
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonBuffersFull, retryAfter: shortRetryAfter})
	case errors.Is(err, errBodyTooLarge):
		reply.reject(http.StatusRequestEntityTooLarge, rejection{reason: "body_too_large"})
	default:
		reply.closeAfter()
		reply.reject(http.StatusRequestTimeout, rejection{reason: "body_not_read", cause: err})
	}
}
