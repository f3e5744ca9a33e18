package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/routing"
)

// publish publishes the replicas with the given versions, and removes those that are "gone".
func (h *harness) publish(now time.Duration, versions ...string) {
	var all []fleet.Replica
	for i, version := range versions {
		if version == "gone" {
			h.fleet.Remove(string(rune('a'+i)), 0, now)
			continue
		}
		published := fleet.Replica{
			Instance: string(rune('a' + i)), Service: "s", Address: h.replicas[i].Address, Zone: "near",
			State: fleet.StateReady, Version: version, VersionUnknown: version == "unknown",
		}
		if i > 0 {
			published.Zone = "far"
		}
		all = append(all, published)
	}
	h.fleet.Replace(all, now)
}

// withOrigins gives the router records of streams of its own.
func (h *harness) withOrigins() *origin.Service { return h.addOrigins(h.router) }

func (h *harness) addOrigins(router *Router) *origin.Service {
	origins := origin.New(origin.Config{Self: "node", Now: router.config.Now, Logger: router.config.Logger})
	origins.SetVersions(func(route, service string) fleet.VersionSpan {
		span := router.OnlyVersion(route, service)
		span.Confirmed = h.confirmations.last()
		return span
	})
	origins.SetConfirm(h.confirmations.confirm)
	router.config.Origins = origins
	return origins
}

// confirmations is a store that confirms views at once, unless it is away.
type confirmations struct {
	// mutex guards all fields below.
	mutex     sync.Mutex
	away      bool
	confirmed time.Time
	reads     int
	// before is called before a view is confirmed; it may be nil.
	before func()
}

var errStoreAway = errors.New("the store is away")

// confirm implements origin.Confirm.
func (c *confirmations) confirm(_ context.Context, since time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case !c.confirmed.Before(since):
		return nil
	case c.away:
		return errStoreAway
	}
	c.reads, c.confirmed = c.reads+1, time.Now()
	if c.before != nil {
		c.before()
	}
	return nil
}

func (c *confirmations) last() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.confirmed
}

func (c *confirmations) setAway(away bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.away = away
}

func (h *harness) received(i int) int { return len(h.replicas[i].Received()) }

// A stream went on at a replica of any version after its replica had broken off.
func TestStreamContinuesWithinAnswerOnlyAtItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		versions  []string
		continues int
	}{
		"at the same version":                   {[]string{"v1", "v2", "v1"}, 2},
		"not at another":                        {[]string{"v1", "v2", "v2"}, 0},
		"not at an unknown version":             {[]string{"v1", "unknown", "unknown"}, 0},
		"not without knowing its own":           {[]string{"unknown", "v1", "unknown"}, 0},
		"not without a version beside versions": {[]string{"", "v1", ""}, 0},
		"without versions at any":               {[]string{"", "", "gone"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, events(1, 3, false), events(4, 6, true), events(4, 6, true))
			h.publish(0, c.versions...)
			got := h.post("/resume/x", "1")
			is.Equal(got.err == nil, c.continues > 0)
			for i := 1; i < 3; i++ {
				is.Equal(h.received(i) == 1, i == c.continues)
			}
		})
	}
}

// The version that counts is that of the first event, not of the first replica that was asked.
func TestVersionOfTheFirstEventCounts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(*replica.Exchange) bool { return false }, events(1, 3, true))
	h.publish(0, "v1", "v2")
	h.withOrigins()
	is.NoErr(h.post("/resume/x", "1").err)
	is.Equal(h.received(0), 1) // it sent no event
	is.Equal(h.received(1), 1)
	is.NoErr(h.post("/resume/x", "2", "Last-Event-Id", "3", "Test-Resumes", "1").err)
	is.Equal(h.received(0), 1)
	is.Equal(h.received(1), 2)
}

// Clients' resumptions were routed as new streams.
func TestResumptionGoesToTheVersionThatBeganTheStream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, true), events(1, 3, true))
	h.publish(0, "v1", "v2")
	h.withOrigins()
	is.NoErr(h.post("/resume/x", "1").err)
	is.Equal(h.received(0), 1) // the near one
	h.publish(0, "gone", "v2")
	gone := h.post("/resume/x", "2", "Last-Event-Id", "2", "Test-Resumes", "1")
	is.Equal(gone.StatusCode, http.StatusServiceUnavailable)
	is.Equal(gone.body, reasonVersionGone+"\n")
	is.Equal(h.received(1), 0)
	h.publish(0, "v1", "v2")
	is.NoErr(h.post("/resume/x", "3", "Last-Event-Id", "2", "Test-Resumes", "1").err) // names the first attempt again
	is.Equal(h.received(0), 2)
	is.Equal(h.replicas[0].Received()[1].Header.Get("Last-Event-Id"), "2")
}

func TestResumptionsThatAreNotCertainAreRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, true), events(1, 3, true))
	h.publish(0, "v1", "v2")
	h.withOrigins()
	is.NoErr(h.post("/resume/x", "1").err)
	for _, header := range [][]string{
		{"Last-Event-Id", "2"},
		{"Last-Event-Id", "2", "Test-Resumes", "never"},
		{"Last-Event-Id", "2", "Test-Resumes", "2"}, // a later attempt, not the first
		{"Last-Event-Id", "not a number"},
		{"Last-Event-Id", ""},
	} {
		began := time.Now()
		got := h.post("/resume/x", "2", header...)
		is.Equal(got.StatusCode, http.StatusServiceUnavailable)
		is.Equal(got.body, reasonStreamUnknown+"\n")
		is.True(got.Header.Get("Retry-After") != "")
		is.True(time.Since(began) < 500*time.Millisecond)
	}
	is.Equal(h.received(0)+h.received(1), 1)
}

// A split route drew the service of a resumption anew.
func TestResumptionOfSplitRouteGoesToItsService(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, true), events(1, 3, true))
	h.publish(0, "v1", "v1")
	origins := h.withOrigins()
	services := func(version uint64, split ...routing.WeightedService) {
		built, err := routing.Build(routing.Configuration{
			Version: version, Services: map[string]routing.Service{"s": {Name: "s"}, "other": {Name: "other"}},
			Routes: []routing.Route{{
				Name: "split", Host: "h.example", PathPrefix: "/split/", Kind: routing.KindStreaming, Resumable: true,
				Timeout: time.Second, MaxAttempts: 2, WeightedServices: split,
			}},
		})
		is.NoErr(err)
		h.router.SetConfiguration(built)
	}
	services(2, routing.WeightedService{Service: "other", Weight: 99}, routing.WeightedService{Service: "s", Weight: 1})
	origins.Announce(origin.KeyOf("", "1"), origin.Origin{Service: "s", Version: "v1"}, time.Minute)
	is.NoErr(h.post("/split/x", "2", "Last-Event-Id", "2", "Test-Resumes", "1").err)
	is.Equal(h.post("/split/x", "3", "Last-Event-Id", "2", "Test-Resumes", "unknown").body, reasonStreamUnknown+"\n")
	services(3, routing.WeightedService{Service: "other", Weight: 1})
	is.Equal(h.post("/split/x", "4", "Last-Event-Id", "2", "Test-Resumes", "1").body, reasonServiceChanged+"\n")
}

// A replica that restarts under its id with another version gets no resumption of the former one.
func TestRestartedReplicaWithAnotherVersionGetsNoResumption(t *testing.T) {
	is := is.New(t)
	var h *harness
	h = newHarness(t, func(e *replica.Exchange) bool {
		h.publish(0, "v2") // it has restarted, and its new entry arrives while it answers
		return events(1, 3, true)(e)
	})
	h.publish(0, "v1")
	origins := h.withOrigins()
	origins.Announce(origin.KeyOf("", "1"), origin.Origin{Service: "s", Version: "v1"}, time.Minute)
	got := h.post("/resume/x", "2", "Last-Event-Id", "2", "Test-Resumes", "1")
	is.True(got.StatusCode != http.StatusOK)
	_, err := origins.Resolve(t.Context(), origin.Query{Key: origin.KeyOf("", "3"), Keyed: true})
	is.True(err != nil)
	h.publish(0, "v1")
	is.NoErr(h.post("/resume/x", "3").err) // a new stream whose version is not certain
	_, err = origins.Resolve(t.Context(), origin.Query{Key: origin.KeyOf("", "3"), Keyed: true})
	is.True(err != nil)
}

func TestReplicasGetTheNamedStreamOnlyWithAResumption(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, true))
	h.publish(0, "v1")
	h.withOrigins()
	is.NoErr(h.post("/resume/x", "1", "Test-Resumes", "0").err)
	is.NoErr(h.post("/resume/x", "2", "Last-Event-Id", "2", "Test-Resumes", "1").err)
	received := h.replicas[0].Received()
	is.Equal(received[0].Header.Get("Test-Resumes"), "")
	is.Equal(received[1].Header.Get("Test-Resumes"), "1")
}

// A resumption waits for its version's replicas, since it can't go elsewhere.
func TestResumptionWaitsForFullReplicas(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool {
		if e.Number < 3 {
			e.Answer(http.StatusServiceUnavailable, "", "Test-Not-Run: 1", "Test-Id: "+e.Request.Header.Get("Test-Id"))
			return true
		}
		return events(3, 6, true)(e)
	}, events(1, 6, true))
	h.publish(0, "v1", "v2")
	origins := h.withOrigins()
	origins.Announce(origin.KeyOf("", "1"), origin.Origin{Service: "s", Version: "v1"}, time.Minute)
	got := h.post("/resume/x", "2", "Last-Event-Id", "2", "Test-Resumes", "1")
	is.NoErr(got.err)
	is.Equal(got.StatusCode, http.StatusOK)
	is.Equal(h.received(1), 0)
}

// A stream went on at another version at a node whose view was seconds old, since replicas of the version
// that began it had joined unseen.
func TestUnnamedResumptionNeedsAConfirmedView(t *testing.T) {
	for name, c := range map[string]struct {
		away bool
		// joined is set if replicas of another version have joined that only the store knows of.
		joined bool
		status int
	}{
		"confirmed":                  {status: http.StatusOK},
		"the store is away":          {away: true, status: http.StatusServiceUnavailable},
		"another version has joined": {joined: true, status: http.StatusServiceUnavailable},
	} {
		for _, header := range [][]string{{"Last-Event-Id", "2"}, {"Last-Event-Id", "2", "Test-Resumes", "lost"}} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, events(3, 6, true), events(3, 6, true))
				now := 2 * origin.MaxLifetime
				h.router = h.newRouter("node")
				h.router.config.Now = func() time.Duration { return now }
				h.configureSince(1, 0)
				h.server.Config.Handler = h.router
				h.publish(0, "v1")
				h.withOrigins()
				h.confirmations.setAway(c.away)
				if c.joined {
					h.confirmations.before = func() {
						h.fleet.Apply([]fleet.Change{{Instance: "b", Replica: &fleet.Replica{
							Instance: "b", Service: "s", Address: h.replicas[1].Address, Zone: "far", State: fleet.StateReady, Version: "v2",
						}}}, now)
					}
				}
				got := h.post("/resume/x", "1", header...)
				is.Equal(got.StatusCode, c.status)
				is.Equal(h.received(0) > 0, c.status == http.StatusOK)
				if c.status != http.StatusOK {
					is.Equal(got.body, reasonStreamUnknown+"\n")
					is.True(got.Header.Get("Retry-After") != "")
				}
			})
		}
	}
}

// configureSince is like configure, with a configuration that took effect at a time.
func (h *harness) configureSince(version uint64, since time.Duration) {
	now := h.router.config.Now
	h.router.config.Now = func() time.Duration { return since }
	h.configure(version)
	h.router.config.Now = now
}

// A replica that restarts under its ID may have another version while its former entry has lapsed: streams
// that it begins then have no known version, and it gets no resumption of the former one.
func TestLapsedReplicaThatRestartsUnderItsIDHasNoKnownVersion(t *testing.T) {
	for startedAtMs, known := range map[int64]bool{0: true, 1: false} {
		is := is.New(t)
		h := newHarness(t, events(1, 3, true))
		h.fleet.Replace([]fleet.Replica{{
			Instance: "a", StartedAtMs: startedAtMs, Service: "s", Address: h.replicas[0].Address, Zone: "near", State: fleet.StateReady, Version: "v1",
		}}, 0)
		origins := h.withOrigins()
		origins.Announce(origin.KeyOf("", "1"), origin.Origin{Service: "s", Version: "v1"}, time.Minute)
		h.fleet.Apply([]fleet.Change{{Instance: "a"}}, h.router.Now())
		is.NoErr(h.post("/resume/x", "2").err)
		_, err := origins.Resolve(t.Context(), origin.Query{Key: origin.KeyOf("", "2"), Keyed: true})
		is.Equal(err == nil, known)
		h.post("/resume/x", "3", "Last-Event-Id", "2", "Test-Resumes", "1")
		is.Equal(h.received(0) == 2, known)
	}
}

// A position on a route whose streams may not be resumed was passed on to a replica, which went on with
// another run.
func TestResumptionOnRouteThatIsNotResumableIsRefused(t *testing.T) {
	for path, reason := range map[string]string{"/stream/x": reasonNotResumable, "/kept/x": reasonOutputUnknown} {
		for _, position := range []string{"2", "", "not a number"} {
			is := is.New(t)
			h := newHarness(t, events(3, 6, true))
			h.router.config.Now = func() time.Duration { return 2 * origin.MaxLifetime }
			h.publish(0, "v1")
			origins := h.withOrigins()
			origins.Announce(origin.KeyOf("", "1"), origin.Origin{Service: "s", Version: "v1"}, time.Minute)
			for _, header := range [][]string{{"Last-Event-Id", position}, {"Last-Event-Id", position, "Test-Resumes", "1"}} {
				got := h.post(path, "2", header...)
				is.Equal(got.StatusCode, http.StatusServiceUnavailable)
				is.Equal(got.body, reason+"\n")
			}
			is.Equal(h.received(0), 0)
			is.NoErr(h.post(path, "3").err)
			is.Equal(h.received(0), 1)
		}
	}
}

// A stream went on at another replica without a version though the node's view was seconds old, and the
// service may have had versions by then.
func TestStreamWithoutVersionContinuesOnlyByAConfirmedView(t *testing.T) {
	for name, c := range map[string]struct {
		away, joined, lapsed, continues bool
	}{
		"confirmed":                         {continues: true},
		"the store is away":                 {away: true},
		"a version has joined":              {joined: true},
		"its replica's entry had gone, too": {lapsed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h *harness
			h = newHarness(t, func(e *replica.Exchange) bool {
				if c.lapsed {
					h.fleet.Apply([]fleet.Change{{Instance: "a"}}, h.router.Now())
				}
				return events(1, 3, false)(e)
			}, events(4, 6, true), events(4, 6, true))
			var all []fleet.Replica
			for i, instance := range []string{"a", "b"} {
				all = append(all, fleet.Replica{
					Instance: instance, StartedAtMs: 1, Service: "s", Address: h.replicas[i].Address, Zone: []string{"near", "far"}[i], State: fleet.StateReady,
				})
			}
			h.fleet.Replace(all, 0)
			h.confirmations.setAway(c.away)
			if c.joined {
				h.confirmations.before = func() {
					h.fleet.Apply([]fleet.Change{{Instance: "c", Replica: &fleet.Replica{
						Instance: "c", Service: "s", Address: h.replicas[2].Address, Zone: "far", State: fleet.StateReady, Version: "v1",
					}}}, h.router.Now())
				}
			}
			got := h.post("/resume/x", "1")
			is.Equal(got.err == nil, c.continues)
			is.Equal(h.received(1) == 1, c.continues)
			is.Equal(h.confirmations.reads > 0, c.continues || c.joined)
		})
	}
}

// A replica that restarts under its ID may have another version than its entry tells at a node that is cut off
// from the store and goes on by the view of another node.
func TestStreamGoesOnByAnothersViewOnlyAtReplicasThatDoNotRestart(t *testing.T) {
	for startedAtMs, cases := range map[int64]map[origin.Found]bool{
		0: {{Source: origin.SourceHolder}: true, {Source: origin.SourceOnlyVersion}: true, {Source: origin.SourceOnlyVersion, Evidence: origin.Evidence{Confirmed: true}}: true},
		1: {{Source: origin.SourceHolder}: true, {Source: origin.SourceOnlyVersion}: false, {Source: origin.SourceOnlyVersion, Evidence: origin.Evidence{Confirmed: true}}: true},
	} {
		for found, accepted := range cases {
			is := is.New(t)
			found.Origin = origin.Origin{Service: "s", Version: "v1"}
			call := &call{origin: &found}
			is.Equal(call.acceptsVersion(&fleet.Replica{StartedAtMs: startedAtMs, Version: "v1"}), accepted)
			is.True(!call.acceptsVersion(&fleet.Replica{StartedAtMs: startedAtMs, Version: "v2"}))
		}
	}
}
