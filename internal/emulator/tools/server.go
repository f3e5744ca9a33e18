package tools

import (
	"encoding/json"
	"net/http"

	"stepseam.example/stepseam/internal/emulator/standin"
)

// NewServer returns the HTTP handler of service: POST /v1/tools/{tool} with a JSON body
// returns a Result, GET /stand-in/calls the number of calls of each tool.
func NewServer(service *Service) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tools/{tool}", func(w http.ResponseWriter, r *http.Request) {
		var input json.RawMessage
		if !standin.ReadJSON(w, r, &input) {
			return
		}
		result, err := service.Call(r.Context(), r.PathValue("tool"), input)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		standin.WriteJSON(w, result)
	})
	mux.HandleFunc("GET /stand-in/calls", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, service.Calls())
	})
	return mux
}
