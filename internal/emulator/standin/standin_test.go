package standin

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type sample struct {
	Rate float64 `yaml:"rate" validate:"gte=0,lte=1"`
	Size int     `yaml:"size" validate:"gt=0"`
}

func parametersFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "parameters.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestReadParametersOverDefaults(t *testing.T) {
	check := is.New(t)
	got, err := ReadParameters(parametersFile(t, "rate: 0.5\n"), sample{Size: 3})
	check.NoErr(err)
	check.Equal(got, sample{Rate: 0.5, Size: 3})
	got, err = ReadParameters("", sample{Size: 3})
	check.NoErr(err)
	check.Equal(got, sample{Size: 3})
}

func TestReadParametersReportsAllPlaces(t *testing.T) {
	check := is.New(t)
	_, err := ReadParameters(parametersFile(t, "# sample\nrate: 2\nsize: -1\n"), sample{})
	check.True(err != nil)
	check.True(strings.Contains(err.Error(), "parameters.yaml:2: rate"))
	check.True(strings.Contains(err.Error(), "parameters.yaml:3: size"))
	_, err = ReadParameters(parametersFile(t, "size: 1\nweight: 2\n"), sample{})
	check.True(err != nil && strings.Contains(err.Error(), "weight"))
}

func TestServeEndsWithItsContextAndCancelsRequests(t *testing.T) {
	check := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	arrived := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		WriteJSON(w, "ended")
	})
	ready := make(chan netip.AddrPort, 1)
	served := make(chan error, 1)
	go func() {
		served <- Serve(ctx, netip.MustParseAddrPort("127.0.0.1:0"), handler, func(a netip.AddrPort) { ready <- a })
	}()
	address := <-ready
	go func() {
		<-arrived
		cancel()
	}()
	response, err := http.Get("http://" + address.String())
	check.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	check.NoErr(err)
	check.Equal(string(body), `"ended"`)
	check.NoErr(<-served)
}
