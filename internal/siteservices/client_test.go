package siteservices_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/machinelist"
	"stepseam.example/stepseam/internal/emulator/weightstore"
	"stepseam.example/stepseam/internal/siteservices"
)

func serve(t *testing.T, handler http.Handler) siteservices.ClientOptions {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return siteservices.ClientOptions{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		Caller:  "n1",
	}
}

func TestLogClientAppendsAndReads(t *testing.T) {
	check := is.New(t)
	client := siteservices.NewLogClient(serve(t, logservice.NewServer(logservice.New(1))))
	defer client.Close()
	offset, err := client.Append(t.Context(), "shard 1/a", [][]byte{{0, 1}, {255}})
	check.NoErr(err)
	check.Equal(offset, siteservices.Offset(0))
	result, err := client.Read(t.Context(), "shard 1/a", 1, 10, time.Second)
	check.NoErr(err)
	check.Equal(result, siteservices.ReadResult{Records: [][]byte{{255}}, From: 1, End: 2})
}

func TestLogClientDistinguishesFaults(t *testing.T) {
	service := logservice.New(1)
	client := siteservices.NewLogClient(serve(t, logservice.NewServer(service)))
	defer client.Close()
	cases := map[string]struct {
		outcome logservice.Outcome
		want    error
		stored  int
	}{
		"refused":      {logservice.RefuseAppend, siteservices.ErrUnavailable, 0},
		"request lost": {logservice.LoseRequest, siteservices.ErrOutcomeUnknown, 0},
		"answer lost":  {logservice.LoseAnswer, siteservices.ErrOutcomeUnknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			service.ViewFor("n1").Script(c.outcome)
			_, err := client.Append(t.Context(), name, [][]byte{{1}})
			check.True(errors.Is(err, c.want))
			check.Equal(len(service.Records(name)), c.stored)
		})
	}
}

func TestClientErrorsOfInvalidResponses(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"503 without the effect header": {
			func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			siteservices.ErrOutcomeUnknown,
		},
		"503 with the effect header": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(siteservices.EffectHeader, siteservices.EffectNone)
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			siteservices.ErrUnavailable,
		},
		"connection broken": {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			siteservices.ErrOutcomeUnknown,
		},
		"truncated response": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte(`{"offset":1`))
			},
			siteservices.ErrOutcomeUnknown,
		},
		"response is not JSON": {
			func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) },
			siteservices.ErrOutcomeUnknown,
		},
		"response too large": {
			func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(strings.Repeat(" ", siteservices.MaxBodyBytes+1)))
			},
			siteservices.ErrOutcomeUnknown,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := siteservices.NewLogClient(serve(t, c.handler))
			defer client.Close()
			_, err := client.Append(t.Context(), "a", [][]byte{{1}})
			is.New(t).True(errors.Is(err, c.want))
		})
	}
}

func TestClientDialFailureIsUnavailable(t *testing.T) {
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	check.NoErr(listener.Close())
	client := siteservices.NewLogClient(siteservices.ClientOptions{Address: address})
	_, err = client.Append(t.Context(), "a", [][]byte{{1}})
	check.True(errors.Is(err, siteservices.ErrUnavailable))
}

func TestClientTimesOutWithoutAResponse(t *testing.T) {
	check := is.New(t)
	release := make(chan struct{})
	options := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	options.RequestTimeout = 50 * time.Millisecond
	client := siteservices.NewLogClient(options)
	_, err := client.Append(t.Context(), "a", [][]byte{{1}})
	close(release)
	check.True(errors.Is(err, siteservices.ErrOutcomeUnknown))
	check.True(errors.Is(err, context.DeadlineExceeded))
}

func TestClientRejectsAnOversizedRequest(t *testing.T) {
	check := is.New(t)
	service := logservice.New(1)
	client := siteservices.NewLogClient(serve(t, logservice.NewServer(service)))
	defer client.Close()
	_, err := client.Append(t.Context(), "a", [][]byte{make([]byte, siteservices.MaxBodyBytes)})
	check.True(errors.Is(err, siteservices.ErrUnavailable))
	check.Equal(service.Counts().Appends, uint64(0))
}

func TestMachineListClient(t *testing.T) {
	check := is.New(t)
	machines := []siteservices.Machine{{
		Name: "m1", Role: siteservices.RoleEngine, State: siteservices.MachineLive, Zone: "a", Region: "r",
		Address: netip.MustParseAddrPort("127.0.0.2:80"), Service: "modelos-asesor",
	}}
	list := machinelist.New(machines)
	client := siteservices.NewMachineListClient(serve(t, machinelist.NewServer(list)))
	defer client.Close()
	got, err := client.Machines(t.Context())
	check.NoErr(err)
	check.Equal(got, machines)
	list.ViewFor("n1").SetDown(true)
	_, err = client.Machines(t.Context())
	check.True(errors.Is(err, siteservices.ErrUnavailable))
}

func TestWeightStoreClient(t *testing.T) {
	check := is.New(t)
	store := weightstore.New(weightstore.Options{BytesPerSecond: 1, DefaultBytes: 1000})
	client := siteservices.NewWeightStoreClient(serve(t, weightstore.NewServer(store)))
	defer client.Close()
	wait, err := client.Wait(t.Context(), "org/model", "1")
	check.NoErr(err)
	check.Equal(wait, time.Duration(0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	check.True(errors.Is(store.Fetch(ctx, "org/model", "1"), siteservices.ErrOutcomeUnknown))
	wait, err = client.Wait(t.Context(), "org/model", "1")
	check.NoErr(err)
	check.True(wait > 500*time.Second && wait <= 1000*time.Second)
	store.SetDown(true)
	_, err = client.Wait(t.Context(), "org/model", "1")
	check.True(errors.Is(err, siteservices.ErrUnavailable))
}
