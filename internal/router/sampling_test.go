package router

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/fleet"
)

// withSampling makes the router sample replicas even though there are few.
func (h *harness) withSampling() *harness {
	h.router.config.ScanUpTo, h.router.config.Zone = 1, "near"
	return h
}

// Sampling must respect allowed regions and evacuations, find an eligible replica if there
// is one, and report the right rejection reason otherwise.
func TestSamplingRespectsAllowedRegionsAndEvacuations(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy, healthy).withSampling()
	for range 5 {
		is.Equal(h.post("/safe/x", "1").StatusCode, http.StatusOK)
	}
	h.evacuate("near")
	before := len(h.replicas[0].Received())
	is.Equal(h.post("/safe/x", "2").StatusCode, http.StatusOK)
	is.Equal(len(h.replicas[0].Received()), before)
	h.evacuate("near", "far")
	refused := h.post("/safe/x", "3")
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.body, reasonEvacuated+"\n")
	h.evacuate()
	h.restrictRegions([]string{"r2"}, nil)
	for range 5 {
		is.Equal(h.post("/unsafe/x", "4", "Test-Key", "k").StatusCode, http.StatusOK)
	}
	is.Equal(len(h.replicas[0].Received()), before)
	h.restrictRegions([]string{"r9"}, nil)
	is.Equal(h.post("/safe/x", "5", "Test-Key", "k").body, reasonNoAllowedRegion+"\n")
}

// With sampling, a request must be retried at another replica if the first one is full.
func TestSampledReplicasAreRetriedInTurn(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1"), healthy).withSampling()
	for _, id := range []string{"1", "2", "3"} {
		is.Equal(h.post("/unsafe/x", id).StatusCode, http.StatusOK)
	}
}

// A connection to an earlier incarnation of a replica must not be used for a later one.
func TestConnectionOfEarlierIncarnationIsNotReused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	born := func(at int64) {
		h.fleet.Replace([]fleet.Replica{{
			Instance: "a", StartedAtMs: at, Service: "s", Address: h.replicas[0].Address, Zone: "near", Slots: 4, State: fleet.StateReady,
		}}, h.router.Now())
	}
	born(1000)
	for _, id := range []string{"1", "2"} {
		is.Equal(h.post("/safe/x", id).StatusCode, http.StatusOK)
	}
	is.Equal(h.replicas[0].Connections(), 1)
	born(2000)
	is.Equal(h.post("/safe/x", "3").StatusCode, http.StatusOK)
	is.Equal(h.replicas[0].Connections(), 2)
	is.Equal(h.replicas[0].Received()[2].Header.Get("Test-Instance"), "a") // the instance name, not the incarnation ID
}
