package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// ctlForStatus returns a function that runs stepseamctl against a server which returns status
// as JSON for path. The function requires success and returns the output.
func ctlForStatus(t *testing.T, path string, status any) func(more ...string) string {
	t.Helper()
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		is.Equal(request.URL.Path, path)
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(status)
	}))
	t.Cleanup(server.Close)
	return func(more ...string) string {
		var out, errOut bytes.Buffer
		line := append([]string{"--address", server.Listener.Addr().String()}, more...)
		is.Equal(run(t.Context(), line, strings.NewReader(""), &out, &errOut), exitDone)
		return out.String()
	}
}
