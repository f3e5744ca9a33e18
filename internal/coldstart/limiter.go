package coldstart

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// Limiter tracks which replicas are cold and limits the requests that this node sends to
// them to the node's quota of the service's rate limit. It is safe for concurrent use.
//
// Invariant: within any quota period a node sends no more requests to a cold replica than
// its quota, and only if it has been among the replica's senders in every membership view
// of the last sendPeriod.
type Limiter struct {
	// mutex guards the fields below.
	mutex    sync.Mutex
	senders  *senders
	replicas map[string]*replicaState
	withheld uint64
	// purgedAt is when removed replicas were last forgotten.
	purgedAt time.Duration
}

// replicaState is the state of one replica.
type replicaState struct {
	service, zone string
	// sequence is the sequence number of the newest registration applied, at updatedAt.
	sequence  uint64
	updatedAt time.Duration
	// coldUntil is reported by the replica itself. Until presumedUntil the replica counts
	// as cold whatever it reports.
	coldUntil, presumedUntil time.Duration
	// sendTimes holds the times of the most recent requests from this node, in order.
	sendTimes []time.Duration
	// sentCold counts the requests sent while the replica was cold.
	sentCold uint64
	// removedAt is the time at which the registration was removed; 0 if it exists.
	removedAt time.Duration
}

// NewLimiter returns a limiter for the given node, without any replicas.
func NewLimiter(self identity.NodeName) *Limiter {
	return &Limiter{senders: newSenders(self), replicas: map[string]*replicaState{}}
}

// SetSeeds sets the addresses of the site's seed nodes. It must be called at the start of
// the node, before SetView.
func (l *Limiter) SetSeeds(seeds []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.senders.seeds = newSeedTracker(seeds)
}

// SetView applies a new membership view.
func (l *Limiter) SetView(view membership.View, now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.senders.setView(view, now)
}

// sequenceTTL is how long a registration takes precedence over ones with lower sequence numbers.
// After that the replica must have begun to count anew, since a delayed registration would have
// arrived before.
const sequenceTTL = 10 * time.Second

// UpdateReplica applies a replica's registration. Registrations with a sequence number
// that is not newer, such as ones delayed by a peer, are ignored. It reports whether the
// replica became cold.
func (l *Limiter) UpdateReplica(replica fleet.Replica, now time.Duration) (becameCold bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state, found := l.replicas[replica.IncarnationID()]
	if !found {
		state = &replicaState{service: replica.Service, zone: replica.Zone}
		l.replicas[replica.IncarnationID()] = state
	} else if replica.Sequence == state.sequence || replica.Sequence < state.sequence && now-state.updatedAt < sequenceTTL {
		return false
	}
	before := state.isCold(now)
	state.sequence, state.updatedAt, state.removedAt = replica.Sequence, now, 0
	state.coldUntil = now + replica.ColdRemaining
	return !before && state.isCold(now)
}

// PresumeZoneCold treats all replicas of a zone as cold for the duration of a cold start,
// whatever they report. It is called when the evacuation of a zone ends, since the
// registrations may not yet show that the replicas are cold.
func (l *Limiter) PresumeZoneCold(zone string, coldDuration func(service string) time.Duration, now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, state := range l.replicas {
		if state.zone == zone {
			state.presumedUntil = max(state.presumedUntil, now+coldDuration(state.service))
		}
	}
}

// removedRetention is how long the state of a removed replica is retained. The
// registration may reappear, and requests sent before still count.
const removedRetention = time.Minute

// purgeInterval is the minimum time between two searches for removed replicas to forget.
const purgeInterval = time.Second

// RemoveReplica records that a replica's registration was removed.
func (l *Limiter) RemoveReplica(instance string, now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now-l.purgedAt >= purgeInterval {
		l.purgedAt = now
		for other, state := range l.replicas {
			if state.removedAt > 0 && now-state.removedAt > removedRetention {
				delete(l.replicas, other)
			}
		}
	}
	if state, found := l.replicas[instance]; found {
		state.removedAt = now
	}
}

// Cold reports whether a replica of a service with the given rate limit counts as cold.
// Without a limit no replica does.
func (l *Limiter) Cold(instance string, limit RateLimit, now time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state, found := l.replicas[instance]
	return found && limit.PerSecond > 0 && state.isCold(now)
}

func (r *replicaState) isCold(now time.Duration) bool { return now < max(r.coldUntil, r.presumedUntil) }

// MaySend reports whether Acquire would currently succeed. It takes no permit.
func (l *Limiter) MaySend(instance string, limit RateLimit, now time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.hasPermit(instance, limit, now)
}

// Acquire takes a permit to send one request to a replica now, and reports whether one
// was available. Requests to warm replicas are counted too, since a replica may turn out
// to be cold.
func (l *Limiter) Acquire(instance string, limit RateLimit, now time.Duration) bool {
	if limit.PerSecond <= 0 {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.hasPermit(instance, limit, now) {
		l.withheld++
		return false
	}
	if state, found := l.replicas[instance]; found {
		state.recordSend(now, limit)
	}
	return true
}

// hasPermit reports whether a permit is available. Replicas without a registration are not
// limited. The caller must hold the mutex.
func (l *Limiter) hasPermit(instance string, limit RateLimit, now time.Duration) bool {
	state, found := l.replicas[instance]
	if !found || limit.PerSecond <= 0 || !state.isCold(now) {
		return true
	}
	quota, isSender := l.senders.quota(instance, limit.PerSecond, now)
	return isSender && quota.permits > 0 && state.sentSince(now-quota.period) < quota.permits
}

// sentSince counts the requests sent after the given time.
func (r *replicaState) sentSince(time time.Duration) int {
	for i := len(r.sendTimes) - 1; i >= 0; i-- {
		if r.sendTimes[i] <= time {
			return len(r.sendTimes) - 1 - i
		}
	}
	return len(r.sendTimes)
}

// recordSend records that a request is sent. It retains only as many send times as any
// quota under the rate limit can count.
func (r *replicaState) recordSend(now time.Duration, limit RateLimit) {
	maxSends := max(int(limit.PerSecond), 1)
	if len(r.sendTimes) >= maxSends {
		r.sendTimes = append(r.sendTimes[:0], r.sendTimes[len(r.sendTimes)-maxSends+1:]...)
	}
	r.sendTimes = append(r.sendTimes, now)
	if r.isCold(now) {
		r.sentCold++
	}
}

// Status describes a replica that counts as cold at this node.
type Status struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	// LeftMs is the remaining time for which it counts as cold, in milliseconds.
	LeftMs int64 `json:"left_ms"`
	// Sender reports whether this node is one of the replica's senders. A sender may send
	// Each requests per PeriodMs milliseconds.
	Sender   bool  `json:"sender"`
	Each     int   `json:"each"`
	PeriodMs int64 `json:"period_ms"`
	// Sent counts the requests that this node sent to the replica while it was cold.
	Sent uint64 `json:"sent"`
}

// Status returns the cold replicas, ordered by instance. limits returns the rate limit of
// a service.
func (l *Limiter) Status(limits func(service string) RateLimit, now time.Duration) []Status {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Status
	for instance, state := range l.replicas {
		limit := limits(state.service)
		if limit.PerSecond <= 0 || !state.isCold(now) || state.removedAt > 0 {
			continue
		}
		quota, isSender := l.senders.quota(instance, limit.PerSecond, now)
		found = append(found, Status{
			Instance: instance, Service: state.service, Zone: state.zone,
			LeftMs: (max(state.coldUntil, state.presumedUntil) - now).Milliseconds(),
			Sender: isSender, Each: quota.permits, PeriodMs: quota.period.Milliseconds(), Sent: state.sentCold,
		})
	}
	slices.SortFunc(found, func(a, b Status) int { return strings.Compare(a.Instance, b.Instance) })
	return found
}

// Counts returns the number of cold replicas of services with a rate limit, and how many
// times no permit was available since the start.
func (l *Limiter) Counts(limits func(service string) RateLimit, now time.Duration) (cold int, withheld uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, state := range l.replicas {
		if limits(state.service).PerSecond > 0 && state.isCold(now) && state.removedAt == 0 {
			cold++
		}
	}
	return cold, l.withheld
}
