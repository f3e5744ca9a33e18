package router

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/clientconn"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/routing"
)

var testNames = HeaderNames{
	Replica:   exchange.Names{RequestID: "Test-Id", ExpectInstance: "Test-Instance", NotRun: "Test-Not-Run", Stamp: "Test-Stamp"},
	TimeoutMs: "Test-Timeout", LastEvent: "Last-Event-Id", Resumes: "Test-Resumes", Program: "Test-Program",
	Budget: "Test-Budget", TokenCount: "Test-Tokens", PromptPrefix: "Test-Prompt", PreviousTurn: "Test-Previous",
	Finish: "Test-Finish", Priority: "Test-Priority", Key: "Test-Key", Tenant: "Test-Tenant",
	Reserved: []string{"Test-Key", "Test-Tenant", "Test-Instance", "Test-Priority", "test-hold"},
}

const tokensPerEvent = 10

// harness is a router with emulated replicas of one service.
type harness struct {
	t        *testing.T
	router   *Router
	server   *httptest.Server
	log      *store.Store
	fleet    *fleet.Directory
	replicas []*replica.Replica
	// evacuated counts the changes of the evacuated zones.
	evacuated uint64
	// confirmations is the store that confirms the views of routers with records.
	confirmations confirmations
}

// newHarness starts a replica for each script. The first one is in the router's zone, the
// others in a farther one, so that the first is preferred.
func newHarness(t *testing.T, scripts ...replica.Script) *harness {
	h := &harness{t: t, log: store.New(), fleet: fleet.NewDirectory()}
	h.router = h.newRouter("node")
	var all []fleet.Replica
	for i, script := range scripts {
		started, err := replica.Start(script)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(started.Close)
		h.replicas = append(h.replicas, started)
		zone := "near"
		if i > 0 {
			zone = "far"
		}
		all = append(all, fleet.Replica{Instance: string(rune('a' + i)), Service: "s", Address: started.Address, Zone: zone, State: fleet.StateReady})
	}
	h.fleet.Replace(all, 0)
	h.configure(1)
	h.server = httptest.NewUnstartedServer(h.router)
	h.server.Listener = clientconn.NewTracker(slog.New(slog.DiscardHandler), nil).Track(h.server.Config, h.server.Listener)
	h.server.Start()
	t.Cleanup(h.server.Close)
	return h
}

func (h *harness) newRouter(name string) *Router {
	made := New(Config{
		Names: testNames, Replicas: exchange.NewClient(testNames.Replica), Fleet: h.fleet,
		Tracker: balance.NewTracker("near"), Random: func() float64 { return 0 }, BufferBytes: 1 << 20, Logger: slog.New(slog.DiscardHandler),
		Now: monotonic(),
		Turns: coordinator.New(coordinator.Config{
			Ledger: ledgerlog.New(ledgerlog.Config{
				Store: h.log, Topic: "ledger", TextTopic: "texts", Partitions: 2, Producer: name,
				RecordBytes: 1 << 16, CallBytes: 1 << 20, CacheBytes: 1 << 20, Logger: slog.New(slog.DiscardHandler),
			}),
			Logger: slog.New(slog.DiscardHandler),
		}),
	})
	h.addOrigins(made)
	return made
}

func (h *harness) configure(version uint64, tenants ...routing.Tenant) {
	route := func(prefix string, kind routing.Kind, attempts int, more func(*routing.Route)) routing.Route {
		route := routing.Route{
			Name: prefix, Host: "h.example", PathPrefix: prefix, Kind: kind, Timeout: time.Second,
			WeightedServices: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: attempts,
		}
		if more != nil {
			more(&route)
		}
		return route
	}
	built, err := routing.Build(routing.Configuration{
		Version: version, Tenants: tenants,
		Routes: []routing.Route{
			route("/public/", routing.KindSafe, 2, func(r *routing.Route) { r.Public = true }),
			route("/safe/", routing.KindSafe, 2, nil),
			route("/unsafe/", routing.KindUnsafe, 2, nil),
			route("/short/", routing.KindUnsafe, 1, func(r *routing.Route) { r.Timeout = 150 * time.Millisecond }),
			route("/stream/", routing.KindStreaming, 2, nil),
			route("/resume/", routing.KindStreaming, 2, func(r *routing.Route) { r.Resumable, r.Priority = true, 2 }),
			route("/kept/", routing.KindStreaming, 1, func(r *routing.Route) { r.Retain, r.RetainFor = true, time.Minute }),
		},
		Services: map[string]routing.Service{"s": {Name: "s", TokensPerEvent: tokensPerEvent, Slots: 4}},
		Limits:   routing.Limits{BodyBytes: 1 << 10, HeaderBytes: 2 << 10},
	})
	if err != nil {
		h.t.Fatal(err)
	}
	h.router.SetConfiguration(built)
}

type answer struct {
	*http.Response
	body string
	err  error
}

func (h *harness) post(path, id string, header ...string) answer {
	return h.postBody(path, id, "input", header...)
}

func (h *harness) postBody(path, id, body string, header ...string) answer {
	request, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Test-Id", id)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return answer{Response: response, body: string(read), err: err}
}

func healthy(e *replica.Exchange) bool {
	e.Answer(http.StatusOK, "done", "Test-Id: "+e.Request.Header.Get("Test-Id"), "Test-Stamp: s")
	return true
}

func withStatus(status int, header ...string) replica.Script {
	return func(e *replica.Exchange) bool {
		e.Answer(status, "no", append(header, "Test-Id: "+e.Request.Header.Get("Test-Id"))...)
		return true
	}
}

func unresponsive(e *replica.Exchange) bool {
	_, _ = e.Socket.Read(make([]byte, 1))
	return false
}

func closeConnection(*replica.Exchange) bool { return false }

func truncated(e *replica.Exchange) bool {
	e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Length: 100\r\n\r\npart", e.Request.Header.Get("Test-Id"))
	return false
}

func TestRequestIsRejectedWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.router.configuration.Store(nil)
	got := h.post("/safe/x", "1")
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.True(got.Header.Get("Retry-After") != "")
}

func TestRouteIsMatchedAndBodySizeIsLimited(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	is.Equal(h.post("/safe/x", "1").body, "done")
	is.Equal(h.post("/safeother/x", "2").StatusCode, http.StatusNotFound)
	is.Equal(h.postBody("/safe/x", "3", strings.Repeat("x", 2<<10)).StatusCode, http.StatusRequestEntityTooLarge)
}

func TestHeaderSizeIsLimited(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	got := h.post("/safe/x", "1", "X-Long", strings.Repeat("x", 3<<10))
	is.Equal(got.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(len(h.replicas[0].Received()), 0)
}

func TestIncompleteBodyTimesOut(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	socket, err := net.Dial("tcp4", h.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	_, err = socket.Write([]byte("POST /short/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: 1\r\nContent-Length: 10\r\n\r\nhalf"))
	is.NoErr(err)
	is.NoErr(socket.SetReadDeadline(time.Now().Add(2 * time.Second)))
	_, err = io.ReadAll(socket)
	is.NoErr(err) // closed
	is.Equal(len(h.replicas[0].Received()), 0)
}

func TestRequestIsRejectedIfBuffersAreFull(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	others := h.router.requests.Holder("")
	is.NoErr(others.Grow(1 << 20))
	is.Equal(h.post("/safe/x", "1").StatusCode, http.StatusServiceUnavailable)
	others.Release()
	is.Equal(h.post("/safe/x", "2").StatusCode, http.StatusOK)
	is.Equal(h.router.requests.Used(), int64(0))
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.configure(7)
	h.configure(6)
	is.Equal(h.router.Configuration().Version, uint64(7))
}

// For each failure of the first replica, the client must get the given status on a route
// with repeatable and on one with unrepeatable requests.
func TestStatusByFailureOfReplica(t *testing.T) {
	cases := []struct {
		name         string
		first        replica.Script
		safe, unsafe int
	}{
		{"shed", withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1"), 200, 200},
		{"another instance", withStatus(http.StatusMisdirectedRequest), 200, 200},
		{"503 without not-run header", withStatus(http.StatusServiceUnavailable), 200, 502},
		{"429 without not-run header", withStatus(http.StatusTooManyRequests), 200, 502},
		{"no response", closeConnection, 200, 502},
		{"truncated response", truncated, 200, 502},
		{"success without stamp", withStatus(http.StatusOK), 200, 502},
		{"encoded success", withStatus(http.StatusOK, "Test-Stamp: s", "Content-Encoding: gzip"), 200, 502},
		{"error response", withStatus(http.StatusInternalServerError, "Test-Stamp: s"), 200, 500},
		{"client error response", withStatus(http.StatusBadRequest, "Test-Stamp: s"), 400, 400},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, one.first, healthy)
			is.Equal(h.post("/safe/x", "1").StatusCode, one.safe)
			h = newHarness(t, one.first, healthy)
			got := h.post("/unsafe/x", "2")
			is.Equal(got.StatusCode, one.unsafe)
			if one.unsafe == http.StatusBadGateway {
				is.Equal(got.Header.Get("Test-Stamp"), "") // responses of the router itself are not stamped
				is.Equal(len(h.replicas[1].Received()), 0)
			}
		})
	}
}

// Three entries that named no replica used up a request's tries, though a replica could have served it.
func TestEntriesThatNameNoReplicaCostNoTry(t *testing.T) {
	is := is.New(t)
	const entries = 7
	for serving := range entries {
		scripts := slices.Repeat([]replica.Script{withStatus(http.StatusMisdirectedRequest)}, entries)
		scripts[serving] = healthy
		is.Equal(newHarness(t, scripts...).post("/unsafe/x", "1").StatusCode, http.StatusOK)
	}
}

func TestRejectionByAllReplicasHasRetryAfter(t *testing.T) {
	is := is.New(t)
	shed := withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1")
	h := newHarness(t, shed, shed)
	got := h.post("/unsafe/x", "1")
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.True(got.Header.Get("Retry-After") != "")
}

func TestProgramRequestIsRetriedAtFullReplicas(t *testing.T) {
	is := is.New(t)
	fullFor := func(count int) replica.Script {
		shed := withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1")
		return func(e *replica.Exchange) bool {
			if e.Number <= count {
				return shed(e)
			}
			return healthy(e)
		}
	}
	h := newHarness(t, fullFor(4))
	is.Equal(h.post("/unsafe/x", "1", "Test-Program", "p").StatusCode, http.StatusOK)
	h = newHarness(t, fullFor(4))
	is.Equal(h.post("/unsafe/x", "1").StatusCode, http.StatusServiceUnavailable) // not part of a program
	h = newHarness(t, fullFor(1000))
	began := time.Now()
	refused := h.post("/unsafe/x", "1", "Test-Program", "p")
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.True(refused.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < 700*time.Millisecond)
	is.Equal(len(h.replicas[0].Received()), 1+maxCapacityWaits)
}

func TestSafeRequestIsLimitedToMaxAttempts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, closeConnection, closeConnection, closeConnection)
	is.Equal(h.post("/safe/x", "1").StatusCode, http.StatusBadGateway)
	is.Equal(len(h.replicas[0].Received())+len(h.replicas[1].Received())+len(h.replicas[2].Received()), 2)
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, unresponsive)
	began := time.Now()
	is.Equal(h.post("/short/x", "1").StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 400*time.Millisecond)
}

func TestReplicaGetsRemainingTimeout(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.post("/unsafe/x", "1", "Test-Timeout", "700", "Connection", "X-Private", "X-Private", "v", "X-Public", "v")
	received := h.replicas[0].Received()[0]
	is.True(len(received.Header.Get("Test-Timeout")) == 3 && received.Header.Get("Test-Timeout") <= "700")
	is.Equal(received.Header.Get("X-Private"), "")
	is.Equal(received.Header.Get("X-Public"), "v")
	is.Equal(received.Header.Get("Test-Instance"), "a")
	is.Equal(received.Body, "input")
}

// A replica got the time that was left before the wait for its connection.
func TestReplicaGetsTimeThatIsLeftWhenTheRequestIsSent(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	chosen := h.fleet.Usable("s", 0)[0]
	late := &call{header: http.Header{"Test-Timeout": {"700"}}, deadline: time.Now().Add(200 * time.Millisecond)}
	is.NoErr(h.router.acquireSend(t.Context(), late, chosen))
	given, err := strconv.Atoi(late.header.Get("Test-Timeout"))
	is.NoErr(err)
	is.True(given <= 200)
	late.deadline = time.Now()
	is.True(errors.Is(h.router.acquireSend(t.Context(), late, chosen), context.DeadlineExceeded))
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		canceled := make(chan struct{})
		h := newHarness(t, func(e *replica.Exchange) bool {
			if path == "/stream/x" {
				e.Write("%s", streamHeader(e)+chunk("id: 1\ndata: x\n\n"))
			}
			unresponsive(e)
			close(canceled)
			return false
		})
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+path, strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "h.example"
		request.Header.Set("Test-Id", "1")
		time.AfterFunc(100*time.Millisecond, cancel)
		if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
			_, _ = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		select {
		case <-canceled:
		case <-time.After(500 * time.Millisecond):
			t.Fatalf("%s: the attempt was not canceled", path)
		}
	}
}

func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	h := newHarness(t, func(e *replica.Exchange) bool {
		<-release
		return healthy(e)
	})
	connections, address := trackedServer(t, h.router)
	socket, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	time.Sleep(50 * time.Millisecond)
	is.Equal(connections.CloseIdle(false), 1) // new: a request may be about to arrive

	_, err = socket.Write([]byte("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: 1\r\n\r\n"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.Equal(connections.CloseIdle(true), 1) // busy
	close(release)
	reader := bufio.NewReader(socket)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "done")
	time.Sleep(50 * time.Millisecond)
	connections.SetIdleLimit(time.Minute)
	connections.CloseResting()
	time.Sleep(50 * time.Millisecond)
	is.Equal(connections.Count(), 1)
	connections.CloseIdle(false)
	_, err = reader.ReadByte()
	is.True(errors.Is(err, io.EOF))
	time.Sleep(50 * time.Millisecond)
	is.Equal(connections.Count(), 0)
}

func TestDrainingClosesConnections(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.router.Drain()
	is.True(h.post("/safe/x", "1").Close)
}

// monotonic returns a clock that starts at zero.
func monotonic() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
