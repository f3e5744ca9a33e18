package router

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/quarantine"
)

// withQuarantine gives the router a quarantine of its own.
func (h *harness) withQuarantine() {
	h.router.config.Quarantine = quarantine.New(quarantine.Config{
		Self: "node", Replicas: h.fleet, Dial: exchange.Dial, Now: h.router.config.Now, Logger: h.router.config.Logger,
	})
}

// mortal ends its replica under lethal requests.
func mortal(e *replica.Exchange) bool {
	if strings.Contains(e.Request.Body, "lethal") {
		e.Replica.End(replica.EndReset)
		return false
	}
	return healthyForAnyPath(e)
}

// receivedLethal returns the number of lethal requests that replicas have received.
func (h *harness) receivedLethal() int {
	return lo.SumBy(h.replicas, func(one *replica.Replica) int {
		return lo.CountBy(one.Received(), func(received replica.Request) bool { return strings.Contains(received.Body, "lethal") })
	})
}

// A request that ended its replicas was sent to two more by each attempt of its client.
func TestQuarantinedRequestIsRejectedAtOnce(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, mortal, mortal, mortal, mortal, mortal)
			h.withQuarantine()
			statuses := map[int]int{}
			for i := range 10 {
				got := h.postBody(path, fmt.Sprint("r", i), "lethal", "Test-Program", "p")
				statuses[got.StatusCode]++
			}
			is.Equal(h.receivedLethal(), quarantine.MaxEnded)
			is.True(statuses[http.StatusBadRequest] >= 7)
			is.Equal(statuses[http.StatusServiceUnavailable], 0)
			is.Equal(h.post("/safe/x", "other").StatusCode, http.StatusOK)
		})
	}
}

// A turn that must not be sent keeps nothing of its program's budget.
func TestQuarantinedTurnReservesNoBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, mortal, mortal, mortal, mortal, mortal)
	h.withQuarantine()
	budget := []string{"Test-Program", "p", "Test-Budget", "500", "Test-Tokens", "5,100"}
	for i := range 20 { // the budget holds five turns
		h.postBody("/kept/x", fmt.Sprint("r", i), "lethal", budget...)
	}
	is.Equal(h.receivedLethal(), quarantine.MaxEnded)
	is.Equal(h.postBody("/kept/x", "other", "input", budget...).StatusCode, http.StatusOK)
}

func TestQuarantinedRequestTakesNoToken(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, mortal, mortal, mortal, mortal, mortal)
	h.withQuarantine()
	withLimit(h, 10, 20)
	statuses := map[int]int{}
	for i := range 100 {
		statuses[h.postBody("/safe/x", fmt.Sprint("r", i), "lethal", "Test-Key", "one").StatusCode]++
	}
	is.Equal(statuses[http.StatusTooManyRequests], 0)
	is.Equal(h.receivedLethal(), quarantine.MaxEnded)
	is.Equal(h.post("/safe/x", "other", "Test-Key", "one").StatusCode, http.StatusOK)
}
