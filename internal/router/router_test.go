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
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/balance"
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
	TimeoutMs: "Test-Timeout", LastEvent: "Last-Event-Id", Program: "Test-Program",
	Budget: "Test-Budget", TokenCount: "Test-Tokens", PromptPrefix: "Test-Prompt", PreviousTurn: "Test-Previous",
	Finish: "Test-Finish", Priority: "Test-Priority", Key: "Test-Key", Tenant: "Test-Tenant",
	Reserved: []string{"Test-Key", "Test-Tenant", "Test-Instance", "Test-Priority", "test-hold"},
}

const tokensPerEvent = 10

// harness is a router with replicas of one service behind it.
type harness struct {
	t        *testing.T
	router   *Router
	server   *httptest.Server
	log      *store.Store
	fleet    *fleet.Directory
	replicas []*replica.Replica
	// evacuated counts the operators' records on zones.
	evacuated uint64
}

// newHarness starts a replica for each script. Replicas are chosen in the order
// of the scripts, since each lies in a zone further away.
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
	h.server = httptest.NewServer(h.router)
	t.Cleanup(h.server.Close)
	return h
}

func (h *harness) newRouter(name string) *Router {
	return New(Config{
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
}

func (h *harness) configure(version uint64, tenants ...routing.Tenant) {
	route := func(prefix string, kind routing.Kind, attempts int, more func(*routing.Route)) routing.Route {
		made := routing.Route{
			Name: prefix, Host: "h.example", PathPrefix: prefix, Kind: kind, Timeout: time.Second,
			WeightedServices: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: attempts,
		}
		if more != nil {
			more(&made)
		}
		return made
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

func (h *harness) ask(path, id string, head ...string) answer {
	return h.askBody(path, id, "input", head...)
}

func (h *harness) askBody(path, id, body string, head ...string) answer {
	request, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Test-Id", id)
	for i := 0; i < len(head); i += 2 {
		request.Header.Set(head[i], head[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return answer{Response: response, body: string(read), err: err}
}

func sound(e *replica.Exchange) bool {
	e.Answer(http.StatusOK, "done", "Test-Id: "+e.Request.Header.Get("Test-Id"), "Test-Stamp: s")
	return true
}

func withStatus(status int, head ...string) replica.Script {
	return func(e *replica.Exchange) bool {
		e.Answer(status, "no", append(head, "Test-Id: "+e.Request.Header.Get("Test-Id"))...)
		return true
	}
}

func silent(e *replica.Exchange) bool {
	_, _ = e.Socket.Read(make([]byte, 1))
	return false
}

func hangUp(*replica.Exchange) bool { return false }

func torn(e *replica.Exchange) bool {
	e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Length: 100\r\n\r\npart", e.Request.Header.Get("Test-Id"))
	return false
}

func TestWithoutConfigurationNothingIsSaidOfRoutes(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	h.router.configuration.Store(nil)
	got := h.ask("/safe/x", "1")
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.True(got.Header.Get("Retry-After") != "")
}

func TestRouteIsFoundOrRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	is.Equal(h.ask("/safe/x", "1").body, "done")
	is.Equal(h.ask("/safeother/x", "2").StatusCode, http.StatusNotFound)
	is.Equal(h.askBody("/safe/x", "3", strings.Repeat("x", 2<<10)).StatusCode, http.StatusRequestEntityTooLarge)
}

func TestHeadsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	got := h.ask("/safe/x", "1", "X-Long", strings.Repeat("x", 3<<10))
	is.Equal(got.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(len(h.replicas[0].Received()), 0)
}

func TestBodyThatDoesNotComeEndsWithTheRequestsTime(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
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

func TestFullBuffersRefuseAsNotRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	h.router.buffered.Add(1 << 20)
	is.Equal(h.ask("/safe/x", "1").StatusCode, http.StatusServiceUnavailable)
	h.router.buffered.Add(-1 << 20)
	is.Equal(h.ask("/safe/x", "2").StatusCode, http.StatusOK)
	is.Equal(h.router.buffered.Load(), int64(0))
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	h.configure(7)
	h.configure(6)
	is.Equal(h.router.Configuration().Version, uint64(7))
}

// TestOutcomes lists, for each way in which the first replica fails, what the
// client gets on a route whose requests may be repeated and on one where not.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name         string
		first        replica.Script
		safe, unsafe int
	}{
		{"shed", withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1"), 200, 200},
		{"another instance", withStatus(http.StatusMisdirectedRequest), 200, 200},
		{"503 that promises nothing", withStatus(http.StatusServiceUnavailable), 200, 502},
		{"429 that promises nothing", withStatus(http.StatusTooManyRequests), 200, 502},
		{"no answer", hangUp, 200, 502},
		{"torn answer", torn, 200, 502},
		{"unsigned success", withStatus(http.StatusOK), 200, 502},
		{"encoded success", withStatus(http.StatusOK, "Test-Stamp: s", "Content-Encoding: gzip"), 200, 502},
		{"own failure", withStatus(http.StatusInternalServerError, "Test-Stamp: s"), 200, 500},
		{"own refusal", withStatus(http.StatusBadRequest, "Test-Stamp: s"), 400, 400},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, one.first, sound)
			is.Equal(h.ask("/safe/x", "1").StatusCode, one.safe)
			h = newHarness(t, one.first, sound)
			got := h.ask("/unsafe/x", "2")
			is.Equal(got.StatusCode, one.unsafe)
			if one.unsafe == http.StatusBadGateway {
				is.Equal(got.Header.Get("Test-Stamp"), "") // a failure of the router's own is not signed
				is.Equal(len(h.replicas[1].Received()), 0)
			}
		})
	}
}

func TestRefusedAtOnceWithTimeToComeBackWhereNothingRan(t *testing.T) {
	is := is.New(t)
	shed := withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1")
	h := newHarness(t, shed, shed)
	got := h.ask("/unsafe/x", "1")
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.True(got.Header.Get("Retry-After") != "")
}

func TestFullReplicasAreOfferedAProgramsRequestAgain(t *testing.T) {
	is := is.New(t)
	fullFor := func(count int) replica.Script {
		shed := withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1")
		return func(e *replica.Exchange) bool {
			if e.Number <= count {
				return shed(e)
			}
			return sound(e)
		}
	}
	h := newHarness(t, fullFor(4))
	is.Equal(h.ask("/unsafe/x", "1", "Test-Program", "p").StatusCode, http.StatusOK)
	h = newHarness(t, fullFor(4))
	is.Equal(h.ask("/unsafe/x", "1").StatusCode, http.StatusServiceUnavailable) // nothing else depends on it
	h = newHarness(t, fullFor(1000))
	began := time.Now()
	refused := h.ask("/unsafe/x", "1", "Test-Program", "p")
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.True(refused.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < 700*time.Millisecond)
	is.Equal(len(h.replicas[0].Received()), 1+maxRounds)
}

func TestSafeRequestGoesToNoMoreReplicasThanAllowed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, hangUp, hangUp, hangUp)
	is.Equal(h.ask("/safe/x", "1").StatusCode, http.StatusBadGateway)
	is.Equal(len(h.replicas[0].Received())+len(h.replicas[1].Received())+len(h.replicas[2].Received()), 2)
}

func TestTimeoutOfTheRouteIsKept(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, silent)
	began := time.Now()
	is.Equal(h.ask("/short/x", "1").StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 400*time.Millisecond)
}

func TestReplicaIsToldWhatIsLeft(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	h.ask("/unsafe/x", "1", "Test-Timeout", "700", "Connection", "X-Private", "X-Private", "v", "X-Public", "v")
	received := h.replicas[0].Received()[0]
	is.True(len(received.Header.Get("Test-Timeout")) == 3 && received.Header.Get("Test-Timeout") <= "700")
	is.Equal(received.Header.Get("X-Private"), "")
	is.Equal(received.Header.Get("X-Public"), "v")
	is.Equal(received.Header.Get("Test-Instance"), "a")
	is.Equal(received.Body, "input")
}

func TestLeavingClientReachesTheReplica(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		gone := make(chan struct{})
		h := newHarness(t, func(e *replica.Exchange) bool {
			if path == "/stream/x" {
				e.Write("%s", streamHead(e)+chunk("id: 1\ndata: x\n\n"))
			}
			silent(e)
			close(gone)
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
		case <-gone:
		case <-time.After(500 * time.Millisecond):
			t.Fatalf("%s: the replica works on", path)
		}
	}
}

func TestIdleConnectionsAreClosedAndBusyOnesNot(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	h := newHarness(t, func(e *replica.Exchange) bool {
		<-release
		return sound(e)
	})
	tracked := NewConnections()
	server := httptest.NewUnstartedServer(h.router)
	server.Config.ConnContext, server.Config.ConnState = tracked.Context, tracked.State
	server.Start()
	defer server.Close()
	socket, err := net.Dial("tcp4", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	time.Sleep(50 * time.Millisecond)
	is.Equal(tracked.CloseIdle(false), 1) // new: a request may be on its way

	_, err = socket.Write([]byte("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: 1\r\n\r\n"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.Equal(tracked.CloseIdle(true), 1) // busy
	close(release)
	reader := bufio.NewReader(socket)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "done")
	time.Sleep(50 * time.Millisecond)
	tracked.CloseResting(time.Minute)
	is.Equal(tracked.Count(), 1)
	tracked.CloseResting(10 * time.Millisecond)
	is.Equal(tracked.CloseIdle(false), 0)
	_, err = reader.ReadByte()
	is.True(errors.Is(err, io.EOF))
}

func TestDrainingAsksClientsToLeave(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, sound)
	h.router.Drain()
	is.True(h.ask("/safe/x", "1").Close)
}

// monotonic returns a clock that starts at zero.
func monotonic() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
