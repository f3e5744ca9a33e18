package router

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/exchange"
)

// evacuate replaces the set of evacuated zones.
func (h *harness) evacuate(zones ...string) {
	if h.router.config.Evacuations == nil {
		h.router.config.Evacuations = evacuation.NewZones()
	}
	h.evacuated++
	h.router.config.Evacuations.Replace(h.evacuated, zones, nil, h.router.Now())
}

// healthyForAnyPath responds successfully to streaming and non-streaming requests.
func healthyForAnyPath(e *replica.Exchange) bool {
	if e.Request.URI == "/safe/x" || e.Request.URI == "/unsafe/x" {
		return healthy(e)
	}
	e.Answer(http.StatusOK, "id: 1\ndata: w\n\n", "Test-Id: "+e.Request.Header.Get("Test-Id"), "Test-Stamp: s")
	return true
}

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthyForAnyPath, healthyForAnyPath)
	h.evacuate("near")
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x", "/kept/x"} {
		is.Equal(h.post(path, path).StatusCode, http.StatusOK)
	}
	is.Equal(len(h.replicas[0].Received()), 0)
	h.evacuate()
	is.Equal(h.post("/safe/x", "1").StatusCode, http.StatusOK)
	is.Equal(len(h.replicas[0].Received()), 1) // the evacuation has ended
}

func TestRequestIsRejectedIfAllZonesAreEvacuated(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy, healthy)
	h.evacuate("near", "far")
	for _, path := range []string{"/safe/x", "/unsafe/x", "/kept/x"} {
		began := time.Now()
		got := h.post(path, path)
		is.Equal(got.StatusCode, http.StatusServiceUnavailable)
		is.Equal(got.body, reasonEvacuated+"\n")
		is.Equal(got.Header.Get("Retry-After"), "1.00")
		is.True(time.Since(began) < 200*time.Millisecond)
	}
}

// A retry must not be sent to a zone that was evacuated during the first attempt.
func TestRetryAvoidsZoneEvacuatedDuringFirstAttempt(t *testing.T) {
	is := is.New(t)
	var h *harness
	h = newHarness(t, func(e *replica.Exchange) bool {
		h.evacuate("near")
		e.Answer(http.StatusServiceUnavailable, "", "Test-Not-Run: 1", "Test-Id: "+e.Request.Header.Get("Test-Id"))
		return true
	}, healthy)
	h.evacuate()
	got := h.post("/unsafe/x", "1")
	is.Equal(got.StatusCode, http.StatusOK)
	is.Equal(len(h.replicas[1].Received()), 1)
}

// A replica must not get a request if its zone is evacuated after it was selected.
func TestSelectedReplicaIsSkippedIfItsZoneIsEvacuated(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy, healthy)
	h.evacuate()
	near := h.fleet.Usable("s", 0)
	for _, one := range near {
		if one.Zone != "near" {
			continue
		}
		sent := &call{header: http.Header{}, deadline: time.Now().Add(time.Minute)}
		is.NoErr(h.router.acquireSend(t.Context(), sent, one))
		h.evacuate("near")
		is.True(errors.Is(h.router.acquireSend(t.Context(), sent, one), errEvacuated))
	}
}

func TestWithheldRequestIsNotCountedAsAttempt(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	course := &retryState{}
	route := h.router.Configuration().Match("h.example", "/unsafe/x")
	for range 2 * maxNotRun {
		h.router.recordFailure(t.Context(), &call{route: route}, h.fleet.Usable("s", 0)[0], course,
			&exchange.FailureError{Outcome: exchange.OutcomeNotRun, Reason: exchange.ReasonWithheld})
	}
	is.Equal(course.notRun, 0)
	is.Equal(course.mayHaveRun, 0)
	is.Equal(len(course.excluded), 2*maxNotRun)
}
