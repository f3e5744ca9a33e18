package router

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/routing"
)

// coldBears is how many requests a second the harness's cold replicas bear.
const coldBears = 3

// chill makes replicas cold for a while.
func (h *harness) chill(instances ...string) {
	configuration := *h.router.Configuration()
	configuration.Version++
	configuration.Services = map[string]routing.Service{"s": {Name: "s", TokensPerEvent: tokensPerEvent, Slots: 4, ColdPerSecond: coldBears, ColdFor: 3 * time.Second}}
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

func TestColdReplicaIsFilledAsFastAsItBearsAndNothingIsRefusedForIt(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound, sound)
	h.chill("a")
	for i := range 2 * coldBears {
		is.Equal(h.ask("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusOK)
	}
	is.Equal(len(h.replicas[0].Received()), coldBears)
	is.Equal(len(h.replicas[1].Received()), coldBears)
	h.chill() // it has shown that it is warm
	for i := range 2 * coldBears {
		is.Equal(h.ask("/unsafe/x", fmt.Sprint("w", i)).StatusCode, http.StatusOK)
	}
	is.Equal(len(h.replicas[0].Received()), 3*coldBears)
}

func TestRequestBeyondWhatColdReplicasBearIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	h.chill("a")
	for i := range coldBears {
		is.Equal(h.ask("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusOK)
	}
	began := time.Now()
	got := h.ask("/unsafe/x", "beyond")
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.Equal(got.body, reasonCold+"\n")
	is.True(got.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < 200*time.Millisecond)
	is.Equal(len(h.replicas[0].Received()), coldBears)
}

// TestRefusingReplicaSpendsItsPart: what a cold replica turns away has reached it.
func TestRefusingReplicaSpendsItsPart(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1"), sound)
	h.chill("a")
	for i := range 4 * coldBears {
		is.Equal(h.ask("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusOK)
	}
	is.True(len(h.replicas[0].Received()) <= coldBears)
}
