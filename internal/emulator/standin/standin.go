// Package standin contains what the HTTP servers of the emulators share: bounded JSON
// bodies, and the responses for injected faults. A rejection states that the request had
// no effect; a lost response breaks the connection.
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

// ReadJSON decodes the request's bounded body into value. On an invalid body it writes an
// error response and returns false.
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

// Reject writes an error response to a request that had no effect.
func Reject(writer http.ResponseWriter, status int, err error) {
	writer.Header().Set(siteservices.EffectHeader, siteservices.EffectNone)
	http.Error(writer, err.Error(), status)
}

// Fail writes the response for the core's error: 503 for errors without effect; all
// others break the connection, like a lost response.
func Fail(writer http.ResponseWriter, err error) {
	if errors.Is(err, siteservices.ErrUnavailable) {
		Reject(writer, http.StatusServiceUnavailable, err)
		return
	}
	panic(http.ErrAbortHandler)
}
