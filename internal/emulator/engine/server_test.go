package engine_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
)

// quick returns an engine whose answers take milliseconds of real time.
func quick(parameters *engine.Parameters) {
	parameters.Timing.DecodeBase = time.Millisecond
	parameters.Timing.PrefillTokensPerSecond = 1e6
	parameters.Timing.ModelLoadTime = time.Millisecond
	parameters.EventDelayShortest, parameters.EventDelayLongest, parameters.EventLoss = 0, 0, 0
	parameters.ReportInterval, parameters.ReportLag = time.Millisecond, 0
}

func overHTTP(t *testing.T) (*engine.Engine, backend.Engine, string) {
	t.Helper()
	parameters := engine.DefaultParameters("engine-1", "advisor")
	quick(&parameters)
	e, err := engine.New(parameters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	server := httptest.NewServer(engine.NewServer(e))
	t.Cleanup(server.Close)
	options := backend.DefaultOptions()
	options.HeaderTimeout, options.IdleTimeout, options.CallTimeout = time.Minute, time.Minute, time.Minute
	directory := backend.NewDirectory(options)
	t.Cleanup(directory.Close)
	return e, directory.Engine(netip.MustParseAddrPort(server.Listener.Addr().String())), server.URL
}

// The engine behaves over HTTP as it does in process.
func TestEngineInterfaceOverHTTP(t *testing.T) {
	is := is.New(t)
	e, client, _ := overHTTP(t)
	first := request("p/ñ", 1)
	var text strings.Builder
	result, err := client.Generate(t.Context(), first, func(token backend.Token) error {
		text.WriteString(token.Text)
		return nil
	})
	is.NoErr(err)
	is.Equal(result.Text, text.String())
	direct, err := e.Resume(t.Context(), first.Stream, 0, nil)
	is.NoErr(err)
	is.Equal(direct, result)
	next := 5
	resumed, err := client.Resume(t.Context(), first.Stream, next, func(token backend.Token) error {
		is.Equal(token.Index, next)
		next++
		return nil
	})
	is.NoErr(err)
	is.Equal(resumed, result)

	held, err := client.CachedPrefixes(t.Context())
	is.NoErr(err)
	is.Equal(held, e.Truth().Held)
	events, err := client.CacheEvents(t.Context(), 0)
	is.NoErr(err)
	is.Equal(events[len(events)-1].Prefix, held[0])

	state, err := client.Export(t.Context(), first.Stream.Call.Program, first.Stream.Call.Branch)
	is.NoErr(err)
	is.NoErr(client.Release(t.Context(), first.Stream.Call.Program, ""))
	is.Equal(len(e.Truth().Held), 0)
	is.NoErr(client.Import(t.Context(), first.Stream.Call.Program, first.Stream.Call.Branch, state))
	is.Equal(e.Truth().Held, held)

	is.NoErr(client.Order(t.Context(), backend.Order{Kind: backend.OrderLoadModel, Subject: "second", Version: "1", Fence: 4}))
	err = client.Order(t.Context(), backend.Order{Kind: backend.OrderUnloadModel, Subject: "second", Fence: 3})
	is.True(errors.Is(err, backend.ErrStaleFence))
	time.Sleep(5 * time.Millisecond) // the report's interval
	report, err := client.Load(t.Context())
	is.NoErr(err)
	is.Equal(report.Models, []string{"advisor", "second"})

	_, err = client.Resume(t.Context(), streamID("nobody", 1, 1), 0, nil)
	is.True(errors.Is(err, backend.ErrStreamUnknown))
	is.NoErr(client.Cancel(t.Context(), streamID("late", 1, 1)))
	_, err = client.Generate(t.Context(), request("late", 1), nil)
	is.True(errors.Is(err, backend.ErrStreamCancelled))
}

func send(t *testing.T, method, url string, input any) []byte {
	t.Helper()
	body, err := json.Marshal(input)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("%s %s: %d %s %v", method, url, response.StatusCode, answer, err)
	}
	return answer
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	_, client, url := overHTTP(t)
	send(t, http.MethodPut, url+engine.PathFaults, engine.Faults{LoseNext: 1})
	_, err := client.Generate(t.Context(), request("p", 1), nil)
	is.True(errors.Is(err, backend.ErrOutcomeUnknown))
	_, err = client.Resume(t.Context(), streamID("p", 1, 1), 0, nil)
	is.NoErr(err) // the lost request took effect

	send(t, http.MethodPut, url+engine.PathDrain, engine.DrainRequest{Draining: true})
	_, err = client.Generate(t.Context(), request("p", 2), nil)
	is.True(errors.Is(err, backend.ErrDraining))

	send(t, http.MethodPost, url+engine.PathRestart, nil)
	_, err = client.Resume(t.Context(), streamID("p", 1, 1), 0, nil)
	is.True(errors.Is(err, backend.ErrStreamUnknown))
	var truth engine.Truth
	is.NoErr(json.Unmarshal(send(t, http.MethodGet, url+engine.PathTruth, nil), &truth))
	is.Equal(truth.Restarts, 1)
	is.Equal(len(truth.Arrivals), 2)
	is.Equal(truth.Arrivals[0].Outcome, engine.OutcomeFinished)

	send(t, http.MethodPut, url+engine.PathFaults, engine.Faults{Down: true})
	is.True(errors.Is(client.Cancel(t.Context(), streamID("p", 9, 1)), backend.ErrOutcomeUnknown))
}

// Faults can be set with curl: omitted fields are off, and the body needs no JSON content
// type. An invalid body is rejected with the position of its error.
func TestFaultsFromCurlRequests(t *testing.T) {
	is := is.New(t)
	e, _, url := overHTTP(t)
	put := func(body string) (int, string) {
		t.Helper()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+engine.PathFaults, strings.NewReader(body))
		is.NoErr(err)
		request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(answer)
	}
	status, _ := put(`{"slow":3}`)
	is.Equal(status, http.StatusOK)
	is.Equal(e.Faults(), engine.Faults{Slow: 3})
	status, answer := put(`{"slow":-3,"loose":1}`)
	is.Equal(status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(answer, "body.slow") && strings.Contains(answer, "body.loose"))
	is.Equal(e.Faults(), engine.Faults{Slow: 3})
}

func TestChatCompletionWithoutStream(t *testing.T) {
	is := is.New(t)
	_, _, url := overHTTP(t)
	var response backend.ChatResponse
	answer := send(t, http.MethodPost, url+backend.PathChatCompletions, backend.ChatRequest{
		Model: "advisor", Messages: []backend.Message{{Role: "user", Content: "hello"}}, MaxTokens: 8,
	})
	is.NoErr(json.Unmarshal(answer, &response))
	is.Equal(response.Object, backend.ObjectCompletion)
	is.Equal(response.Usage.CompletionTokens, 8)
	is.Equal(*response.Choices[0].FinishReason, "length")
	id, err := backend.ParseStreamID(response.ID)
	is.NoErr(err)
	is.Equal(id.Call.Branch, identity.MainBranch)
}
