package router

import (
	"sync"
	"time"

	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/routing"
)

const (
	// lifetimeEpoch is the least time for which the longest lifetime of a route is remembered.
	lifetimeEpoch = origin.MaxLifetime
	// unseenFactor is how much longer than all clients known here others may wait.
	unseenFactor = 2
	// lateStart is how long after its last entry was removed other nodes may begin streams at a
	// version: their views are outdated, and lapsed replicas are used for a grace period.
	lateStart = 6 * time.Second
)

// streamLifetimes records, by route, how long after its beginning a stream may be resumed: by the
// timeouts that have been in force, and by how long clients wait. It is safe for concurrent use.
type streamLifetimes struct {
	// mutex guards routes.
	mutex  sync.Mutex
	routes map[string]*streamLifetime
}

// streamLifetime is the longest lifetime of a route's streams in the present and the former epoch.
type streamLifetime struct {
	began           time.Duration
	present, former observedLifetime
}

// observedLifetime is the longest one that was observed. byClient is set if a client told how long it
// waits for a new stream.
type observedLifetime struct {
	longest  time.Duration
	byClient bool
}

func (o observedLifetime) merge(other observedLifetime) observedLifetime {
	return observedLifetime{longest: max(o.longest, other.longest), byClient: o.byClient || other.byClient}
}

// observe adds a lifetime that is possible at now.
func (l *streamLifetimes) observe(route string, seen observedLifetime, now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, found := l.routes[route]
	if !found {
		if l.routes == nil {
			l.routes = map[string]*streamLifetime{}
		}
		known = &streamLifetime{began: now}
		l.routes[route] = known
	}
	known.advance(now)
	known.present = known.present.merge(seen)
}

// advance begins a new epoch if the present one is over.
func (l *streamLifetime) advance(now time.Duration) {
	if elapsed := now - l.began; elapsed >= 2*lifetimeEpoch {
		*l = streamLifetime{began: now}
	} else if elapsed >= lifetimeEpoch {
		*l = streamLifetime{began: now, former: l.present}
	}
}

// of returns the longest lifetime of a route's streams that is known; false if no client has told
// how long it waits.
func (l *streamLifetimes) of(route string, now time.Duration) (longest time.Duration, known bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, exists := l.routes[route]
	if !exists {
		return 0, false
	}
	found.advance(now)
	both := found.present.merge(found.former)
	return both.longest, both.byClient
}

// reconfigure adds the timeouts of a configuration and of the one before, which was in force until
// now, and removes routes that neither has. before may be nil.
func (l *streamLifetimes) reconfigure(before, after *routing.Configuration, now time.Duration) {
	named := map[string]bool{}
	for _, configuration := range []*routing.Configuration{before, after} {
		if configuration == nil {
			continue
		}
		for i := range configuration.Routes {
			route := &configuration.Routes[i]
			if route.Resumable {
				named[route.Name] = true
				l.observe(route.Name, observedLifetime{longest: routeLifetime(route)}, now)
			}
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for route, known := range l.routes {
		if !named[route] && now-known.began >= 2*lifetimeEpoch {
			delete(l.routes, route)
		}
	}
}

// clientLifetime returns how long after its beginning the stream of a client that waits for the given
// time, or of one that has not been seen here, may be resumed.
func clientLifetime(wait time.Duration) time.Duration {
	wait = min(wait, origin.MaxLifetime)
	return max(unseenFactor*wait, wait+lateStart)
}
