package routednode

import (
	"sync"
	"time"
)

// freshness is a lease on the configuration: it tells since when nobody has confirmed
// that the configuration in force is the newest. A confirmation counts from the sending
// of the read, or of the question to a peer, that it answers, less the age of what the
// peer knew; so whatever was acknowledged before that time is in force here. It is safe
// for concurrent use.
type freshness struct {
	// mutex guards all below.
	mutex sync.Mutex
	// confirmed is on the monotonic clock; zero if nobody has confirmed yet.
	confirmed time.Time
	// unusable tells that the newest configuration could not be read, so that the one
	// in force is not the newest.
	unusable bool
	// awayForAll tells that the store answers neither this node nor the peers that were
	// asked last.
	awayForAll bool
}

// askedPeers notes whether the store answers any of the peers that were asked.
func (f *freshness) askedPeers(answered bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.awayForAll = !answered
}

// UnavailableForAll tells whether the store answers no other node either, as far as is known.
func (f *freshness) UnavailableForAll() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.awayForAll
}

// confirm notes that the configuration in force was the newest at the given time.
func (f *freshness) confirm(at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// readable notes whether the newest configuration that was heard can be used.
func (f *freshness) readable(usable bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unusable = !usable
}

// Age returns how old the last confirmation is; false if there is none.
func (f *freshness) Age() (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Since(f.confirmed), !f.confirmed.IsZero() && !f.unusable
}
