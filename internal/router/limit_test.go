package router

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/routing"
)

// maxRejectionTime is the time within which a rejection must arrive.
const maxRejectionTime = 100 * time.Millisecond

// withLimit configures one tenant with the key "one" and a rate limit.
func withLimit(h *harness, rate, burst float64) {
	tenant := tenantWith("acme", "one")
	tenant.RatePerSecond, tenant.Burst = rate, burst
	h.configure(2, tenant)
	h.router.config.Limits = limits.New(limits.Config{
		Self: "n", Policy: quota.Policy{Window: time.Second}, Strategy: limits.StrategyAllocator, Now: monotonic(), Logger: slog.New(slog.DiscardHandler),
	})
	h.router.config.Limits.SetLimits(func(name string) (quota.Limit, bool) {
		found := h.router.Configuration().TenantNamed(name)
		return limits.LimitOf(found), found.Limited()
	}, func() bool { return true })
	go h.router.config.Limits.Run(h.t.Context())
	// An earlier process may have granted what the limit allows, so tokens accrue from the
	// end of its leases on.
	time.Sleep(quota.LeaseTTL + 2*time.Second)
}

// postMany sends requests of the tenant and counts the responses by status.
func (h *harness) postMany(count int, path, name string, header ...string) map[int]int {
	statuses := map[int]int{}
	for i := range count {
		got := h.post(path, fmt.Sprint(name, i), append(header, "Test-Key", "one")...)
		statuses[got.StatusCode]++
	}
	return statuses
}

func TestTenantOverLimitIsRejectedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	withLimit(h, 10, 20)
	statuses := h.postMany(40, "/safe/x", "a")
	is.True(statuses[http.StatusOK] >= 10 && statuses[http.StatusOK] <= 31)
	is.Equal(statuses[http.StatusOK]+statuses[http.StatusTooManyRequests], 40)
	began := time.Now()
	got := h.post("/safe/x", "b", "Test-Key", "one")
	is.True(time.Since(began) < maxRejectionTime)
	is.Equal(got.StatusCode, http.StatusTooManyRequests)
	after, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 1)
	time.Sleep(time.Duration(2*after*float64(time.Second)) + 100*time.Millisecond)
	is.Equal(h.post("/safe/x", "c", "Test-Key", "one").StatusCode, http.StatusOK) // the delay was sufficient
}

// No node may grant tokens. Requests are rejected with the time after which that may have
// changed, and after the first one at once.
func TestTenantWithoutAllocatorIsRejectedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	withLimit(h, 10, 20)
	service := limits.New(limits.Config{
		Self: "n", Policy: quota.Policy{Window: time.Second}, Strategy: limits.StrategyAllocator, Peers: unreachablePeers{}, Shares: noShare{},
		Now: monotonic(), Logger: slog.New(slog.DiscardHandler),
	})
	service.SetLimits(func(string) (quota.Limit, bool) { return quota.Limit{RatePerSecond: 10, Burst: 20}, true }, func() bool { return true })
	h.router.config.Limits = service
	h.post("/safe/x", "a", "Test-Key", "one")
	began := time.Now()
	got := h.post("/safe/x", "b", "Test-Key", "one")
	is.True(time.Since(began) < maxRejectionTime)
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.Equal(got.body, "limit_unknown\n")
	after, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= (1+retryAfterJitter)*quota.LeaseTTL.Seconds())
}

// unreachablePeers fails all calls.
type unreachablePeers struct{}

// Call implements peer.Client.
func (unreachablePeers) Call(context.Context, netip.AddrPort, peer.Message, func(peer.Message) error) (peer.Message, error) {
	return nil, peer.ErrUnreachable
}

// noShare is a node that holds no share of the limits.
type noShare struct{}

// Fraction implements limits.Shares.
func (noShare) Fraction(time.Duration) float64 { return 0 }

func TestRequestsThatDidNotRunAreRefunded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1"))
	withLimit(h, 10, 20)
	statuses := h.postMany(60, "/safe/x", "a")
	is.Equal(statuses[http.StatusServiceUnavailable], 60)
}

func TestRequestsThatMayHaveRunAreNotRefunded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, closeConnection)
	withLimit(h, 10, 20)
	statuses := h.postMany(60, "/safe/x", "a")
	is.True(statuses[http.StatusBadGateway] >= 10 && statuses[http.StatusBadGateway] <= 31)
	is.Equal(statuses[http.StatusBadGateway]+statuses[http.StatusTooManyRequests], 60)
}

// A request that is repeated after a replica may have run it, at another replica or on a new
// connection, must take another token, or the replicas together run more requests than the
// limit allows.
func TestRepeatedRequestsCountAgainstLimit(t *testing.T) {
	for name, replicas := range map[string][]replica.Script{
		"responses lost": {closeConnection, closeConnection}, "reused connections closed": {closeReusedConnections()},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, replicas...)
			const rate, burst = 10, 20
			withLimit(h, rate, burst)
			began := time.Now()
			runs := 0
			// If this process stalls, the node's lease lapses, and no token is granted for a time.
			for round := 0; runs < 10 && time.Since(began) < 10*time.Second; round++ {
				h.postMany(60, "/safe/x", fmt.Sprint("a", round, "."))
				runs = lo.SumBy(h.replicas, func(one *replica.Replica) int { return len(one.Received()) })
			}
			allowed := burst + rate*(time.Second+time.Since(began)).Seconds() // the window is a second
			is.True(runs >= 10 && float64(runs) <= allowed)
		})
	}
}

// closeReusedConnections responds to the first request on each connection and closes it after
// receiving another one.
func closeReusedConnections() replica.Script {
	var mutex sync.Mutex
	used := map[net.Conn]bool{}
	return func(e *replica.Exchange) bool {
		mutex.Lock()
		reused := used[e.Socket]
		used[e.Socket] = true
		mutex.Unlock()
		return !reused && healthy(e)
	}
}

// A tenant that may not start further programs must be able to continue running ones.
func TestTenantAtItsLimitContinuesRunningPrograms(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool {
		e.Answer(http.StatusOK, "id: 1\ndata: w\n\n", "Test-Id: "+e.Request.Header.Get("Test-Id"), "Test-Stamp: s")
		return true
	})
	withLimit(h, 5, 20)
	turn := func(id, program string) answer {
		return h.post("/stream/x", id, "Test-Key", "one", "Test-Program", program, "Test-Budget", "1000", "Test-Tokens", "9,20")
	}
	var begun []string
	refused := answer{}
	for i := range 40 {
		program := fmt.Sprint("p", i)
		if refused = turn("first"+program, program); refused.StatusCode != http.StatusOK {
			break
		}
		begun = append(begun, program)
	}
	is.Equal(refused.StatusCode, http.StatusTooManyRequests)
	is.Equal(refused.body, "program_over_limit\n")
	is.True(len(begun) >= 5)
	is.Equal(turn("second"+begun[0], begun[0]).StatusCode, http.StatusOK)
}

func TestTenantWithoutLimitIsNotLimited(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	withLimit(h, 5, 5)
	free := tenantWith("free", "two")
	is.True(!(&free).Limited())
	h.configure(3, free)
	for i := range 50 {
		is.Equal(h.post("/safe/x", fmt.Sprint(i), "Test-Key", "two").StatusCode, http.StatusOK)
	}
	is.Equal(routing.PriorityOf(&routing.Route{Priority: 2}, &free), 2)
}
