// Package distance learns how far the zones of a site are from this node's own, in time.
// It is pure: times are monotonic readings that the caller hands in.
package distance

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultZoneRoundTrip and priorRegion are the round trips to another zone of the own region and
	// to another region until one has been measured.
	DefaultZoneRoundTrip = 1500 * time.Microsecond
	priorRegion          = 40 * time.Millisecond
	// generation is how long the least round trip is looked for. The estimate is the least
	// of the last two generations: a machine that is slow to answer makes a round trip
	// longer and never shorter, and a way that has grown longer counts after both.
	generation = 10 * time.Second
	// fresh is how long a measurement makes another one needless.
	fresh = 3 * time.Second
)

// Path is how a zone is reached.
type Path struct {
	Zone string `json:"zone"`
	// RoundTrip is the time there and back.
	RoundTrip time.Duration `json:"round_trip"`
	// OtherRegion tells that the zone lies in another region.
	OtherRegion bool `json:"other_region"`
	// Measured tells that RoundTrip is no prior.
	Measured bool `json:"measured"`
}

// Map holds the ways from one zone to the others. It is safe for concurrent use.
type Map struct {
	zone string
	// regions tells the region of each zone; zones that are not listed count as near.
	regions map[string]string

	// mutex guards measured.
	mutex    sync.Mutex
	measured map[string]*record
}

// record holds the least round trips of two generations; 0 where there is none.
type record struct {
	began, last       time.Duration
	current, previous time.Duration
}

// NewMap returns a map of a node in zone; regions tells where zones lie.
func NewMap(zone string, regions map[string]string) *Map {
	return &Map{zone: zone, regions: regions, measured: map[string]*record{}}
}

// Observe takes one measured round trip to a zone.
func (m *Map) Observe(zone string, roundTrip, now time.Duration) {
	if roundTrip <= 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, found := m.measured[zone]
	if !found {
		known = &record{began: now}
		m.measured[zone] = known
	}
	if now-known.began >= generation {
		known.previous, known.current, known.began = known.current, 0, now
	}
	known.last = now
	if known.current == 0 || roundTrip < known.current {
		known.current = roundTrip
	}
}

// estimate is the least round trip known; 0 if there is none.
func (r *record) estimate() time.Duration {
	switch {
	case r.current == 0:
		return r.previous
	case r.previous == 0:
		return r.current
	}
	return min(r.current, r.previous)
}

// PathTo returns the way to a zone.
func (m *Map) PathTo(zone string) Path {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.to(zone)
}

// to needs the mutex.
func (m *Map) to(zone string) Path {
	way := Path{Zone: zone, OtherRegion: m.otherRegion(zone)}
	if known, found := m.measured[zone]; found {
		way.RoundTrip, way.Measured = known.estimate(), true
		return way
	}
	switch {
	case zone == m.zone:
	case way.OtherRegion:
		way.RoundTrip = priorRegion
	default:
		way.RoundTrip = DefaultZoneRoundTrip
	}
	return way
}

// otherRegion tells whether a zone is known to lie in another region.
func (m *Map) otherRegion(zone string) bool {
	own, there := m.regions[m.zone], m.regions[zone]
	return own != "" && there != "" && own != there
}

// NeedsMeasurement tells whether the way to another zone is to be measured now.
func (m *Map) NeedsMeasurement(zone string, now time.Duration) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, found := m.measured[zone]
	return zone != m.zone && (!found || now-known.last >= fresh)
}

// Paths returns the ways to the given zones by name.
func (m *Map) Paths(zones []string) []Path {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ways := make([]Path, 0, len(zones))
	for _, zone := range zones {
		ways = append(ways, m.to(zone))
	}
	slices.SortFunc(ways, func(a, b Path) int { return cmp.Compare(a.Zone, b.Zone) })
	return ways
}
