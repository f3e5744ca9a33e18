package router

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/origin"
)

// TestStreamsDependOnTheIncarnationThatReplicasReport guards against streams of two versions: a replica that did
// not say when it started, or had started again, counted as the one of its entry.
func TestStreamsDependOnTheIncarnationThatReplicasReport(t *testing.T) {
	const published = 1000
	reportsAs := func(report string, script replica.Script) replica.Script {
		return func(e *replica.Exchange) bool {
			if e.Request.URI == "/report" {
				e.Answer(http.StatusOK, report)
				return true
			}
			return script(e)
		}
	}
	for name, c := range map[string]struct {
		report string
		// begins is set if the near replica gets new streams, recorded if their version is known, resumes if it
		// gets resumptions, and remains if it remains in use.
		begins, recorded, resumes, remains bool
	}{
		"same":       {fmt.Sprintf(`{"born":%d}`, published), true, true, true, true},
		"later":      {fmt.Sprintf(`{"born":%d}`, published+1), false, true, false, false},
		"unreported": {`{}`, true, false, false, true},
	} {
		for _, resumption := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", resumption ", resumption), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, reportsAs(c.report, events(1, 6, true)), reportsAs(fmt.Sprintf(`{"born":%d}`, published), events(1, 6, true)))
				names := testNames.Replica
				names.ReportPath, names.ReportedStart = "/report", "born"
				h.router.config.Replicas = exchange.NewClient(names)
				h.fleet.Replace([]fleet.Replica{
					{Instance: "a", StartedAtMs: published, Service: "s", Address: h.replicas[0].Address, Zone: "near", State: fleet.StateReady, Version: "v1"},
					{Instance: "b", StartedAtMs: published, Service: "s", Address: h.replicas[1].Address, Zone: "far", State: fleet.StateReady, Version: "v1"},
				}, 0)
				origins := h.withOrigins()
				origins.Announce(origin.KeyOf("", "0"), origin.Origin{Service: "s", Version: "v1"}, time.Minute)
				var head []string
				if resumption {
					head = []string{"Last-Event-Id", "2", "Test-Resumes", "0"}
				}
				got := h.post("/resume/x", "1", head...)
				is.NoErr(got.err)
				is.Equal(got.StatusCode, http.StatusOK)
				atNear := lo.CountBy(h.replicas[0].Received(), func(received replica.Request) bool { return received.URI != "/report" })
				is.Equal(atNear == 1, lo.Ternary(resumption, c.resumes, c.begins))
				_, present := h.fleet.Presence("a")
				is.Equal(present, c.remains)
				if !resumption {
					_, err := origins.Resolve(t.Context(), origin.Query{Key: origin.KeyOf("", "1"), Keyed: true})
					is.Equal(err == nil, c.recorded)
					is.True(err == nil || errors.Is(err, origin.ErrUnknown))
				}
			})
		}
	}
}

// Requests whose streams can't go on elsewhere need no report.
func TestReplicasAreAskedForResumableRoutesOnly(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool {
		e.Answer(http.StatusOK, "done", "Test-Id: "+e.Request.Header.Get("Test-Id"), "Test-Stamp: s")
		return true
	})
	names := testNames.Replica
	names.ReportPath, names.ReportedStart = "/report", "born"
	h.router.config.Replicas = exchange.NewClient(names)
	h.fleet.Replace([]fleet.Replica{{Instance: "a", StartedAtMs: 1, Service: "s", Address: h.replicas[0].Address, Zone: "near", State: fleet.StateReady}}, 0)
	is.Equal(h.post("/safe/x", "1").StatusCode, http.StatusOK)
	is.Equal(h.received(0), 1)
}
