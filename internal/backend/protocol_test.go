package backend_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// TestStreamIDsRoundTripThroughPaths checks that any stream id, also one with special
// characters, can be parsed from the URL path that it was formatted into.
func TestStreamIDsRoundTripThroughPaths(t *testing.T) {
	var parsed string
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+backend.PathStreams+"{id}", func(_ http.ResponseWriter, r *http.Request) {
		parsed = r.PathValue("id")
	})
	rapid.Check(t, func(t *rapid.T) {
		id := identity.StreamID{
			Call: identity.CallID{
				Program:  identity.ProgramID(rapid.String().Draw(t, "program")),
				Branch:   identity.BranchID(rapid.SampledFrom([]string{"", ".", "..", "a/b", "%2F", "ñ ?#"}).Draw(t, "branch")),
				Sequence: identity.Sequence(rapid.Uint64().Draw(t, "sequence")),
			},
			Epoch: identity.Epoch(rapid.Uint64().Draw(t, "epoch")), Attempt: rapid.Uint32().Draw(t, "attempt"),
		}
		parsed = ""
		mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, backend.StreamPath(id), nil))
		back, err := backend.ParseStreamID(parsed)
		if err != nil || back != id {
			t.Fatalf("%+v was parsed as %+v from %q: %v", id, back, parsed, err)
		}
	})
}
