package router

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/heldbytes"
)

// endlessStream begins a stream and repeats a part until the connection is closed, and counts the bytes.
func endlessStream(taken *atomic.Int64, first, part string) replica.Script {
	return func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e))
		if first != "" {
			e.Write("%s", chunk(first))
		}
		for e.TryWrite(chunk(part)) {
			taken.Add(int64(len(part)))
		}
		return false
	}
}

// kernelBuffers bounds what a replica may write into the buffers of a connection that nobody reads.
const kernelBuffers = 16 << 20

// A replica that sent events without an ID was read, and its bytes were sent on, until the client left.
func TestStreamWithoutNumberedEventsEndsAtTheLimit(t *testing.T) {
	line := strings.Repeat("x", 4000)
	for name, part := range map[string]string{
		"data":         "data: " + line + "\n\n",
		"comments":     ": " + line + "\n\n",
		"empty events": strings.Repeat("\n", 4000),
		"one event":    "data: " + line + "\n",
		"one line":     line,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			h := newHarness(t, endlessStream(&taken, "", part), events(1, 3, true))
			began := time.Now()
			got := h.post("/resume/x", "1") // goes on at the other replica
			is.NoErr(got.err)
			is.Equal(got.body, numbered(1, 3))
			is.True(time.Since(began) < 500*time.Millisecond)
			is.Equal(h.router.responses.Used(), int64(0))
			h = newHarness(t, endlessStream(&taken, "", part))
			is.Equal(h.post("/stream/x", "2").StatusCode, http.StatusBadGateway)
			is.True(taken.Load() < 2*(kernelBuffers+maxEventBytes))
		})
	}
}

// Events that a client has were skipped without an end.
func TestRepeatedEventsEndAtTheLimit(t *testing.T) {
	is := is.New(t)
	var taken atomic.Int64
	repeated := "id: 1\ndata: " + strings.Repeat("x", 4000) + "\n\n"
	h := newHarness(t, endlessStream(&taken, numbered(1, 1), repeated), events(2, 3, true))
	h.publish(0, "v1", "v1")
	began := time.Now()
	got := h.post("/resume/x", "1")
	is.NoErr(got.err)
	is.Equal(got.body, numbered(1, 3))
	is.True(time.Since(began) < 500*time.Millisecond)
	is.True(taken.Load() < kernelBuffers+maxRepeatedBytes)
}

func TestEventsWithoutIDAreSentWithTheNextNumberedOne(t *testing.T) {
	is := is.New(t)
	text := ": hello\n\n" + numbered(1, 1) + "data: x\n\n" + numbered(2, 2) + "event: end\n\n"
	h := newHarness(t, func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e)+chunk(text)+"0\r\n\r\n")
		return true
	})
	got := h.post("/stream/x", "1")
	is.NoErr(got.err)
	is.Equal(got.body, text)
}

// A replica whose numbered events had no end gave a client more tokens than the turn's maximum.
func TestStreamEndsAtTheMaximumOfItsTurn(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(1, 100, true))
	got := h.post("/stream/x", "1", turnHeader("p", 1000, 35)...)
	is.True(got.err != nil)
	is.Equal(got.body, numbered(1, 4)) // the fourth event exceeds 35 tokens in part
}

func TestBodyWithoutEndEndsAtTheLimit(t *testing.T) {
	part := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct{ framing, part string }{
		"in chunks":   {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(part), part)},
		"until close": {"Connection: close", part},
		"by length":   {"Content-Length: 99999999999", part},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			h := newHarness(t, func(e *replica.Exchange) bool {
				e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\n%s\r\n\r\n", e.Request.Header.Get("Test-Id"), c.framing)
				for e.TryWrite(c.part) {
					taken.Add(int64(len(part)))
				}
				return false
			})
			got := h.post("/unsafe/x", "1")
			is.True(got.err != nil || got.StatusCode == http.StatusBadGateway)
			is.True(len(got.body) <= maxResponseBytes+len(part))
			is.True(taken.Load() < maxResponseBytes+kernelBuffers)
			is.Equal(h.router.responses.Used(), int64(0))
		})
	}
}

// Many streams held an event of the maximum size each, without any limit for the node.
func TestIncompleteEventsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	begun := "id: 1\ndata: " + strings.Repeat("x", 100<<10)
	const streams = 12
	var arrived sync.WaitGroup
	arrived.Add(streams)
	incomplete := func(e *replica.Exchange) bool {
		// Streams that end before others are chosen a replica would all go to the nearest one.
		arrived.Done()
		arrived.Wait()
		e.Write("%s", streamHeader(e)+chunk(begun))
		time.Sleep(300 * time.Millisecond)
		return false
	}
	h := newHarness(t, incomplete, incomplete, incomplete, incomplete, incomplete, incomplete)
	highest := make(chan int64)
	stop := make(chan struct{})
	go func() {
		most := int64(0)
		for {
			select {
			case <-stop:
				highest <- most
				return
			default:
				most = max(most, h.router.responses.Used())
				time.Sleep(time.Millisecond)
			}
		}
	}()
	results := make(chan int, streams)
	for i := range streams {
		go func() { results <- h.post("/stream/x", fmt.Sprint(i)).StatusCode }()
	}
	for range streams {
		is.Equal(<-results, http.StatusBadGateway)
	}
	close(stop)
	most := <-highest
	is.True(most > 256<<10 && most <= h.router.config.BufferBytes)
	is.Equal(h.router.responses.Used(), int64(0))
}

// The incomplete events of one replica took the room of all other streams.
func TestIncompleteEventsOfOneReplicaLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	part := strings.Repeat("x", 16<<10)
	h := newHarness(t, func(e *replica.Exchange) bool {
		if e.Request.URI == "/safe/x" {
			return healthy(e)
		}
		e.Write("%s", streamHeader(e)+chunk("id: 1\ndata: "))
		for range 6 {
			e.TryWrite(chunk(part))
		}
		<-release
		return false
	}, func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e)+chunk("id: 1\ndata: "+part+"\n\n")+"0\r\n\r\n")
		return true
	})
	var faulty sync.WaitGroup
	for i := range 40 {
		faulty.Go(func() { h.post("/stream/x", fmt.Sprint(i)) })
	}
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		is.True(h.router.responses.Used() <= h.router.config.BufferBytes/2) // a quarter for each replica
	}
	h.fleet.Remove("a", 0, h.router.Now())
	got := h.post("/stream/x", "other")
	is.NoErr(got.err)
	is.Equal(got.StatusCode, http.StatusOK)
	close(release)
	faulty.Wait()
	is.Equal(h.router.responses.Used(), int64(0))
}

// Events without data took no room in a turn's output, and any in its transcript.
func TestTranscriptOfEmptyEventsEndsAtTheLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e))
		var part strings.Builder
		for id := 1; id == 1 || e.TryWrite(chunk(part.String())); {
			part.Reset()
			for range 1000 {
				fmt.Fprintf(&part, "id: %d\n\n", id)
				id++
			}
		}
		return false
	})
	h.publish(0, "v1")
	h.withOrigins()
	h.withTranscripts()
	h.router.responses = heldbytes.New(64 << 20)
	got := h.post("/k/x", "1")
	is.True(got.err != nil)
	const limit = 1 << 15
	is.True(strings.Count(got.body, "id: ") <= limit)
	is.True(strings.Count(got.body, "id: ") > limit-2*maxRecordedTogether)
	is.Equal(h.router.responses.Used(), int64(0))
}
