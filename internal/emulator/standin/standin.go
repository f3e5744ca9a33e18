// Package standin holds what the HTTP faces of the platform's stand-ins share:
// bounded JSON bodies, and how an injected fault looks on the wire. A refusal
// states that it had no effect; a lost answer breaks the connection.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"stepseam.example/stepseam/internal/siteservices"
)

// WriteJSON answers with value and status 200.
func WriteJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	encoded, err := json.Marshal(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = writer.Write(encoded)
}

// ReadJSON decodes the request's bounded body into value. It answers a faulty
// body itself and returns false.
func ReadJSON(writer http.ResponseWriter, request *http.Request, value any) bool {
	body := http.MaxBytesReader(writer, request.Body, siteservices.MaxBodyBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		Reject(writer, http.StatusBadRequest, fmt.Errorf("body: %w", err))
		return false
	}
	return true
}

// Reject answers a request that was not acted on.
func Reject(writer http.ResponseWriter, status int, err error) {
	writer.Header().Set(siteservices.EffectHeader, siteservices.EffectNone)
	http.Error(writer, err.Error(), status)
}

// Fail answers a request by the core's error: certain refusals with 503, all
// others by breaking the connection, as when an answer gets lost.
func Fail(writer http.ResponseWriter, err error) {
	if errors.Is(err, siteservices.ErrUnavailable) {
		Reject(writer, http.StatusServiceUnavailable, err)
		return
	}
	panic(http.ErrAbortHandler)
}
