package weightstore

import (
	"net/http"

	"stepseam.example/stepseam/internal/emulator/standin"
	"stepseam.example/stepseam/internal/siteservices"
)

// Switch is the body of PUT /stand-in/faults.
type Switch struct {
	Down bool `json:"down"`
}

// NewServer returns the HTTP handler of store: GET /v1/weights/{model}/{version}/wait as
// siteservices.WeightStoreClient calls it, POST /v1/weights/{model}/{version}/fetch for
// engines, and PUT /stand-in/faults to start or end an outage.
func NewServer(store *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}/wait", func(w http.ResponseWriter, r *http.Request) {
		wait, err := store.Wait(r.Context(), r.PathValue("model"), r.PathValue("version"))
		if err != nil {
			standin.Fail(w, err)
			return
		}
		standin.WriteJSON(w, siteservices.WaitAnswer{WaitSeconds: wait.Seconds()})
	})
	mux.HandleFunc("POST /v1/weights/{model}/{version}/fetch", func(w http.ResponseWriter, r *http.Request) {
		if err := store.Fetch(r.Context(), r.PathValue("model"), r.PathValue("version")); err != nil {
			standin.Fail(w, err)
			return
		}
		standin.WriteJSON(w, struct{}{})
	})
	mux.HandleFunc("PUT /stand-in/faults", func(w http.ResponseWriter, r *http.Request) {
		var body Switch
		if standin.ReadJSON(w, r, &body) {
			store.SetDown(body.Down)
			standin.WriteJSON(w, body)
		}
	})
	return mux
}
