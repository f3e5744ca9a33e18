package exchange

import "sync/atomic"

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

// surplus counts the connections on which replicas have sent surplus bytes. It is safe for concurrent
// use.
type surplus struct{ counts [surplusPlaces]atomic.Uint64 }

func (s *surplus) record(place SurplusPlace) { s.counts[place].Add(1) }

// Surplus returns how often surplus bytes were seen in a place.
func (c *Client) Surplus(place SurplusPlace) uint64 { return c.pool.surplus.counts[place].Load() }

// RecordForeign records that the body holds bytes of another response.
func (a *Answer) RecordForeign() { a.client.pool.surplus.record(SurplusWithin) }
