package distance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newMap() *Map {
	return NewMap("a", map[string]string{"a": "r1", "b": "r1", "c": "r2"})
}

func TestDefaultsApplyUntilMeasured(t *testing.T) {
	is := is.New(t)
	m := newMap()
	is.Equal(m.PathTo("a"), Path{Zone: "a"})
	is.Equal(m.PathTo("b"), Path{Zone: "b", RoundTrip: DefaultZoneRoundTrip})
	is.Equal(m.PathTo("c"), Path{Zone: "c", RoundTrip: defaultRegionRoundTrip, OtherRegion: true})
	is.Equal(m.PathTo("unlisted"), Path{Zone: "unlisted", RoundTrip: DefaultZoneRoundTrip})
	is.True(m.NeedsMeasurement("c", 0))
	is.True(!m.NeedsMeasurement("a", 0))
}

func TestSlowMachinesDoNotRaiseEstimate(t *testing.T) {
	is := is.New(t)
	m := newMap()
	for i := range 40 {
		roundTrip := 60 * time.Millisecond
		if i%4 > 0 {
			roundTrip = 900 * time.Millisecond // three of four machines are short of processor time
		}
		m.Observe("c", roundTrip, time.Duration(i)*time.Second)
	}
	is.Equal(m.PathTo("c"), Path{Zone: "c", RoundTrip: 60 * time.Millisecond, OtherRegion: true, Measured: true})
	is.True(!m.NeedsMeasurement("c", 40*time.Second))
	is.True(m.NeedsMeasurement("c", 42*time.Second))
}

func TestLongerPathShowsAfterTwoWindows(t *testing.T) {
	is := is.New(t)
	m := newMap()
	m.Observe("b", time.Millisecond, 0)
	for at := time.Second; at < 3*window; at += time.Second {
		m.Observe("b", 20*time.Millisecond, at)
	}
	is.Equal(m.PathTo("b").RoundTrip, 20*time.Millisecond)
	m.Observe("b", 2*time.Millisecond, 3*window) // a shorter round trip counts immediately
	is.Equal(m.PathTo("b").RoundTrip, 2*time.Millisecond)
	m.Observe("b", 0, 3*window)
	is.Equal(m.PathTo("b").RoundTrip, 2*time.Millisecond)
	is.Equal(len(m.Paths([]string{"c", "a"})), 2)
	is.Equal(m.Paths([]string{"c", "a"})[0].Zone, "a")
}
