package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/heldbytes"
)

// endless writes bytes until the caller closes the connection, and stores how many it took.
func endless(e *replica.Exchange, taken *atomic.Int64, part string) {
	for e.TryWrite(part) {
		taken.Add(int64(len(part)))
	}
}

// A replica that sent bytes without an end in place of a head was read until the request's deadline,
// and all of it was kept in memory.
func TestResponseHeadWithoutEndFailsAtTheLimit(t *testing.T) {
	line := strings.Repeat("a", 16<<10)
	for name, c := range map[string]struct{ begin, part string }{
		"no HTTP at all":      {"", strings.Repeat("\x00", 16<<10)},
		"one line":            {"HTTP/1.1 200 OK\r\nA: ", line},
		"the status line":     {"HTTP/1.1 200 ", line},
		"many fields":         {"HTTP/1.1 200 OK\r\n", strings.Repeat("a: b\r\n", 1<<10)},
		"empty fields":        {"HTTP/1.1 200 OK\r\n", strings.Repeat(":\n", 1<<10)},
		"informational heads": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 1<<8)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			to, client := start(t, func(e *replica.Exchange) bool {
				e.Write("%s", c.begin)
				endless(e, &taken, c.part)
				return false
			})
			began := time.Now()
			_, _, err := send(t, client, to, newRequest("1"))
			failure := failureOf(t, err)
			is.True(failure.Reason == ReasonMalformed || failure.Reason == ReasonForeign)
			is.Equal(failure.Outcome, OutcomeUnknown)
			is.True(time.Since(began) < headTimeout)
			is.Equal(client.pool.largeHeads.Used(), int64(0))
		})
	}
}

// A replica that sent its head byte by byte held a request up until its deadline.
func TestSlowResponseHeadFailsAfterItsTimeout(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool {
		e.Write("HTTP/1.1 200 OK\r\n")
		for e.TryWrite("a") {
			time.Sleep(50 * time.Millisecond)
		}
		return false
	})
	began := time.Now()
	_, _, err := send(t, client, to, newRequest("1"))
	is.Equal(failureOf(t, err).Reason, ReasonMalformed)
	is.True(time.Since(began) < 3*headTimeout)
}

// A pause between an informational response and the final one, or before the first byte, is no fault.
func TestReplicaMayPauseBeforeItsHead(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool {
		time.Sleep(headTimeout + 100*time.Millisecond)
		e.Write("HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(2*headTimeout + 100*time.Millisecond)
		respond(e, "hello")
		return true
	})
	_, body, err := send(t, client, to, newRequest("1"))
	is.NoErr(err)
	is.Equal(body, "hello")
}

// The body of a late response that had no end held the request behind it up until its deadline.
func TestLateResponseWithoutEndFailsAtTheLimit(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to, client := start(t, func(e *replica.Exchange) bool {
				if e.Request.Header.Get("Test-Id") == "1" {
					respond(e, "hello")
					return true
				}
				e.Write("HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
				for e.TryWrite("8\r\nabcdefgh\r\n") {
					time.Sleep(pause)
				}
				return false
			})
			_, _, err := send(t, client, to, newRequest("1"))
			is.NoErr(err)
			began := time.Now()
			_, _, err = send(t, client, to, newRequest("2"))
			is.Equal(failureOf(t, err).Reason, ReasonForeign)
			is.True(time.Since(began) < 3*skipTimeout) // extended once
		})
	}
}

// Large heads are bounded over all connections. Those of one replica leave room for others, and are not
// counted against the replica, whose head may be whole.
func TestLargeHeadsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	large := strings.Repeat("a", 2*readBuffer)
	to, client := start(t, func(e *replica.Exchange) bool {
		switch e.Request.Header.Get("Test-Id") {
		case "small":
			respond(e, "hello")
		case "large":
			e.Answer(http.StatusOK, "", "Test-Id: large", "A: "+large)
		default:
			e.TryWrite("HTTP/1.1 200 OK\r\nA: " + large)
			<-release
		}
		return true
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	get := func(instance, id string) error {
		answer, err := client.Send(ctx, Target{Instance: instance, Address: to.Address}, newRequest(id))
		if err == nil {
			answer.Close()
		}
		return err
	}
	hold := func(instance string) {
		for range maxLargeHeads {
			go func() { _ = get(instance, "held") }()
		}
	}
	awaitUsed := func(heads int64) {
		for client.pool.largeHeads.Used() < heads*maxHeadBytes {
			time.Sleep(time.Millisecond)
		}
	}
	is.NoErr(get("a", "large"))
	hold("a")
	awaitUsed(maxLargeHeads / 4)
	err := get("a", "large")
	is.True(errors.Is(err, heldbytes.ErrOwnerFull))
	is.Equal(failureOf(t, err).Reason, ReasonBuffersFull)
	is.NoErr(get("a", "small"))
	is.NoErr(get("b", "large"))
	for _, instance := range []string{"b", "c", "d"} {
		hold(instance)
	}
	awaitUsed(maxLargeHeads)
	is.True(errors.Is(get("e", "large"), heldbytes.ErrFull))
	is.NoErr(get("e", "small"))
}

// Bytes behind a whole answer that came just after the connection was used again were taken for the
// answer of a request that may not be repeated.
func TestBytesBehindAnAnswerHarmNoRequestThatMayNotBeRepeated(t *testing.T) {
	is := is.New(t)
	// late counts the bytes that came later than a connection rests, as this process was held up.
	var late atomic.Int32
	script := func(e *replica.Exchange) bool {
		time.Sleep(2 * time.Millisecond)
		respond(e, "hello")
		answered := time.Now()
		time.Sleep(3 * time.Millisecond)
		open := e.TryWrite("no answer")
		if time.Since(answered) > restTime/2 {
			late.Add(1)
		}
		return open
	}
	const rounds, maxHeldUp = 20, 200
	to, client := start(t, script)
	for round, heldUp := 0, 0; round < rounds; round++ {
		_, body, err := send(t, client, to, newRequest("1"))
		if err != nil && late.Swap(0) > 0 && heldUp < maxHeldUp {
			heldUp++
			round = -1 // all rounds again, without the connections that got late bytes
			to, client = start(t, script)
			continue
		}
		is.NoErr(err)
		is.Equal(body, "hello")
	}
}

func TestRestedConnectionIsUsedForARequestThatMayNotBeRepeated(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool { respond(e, "hello"); return true })
	for range 4 {
		_, _, err := send(t, client, to, newRequest("1"))
		is.NoErr(err)
		time.Sleep(2 * restTime)
	}
	is.Equal(to.Connections(), 1)
	repeatable := newRequest("2")
	repeatable.Repeatable = true
	for range 4 {
		_, _, err := send(t, client, to, repeatable)
		is.NoErr(err)
	}
	is.Equal(to.Connections(), 1)
}

// repeating is a connection that repeats some bytes without end.
type repeating struct {
	net.Conn
	text     []byte
	position int
	taken    int
}

func (r *repeating) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = r.text[r.position%len(r.text)]
		r.position++
	}
	r.taken += len(into)
	return len(into), nil
}

func (r *repeating) SetReadDeadline(time.Time) error { return nil }

func FuzzEndlessResponse(f *testing.F) {
	for _, seed := range []string{"\x00", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\na:\n", "HTTP/1.1 200 OK\r\n\n", "H", "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nContent-Length: 9\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) == 0 {
			return
		}
		large := heldbytes.New(maxHeadBytes * maxLargeHeads)
		socket := &repeating{text: text}
		wire := &headReader{socket: socket, large: large.Holder("i")}
		used := &connection{socket: socket, wire: wire, reader: bufio.NewReaderSize(wire, readBuffer), served: 1}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := (&Client{names: names, pool: newPool()}).readHead(used, Request{ID: "1", Method: http.MethodGet})
		runtime.ReadMemStats(&after)
		const maxAllocated = 1 << 20
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
			t.Fatalf("%d bytes allocated, %v", allocated, err)
		}
		if limit := (maxSkippedResponses + 1) * (maxHeadBytes + maxSkippedBytes + 2*readBuffer); socket.taken > limit {
			t.Fatalf("%d bytes read, %v", socket.taken, err)
		}
		if large.Used() != 0 {
			t.Fatal("a large head is still counted")
		}
	})
}
