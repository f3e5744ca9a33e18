package router

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/routing"
)

// handling is more than the time from a request's arrival, at which histories are measured, until the
// node's clock, which stands still in these tests, is read.
const handling = 500 * time.Millisecond

// A resumption without a record went on at the only version in sight after three of the present
// timeouts, whatever timeout had been in force and however long clients wait.
func TestResumptionsWithoutRecordAreRefusedWhileClientsMayComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		timeouts []time.Duration
		// waits are the times that clients of new streams wait; the one that resumes waits for left.
		waits         []time.Duration
		left          time.Duration
		refused, from time.Duration
	}{
		"after the timeout was lowered":         {[]time.Duration{4 * time.Second, time.Second}, []time.Duration{time.Second}, time.Second, 11 * time.Second, 12 * time.Second},
		"while clients wait longer":             {[]time.Duration{time.Second}, []time.Duration{10 * time.Second, time.Second}, time.Second, 19 * time.Second, 20 * time.Second},
		"while this client waits longer":        {[]time.Duration{time.Second}, []time.Duration{time.Second}, 10 * time.Second, 19 * time.Second, 20 * time.Second},
		"while other nodes may begin streams":   {[]time.Duration{time.Second}, []time.Duration{time.Second}, time.Second, 6 * time.Second, 7 * time.Second},
		"while no client has told how it waits": {[]time.Duration{time.Second}, nil, time.Second, 89 * time.Second, 90 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, events(3, 6, true))
			var now time.Duration
			h.router = h.newRouter("node")
			h.router.config.Now = func() time.Duration { return now }
			h.server.Config.Handler = h.router
			h.publish(0, "v1")
			h.withOrigins()
			for i, timeout := range c.timeouts {
				built, err := routing.Build(routing.Configuration{
					Version: uint64(i + 2), Services: map[string]routing.Service{"s": {Name: "s"}},
					Routes: []routing.Route{{
						Name: "r", Host: "h.example", PathPrefix: "/r/", Kind: routing.KindStreaming, Resumable: true, Timeout: timeout,
						MaxAttempts: 1, WeightedServices: []routing.WeightedService{{Service: "s", Weight: 1}},
					}},
				})
				is.NoErr(err)
				h.router.SetConfiguration(built)
			}
			for i, wait := range c.waits {
				is.NoErr(h.post("/r/x", strconv.Itoa(i), testNames.TimeoutMs, strconv.FormatInt(wait.Milliseconds(), 10)).err)
			}
			resume := func() int {
				return h.post("/r/x", "r", "Last-Event-Id", "2", testNames.TimeoutMs, strconv.FormatInt(c.left.Milliseconds(), 10)).StatusCode
			}
			now = c.refused
			is.Equal(resume(), http.StatusServiceUnavailable)
			now = c.from + handling
			is.Equal(resume(), http.StatusOK)
		})
	}
}

// A stream that its client names went on without its record at the only version that a node had seen for as
// long as the clients that it knew would wait, though another client may wait longer. A service without
// versions has no records.
func TestNamedStreamWithoutRecordWaitsForAsLongAsRecordsLast(t *testing.T) {
	for version, from := range map[string]time.Duration{"v1": origin.MaxLifetime, "": resumptionTimeouts * defaultTimeout} {
		is := is.New(t)
		h := newHarness(t, events(3, 6, true))
		var now time.Duration
		h.router = h.newRouter("node")
		h.router.config.Now = func() time.Duration { return now }
		h.configure(1)
		h.server.Config.Handler = h.router
		h.publish(0, version)
		h.withOrigins()
		resume := func() int {
			return h.post("/resume/x", "r", "Last-Event-Id", "2", "Test-Resumes", "lost", testNames.TimeoutMs, "1000").StatusCode
		}
		now = from - time.Second
		is.Equal(resume(), http.StatusServiceUnavailable)
		now = from + handling
		is.Equal(resume(), http.StatusOK)
	}
}

// A lifetime that is possible no more must not keep resumptions refused for good.
func TestStreamLifetimesAreForgotten(t *testing.T) {
	is := is.New(t)
	var lifetimes streamLifetimes
	lifetimes.observe("r", observedLifetime{time.Minute, true}, 0)
	lifetimes.observe("r", observedLifetime{time.Second, false}, lifetimeEpoch)
	longest, known := lifetimes.of("r", 2*lifetimeEpoch-1)
	is.Equal(longest, time.Minute)
	is.True(known)
	longest, known = lifetimes.of("r", 2*lifetimeEpoch)
	is.Equal(longest, time.Second)
	is.True(!known)
	_, known = lifetimes.of("other", 0)
	is.True(!known)
}
