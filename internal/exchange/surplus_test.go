package exchange

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

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
