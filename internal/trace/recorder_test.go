package trace_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/client"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/gateway"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/trace"
)

// script is a fake serving.Programs whose result depends on the call's sequence.
type script struct{ serving.Programs }

func (script) Create(_ context.Context, request serving.CreateRequest) (api.Program, error) {
	return api.Program{ID: string(request.ID), State: api.ProgramRunning}, nil
}

func (script) Call(ctx context.Context, request serving.CallRequest, _ serving.TokenFunc) (api.Answer, error) {
	switch request.Call.Sequence {
	case 1:
		time.Sleep(time.Second)
		return api.Answer{Program: string(request.Program), Sequence: 1, Text: "one"}, nil
	case 2:
		return api.Answer{}, api.NewProblem(api.CodeOutcomeUnknown, "lost")
	case 3:
		return api.Answer{}, api.NewProblem(api.CodeBudget, "spent")
	}
	<-ctx.Done()
	return api.Answer{}, errors.New("connection lost")
}

func (script) End(_ context.Context, program identity.ProgramID) (api.Program, error) {
	return api.Program{ID: string(program), State: api.ProgramEnded}, nil
}

func modelCall(sequence uint64) serving.CallRequest {
	return serving.CallRequest{Program: "p1", Call: api.CallRequest{
		Sequence: sequence, Kind: api.CallModel, MaxTokens: 4, Messages: []api.Message{{Role: "user", Content: "hello"}},
	}}
}

// textOf returns the lines that Write produces for the recorded events.
func textOf(is *is.I, recorder *trace.Recorder) []string {
	var file strings.Builder
	is.NoErr(trace.Write(&file, &trace.Trace{Events: recorder.Events()}))
	return strings.Split(strings.TrimSpace(file.String()), "\n")[1:]
}

func TestRecorderRecordsTimesPausesAndOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recorder := trace.NewRecorder(time.Now())
		programs := recorder.Programs("node-2", script{})
		time.Sleep(2 * time.Second)
		for range 2 { // a repeated creation is recorded once
			_, err := programs.Create(t.Context(), serving.CreateRequest{ID: "p1", Tenant: "t", Class: "c"})
			is.NoErr(err)
		}
		_, err := programs.Call(t.Context(), modelCall(1), nil)
		is.NoErr(err)
		time.Sleep(3 * time.Second) // the caller's tool
		_, err = programs.Call(t.Context(), modelCall(2), nil)
		is.True(err != nil)
		_, err = programs.Call(t.Context(), modelCall(3), nil)
		is.True(err != nil)
		impatient, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = programs.Call(impatient, modelCall(4), nil)
		is.True(err != nil)
		_, err = programs.End(t.Context(), "p1")
		is.NoErr(err)

		call := func(sequence string) string {
			return `"call":{"sequence":` + sequence + `,"kind":"model","messages":[{"role":"user","content":"hello"}],"max_tokens":4},`
		}
		digest := strconv.FormatUint(xxhash.Sum64String("one"), 16)
		is.Equal(textOf(is, recorder), []string{
			`{"at":"2s","event":"create","program":"p1","tenant":"t","class":"c","node":"node-2"}`,
			`{"at":"2s","event":"call","program":"p1","node":"node-2",` + call("1") + `"outcome":{"is":"answered","digest":"` + digest + `"}}`,
			`{"at":"6s","event":"call","program":"p1","node":"node-2","pause":"3s",` + call("2") + `"outcome":{"is":"outcome_unknown"}}`,
			`{"at":"6s","event":"call","program":"p1","node":"node-2","pause":"0s",` + call("3") + `"outcome":{"is":"refused","code":"budget_exhausted","not_run":true}}`,
			`{"at":"6s","event":"call","program":"p1","node":"node-2","pause":"0s","timeout":"5s",` + call("4") + `"outcome":{"is":"lost"}}`,
			`{"at":"11s","event":"end","program":"p1","node":"node-2"}`,
		})
	})
}

// TestRecorderWrapsHTTPClient records requests that go through the gateway.
func TestRecorderWrapsHTTPClient(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(gateway.New(gateway.Config{Programs: script{}, Board: blackboard.NewBoard()}).Handler())
	defer server.Close()
	caller, err := client.New(client.Options{Nodes: []string{server.Listener.Addr().String()}})
	is.NoErr(err)
	defer caller.Close()

	recorder := trace.NewRecorder(time.Now())
	programs := recorder.Programs("node-0", trace.ClientPrograms{Client: caller})
	_, err = programs.Create(t.Context(), serving.CreateRequest{ID: "p1", Tenant: "t", Class: "c"})
	is.NoErr(err)
	_, err = programs.Call(t.Context(), modelCall(1), nil)
	is.NoErr(err)
	_, err = programs.Call(t.Context(), modelCall(2), nil)
	is.True(err != nil)
	_, err = programs.End(t.Context(), "p1")
	is.NoErr(err)

	var kinds []string
	for _, event := range recorder.Events() {
		kind := string(event.Body.Kind())
		if recorded, isCall := event.Body.(trace.Call); isCall {
			kind += " " + string(recorded.Outcome.Kind)
		}
		kinds = append(kinds, kind)
	}
	is.Equal(kinds, []string{"create", "call answered", "call outcome_unknown", "end"})
}
