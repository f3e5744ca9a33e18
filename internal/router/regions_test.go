package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/routing"
)

// restrictRegions sets the allowed regions of all routes and of a tenant with the key "k".
func (h *harness) restrictRegions(routes, tenant []string) {
	configuration := *h.router.Configuration()
	configuration.Version++
	configuration.Tenants = []routing.Tenant{{Name: "t", Keys: []routing.KeyDigest{routing.DigestKey("k")}, AllowedRegions: residency.OnlyIn(tenant)}}
	bound := append([]routing.Route(nil), configuration.Routes...)
	for i := range bound {
		bound[i].AllowedRegions = residency.OnlyIn(routes)
	}
	configuration.Routes = bound
	built, err := routing.Build(configuration)
	if err != nil {
		h.t.Fatal(err)
	}
	h.router.SetConfiguration(built)
	h.router.config.Regions = residency.ZoneRegions{"near": "r1", "far": "r2"}
}

func TestReplicaOutsideAllowedRegionsGetsNoRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy, healthy)
	for i, c := range []struct{ route, tenant []string }{
		{[]string{"r2"}, nil},
		{nil, []string{"r2"}},
		{[]string{"r1", "r2"}, []string{"r2", "r3"}},
	} {
		h.restrictRegions(c.route, c.tenant)
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			is.Equal(h.post(path, path, "Test-Key", "k").StatusCode, http.StatusOK)
		}
		is.Equal(len(h.replicas[0].Received()), 0)
		is.Equal(len(h.replicas[1].Received()), 2*(i+1))
	}
}

// Requests must be rejected, not sent to other regions, if the replicas in the allowed
// regions are removed, full or evacuated, or if no region is allowed.
func TestRequestIsRejectedIfAllowedRegionsAreUnavailable(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy, withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1"))
	refused := func(reason string) {
		t.Helper()
		began := time.Now()
		got := h.post("/safe/x", "1", "Test-Key", "k")
		is.Equal(got.StatusCode, http.StatusServiceUnavailable)
		is.Equal(got.body, reason+"\n")
		is.True(got.Header.Get("Retry-After") != "")
		is.True(time.Since(began) < 500*time.Millisecond)
		is.Equal(len(h.replicas[0].Received()), 0)
	}
	h.restrictRegions([]string{"r2"}, nil)
	refused("shed")
	h.evacuate("far")
	refused(reasonEvacuated)
	h.evacuate()
	h.restrictRegions([]string{"r1"}, []string{"r2"})
	refused(reasonNoAllowedRegion)
	h.restrictRegions([]string{"r9"}, nil)
	refused(reasonNoAllowedRegion)
	h.restrictRegions([]string{"r2"}, nil)
	h.fleet.Remove("b", 0, 0)
	refused(reasonNoAllowedRegion)
	h.fleet.Replace([]fleet.Replica{{Instance: "c", Service: "s", Address: h.replicas[0].Address, Zone: "unlisted", State: fleet.StateReady}}, h.router.Now())
	refused(reasonNoAllowedRegion)
}
