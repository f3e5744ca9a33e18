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
	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/distance"
	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/routing"
)

// Config is what a Router is made from; all fields but Regions, Distances, Evacuations, Cold, Keepers, Limits, Registerer and
// those that say so are required.
type Config struct {
	Names    HeaderNames
	Replicas *exchange.Client
	Fleet    *fleet.Directory
	Tracker  *balance.Tracker
	Turns    *coordinator.Service
	// Regions tell where zones lie; data with homes goes to no zone that is not listed.
	Regions residency.ZoneRegions
	// Distances tell how far zones are; nil takes all for near.
	Distances *distance.Map
	// Evacuations tell which zones' replicas get nothing; nil where none ever is.
	Evacuations *evacuation.Zones
	// ColdStart lets requests go to cold replicas as far as those bear them; nil lets all go.
	ColdStart *coldstart.Limiter
	// Zone is the node's own, NodeNumber a number of its own.
	Zone       string
	NodeNumber uint64
	// ScanUpTo is up to how many replicas of a service all are looked at for a choice; 0
	// always looks at all. Beyond it a few are gathered.
	ScanUpTo int
	// Keepers tell and ask what all nodes have at replicas; nil where nodes don't.
	Keepers *aggregator.Service
	// Limits keep tenants within their limits; nil where nobody does.
	Limits *limits.Service
	// Lease is how old the configuration may be for requests with keys; 0 sets no bound.
	Lease time.Duration
	// Freshness tells how old the configuration may be; required where Lease is set. nil
	// says nothing of other nodes.
	Freshness Freshness
	// Now is a monotonic reading.
	Now func() time.Duration
	// BufferBytes bounds the bodies of requests that are held at once, and those of answers.
	BufferBytes int64
	// Random returns a number in [0,1).
	Random     func() float64
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Freshness tells how old the configuration in force may be.
type Freshness interface {
	// Age returns how long ago it was the newest, for certain; false if that is not known.
	Age() (time.Duration, bool)
	// UnavailableForAll tells whether the store answers no other node either, as far as is known.
	UnavailableForAll() bool
}

// Router is the http.Handler of routed requests.
type Router struct {
	config        Config
	splitter      *routing.Splitter
	metrics       *metrics
	configuration atomic.Pointer[routing.Configuration]
	draining      atomic.Bool
	// buffered counts the bytes of bodies that are held.
	buffered atomic.Int64
	// answers counts the bytes of answers' bodies that may be held until clients read them.
	answers atomic.Int64
}

// New returns a router without a configuration, which answers 503.
func New(config Config) *Router {
	return &Router{
		config: config, splitter: routing.NewSplitter(),
		metrics: newMetrics(config.Registerer),
	}
}

// SetConfiguration puts a configuration in force, unless a newer one already is. It tells
// whether it did.
func (r *Router) SetConfiguration(configuration *routing.Configuration) bool {
	for {
		before := r.configuration.Load()
		if before != nil && before.Version >= configuration.Version {
			return false
		}
		if r.configuration.CompareAndSwap(before, configuration) {
			return true
		}
	}
}

// Configuration returns the configuration in force, or nil.
func (r *Router) Configuration() *routing.Configuration { return r.configuration.Load() }

// Drain makes every further answer ask the client to leave its connection.
func (r *Router) Drain() { r.draining.Store(true) }

// Now is a monotonic reading, the one that the tracker is given.
func (r *Router) Now() time.Duration { return r.config.Now() }

// ServeHTTP serves one request of a client.
func (r *Router) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !beginRequest(request.Context()) {
		panic(http.ErrAbortHandler) // the connection is being closed; nothing has been passed on
	}
	reply := &reply{writer: writer, router: r}
	if r.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	stale := r.confirmed()
	configuration := r.configuration.Load()
	if configuration == nil {
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: "no_configuration", comeBack: longComeBack})
		r.logRefused(request, reply)
		return
	}
	if limit := configuration.Limits.HeaderBytes; limit > 0 && headBytes(request) > limit {
		reply.refuse(http.StatusRequestHeaderFieldsTooLarge, refusal{reason: "head_too_large"})
		r.logRefused(request, reply)
		return
	}
	route := configuration.Match(request.Host, request.URL.Path)
	if route == nil {
		reply.refuse(http.StatusNotFound, refusal{reason: "no_route"})
		r.logRefused(request, reply)
		return
	}
	tenant, refused := r.authenticate(request, route, configuration, stale)
	if refused != nil {
		reply.refuse(refused.status, refused.refusal)
		r.logRefused(request, reply)
		return
	}
	r.serveCall(reply, request, r.newCall(request, route, tenant, configuration), configuration.Limits)
}

// stalledFor is how long after a call's deadline a client that does not read keeps what is
// held for it. Answers that are ready are delivered late too, and clients that still read do
// so at once.
const stalledFor = 3 * time.Second

// boundWriting ends the writing to a client that does not read some time after the deadline
// of its call, until the returned function is called.
func boundWriting(writer http.ResponseWriter, deadline time.Time) (release func()) {
	controller := http.NewResponseController(writer)
	// A connection without deadlines is left as it is.
	_ = controller.SetWriteDeadline(deadline.Add(stalledFor))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

func (r *Router) serveCall(reply *reply, request *http.Request, call *call, limits routing.Limits) {
	r.metrics.underWay.Inc()
	defer r.metrics.underWay.Dec()
	defer boundWriting(reply.writer, call.deadline)()
	held := max(request.ContentLength, 0)
	defer r.buffered.Add(-held)
	if r.buffered.Add(held) > r.config.BufferBytes {
		reply.refuse(http.StatusServiceUnavailable, refusal{reason: "buffers_full", comeBack: shortComeBack})
		r.logEnd(call, reply)
		return
	}
	body, err := readBodyUntil(reply.writer, request, limits.BodyBytes, call.deadline)
	switch {
	case errors.Is(err, errBodyTooLarge):
		reply.refuse(http.StatusRequestEntityTooLarge, refusal{reason: "body_too_large"})
		r.logEnd(call, reply)
		return
	case err != nil:
		reply.note("body_not_read", err)
		r.logEnd(call, reply)
		panic(http.ErrAbortHandler)
	}
	call.body = body
	ctx, cancel := context.WithDeadline(request.Context(), call.deadline)
	defer cancel()
	defer r.logEnd(call, reply)
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
