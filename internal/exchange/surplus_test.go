package exchange

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// surplusTo writes a surplus response to a request.
func surplusTo(e *replica.Exchange, id string) {
	e.Answer(http.StatusOK, "surplus", "Test-Id: "+id, "Test-Stamp: s")
}

// Nothing told that replicas had sent bytes that belong to no request.
func TestSurplusBytesAreCountedByWhereTheyWereSeen(t *testing.T) {
	for place, write := range map[SurplusPlace]func(*replica.Exchange){
		SurplusBehind: func(e *replica.Exchange) {
			id := e.Request.Header.Get("Test-Id")
			e.Write("%s%[1]s", fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Length: 0\r\n\r\n", id))
		},
		SurplusIdle: func(e *replica.Exchange) {
			respond(e, "own")
			time.Sleep(restTime / 2)
			surplusTo(e, e.Request.Header.Get("Test-Id"))
		},
		SurplusSkipped: func(e *replica.Exchange) {
			if e.Number == 2 {
				surplusTo(e, "1")
			}
			respond(e, "own")
		},
	} {
		t.Run(place.String(), func(t *testing.T) {
			is := is.New(t)
			to, client := start(t, func(e *replica.Exchange) bool { write(e); return true })
			for _, id := range []string{"1", "2"} {
				_, _, err := send(t, client, to, newRequest(id))
				is.NoErr(err)
				time.Sleep(2 * restTime)
			}
			is.True(client.Surplus(place) > 0)
			for _, other := range SurplusPlaces() {
				is.True(other == place || client.Surplus(other) == 0)
			}
		})
	}
}

// A replica that wrote surplus responses got further requests that may not run twice, and streams, on the same connections.
func TestConnectionsToReplicaWithSurplusBytesAreNotReusedForUnrepeatableRequests(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool {
		respond(e, "own")
		if e.Number == 3 {
			surplusTo(e, e.Request.Header.Get("Test-Id"))
		}
		return true
	})
	number := 0
	sendOne := func(repeatable, stream bool) {
		number++
		request := newRequest(fmt.Sprint(number))
		request.Repeatable, request.Stream = repeatable, stream
		_, body, err := send(t, client, to, request)
		is.NoErr(err)
		is.Equal(body, "own")
		time.Sleep(2 * restTime)
	}
	sendOne(false, true)
	sendOne(false, true)
	is.Equal(to.Connections(), 1)
	sendOne(true, false)
	sendOne(true, false)          // sees the surplus
	is.Equal(to.Connections(), 2) // and sent on a new connection
	sendOne(false, false)
	is.Equal(to.Connections(), 3)
	sendOne(true, true)
	is.Equal(to.Connections(), 4)
	sendOne(true, false)
	is.Equal(to.Connections(), 4)
	target := Target{Instance: "i", Address: to.Address}
	is.True(client.Connected(true)(target) && !client.Connected(false)(target))
	client.pool.surplus.last[target] = time.Now().Add(-surplusTTL - time.Second)
	sendOne(false, true)
	is.Equal(to.Connections(), 4)
}

func TestReplicasWithSurplusBytesAreBounded(t *testing.T) {
	is := is.New(t)
	var known surplus
	for i := range maxSurplusTargets + 10 {
		known.record(Target{Instance: fmt.Sprint(i)}, SurplusIdle)
	}
	is.Equal(len(known.last), maxSurplusTargets)
	is.True(known.lately(Target{Instance: fmt.Sprint(maxSurplusTargets + 9)}, time.Now()))
	is.True(!known.lately(Target{Instance: "0"}, time.Now()))
}

// The head of a surplus response within a body went unnoticed.
func TestForeignHeadsAreFoundWhereverTheyBegin(t *testing.T) {
	head := regexp.MustCompile(`HTTP/1\.\d \d{3}[^\n]*\n([^\n]*[^\r\n][^\n]*\n)*?(?i:test-id):[ \t]*former\r?\n`)
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{
			"HTTP/1.1 200 OK\r\n", "HTTP/1.", "H", "1 200", "Test-Id: former\r\n", "test-id:former\n", "Test-Id: other\r\n", "Other: x\r\n", "\r\n", "text", "\n",
		}), 0, 12).Draw(t, "parts")
		text := strings.Join(parts, "")
		finder := &headFinder{names: names, former: []string{"former"}}
		found, kept := false, 0
		for rest := text; len(rest) > 0 && !found; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			before := 0
			if before, found = finder.find([]byte(rest[:size])); !found {
				before = size
			}
			kept += before
			rest = rest[size:]
		}
		place := head.FindStringIndex(text)
		if found != (place != nil) {
			t.Fatalf("found %v, want %v, in %q", found, place, text)
		}
		if found && kept >= place[1] {
			t.Fatalf("kept %d bytes of %q", kept, text)
		}
	})
}

// A body that ended within a surplus head was whole, and the rest of that head closed the connection.
func TestBodyThatEndsWithinForeignHeadIsBroken(t *testing.T) {
	is := is.New(t)
	const foreign = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Stamp: s\r\nContent-Length: 0\r\n\r\n"
	for _, within := range []int{1, 5, 15, 20, 30} {
		to, client := start(t, func(e *replica.Exchange) bool {
			if e.Number == 1 {
				respond(e, "former")
				return true
			}
			body := "own" + foreign[:within]
			e.Write("HTTP/1.1 200 OK\r\nTest-Id: 2\r\nTest-Stamp: s\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, foreign[within:])
			return true
		})
		_, _, err := send(t, client, to, newRequest("1"))
		is.NoErr(err)
		time.Sleep(2 * restTime)
		_, body, err := send(t, client, to, newRequest("2"))
		is.Equal(err, ErrForeign)
		is.True(strings.HasPrefix("own", body))
		is.Equal(to.Connections(), 1)
		is.Equal(client.Surplus(SurplusWithin), uint64(1))
	}
}

// Servers that announce the end of a connection that has rested send no surplus.
func TestTimeoutOfRestingConnectionIsNoSurplus(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool {
		respond(e, "own")
		time.Sleep(restTime / 2)
		e.Answer(http.StatusRequestTimeout, "", "Connection: close")
		return false
	})
	for _, id := range []string{"1", "2"} {
		_, _, err := send(t, client, to, newRequest(id))
		is.NoErr(err)
		time.Sleep(2 * restTime)
	}
	is.Equal(to.Connections(), 2)
	is.Equal(client.Surplus(SurplusIdle), uint64(0))
}
