// Package evacuation tracks which zones operators have evacuated. Replicas in an evacuated
// zone get no new requests until the evacuation ends. The package reads no clock and does
// no I/O; times are monotonic readings that the caller passes in.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Change is one operator record: the evacuation of a zone starts or ends.
type Change struct {
	Zone      string
	Evacuated bool
}

// Event is a change that took effect at this node.
type Event struct {
	Change
	// Since is when the zone was evacuated: the earliest time known at which any of the
	// nodes that exchanged snapshots learned of it.
	Since time.Duration
	// LastSendDelay is the time from Since to this node's last request to the zone; 0 if it
	// sent none after Since.
	LastSendDelay time.Duration
}

// Snapshot is the set of evacuated zones at a topic position, as sent to peers.
type Snapshot struct {
	// Position is the offset in the operator topic up to which Zones is known; 0 if nothing
	// is known.
	Position uint64
	// Zones maps each evacuated zone to the time since its evacuation became known.
	Zones map[string]time.Duration
}

// Zones is the set of evacuated zones. It is safe for concurrent use.
//
// Invariant: the set is the state of the operator topic at position. Updates with a lower
// position have no effect.
type Zones struct {
	// current is replaced as a whole; its map is never modified.
	current atomic.Pointer[state]

	// mutex serializes changes and guards sends.
	mutex sync.Mutex
	// sends maps each zone to the time of this node's last request to it.
	sends map[string]time.Duration
}

// state is a set of evacuated zones with the start of each evacuation.
type state struct {
	position uint64
	since    map[string]time.Duration
}

// NewZones returns an empty set at position 0.
func NewZones() *Zones {
	made := &Zones{sends: map[string]time.Duration{}}
	made.current.Store(&state{since: map[string]time.Duration{}})
	return made
}

// Evacuated reports whether a zone is evacuated.
func (z *Zones) Evacuated(zone string) bool {
	_, evacuated := z.current.Load().since[zone]
	return evacuated
}

// AnyEvacuated reports whether any zone is evacuated.
func (z *Zones) AnyEvacuated() bool { return len(z.current.Load().since) > 0 }

// TrySend reports whether a request may be sent to a zone, and if so records now as its
// last send.
func (z *Zones) TrySend(zone string, now time.Duration) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.Evacuated(zone) {
		return false
	}
	z.sends[zone] = now
	return true
}

// LastSend returns the time of this node's last request to a zone; false if there was none.
func (z *Zones) LastSend(zone string) (time.Duration, bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	at, sent := z.sends[zone]
	return at, sent
}

// Replace sets the set from a snapshot of the operator topic. Zones in unreadable have an
// unreadable record and keep their state.
func (z *Zones) Replace(position uint64, evacuated, unreadable []string, now time.Duration) []Event {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	before := z.current.Load()
	if position < before.position {
		return nil
	}
	since := map[string]time.Duration{}
	for _, zone := range evacuated {
		since[zone] = before.sinceOr(zone, now)
	}
	for _, zone := range unreadable {
		if began, known := before.since[zone]; known {
			since[zone] = began
		}
	}
	return z.swap(&state{position: position, since: since})
}

// Apply applies changes in topic order, up to position.
func (z *Zones) Apply(position uint64, changes []Change, now time.Duration) []Event {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	before := z.current.Load()
	if position <= before.position {
		return nil
	}
	since := maps.Clone(before.since)
	for _, change := range changes {
		if !change.Evacuated {
			delete(since, change.Zone)
			continue
		}
		if _, known := since[change.Zone]; !known {
			since[change.Zone] = now
		}
	}
	return z.swap(&state{position: position, since: since})
}

// Merge applies a peer's snapshot if its position is higher. requested is when it was
// requested.
func (z *Zones) Merge(snapshot Snapshot, requested time.Duration) []Event {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	before := z.current.Load()
	if snapshot.Position <= before.position {
		return nil
	}
	since := make(map[string]time.Duration, len(snapshot.Zones))
	for zone, age := range snapshot.Zones {
		since[zone] = before.sinceOr(zone, requested-age)
	}
	return z.swap(&state{position: snapshot.Position, since: since})
}

// sinceOr returns the start of a zone's evacuation, or fallback if it is not evacuated.
func (s *state) sinceOr(zone string, fallback time.Duration) time.Duration {
	if began, known := s.since[zone]; known {
		return began
	}
	return fallback
}

// swap makes a state current and returns the resulting events, sorted by zone. The caller
// must hold the mutex.
func (z *Zones) swap(next *state) []Event {
	before := z.current.Swap(next)
	var events []Event
	for zone, since := range next.since {
		if _, known := before.since[zone]; !known {
			events = append(events, Event{
				Change: Change{Zone: zone, Evacuated: true}, Since: since, LastSendDelay: max(z.sends[zone]-since, 0),
			})
		}
	}
	for zone, since := range before.since {
		if _, still := next.since[zone]; !still {
			events = append(events, Event{Change: Change{Zone: zone}, Since: since})
		}
	}
	slices.SortFunc(events, func(a, b Event) int { return strings.Compare(a.Zone, b.Zone) })
	return events
}

// Snapshot returns the current state, for peers.
func (z *Zones) Snapshot(now time.Duration) Snapshot {
	current := z.current.Load()
	snapshot := Snapshot{Position: current.position, Zones: make(map[string]time.Duration, len(current.since))}
	for zone, since := range current.since {
		snapshot.Zones[zone] = now - since
	}
	return snapshot
}
