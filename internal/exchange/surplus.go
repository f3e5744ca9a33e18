package exchange

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// surplusTTL is how long a replica that has sent surplus bytes gets new connections for requests that
	// are not repeatable and for streams.
	surplusTTL = 30 * time.Second
	// maxSurplusTargets bounds the replicas that are known to have sent surplus bytes.
	maxSurplusTargets = 1 << 10
)

// SurplusPlace is where bytes of a replica were seen that belong to no request.
type SurplusPlace int

// The places of surplus bytes.
const (
	// SurplusBehind is right behind a whole response.
	SurplusBehind SurplusPlace = iota
	// SurplusIdle is on a connection that rested.
	SurplusIdle
	// SurplusSkipped is a whole response to an earlier request, before the one that was expected.
	SurplusSkipped
	// SurplusWithin is within a response.
	SurplusWithin
	surplusPlaces
)

// String returns the name of the place in metrics.
func (p SurplusPlace) String() string {
	return [surplusPlaces]string{"behind", "idle", "skipped", "within"}[p]
}

// SurplusPlaces returns all places.
func SurplusPlaces() []SurplusPlace {
	return []SurplusPlace{SurplusBehind, SurplusIdle, SurplusSkipped, SurplusWithin}
}

// surplus records which replicas have sent surplus bytes. It is safe for concurrent use.
type surplus struct {
	counts [surplusPlaces]atomic.Uint64

	// mutex guards last.
	mutex sync.Mutex
	// last is when a replica was last seen to have sent some.
	last map[Target]time.Time
}

func (s *surplus) record(target Target, place SurplusPlace) {
	s.counts[place].Add(1)
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.last == nil {
		s.last = map[Target]time.Time{}
	}
	s.last[target] = now
	if len(s.last) <= maxSurplusTargets {
		return
	}
	oldest, since := target, now
	for one, seen := range s.last {
		if seen.Before(since) {
			oldest, since = one, seen
		}
	}
	delete(s.last, oldest)
}

// lately reports whether a replica has sent surplus bytes within surplusTTL.
func (s *surplus) lately(target Target, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen, known := s.last[target]
	if known && now.Sub(seen) > surplusTTL {
		delete(s.last, target)
		return false
	}
	return known
}

// Surplus returns how often surplus bytes were seen in a place.
func (c *Client) Surplus(place SurplusPlace) uint64 { return c.pool.surplus.counts[place].Load() }

// RecordForeign records that the body holds bytes of another response.
func (a *Answer) RecordForeign() {
	a.client.pool.surplus.record(a.connection.target, SurplusWithin)
}
