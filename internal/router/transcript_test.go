package router

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/transcript"
)

// withTranscripts gives the router transcripts of its own, and a route whose turns are persisted and
// may be resumed.
func (h *harness) withTranscripts() {
	h.router.config.Transcripts = transcript.New(transcript.Config{
		Self: identity.Node{Name: "node"}, MaxBytes: 1 << 20, Now: h.router.config.Now, Logger: h.router.config.Logger,
	})
	built, err := routing.Build(routing.Configuration{
		Version: 2, Services: map[string]routing.Service{"s": {Name: "s", TokensPerEvent: tokensPerEvent, Slots: 4}},
		Routes: []routing.Route{{
			Name: "k", Host: "h.example", PathPrefix: "/k/", Kind: routing.KindStreaming, Resumable: true, Retain: true, RetainFor: time.Minute,
			Timeout: time.Second, MaxAttempts: 2, WeightedServices: []routing.WeightedService{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		h.t.Fatal(err)
	}
	h.router.SetConfiguration(built)
}

// A client that does not name the stream was given a turn without its first events.
func TestResumptionThatDoesNotIdentifyItsOutputIsRejected(t *testing.T) {
	route := &routing.Route{Kind: routing.KindStreaming, Retain: true, Resumable: true}
	for name, resumption := range map[string]call{
		"without a name":         {route: route, resuming: true, positionKnown: true, lastEvent: 3},
		"without a position":     {route: route, resuming: true, resumes: "1", lastEvent: -1},
		"of an unknown stream":   {route: route, resuming: true, resumes: "1", positionKnown: true, lastEvent: 3},
		"of an unresumable turn": {route: &routing.Route{Kind: routing.KindStreaming, Retain: true}, resuming: true, resumes: "1", positionKnown: true, lastEvent: 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.withTranscripts()
			resumption.deadline, resumption.header = time.Now().Add(time.Second), http.Header{}
			recorder := httptest.NewRecorder()
			stream := &stream{reply: &reply{writer: recorder, request: httptest.NewRequest(http.MethodPost, "/", nil), router: h.router}, call: &resumption}
			is.True(!h.router.claimTranscript(t.Context(), stream))
			is.Equal(recorder.Code, http.StatusServiceUnavailable)
			is.Equal(recorder.Body.String(), reasonOutputUnknown+"\n")
			is.True(recorder.Header().Get("Retry-After") != "")
		})
	}
}

// Turns of which a part is already at the client count in full towards the replica's cache, and only
// what is sent counts towards the budget.
func TestResumedTurnIsPersistedWhole(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool {
		switch e.Request.Header.Get("Last-Event-Id") {
		case "":
			return events(1, 3, e.Number > 1)(e)
		default:
			return events(4, 5, true)(e)
		}
	})
	h.publish(0, "v1")
	h.withOrigins()
	h.withTranscripts()
	budget := turnHeader("p", 1000, 100)
	first := h.post("/k/x", "1", budget...)
	is.True(first.err != nil) // broken off, and no other replica is left
	h.router.config.Origins.Announce(origin.KeyOf("", "1"), origin.Origin{Service: "s", Version: "v1"}, time.Minute)
	second := h.post("/k/x", "2", append(budget, "Last-Event-Id", "3", "Test-Resumes", "1")...)
	is.NoErr(second.err)
	is.Equal(second.body, numbered(4, 5))
	third := h.post("/k/x", "3", append(budget, "Test-Previous", "2")...)
	is.Equal(third.StatusCode, http.StatusOK)
	received := h.replicas[0].Received()
	is.Equal(received[len(received)-1].Body, "inputw1\nw2\nw3\nw4\nw5\ninput")
}

// An event was held back while the next one had arrived in part.
func TestEventIsSentWhileTheNextIsIncomplete(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	h := newHarness(t, func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e)+chunk(numbered(1, 1)))
		time.Sleep(20 * time.Millisecond)
		e.Write("%s", chunk(numbered(2, 3)+"id: 4\nda"))
		<-arrived
		e.Write("%s", chunk("ta: w4\n\n")+"0\r\n\r\n")
		return true
	})
	h.publish(0, "v1")
	h.withOrigins()
	h.withTranscripts()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.server.URL+"/k/x", strings.NewReader("b"))
	is.NoErr(err)
	request.Host = "h.example"
	request.Header.Set("Test-Id", "1")
	response, err := http.DefaultTransport.RoundTrip(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	for id := range int64(4) {
		if id == 3 {
			close(arrived)
		}
		event, err := (&eventReader{reader: reader}).next()
		is.NoErr(err)
		is.Equal(event.id, id+1)
	}
}
