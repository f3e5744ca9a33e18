// Package distance estimates the round-trip times from this node's zone to the other zones
// of the site. It reads no clock; times are monotonic readings that the caller passes in.
package distance

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultZoneRoundTrip and defaultRegionRoundTrip are assumed for another zone of the
	// same region, and for another region, until a round trip has been measured.
	DefaultZoneRoundTrip   = 1500 * time.Microsecond
	defaultRegionRoundTrip = 40 * time.Millisecond
	// window is the period over which the minimum round trip is taken. The estimate is the
	// minimum of the current and the previous window: slow machines only lengthen a
	// measured round trip, and a path that has become longer shows after two windows.
	window = 10 * time.Second
	// freshFor is how long no further measurement is needed after one.
	freshFor = 3 * time.Second
)

// Path describes the network path to a zone.
type Path struct {
	Zone string `json:"zone"`
	// RoundTrip is the estimated round-trip time.
	RoundTrip time.Duration `json:"round_trip"`
	// OtherRegion is set if the zone is in another region.
	OtherRegion bool `json:"other_region"`
	// Measured is set if RoundTrip was measured, rather than assumed.
	Measured bool `json:"measured"`
}

// Map contains the paths from one zone to the others. It is safe for concurrent use.
type Map struct {
	zone string
	// regions maps zones to regions. A zone that is not listed counts as one of the same
	// region.
	regions map[string]string

	// mutex guards measured.
	mutex    sync.Mutex
	measured map[string]*record
}

// record contains the minimum round trips of two windows; 0 if there is none.
type record struct {
	began, last       time.Duration
	current, previous time.Duration
}

// NewMap returns the map of a node in zone; regions maps zones to regions.
func NewMap(zone string, regions map[string]string) *Map {
	return &Map{zone: zone, regions: regions, measured: map[string]*record{}}
}

// Observe records a measured round trip to a zone.
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
	if now-known.began >= window {
		known.previous, known.current, known.began = known.current, 0, now
	}
	known.last = now
	if known.current == 0 || roundTrip < known.current {
		known.current = roundTrip
	}
}

// estimate returns the minimum round trip of both windows; 0 if there is none.
func (r *record) estimate() time.Duration {
	switch {
	case r.current == 0:
		return r.previous
	case r.previous == 0:
		return r.current
	}
	return min(r.current, r.previous)
}

// PathTo returns the path to a zone.
func (m *Map) PathTo(zone string) Path {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.path(zone)
}

// path returns the path to a zone; the caller must hold the mutex.
func (m *Map) path(zone string) Path {
	path := Path{Zone: zone, OtherRegion: m.otherRegion(zone)}
	if known, found := m.measured[zone]; found {
		path.RoundTrip, path.Measured = known.estimate(), true
		return path
	}
	switch {
	case zone == m.zone:
	case path.OtherRegion:
		path.RoundTrip = defaultRegionRoundTrip
	default:
		path.RoundTrip = DefaultZoneRoundTrip
	}
	return path
}

// otherRegion reports whether a zone is known to be in another region.
func (m *Map) otherRegion(zone string) bool {
	own, there := m.regions[m.zone], m.regions[zone]
	return own != "" && there != "" && own != there
}

// NeedsMeasurement reports whether the path to another zone has no recent measurement.
func (m *Map) NeedsMeasurement(zone string, now time.Duration) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, found := m.measured[zone]
	return zone != m.zone && (!found || now-known.last >= freshFor)
}

// Paths returns the paths to the given zones, sorted by name.
func (m *Map) Paths(zones []string) []Path {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	paths := make([]Path, 0, len(zones))
	for _, zone := range zones {
		paths = append(paths, m.path(zone))
	}
	slices.SortFunc(paths, func(a, b Path) int { return cmp.Compare(a.Zone, b.Zone) })
	return paths
}
