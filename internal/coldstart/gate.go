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

// Limiter tells which replicas are cold and lets this node send to them as much as is its
// part of their bound. It is safe for concurrent use.
//
// Invariant: in any period of its share a node sends at most each requests to a cold
// replica, and only while it has been one of the replica's senders by all that it knew of
// the members in the last second.
type Limiter struct {
	// mutex guards all below.
	mutex    sync.Mutex
	roster   *roster
	replicas map[string]*record
	withheld uint64
}

// record is what is known of one replica.
type record struct {
	service, zone string
	// sequence is that of the newest entry heard.
	sequence uint64
	// coldUntil is by the replica's own word, presumedUntil what this node takes for
	// granted until then whatever the replica says.
	coldUntil, presumedUntil time.Duration
	// sends are the last times at which this node sent a request there, in order.
	sends []time.Duration
	// permits counts the requests sent while it was cold.
	permits uint64
	// goneAt is when its entry went; 0 while it is there.
	goneAt time.Duration
}

// NewLimiter returns a gate of a node that knows no replicas yet.
func NewLimiter(self identity.NodeName) *Limiter {
	return &Limiter{roster: newRoster(self), replicas: map[string]*record{}}
}

// SetSeeds names the seeds of the site to a node that starts now. It is called before the
// first view is set.
func (g *Limiter) SetSeeds(seeds []netip.AddrPort, now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.roster.starting = newStarting(seeds, now)
}

// SetView takes the members.
func (g *Limiter) SetView(view membership.View, now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.roster.setView(view, now)
}

// UpdateReplica takes a replica's entry. An entry that is not newer than the last one, such as a
// peer's late word, changes nothing. It tells whether the replica has turned cold by it.
func (g *Limiter) UpdateReplica(replica fleet.Replica, now time.Duration) (turned bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known, found := g.replicas[replica.IncarnationID()]
	if !found {
		known = &record{service: replica.Service, zone: replica.Zone}
		g.replicas[replica.IncarnationID()] = known
	} else if replica.Sequence <= known.sequence {
		return false
	}
	before := known.cold(now)
	known.sequence, known.goneAt = replica.Sequence, 0
	known.coldUntil = now + replica.ColdRemaining
	return !before && known.cold(now)
}

// PresumeZoneCold takes the replicas of a zone for cold as long as a start lasts, whatever their
// entries say: the operators have taken the zone back, and its replicas may have turned
// cold so lately that their entries don't tell yet.
func (g *Limiter) PresumeZoneCold(zone string, lasts func(service string) time.Duration, now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, known := range g.replicas {
		if known.zone == zone {
			known.presumedUntil = max(known.presumedUntil, now+lasts(known.service))
		}
	}
}

// rememberGone is how long a replica is remembered whose entry is gone: the entry may come
// back, and what was sent there counts.
const rememberGone = time.Minute

// RemoveReplica notes that a replica's entry is gone.
func (g *Limiter) RemoveReplica(instance string, now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for other, known := range g.replicas {
		if known.goneAt > 0 && now-known.goneAt > rememberGone {
			delete(g.replicas, other)
		}
	}
	if known, found := g.replicas[instance]; found {
		known.goneAt = now
	}
}

// Cold tells whether a replica of a service with this bound counts as cold.
func (g *Limiter) Cold(instance string, bound RateLimit, now time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known, found := g.replicas[instance]
	return found && bound.PerSecond > 0 && known.cold(now)
}

func (r *record) cold(now time.Duration) bool { return now < max(r.coldUntil, r.presumedUntil) }

// MaySend tells whether this node could send a request to a replica now.
func (g *Limiter) MaySend(instance string, bound RateLimit, now time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.room(instance, bound, now)
}

// Acquire spends the right to send one request to a replica now; false if there is none.
// What is sent to replicas that are warm counts too, since they may prove to be cold.
func (g *Limiter) Acquire(instance string, bound RateLimit, now time.Duration) bool {
	if bound.PerSecond <= 0 {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.room(instance, bound, now) {
		g.withheld++
		return false
	}
	if known, found := g.replicas[instance]; found {
		known.note(now, bound)
	}
	return true
}

// room needs the mutex. A replica of which no entry was heard is not known to be cold.
func (g *Limiter) room(instance string, bound RateLimit, now time.Duration) bool {
	known, found := g.replicas[instance]
	if !found || bound.PerSecond <= 0 || !known.cold(now) {
		return true
	}
	dealt, sends := g.roster.share(instance, bound.PerSecond, now)
	return sends && dealt.each > 0 && known.sentSince(now-dealt.period) < dealt.each
}

// sentSince counts the requests sent after a time.
func (r *record) sentSince(time time.Duration) int {
	for i := len(r.sends) - 1; i >= 0; i-- {
		if r.sends[i] <= time {
			return len(r.sends) - 1 - i
		}
	}
	return len(r.sends)
}

// note remembers a sending, and of those before it as many as the bound could ever count.
func (r *record) note(now time.Duration, bound RateLimit) {
	most := max(int(bound.PerSecond), 1)
	if len(r.sends) >= most {
		r.sends = append(r.sends[:0], r.sends[len(r.sends)-most+1:]...)
	}
	r.sends = append(r.sends, now)
	if r.cold(now) {
		r.permits++
	}
}

// Status is a replica that counts as cold at this node.
type Status struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	// LeftMs is for how long it still counts as cold.
	LeftMs int64 `json:"left_ms"`
	// Sender tells whether this node may send there, Each how many requests in PeriodMs.
	Sender   bool  `json:"sender"`
	Each     int   `json:"each"`
	PeriodMs int64 `json:"period_ms"`
	// Sent counts the requests that this node has sent there while it was cold.
	Sent uint64 `json:"sent"`
}

// Status returns the cold replicas by instance. bounds returns a service's bound.
func (g *Limiter) Status(bounds func(service string) RateLimit, now time.Duration) []Status {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var found []Status
	for instance, known := range g.replicas {
		bound := bounds(known.service)
		if bound.PerSecond <= 0 || !known.cold(now) || known.goneAt > 0 {
			continue
		}
		dealt, sends := g.roster.share(instance, bound.PerSecond, now)
		found = append(found, Status{
			Instance: instance, Service: known.service, Zone: known.zone,
			LeftMs: (max(known.coldUntil, known.presumedUntil) - now).Milliseconds(),
			Sender: sends, Each: dealt.each, PeriodMs: dealt.period.Milliseconds(), Sent: known.permits,
		})
	}
	slices.SortFunc(found, func(a, b Status) int { return strings.Compare(a.Instance, b.Instance) })
	return found
}

// Counts returns how many replicas of bounded services are cold, and how often a request
// was withheld from one.
func (g *Limiter) Counts(bounds func(service string) RateLimit, now time.Duration) (cold int, withheld uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, known := range g.replicas {
		if bounds(known.service).PerSecond > 0 && known.cold(now) && known.goneAt == 0 {
			cold++
		}
	}
	return cold, g.withheld
}
