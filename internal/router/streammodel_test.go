package router

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// streamAttempt is how a replica of streamModel answers.
type streamAttempt struct {
	framing replica.Framing
	// replays reports that it sends a resumed stream from the start again.
	replays bool
	// cut is the number of bytes that it sends before it breaks off, or -1; reset reports that the
	// connection is reset then.
	cut   int
	reset bool
	// write is the most bytes of one write.
	write int
}

// streamModel is replicas that send one stream, which they break off at any byte.
type streamModel struct {
	mutex sync.Mutex
	// units are the parts of the stream: a numbered event and those without an ID before it. tail are
	// the events without an ID at its end.
	units    []string
	tail     string
	attempts []streamAttempt
	next     int
	// replays applies to attempts beyond those.
	replays bool
}

// taken returns the number of requests that were answered.
func (m *streamModel) taken() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.next
}

// answer is the script of all replicas.
func (m *streamModel) answer(e *replica.Exchange) bool {
	m.mutex.Lock()
	attempt := streamAttempt{cut: -1, write: 1 << 20, replays: m.replays}
	if m.next < len(m.attempts) {
		attempt = m.attempts[m.next]
	}
	m.next++
	last := 0
	_, _ = fmt.Sscan(e.Request.Header.Get("Last-Event-Id"), &last)
	if attempt.replays {
		last = 0
	}
	parts := append([]string(nil), m.units[last:]...)
	if m.tail != "" { // an empty chunk is the end
		parts = append(parts, m.tail)
	}
	m.mutex.Unlock()
	text := attempt.framing.Response(responseLines(e.Request.Header.Get("Test-Id")), parts...)
	if attempt.cut >= 0 {
		text = text[:min(attempt.cut, len(text)-1)]
	}
	for len(text) > 0 {
		size := min(attempt.write, len(text))
		if !e.TryWrite(text[:size]) {
			return false
		}
		text = text[size:]
	}
	if attempt.reset {
		_ = e.Socket.(*net.TCPConn).SetLinger(0)
	}
	return attempt.cut < 0 && attempt.framing != replica.FramingNone
}

func drawStreamModel(t *rapid.T, m *streamModel) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	unnumbered := rapid.SampledFrom([]string{"", "", "", ": comment\n\n", "data: part\n\n", "test-weight-version: 2\n\n", "\n"})
	m.units, m.attempts, m.next = nil, nil, 0
	events := rapid.IntRange(1, 8).Draw(t, "events")
	for id := 1; id <= events; id++ {
		m.units = append(m.units, fmt.Sprintf("%sid: %d\ndata: w%d\n\n", unnumbered.Draw(t, "unnumbered"), id, id))
	}
	m.tail = unnumbered.Draw(t, "tail")
	m.replays = rapid.Bool().Draw(t, "replays at last")
	for range rapid.IntRange(0, 2).Draw(t, "attempts") {
		attempt := streamAttempt{
			framing: rapid.SampledFrom([]replica.Framing{replica.FramingLength, replica.FramingChunked}).Draw(t, "framing"), replays: rapid.Bool().Draw(t, "replays"),
			cut: -1, write: rapid.SampledFrom([]int{1, 7, 50, 1 << 20}).Draw(t, "write"),
		}
		if rapid.IntRange(0, 4).Draw(t, "breaks") > 0 {
			attempt.cut = rapid.IntRange(0, 150+30*len(m.units)).Draw(t, "cut")
			attempt.reset = rapid.Bool().Draw(t, "reset")
		} else if rapid.Bool().Draw(t, "closes") {
			attempt.framing = replica.FramingNone
		}
		m.attempts = append(m.attempts, attempt)
	}
}

// Whatever replicas break off, a client gets the stream's events from the first one on, each once and in order, and a whole
// response only if it has all. Events without an ID came twice if the replica that went on repeated known events.
func TestModelledStreamsHaveEachEventOnceAndInOrder(t *testing.T) {
	model := &streamModel{}
	h := newHarness(t, model.answer, model.answer)
	whole, broken, refused, continued := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		drawStreamModel(t, model)
		path := rapid.SampledFrom([]string{"/resume/x", "/resume/x", "/stream/x", "/kept/x"}).Draw(t, "path")
		id := fmt.Sprint(time.Now().UnixNano())
		got := h.post(path, id, turnHeader("p"+id, 1000, 200)...)
		complete := got.err == nil && got.StatusCode == http.StatusOK
		all := strings.Join(model.units, "") + model.tail
		switch {
		case got.StatusCode != http.StatusOK:
			refused++
			if got.StatusCode != http.StatusBadGateway {
				t.Fatalf("status %d: %q", got.StatusCode, got.body)
			}
			return
		case complete:
			whole++
			if model.taken() > 1 {
				continued++
			}
			if got.body != all {
				t.Fatalf("whole with %q in place of %q", got.body, all)
			}
		default:
			broken++
			if !strings.HasPrefix(all, got.body) || !strings.HasSuffix(got.body, "\n\n") {
				t.Fatalf("broken off with %q in place of a part of %q", got.body, all)
			}
		}
	})
	t.Logf("%d whole, %d of them after a failure, %d broken off, %d refused", whole, continued, broken, refused)
	if !t.Failed() && (continued == 0 || broken == 0 || refused == 0) {
		t.Error("the cases are not varied")
	}
}
