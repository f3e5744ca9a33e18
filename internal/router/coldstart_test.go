package router

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/routing"
)

// coldRate is the rate limit per second for the harness's cold replicas.
const coldRate = 3

// makeCold reports the given replicas as cold and all others as warm.
func (h *harness) makeCold(instances ...string) {
	configuration := *h.router.Configuration()
	configuration.Version++
	configuration.Services = map[string]routing.Service{"s": {Name: "s", TokensPerEvent: tokensPerEvent, Slots: 4, ColdPerSecond: coldRate, ColdFor: 3 * time.Second}}
	built, err := routing.Build(configuration)
	if err != nil {
		h.t.Fatal(err)
	}
	h.router.SetConfiguration(built)
	if h.router.config.ColdStart == nil {
		h.router.config.ColdStart = coldstart.NewLimiter("node")
	}
	for _, replica := range h.fleet.Usable("s", 0) {
		for _, instance := range instances {
			if replica.Instance == instance {
				replica.ColdRemaining = time.Minute
			}
		}
		replica.Sequence = configuration.Version
		h.router.config.ColdStart.UpdateReplica(replica, h.router.Now())
	}
}

func TestColdReplicaIsRateLimitedWithoutRejections(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy, healthy)
	h.makeCold("a")
	for i := range 2 * coldRate {
		is.Equal(h.post("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusOK)
	}
	is.Equal(len(h.replicas[0].Received()), coldRate)
	is.Equal(len(h.replicas[1].Received()), coldRate)
	h.makeCold() // reports that it is warm
	for i := range 2 * coldRate {
		is.Equal(h.post("/unsafe/x", fmt.Sprint("w", i)).StatusCode, http.StatusOK)
	}
	is.Equal(len(h.replicas[0].Received()), 3*coldRate)
}

func TestRequestOverRateLimitOfColdReplicasIsRejected(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.makeCold("a")
	for i := range coldRate {
		is.Equal(h.post("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusOK)
	}
	began := time.Now()
	got := h.post("/unsafe/x", "beyond")
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.Equal(got.body, reasonCold+"\n")
	is.True(got.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < 200*time.Millisecond)
	is.Equal(len(h.replicas[0].Received()), coldRate)
}

// A permit for a cold replica that renews after the choice must not turn the reason of the
// rejection into one of a service without replicas.
func TestRejectionNamesColdReplicasIfPermitRenewsMeanwhile(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.makeCold("a")
	var reading, step atomic.Int64
	h.router.config.Now = func() time.Duration { return time.Duration(reading.Add(step.Load())) }
	rejected := 0
	for i := range 50 * coldRate {
		step.Store(int64(time.Duration(20+i%23) * time.Millisecond))
		if got := h.post("/unsafe/x", fmt.Sprint(i)); got.StatusCode != http.StatusOK {
			is.Equal(got.body, reasonCold+"\n")
			rejected++
		}
	}
	is.True(rejected > 0)
	is.True(len(h.replicas[0].Received()) > coldRate)
}

// Requests that a cold replica rejects must count against its limit.
func TestRejectionsCountAgainstRateLimitOfColdReplica(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1"), healthy)
	h.makeCold("a")
	for i := range 4 * coldRate {
		is.Equal(h.post("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusOK)
	}
	is.True(len(h.replicas[0].Received()) <= coldRate)
}
