package routednode

import (
	"sync"
	"time"
)

// freshness tracks when the current configuration was last confirmed to be the newest. A
// confirmation counts from the time at which the store read or the peer request was sent,
// minus the age that a peer reports; any configuration acknowledged before that time is
// therefore in effect here. It is safe for concurrent use.
type freshness struct {
	// mutex guards the fields below.
	mutex sync.Mutex
	// confirmed is the time of the newest confirmation; zero if there is none.
	confirmed time.Time
	// unusable is set if the newest configuration could not be decoded, so that an older
	// one is in effect.
	unusable bool
	// unavailableForAll is set if the store is unavailable to this node and to the peers
	// queried last.
	unavailableForAll bool
}

// setPeersServed records whether the store is available to any of the peers queried last.
func (f *freshness) setPeersServed(served bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unavailableForAll = !served
}

// UnavailableForAll reports whether the store appears to be unavailable to all nodes.
func (f *freshness) UnavailableForAll() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.unavailableForAll
}

// confirm records that the current configuration was the newest at the given time.
func (f *freshness) confirm(at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// setUsable records whether the newest configuration received could be decoded.
func (f *freshness) setUsable(usable bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unusable = !usable
}

// Age returns the time since the last confirmation; false if there is none, or if the
// newest configuration is unusable.
func (f *freshness) Age() (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Since(f.confirmed), !f.confirmed.IsZero() && !f.unusable
}
