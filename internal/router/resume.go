package router

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/routing"
)

var (
	// errVersionChanged means that a replica was restarted with another version after it was
	// selected.
	errVersionChanged = errors.New("router: the replica's version has changed")
	// errVersionGone means that no replica has the version that began a stream.
	errVersionGone = errors.New("router: no replica of the version that began the stream")
	// errVersionUnknown means that a stream can't go on, since the version that began it is not
	// known.
	errVersionUnknown = errors.New("router: the version that began the stream is not known")
	// errOtherService means that a stream was begun by a service that its route no longer leads to.
	errOtherService = errors.New("router: the route no longer leads to the service that began the stream")
	// errNotResumable means that a client resumes a stream of a route whose streams may not go on in another run.
	errNotResumable = errors.New("router: streams of the route may not be resumed")
)

// The reasons of rejected resumptions and of streams that don't go on.
const (
	reasonStreamUnknown     = "stream_unknown"
	reasonStreamConflicting = "stream_conflicting"
	reasonNotResumable      = "stream_not_resumable"
	reasonServiceChanged    = "stream_service_changed"
	reasonVersionGone       = "version_gone"
	reasonVersionUnknown    = "version_unknown"
	reasonOutputUnknown     = "stream_output_unknown"
	reasonOtherTurn         = "stream_of_other_turn"
	reasonResumedElsewhere  = "stream_resumed_elsewhere"
)

// resumptionTimeouts is the least lifetime of a route's streams in multiples of its timeout: a stream
// may have several attempts.
const resumptionTimeouts = 3

func routeLifetime(route *routing.Route) time.Duration {
	return resumptionTimeouts * cmp.Or(route.Timeout, defaultTimeout)
}

// resumptionWindow returns the length of the history that shows that no other version began a stream.
// A stream of a versioned service that its client names has a record from its first event on, for as
// long as records last. Of others, it is the longest lifetime of the route's streams that this node knows of; it has forgotten
// former timeouts and clients if it has just started.
func (r *Router) resumptionWindow(call *call) time.Duration {
	if call.resumes != "" && r.config.Fleet.VersionSpan(onlyService(call.route), r.Now()).Version != "" {
		return origin.MaxLifetime
	}
	longest, known := r.lifetimes.of(call.route.Name, r.Now())
	if !known {
		longest = max(longest, resumptionTimeouts*defaultTimeout)
	}
	return max(longest, routeLifetime(call.route), clientLifetime(call.clientTimeout))
}

// originTimeFraction is the fraction of the remaining time that the search for a stream's origin
// may take, so that a rejected client has time to retry at another node.
const originTimeFraction = 0.2

// OnlyVersion returns for how long all replicas of a service have had one version and the route
// has led to this service alone, as far as this node knows. The view may be outdated.
func (r *Router) OnlyVersion(route, service string) fleet.VersionSpan {
	now := r.Now()
	routeAge, only := r.routes.ageOf(route, service, now)
	span := r.config.Fleet.VersionSpan(service, now)
	span.StreamLifetime, _ = r.lifetimes.of(route, now)
	if !only {
		return fleet.VersionSpan{Several: span.Several, StreamLifetime: span.StreamLifetime}
	}
	span.Age = min(span.Age, routeAge)
	return span
}

// resolveOrigin restricts a resumption to the service and version that began its stream. If it
// returns false, the request has been rejected.
func (r *Router) resolveOrigin(ctx context.Context, reply *reply, call *call) bool {
	if !call.resuming {
		if call.route.Resumable {
			r.lifetimes.observe(call.route.Name, observedLifetime{longest: clientLifetime(call.clientTimeout), byClient: true}, r.Now())
		}
		return true
	}
	if !call.route.Resumable {
		// A replica would begin another run behind the events of the former, or from the start.
		reason := lo.Ternary(call.route.Retain, reasonOutputUnknown, reasonNotResumable)
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reason, retryAfter: unavailableRetryAfter, cause: errNotResumable})
		return false
	}
	began := time.Now()
	found, err := r.findOrigin(ctx, call)
	reply.originWait, reply.originEvidence = time.Since(began), found.Evidence
	if err != nil {
		r.rejectResumption(ctx, reply, err)
		return false
	}
	if !slices.ContainsFunc(call.route.WeightedServices, func(one routing.WeightedService) bool { return one.Service == found.Service }) {
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonServiceChanged, retryAfter: unavailableRetryAfter, cause: errOtherService})
		return false
	}
	call.setService(found.Service)
	call.origin = &found
	if found.Source == origin.SourceOnlyVersion && call.resumes != "" {
		r.config.Origins.Announce(call.streamKey(call.resumes), found.Origin, call.clientTimeout)
	}
	if !r.anyReplica(call, func(*fleet.Replica) bool { return true }) {
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonVersionGone, retryAfter: unavailableRetryAfter, cause: errVersionGone})
		return false
	}
	return true
}

func (r *Router) findOrigin(ctx context.Context, call *call) (origin.Found, error) {
	wanted := origin.Query{Route: call.route.Name, Service: onlyService(call.route), Window: r.resumptionWindow(call), Arrived: call.arrived}
	if call.resumes != "" {
		wanted.Key, wanted.Keyed = call.streamKey(call.resumes), true
	}
	if r.config.Origins == nil {
		return origin.Found{}, origin.ErrUnknown
	}
	waiting, cancel := context.WithTimeout(ctx, time.Duration(float64(call.left())*originTimeFraction))
	defer cancel()
	return r.config.Origins.Resolve(waiting, wanted)
}

func (r *Router) rejectResumption(ctx context.Context, reply *reply, err error) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		reply.rejectLeft(false, err)
	case errors.Is(err, origin.ErrConflicting):
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonStreamConflicting, retryAfter: unavailableRetryAfter, cause: err})
	default:
		// The record may still be on its way, or be known to another node. While the store is away for all,
		// no view is confirmed anywhere.
		reply.reject(http.StatusServiceUnavailable, rejection{reason: reasonStreamUnknown, retryAfter: r.storeRetryAfter(shortRetryAfter), cause: err})
	}
}

// setService sets the service that receives the call.
func (c *call) setService(name string) {
	c.service = c.configuration.Services[name]
	c.service.Name = name
}

// streamKey returns the key of one of the tenant's streams.
func (c *call) streamKey(requestID string) origin.Key {
	tenant := ""
	if c.tenant != nil {
		tenant = c.tenant.Name
	}
	return origin.KeyOf(tenant, requestID)
}

// acceptsVersion reports whether a replica may receive the call. A stream that has begun goes
// on only at the version that began it. If the store has confirmed another node's view in place of this
// node's, an entry here tells no version of a replica that may have restarted under its ID since.
func (c *call) acceptsVersion(replica *fleet.Replica) bool {
	if c.origin == nil {
		return true
	}
	outdated := c.origin.Source == origin.SourceOnlyVersion && !c.origin.Evidence.Confirmed && replica.StartedAtMs != 0
	return !outdated && !replica.VersionUnknown && replica.Version == c.origin.Version
}

// incarnationCheck returns what is required of the process that receives a call. The version of a replica is
// that of the incarnation in its entry: a stream goes on only there, and none that may be resumed begins at
// another one.
func incarnationCheck(call *call) exchange.IncarnationCheck {
	switch {
	case call.origin != nil:
		return exchange.IncarnationConfirmed
	case call.route.Resumable:
		return exchange.IncarnationNotOther
	}
	return exchange.IncarnationUnchecked
}

// recordOrigin records what began a new stream, before its first event is sent to the client.
// The returned function tells other nodes, and must be called once that is sent.
func (r *Router) recordOrigin(stream *stream, attempt *attempt) (announce func()) {
	call, replica := stream.call, &attempt.replica
	if call.origin != nil {
		return func() {}
	}
	stream.began = origin.Origin{Service: call.service.Name, Version: replica.Version}
	stream.entryConfirmed = !replica.VersionUnknown && attempt.response.Incarnation == exchange.IncarnationSame && r.config.Fleet.Confirms(replica)
	stream.versionKnown = stream.entryConfirmed && replica.Version != ""
	if r.config.Origins == nil || !call.route.Resumable || !stream.versionKnown {
		return func() {}
	}
	return r.config.Origins.Record(call.streamKey(call.id), stream.began, call.clientTimeout)
}

// pinToOrigin restricts the rest of a stream to the version that began it. It returns false if
// that is not certain.
func (r *Router) pinToOrigin(ctx context.Context, stream *stream) bool {
	call := stream.call
	if call.origin != nil || !stream.headerSent {
		return true
	}
	if !stream.versionKnown && !r.begunWithoutVersions(ctx, stream) {
		return false
	}
	call.origin = &origin.Found{Origin: stream.began, Source: origin.SourceHere}
	return true
}

// begunWithoutVersions reports whether a stream was begun by a replica without a version, and the service had
// no replica with one from the request's arrival until the first event. Such replicas are interchangeable.
// The store has to confirm that after the first event.
func (r *Router) begunWithoutVersions(ctx context.Context, stream *stream) bool {
	if !stream.entryConfirmed || stream.began.Version != "" || r.config.Origins == nil {
		return false
	}
	waiting, cancel := context.WithTimeout(ctx, time.Duration(float64(stream.call.left())*originTimeFraction))
	defer cancel()
	if r.config.Origins.Confirm(waiting, stream.reply.firstByte) != nil {
		return false
	}
	span := r.config.Fleet.VersionSpan(stream.call.service.Name, r.Now())
	return span.Only && span.Version == "" && span.Age >= time.Since(stream.call.arrived)
}

// continueStream prepares a stream to go on at another replica after a failed attempt. It aborts
// the response if the version that began the stream is not known.
func (r *Router) continueStream(ctx context.Context, stream *stream, failed *attempt) {
	if !r.pinToOrigin(ctx, stream) {
		stream.reply.abort(reasonVersionUnknown, errVersionUnknown)
	}
	if stream.headerSent {
		r.config.Logger.LogAttrs(ctx, slog.LevelInfo, "stream continues at another replica", slog.String("id", stream.call.id),
			slog.String("former", failed.replica.IncarnationID()), slog.String("began_at_version", stream.call.origin.Version), slog.Int64("after_event", stream.lastEvent))
	}
}

// checkOrigin returns a failure if the replica that responds to a resumption no longer has the
// version for which it was selected.
func (r *Router) checkOrigin(call *call, attempt *attempt) *exchange.FailureError {
	if call.origin == nil || r.config.Fleet.Confirms(&attempt.replica) {
		return nil
	}
	return &exchange.FailureError{Outcome: exchange.OutcomeRan, Reason: exchange.ReasonVersion, Status: attempt.response.Status, Cause: errVersionChanged}
}
