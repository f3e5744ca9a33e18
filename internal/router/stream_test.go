package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/fleet"
)

func streamHeader(e *replica.Exchange) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		e.Request.Header.Get("Test-Id"))
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func numbered(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: w%d\n\n", id, id)
	}
	return text.String()
}

// events responds with the events from..to; whole defines whether the stream ends cleanly.
func events(from, to int, whole bool) replica.Script {
	return func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e)+chunk(numbered(from, to)))
		if whole {
			e.Write("0\r\n\r\n")
		}
		return whole
	}
}

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	h := newHarness(t, func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e)+chunk(numbered(1, 1)))
		<-next
		e.Write("%s", chunk(numbered(2, 2))+"0\r\n\r\n")
		return true
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.server.URL+"/stream/x", strings.NewReader("b"))
	is.NoErr(err)
	request.Host = "h.example"
	request.Header.Set("Test-Id", "1")
	response, err := http.DefaultTransport.RoundTrip(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	first, err := (&eventReader{reader: bufio.NewReader(io.LimitReader(response.Body, int64(len(numbered(1, 1)))))}).next()
	is.NoErr(err)
	is.Equal(first.id, int64(1))
	close(next)
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(rest), numbered(2, 2))
}

func TestTruncatedStreamIsNotEndedCleanly(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, false), events(4, 6, true))
	got := h.post("/stream/x", "1")
	is.True(got.err != nil)
	is.Equal(got.body, numbered(1, 3))
	is.Equal(len(h.replicas[1].Received()), 0) // it must not run again
}

func TestResumableStreamContinuesAtAnotherReplica(t *testing.T) {
	is := is.New(t)
	midEvent := func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e)+chunk(numbered(1, 3)+"id: 4\nda"))
		return false
	}
	h := newHarness(t, midEvent, events(3, 6, true))
	got := h.post("/resume/x", "1")
	is.NoErr(got.err)
	is.Equal(got.body, numbered(1, 6))
	is.Equal(h.replicas[1].Received()[0].Header.Get("Last-Event-Id"), "3")
}

func TestStreamWithoutEventsFailsWithBadGateway(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool { e.Write("%s", streamHeader(e)); return false })
	is.Equal(h.post("/stream/x", "1").StatusCode, http.StatusBadGateway)
}

func turnHeader(program string, budget, most int, more ...string) []string {
	return append([]string{"Test-Program", program, "Test-Budget", fmt.Sprint(budget), "Test-Tokens", fmt.Sprintf("100,%d", most)}, more...)
}

func TestBudgetIsChargedForForwardedEvents(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, true))
	const budget, most = 100, 60 // each turn uses 30
	for i := range 3 {
		got := h.post("/stream/x", fmt.Sprint(i), turnHeader("p", budget, most)...)
		is.Equal(got.StatusCode, []int{200, 200, 402}[i])
	}
	is.Equal(len(h.replicas[0].Received()), 2)
}

func TestTurnWithoutMaximumIsBoundedByBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, true))
	const budget = 50 // each turn uses 30
	statuses := []int{}
	for i := range 3 {
		got := h.post("/stream/x", fmt.Sprint(i), "Test-Program", "p", "Test-Budget", fmt.Sprint(budget))
		statuses = append(statuses, got.StatusCode)
	}
	is.Equal(statuses, []int{http.StatusOK, http.StatusPaymentRequired, http.StatusPaymentRequired})
}

func TestTurnIsRejectedIfLedgerIsUnavailable(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, true))
	h.log.Fail(store.Fault{Busy: true})
	began := time.Now()
	got := h.post("/stream/x", "1", turnHeader("p", 100, 60)...)
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 700*time.Millisecond)
	is.Equal(len(h.replicas[0].Received()), 0)
}

func TestPersistedTurnsPrecedeNewInput(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 2, true))
	is.NoErr(h.postBody("/kept/x", "t1", "one.", turnHeader("p", 1000, 60)...).err)
	is.NoErr(h.postBody("/kept/x", "t2", "two.", turnHeader("p", 1000, 60, "Test-Previous", "t1")...).err)
	is.NoErr(h.postBody("/kept/x", "t3", "three.", turnHeader("p", 1000, 60, "Test-Previous", "t2")...).err)
	is.Equal(h.replicas[0].Received()[2].Body, "one.w1\nw2\ntwo.w1\nw2\nthree.")

	// Another node, without cached state, and another program.
	h.router = h.newRouter("second")
	h.configure(2)
	h.server.Config.Handler = h.router
	is.NoErr(h.postBody("/kept/x", "t4", "four.", turnHeader("q", 1000, 60, "Test-Previous", "t3")...).err)
	is.Equal(h.replicas[0].Received()[3].Body, "one.w1\nw2\ntwo.w1\nw2\nthree.w1\nw2\nfour.")
}

func TestTurnFollowsCachedPrefixFromAnyNode(t *testing.T) {
	is := is.New(t)
	shedFirst := func(e *replica.Exchange) bool {
		if e.Number == 1 {
			e.Answer(http.StatusServiceUnavailable, "", "Test-Not-Run: 1")
			return true
		}
		return events(1, 2, true)(e)
	}
	h := newHarness(t, shedFirst, events(1, 2, true))
	is.NoErr(h.post("/kept/x", "t1", turnHeader("p", 1000, 60, "Test-Tokens", "9000,60")...).err)

	h.router = h.newRouter("second")
	h.configure(2)
	h.server.Config.Handler = h.router
	is.NoErr(h.post("/kept/x", "t2", turnHeader("p", 1000, 60, "Test-Tokens", "9100,60", "Test-Previous", "t1")...).err)
	is.Equal(len(h.replicas[0].Received()), 1) // the nearer one, without the cached prefix
	is.Equal(len(h.replicas[1].Received()), 2)
	is.NoErr(h.post("/kept/x", "t3", turnHeader("q", 1000, 60, "Test-Tokens", "9000,60")...).err)
	is.Equal(len(h.replicas[0].Received()), 2)
}

func TestUnknownTurnIsNotFoundOnlyIfLedgerIsAvailable(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 2, true))
	got := h.post("/kept/x", "1", turnHeader("p", 1000, 60, "Test-Previous", "never")...)
	is.Equal(got.StatusCode, http.StatusNotFound)
	h.log.Fail(store.Fault{Busy: true})
	got = h.post("/kept/x", "2", turnHeader("p", 1000, 60, "Test-Previous", "never")...)
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(h.replicas[0].Received()), 0)
}

func TestStreamIsAbortedIfTurnCannotBePersisted(t *testing.T) {
	is := is.New(t)
	var h *harness
	h = newHarness(t, func(e *replica.Exchange) bool {
		h.log.Fail(store.Fault{Busy: true})
		return events(1, 2, true)(e)
	})
	got := h.post("/kept/x", "t1", turnHeader("p", 1000, 60)...)
	is.True(got.err != nil)
}

func TestEventsAreReadWithAnyBufferSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"id: 7", "data: x", "data: y", ": comment", "odd", "x-version: 3", strings.Repeat("d", 9000)}), 1, 6).Draw(t, "lines")
		ending := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "ending")
		text := strings.Join(lines, ending) + ending + ending
		size := rapid.IntRange(16, 64).Draw(t, "buffer")
		reader := bufio.NewReaderSize(strings.NewReader(text+text), size)
		for range 2 {
			read, err := (&eventReader{reader: reader}).next()
			if err != nil || string(read.raw) != text {
				t.Fatalf("read %q as %q, %v", text, read.raw, err)
			}
		}
		if _, err := (&eventReader{reader: reader}).next(); !errors.Is(err, io.EOF) {
			t.Fatalf("want io.EOF, got %v", err)
		}
	})
}

func TestUrgentRouteHasHigherPriorityAtEngine(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 1, true))
	h.post("/stream/x", "1", turnHeader("p", 100, 10)...)
	h.post("/resume/x", "2", turnHeader("q", 100, 10)...)
	received := h.replicas[0].Received()
	is.True(received[0].Header.Get("Test-Priority") < received[1].Header.Get("Test-Priority"))
}

func TestProgramStartsOnlyIfReplicasAreNotFull(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{})
	h := newHarness(t, func(e *replica.Exchange) bool {
		if strings.HasPrefix(e.Request.URI, "/unsafe/") {
			<-answered
			return healthy(e)
		}
		return events(1, 2, true)(e)
	})
	h.fleet.Replace([]fleet.Replica{{
		Instance: "a", Service: "s", Address: h.replicas[0].Address, Zone: "near", State: fleet.StateReady, Slots: 2,
	}}, 0)
	begun := turnHeader("begun", 1000, 50)
	is.Equal(h.post("/resume/x", "1", begun...).StatusCode, http.StatusOK)
	var waiting sync.WaitGroup
	for range 2 {
		waiting.Go(func() { h.post("/unsafe/x", "busy") })
	}
	for h.router.config.Tracker.Utilization(h.fleet.Usable("s", h.router.Now()), 4, h.router.Now()) < 1 {
		time.Sleep(time.Millisecond)
	}
	refused := h.post("/resume/x", "2", turnHeader("new", 1000, 50)...)
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.True(refused.Header.Get("Retry-After") != "")
	is.Equal(h.post("/resume/x", "3", begun...).StatusCode, http.StatusOK)
	is.Equal(h.post("/stream/x", "4", turnHeader("urgent", 1000, 50)...).StatusCode, http.StatusOK)
	close(answered)
	waiting.Wait()
	is.Equal(h.post("/resume/x", "5", turnHeader("new", 1000, 50)...).StatusCode, http.StatusOK)
}
