package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/exchange"
)

// surplusCase is a response within which the replica writes a surplus one to an earlier request of the
// same connection.
type surplusCase struct {
	path string
	// events is the number of events of the stream.
	events int
	// writes are what the replica writes to the connection.
	writes []string
	// pause is the time between two writes.
	pause time.Duration
	// closes reports that the replica closes the connection then.
	closes bool
}

func runEvents(run string, from, to int) []string {
	var events []string
	for id := from; id <= to; id++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", id, run, id))
	}
	return events
}

func responseLines(id string) []string {
	return []string{"Test-Id: " + id, "Content-Type: text/event-stream", "Test-Stamp: s"}
}

// cutAt divides a text at ascending offsets.
func cutAt(text string, at []int) []string {
	var parts []string
	from := 0
	for _, to := range append(slices.Clone(at), len(text)) {
		parts = append(parts, text[from:to])
		from = to
	}
	return parts
}

func headLength(response string) int {
	return strings.Index(response, "\r\n\r\n") + len("\r\n\r\n")
}

func drawOffsets(t *rapid.T, name string, count, least, most int) []int {
	offsets := rapid.SliceOfN(rapid.IntRange(least, most), count, count).Draw(t, name)
	slices.Sort(offsets)
	return offsets
}

// drawSurplusCase draws a case; former and id identify the earlier request and the present one.
func drawSurplusCase(t *rapid.T, former, id string) surplusCase {
	framings := rapid.SampledFrom([]replica.Framing{replica.FramingLength, replica.FramingChunked, replica.FramingNone})
	drawn := surplusCase{
		path:   rapid.SampledFrom([]string{"/stream/x", "/stream/x", "/resume/x", "/unsafe/x"}).Draw(t, "path"),
		events: rapid.IntRange(1, 20).Draw(t, "events"), pause: rapid.SampledFrom([]time.Duration{0, 500 * time.Microsecond}).Draw(t, "pause"),
	}
	framing := framings.Draw(t, "framing")
	own := framing.Response(responseLines(id), runEvents("own", 1, drawn.events)...)
	surplus := framings.Draw(t, "surplus framing").Response(responseLines(former), runEvents("surplus", 1, rapid.IntRange(0, 22).Draw(t, "surplus events"))...)
	pieces := rapid.IntRange(1, 3).Draw(t, "pieces")
	least := 0
	if rapid.IntRange(0, 3).Draw(t, "in head") > 0 {
		least = headLength(own)
	}
	at := drawOffsets(t, "at", pieces, least, len(own))
	// A head is one write.
	drawn.writes = replica.Interleave(own, cutAt(surplus, drawOffsets(t, "surplus cuts", pieces-1, headLength(surplus), len(surplus))), at)
	drawn.closes = framing == replica.FramingNone
	if framing != replica.FramingNone && rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
		written := strings.Join(drawn.writes, "")
		drawn.writes, drawn.closes = []string{written[:rapid.IntRange(0, len(written)).Draw(t, "cut at")]}, true
	}
	return drawn
}

// surplusReplicas are a replica that plays surplusCases and another one at which streams go on.
type surplusReplicas struct {
	mutex   sync.Mutex
	current surplusCase
	former  map[net.Conn]bool
	reused  int
}

func (s *surplusReplicas) faulty(e *replica.Exchange) bool {
	id := e.Request.Header.Get("Test-Id")
	s.mutex.Lock()
	current := s.current
	if s.former[e.Socket] {
		s.reused++
	}
	s.former[e.Socket] = true
	s.mutex.Unlock()
	if strings.HasPrefix(id, "former") {
		e.Write("%s", replica.FramingLength.Response(responseLines(id), "former"))
		return true
	}
	for _, text := range current.writes {
		if !e.TryWrite(text) {
			return false
		}
		time.Sleep(current.pause)
	}
	return !current.closes
}

func (s *surplusReplicas) other(e *replica.Exchange) bool {
	s.mutex.Lock()
	events := s.current.events
	s.mutex.Unlock()
	last := 0
	_, _ = fmt.Sscan(e.Request.Header.Get("Last-Event-Id"), &last)
	e.Write("%s", replica.FramingChunked.Response(responseLines(e.Request.Header.Get("Test-Id")), runEvents("other", last+1, events)...))
	return true
}

// checkStream returns how many events of a stream arrived, and fails if they are not one run's from the
// first on, or of two joined behind the last event of the first.
func checkStream(t *rapid.T, body string, resumable bool) int {
	count, joined := 0, false
	reader := &eventReader{reader: bufio.NewReader(strings.NewReader(body))}
	for {
		one, err := reader.next()
		if err == io.EOF {
			return count
		}
		if err != nil {
			t.Fatalf("part of an event was sent: %v in %q", err, body)
		}
		count++
		joined = joined || resumable && strings.HasPrefix(string(one.data), "other")
		run := "own"
		if joined {
			run = "other"
		}
		if string(one.raw) != runEvents(run, count, count)[0] {
			t.Fatalf("event %d is %q in %q", count, one.raw, body)
		}
	}
}

// Events of a surplus response that arrived within the next one on its connection were sent to the client as that one's.
func TestResponsesHoldNothingOfSurplusResponses(t *testing.T) {
	replicas := &surplusReplicas{former: map[net.Conn]bool{}}
	h := newHarness(t, replicas.faulty, replicas.other)
	checks, whole, partial, refused := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		checks++
		former, id := fmt.Sprint("former-", checks), fmt.Sprint("own-", checks)
		drawn := drawSurplusCase(t, former, id)
		replicas.mutex.Lock()
		replicas.current = drawn
		replicas.mutex.Unlock()
		h.router = h.newRouter("node")
		h.configure(1)
		h.server.Config.Handler = h.router
		if got := h.post("/safe/x", former); got.err != nil || got.StatusCode != http.StatusOK {
			t.Fatalf("the former request failed: %v, %v", got.StatusCode, got.err)
		}
		time.Sleep(12 * time.Millisecond) // the connection rests, so that it is reused
		got := h.post(drawn.path, id)
		complete := got.err == nil && got.StatusCode == http.StatusOK
		switch {
		case got.StatusCode != http.StatusOK:
			refused++
			return
		case complete:
			whole++
		default:
			partial++
		}
		if drawn.path == "/unsafe/x" {
			if want := strings.Join(runEvents("own", 1, drawn.events), ""); complete && got.body != want {
				t.Fatalf("body %q, want %q", got.body, want)
			}
			return
		}
		if count := checkStream(t, got.body, drawn.path == "/resume/x"); complete && count != drawn.events {
			t.Fatalf("whole after %d of %d events: %q", count, drawn.events, got.body)
		}
	})
	t.Logf("%d checks: %d on a reused connection, %d whole, %d broken off, %d refused", checks, replicas.reused, whole, partial, refused)
	if !t.Failed() && (replicas.reused < checks/2 || whole == 0 || partial == 0 || refused == 0) {
		t.Error("the cases are not varied")
	}
}

// unordered responds with a whole stream of events with the given IDs.
func unordered(run string, ids ...int) replica.Script {
	return func(e *replica.Exchange) bool {
		var events []string
		for _, id := range ids {
			events = append(events, runEvents(run, id, id)...)
		}
		e.Write("%s", replica.FramingLength.Response(responseLines(e.Request.Header.Get("Test-Id")), events...))
		return true
	}
}

// Events whose IDs did not rise within their response were passed over, and the stream was whole.
func TestEventsOutOfOrderBreakTheStreamOff(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x", "/kept/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, unordered("own", 1, 2, 4, 3, 4, 5), unordered("other", 5, 6))
			got := h.post(path, "1", turnHeader("p", 1000, 100)...)
			is.True(got.err != nil)
			is.Equal(got.body, strings.Join(append(runEvents("own", 1, 2), runEvents("own", 4, 4)...), ""))
			is.Equal(len(h.replicas[1].Received()), 0) // whether event 4 was the run's own is not certain
		})
	}
}

// A turn whose stream held another run's events was kept with them, and the next turn ran with that history.
func TestTurnWithForeignEventsIsNotKept(t *testing.T) {
	is := is.New(t)
	var turns atomic.Int64
	h := newHarness(t, func(e *replica.Exchange) bool {
		turns.Add(1)
		return unordered("own", 1, 2, 4, 3, 4, 5)(e)
	})
	is.True(h.post("/kept/x", "t1", turnHeader("p", 1000, 100)...).err != nil)
	got := h.post("/kept/x", "t2", turnHeader("p", 1000, 100, "Test-Previous", "t1")...)
	is.Equal(got.StatusCode, http.StatusNotFound)
	is.Equal(turns.Load(), int64(1))
}

func TestResumableStreamGoesOnBehindEventsThatBeginAnew(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, unordered("own", 1, 2, 1, 2, 3), unordered("other", 3, 4))
	got := h.post("/resume/x", "1")
	is.NoErr(got.err)
	is.Equal(got.body, strings.Join(append(runEvents("own", 1, 2), runEvents("other", 3, 4)...), ""))
	got = newHarness(t, unordered("own", 1, 2, 1, 2, 3)).post("/stream/x", "2")
	is.True(got.err != nil)
	is.Equal(got.body, strings.Join(runEvents("own", 1, 2), ""))
}

func TestReplicaMayRepeatKnownEventsOfResumedStream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 3, false), events(1, 6, true))
	got := h.post("/resume/x", "1")
	is.NoErr(got.err)
	is.Equal(got.body, numbered(1, 6))
}

// Only what can't be of an event is refused: services may stream the text of responses, and fields of their own.
func TestEventsMayHoldTextAndUnknownFields(t *testing.T) {
	is := is.New(t)
	body := "test-weight-version: 3\nid: 1\ndata: HTTP/1.1 200 OK\ndata: Test-Id: former\n\n: comment\n\nretry: 10\nodd\nevent: e\nid: 2\nid: 2\ndata\n\n"
	for _, framing := range []replica.Framing{replica.FramingLength, replica.FramingChunked} {
		h := newHarness(t, func(e *replica.Exchange) bool {
			e.Write("%s", framing.Response(responseLines(e.Request.Header.Get("Test-Id")), body))
			return true
		})
		for _, id := range []string{"former", "next", "last"} {
			got := h.post("/stream/x", id)
			is.NoErr(got.err)
			is.Equal(got.body, body)
			time.Sleep(12 * time.Millisecond)
		}
		is.Equal(h.replicas[0].Connections(), 1)
		for _, place := range exchange.SurplusPlaces() {
			is.Equal(h.router.config.Replicas.Surplus(place), uint64(0))
		}
	}
}

// Two IDs in one event, or a line of a head that names no earlier request, were sent to the client.
func TestLinesOfOtherResponsesBreakTheStreamOff(t *testing.T) {
	for name, event := range map[string]string{
		"two IDs":     "id: 2\nid: 3\ndata: x\n\n",
		"status line": "HTTP/1.1 200 OK\r\n\r\n",
		"request ID":  "id: 2\ndata: xHTTP/1.1 200 OK\r\nTEST-ID: unknown\r\n\r\n",
		"stamp":       "id: 2\ndata: x\ntest-stamp:s\r\n\r\n",
		"length":      "id: 2\ndata: x\ncontent-length: 4\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := func(e *replica.Exchange) bool {
				e.Write("%s", replica.FramingLength.Response(responseLines(e.Request.Header.Get("Test-Id")), numbered(1, 1), event))
				return true
			}
			got := newHarness(t, broken, events(2, 4, true)).post("/stream/x", "1")
			is.True(got.err != nil)
			is.Equal(got.body, numbered(1, 1))
			got = newHarness(t, broken, events(2, 4, true)).post("/resume/x", "2")
			is.NoErr(got.err)
			is.Equal(got.body, numbered(1, 4))
		})
	}
}
