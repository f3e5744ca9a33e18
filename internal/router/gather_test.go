package router

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/fleet"
)

// gathering makes a router choose among gathered replicas however few there are.
func (h *harness) gathering() *harness {
	h.router.config.ScanUpTo, h.router.config.Zone = 1, "near"
	return h
}

// TestGatheredReplicasKeepHomesAndEvacuations: among many replicas as among few nothing goes
// where it must not, a refusal names the cause, and what can be served is.
func TestGatheredReplicasKeepHomesAndEvacuations(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound, sound).gathering()
	for range 5 {
		is.Equal(h.ask("/safe/x", "1").StatusCode, http.StatusOK)
	}
	h.evacuate("near")
	before := len(h.replicas[0].Received())
	is.Equal(h.ask("/safe/x", "2").StatusCode, http.StatusOK)
	is.Equal(len(h.replicas[0].Received()), before)
	h.evacuate("near", "far")
	refused := h.ask("/safe/x", "3")
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.body, reasonEvacuated+"\n")
	h.evacuate()
	h.bindRoutes([]string{"r2"}, nil)
	for range 5 {
		is.Equal(h.ask("/unsafe/x", "4", "Test-Key", "k").StatusCode, http.StatusOK)
	}
	is.Equal(len(h.replicas[0].Received()), before)
	h.bindRoutes([]string{"r9"}, nil)
	is.Equal(h.ask("/safe/x", "5", "Test-Key", "k").body, reasonHomes+"\n")
}

// TestGatheredReplicasAreTriedOneAfterTheOther: a full replica is left for another one.
func TestGatheredReplicasAreTriedOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1"), sound).gathering()
	for _, id := range []string{"1", "2", "3"} {
		is.Equal(h.ask("/unsafe/x", id).StatusCode, http.StatusOK)
	}
}

// TestNothingOfAnEarlierLifeServesALaterOne: connections, prompts and failures are those of
// the life that they were made or learned with.
func TestNothingOfAnEarlierLifeServesALaterOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	born := func(at int64) {
		h.fleet.Replace([]fleet.Replica{{
			Instance: "a", StartedAtMs: at, Service: "s", Address: h.replicas[0].Address, Zone: "near", Slots: 4, State: fleet.StateReady,
		}}, h.router.Now())
	}
	born(1000)
	for _, id := range []string{"1", "2"} {
		is.Equal(h.ask("/safe/x", id).StatusCode, http.StatusOK)
	}
	is.Equal(h.replicas[0].Connections(), 1)
	born(2000)
	is.Equal(h.ask("/safe/x", "3").StatusCode, http.StatusOK)
	is.Equal(h.replicas[0].Connections(), 2)
	is.Equal(h.replicas[0].Received()[2].Header.Get("Test-Instance"), "a") // the replica's own name
}
