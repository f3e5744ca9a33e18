// Package evacuation holds which zones operators have evacuated: their replicas are to
// get no further request until the zone is taken back. It reads no clock and does no
// I/O; times are monotonic readings that the caller hands in.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Change is one record of the operators: a zone is evacuated, or taken back.
type Change struct {
	Zone      string
	Evacuated bool
}

// Event is a change that took effect at this node.
type Event struct {
	Change
	// Since is when the zone was evacuated, as far as is known here: the time at which
	// the first of the nodes that told each other heard of it.
	Since time.Duration
	// LastSendDelay is how long after Since this node still sent a request there; 0 if it
	// did not.
	LastSendDelay time.Duration
}

// Snapshot is what one node tells another.
type Snapshot struct {
	// Position is the offset in the operators' topic up to which Zones is known; 0 if
	// nothing is known.
	Position uint64
	// Zones holds how long ago each evacuated zone was heard of.
	Zones map[string]time.Duration
}

// Zones is the set of evacuated zones. It is safe for concurrent use.
//
// Invariant: the set is that of the operators' topic at position; what comes with an
// older position changes nothing.
type Zones struct {
	// inForce is replaced as a whole; its map is never changed.
	inForce atomic.Pointer[state]

	// mutex makes changes come one at a time, and guards sends.
	mutex sync.Mutex
	// sends holds when this node last sent a request to a zone.
	sends map[string]time.Duration
}

// state is a set of evacuated zones with since when they are.
type state struct {
	position uint64
	since    map[string]time.Duration
}

// NewZones returns a set that knows nothing yet.
func NewZones() *Zones {
	made := &Zones{sends: map[string]time.Duration{}}
	made.inForce.Store(&state{since: map[string]time.Duration{}})
	return made
}

// Evacuated tells whether a zone's replicas are to get nothing.
func (z *Zones) Evacuated(zone string) bool {
	_, evacuated := z.inForce.Load().since[zone]
	return evacuated
}

// AnyEvacuated tells whether any zone is evacuated.
func (z *Zones) AnyEvacuated() bool { return len(z.inForce.Load().since) > 0 }

// TrySend tells whether a request may go to a zone now, and notes that it does.
func (z *Zones) TrySend(zone string, now time.Duration) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.Evacuated(zone) {
		return false
	}
	z.sends[zone] = now
	return true
}

// LastSend returns when this node last sent a request to a zone; false if it never did.
func (z *Zones) LastSend(zone string) (time.Duration, bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	at, sent := z.sends[zone]
	return at, sent
}

// Replace sets the whole, as the newest records up to position tell it. Zones in unclear
// have a record that can't be read: they stay as they were.
func (z *Zones) Replace(position uint64, evacuated, unclear []string, now time.Duration) []Event {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	before := z.inForce.Load()
	if position < before.position {
		return nil
	}
	since := map[string]time.Duration{}
	for _, zone := range evacuated {
		since[zone] = before.sinceOr(zone, now)
	}
	for _, zone := range unclear {
		if began, known := before.since[zone]; known {
			since[zone] = began
		}
	}
	return z.put(&state{position: position, since: since})
}

// Apply takes changes in the order of the topic, up to position.
func (z *Zones) Apply(position uint64, changes []Change, now time.Duration) []Event {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	before := z.inForce.Load()
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
	return z.put(&state{position: position, since: since})
}

// Merge takes what another node has told, if it is newer. asked is when that node was
// asked.
func (z *Zones) Merge(told Snapshot, asked time.Duration) []Event {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	before := z.inForce.Load()
	if told.Position <= before.position {
		return nil
	}
	since := make(map[string]time.Duration, len(told.Zones))
	for zone, age := range told.Zones {
		since[zone] = before.sinceOr(zone, asked-age)
	}
	return z.put(&state{position: told.Position, since: since})
}

// sinceOr returns since when a zone is evacuated, or otherwise.
func (s *state) sinceOr(zone string, otherwise time.Duration) time.Duration {
	if began, known := s.since[zone]; known {
		return began
	}
	return otherwise
}

// put puts a set in force and returns what it changes, by zone. It needs the mutex.
func (z *Zones) put(next *state) []Event {
	before := z.inForce.Swap(next)
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

// Snapshot returns what this node knows, for others.
func (z *Zones) Snapshot(now time.Duration) Snapshot {
	inForce := z.inForce.Load()
	told := Snapshot{Position: inForce.position, Zones: make(map[string]time.Duration, len(inForce.since))}
	for zone, since := range inForce.since {
		told.Zones[zone] = now - since
	}
	return told
}
