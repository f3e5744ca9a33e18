package router

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/origin"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/balance"
)

// metrics are the Prometheus metrics of requests.
type metrics struct {
	requests       *prometheus.CounterVec
	seconds        *prometheus.HistogramVec
	failedAttempts *prometheus.CounterVec
	responses      *prometheus.CounterVec
	inFlight       prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer, replicas *exchange.Client) *metrics {
	built := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_requests_total", Help: "Requests by kind of route, status and reason of a failure.",
		}, []string{"kind", "status", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "stepseam_request_seconds", Help: "Time to the first byte of an answer, by kind of route.",
			Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"kind"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_failed_attempts_total", Help: "Attempts at replicas that brought no answer, by reason.",
		}, []string{"reason"}),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_replica_responses_total", Help: "Responses of replicas by what delimits them and result: whole, broken, or left by this node.",
		}, []string{"framing", "result"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "stepseam_requests_under_way", Help: "Requests that are being served.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(built.requests, built.seconds, built.failedAttempts, built.responses, built.inFlight)
		for _, place := range exchange.SurplusPlaces() {
			registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "stepseam_replica_surplus_total", Help: "Connections on which a replica sent bytes that belong to no request, by where they were seen.",
				ConstLabels: prometheus.Labels{"seen": place.String()},
			}, func() float64 { return float64(replicas.Surplus(place)) }))
		}
		for _, result := range exchange.Incarnations() {
			registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "stepseam_replica_incarnations_total", Help: "Connections whose replica was asked when it started, by whether it is the one of its entry.",
				ConstLabels: prometheus.Labels{"result": result.String()},
			}, func() float64 { return float64(replicas.Asked(result)) }))
		}
	}
	return built
}

func durationAttr(key string, value time.Duration) slog.Attr {
	return slog.Float64(key+"_ms", float64(value.Microseconds())/1000)
}

func errorAttr(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.String("error", err.Error())
}

// logRejected logs and counts a request that is rejected before a call is built for it.
func (r *Router) logRejected(request *http.Request, reply *reply) {
	r.metrics.requests.WithLabelValues("none", strconv.Itoa(reply.status), reply.reason).Inc()
	version := uint64(0)
	if configuration := r.configuration.Load(); configuration != nil {
		version = configuration.Version
	}
	r.config.Logger.LogAttrs(request.Context(), slog.LevelInfo, "request refused",
		slog.String("id", request.Header.Get(r.config.Names.Replica.RequestID)),
		slog.Int("status", reply.status), slog.String("reason", reply.reason),
		slog.String("host", request.Host), slog.String("path", request.URL.Path), slog.Uint64("version", version),
		errorAttr(reply.cause))
}

// logCompleted logs and counts a call at its end.
func (r *Router) logCompleted(call *call, reply *reply) {
	kind := string(call.route.Kind)
	r.metrics.requests.WithLabelValues(kind, strconv.Itoa(reply.status), reply.reason).Inc()
	if !reply.firstByte.IsZero() {
		r.metrics.seconds.WithLabelValues(kind).Observe(reply.firstByte.Sub(call.arrived).Seconds())
	}
	attributes := []slog.Attr{
		slog.String("id", call.id), slog.Int("status", reply.status), slog.String("route", call.route.Name),
		slog.Uint64("version", call.version), slog.String("service", call.service.Name),
		slog.String("replica", reply.replica), slog.Int("attempts", reply.attempts),
		durationAttr("took", time.Since(call.arrived)), durationAttr("left", call.left()), slog.Int("bytes", reply.bytes),
	}
	if !reply.firstByte.IsZero() {
		attributes = append(attributes, durationAttr("first_byte", reply.firstByte.Sub(call.arrived)))
	}
	if call.prompt.Tokens > 0 {
		attributes = append(
			attributes, slog.Int("prompt", call.prompt.Tokens), slog.Int("uncached", reply.expected.UncachedTokens),
			slog.Int("unread_ahead", reply.expected.TokensAhead), slog.Int("beside", reply.expected.OtherRequests),
			slog.String("keeper_asked", aggregatorLabel(reply.aggregated)), slog.Bool("cold", reply.cold),
			slog.String("resident", call.prompt.CacheLocation.Instance), slog.Float64("expected_first_ms", reply.expected.FirstMilliseconds),
		)
	}
	if call.given > 0 {
		attributes = append(attributes, durationAttr("sent_after", call.sendBegan.Sub(call.arrived)), durationAttr("given", call.given))
	}
	if reply.response != nil {
		attributes = append(attributes, responseAttrs(reply.response)...)
	}
	if reply.replicaVersion != "" {
		attributes = append(attributes, slog.String("replica_version", reply.replicaVersion))
	}
	if call.resuming {
		attributes = append(attributes, slog.Int64("last_event", call.lastEvent), slog.String("resumes", truncate(call.resumes)), durationAttr("origin", reply.originWait))
	}
	if call.origin != nil {
		attributes = append(
			attributes, slog.String("began_at_version", call.origin.Version), slog.String("origin_source", string(call.origin.Source)),
			slog.String("origin_node", string(call.origin.Node)),
		)
	}
	attributes = append(attributes, evidenceAttrs(&reply.originEvidence)...)
	if call.tenant != nil {
		attributes = append(attributes, slog.String("tenant", call.tenant.Name))
	}
	if call.turn.program != "" {
		attributes = append(attributes, slog.String("program", string(call.turn.program)))
	}
	if call.turn.previous != "" {
		attributes = append(attributes, slog.String("previous", truncate(string(call.turn.previous))))
	}
	if call.turn.budgeted {
		attributes = append(
			attributes, slog.Uint64("budget", uint64(call.turn.budget)), slog.Uint64("most", uint64(call.maxTokens)),
			slog.Uint64("charged", reply.charged), slog.Int("events", reply.events), durationAttr("finish", call.programTimeLeft), durationAttr("ledger", reply.ledgerWait),
			slog.String("home", reply.coordinator), slog.Bool("ahead", reply.unlogged),
		)
	}
	if reply.reason != "" {
		attributes = append(attributes, slog.String("reason", reply.reason), slog.Bool("cut", reply.aborted), errorAttr(reply.cause))
	}
	attributes = append(attributes, r.quarantineAttrs(call, reply)...)
	r.config.Logger.LogAttrs(context.Background(), slog.LevelInfo, "request ended", attributes...)
}

// evidenceAttrs describes what a resumption without a record went on by, or was refused for; nothing for
// others.
func evidenceAttrs(evidence *origin.Evidence) []slog.Attr {
	if evidence.Window == 0 {
		return nil
	}
	described := []slog.Attr{
		durationAttr("only_here", evidence.Here), durationAttr("only_there", evidence.There), durationAttr("only_required", evidence.Window),
		slog.Bool("view_confirmed", evidence.Confirmed), slog.String("view_confirmed_by", string(evidence.ConfirmedBy)), slog.Int("nodes_asked", evidence.Asked), slog.Int("nodes_answered", evidence.Answered),
	}
	if evidence.ViewKnown {
		described = append(described, durationAttr("view_age", evidence.ViewAge))
	}
	return described
}

// responseAttrs describes the transfer of a replica's response.
func responseAttrs(response *exchange.Answer) []slog.Attr {
	return []slog.Attr{
		slog.String("framing", string(response.Framing)), slog.Bool("reused", response.Reused), slog.Int64("received", response.Received()),
		slog.String("incarnation", response.Incarnation.String()),
	}
}

// logEvents logs what was seen in the events of a replica.
func (r *Router) logEvents(ctx context.Context, stream *stream, attempt *attempt, message string, more ...slog.Attr) {
	r.config.Logger.LogAttrs(ctx, slog.LevelInfo, message, append([]slog.Attr{
		slog.String("id", stream.call.id), slog.String("replica", attempt.replica.IncarnationID()), slog.String("framing", string(attempt.response.Framing)),
		slog.Bool("reused", attempt.response.Reused), slog.Int64("sent_event", stream.lastEvent),
	}, more...)...)
}

// maxLoggedID bounds the length of client-supplied IDs in the log.
const maxLoggedID = 80

func truncate(id string) string { return id[:min(len(id), maxLoggedID)] }

// aggregatorLabel returns the log value for the aggregator's response about the selected
// replica.
func aggregatorLabel(state *balance.AggregatedState) string {
	switch {
	case state == nil:
		return "none"
	case state.Complete:
		return "settled"
	}
	return "unsettled"
}
