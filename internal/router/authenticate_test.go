package router

import (
	"bufio"
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/routing"
)

// tenantWith returns a tenant with the given keys.
func tenantWith(name string, keys ...string) routing.Tenant {
	tenant := routing.Tenant{Name: name}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, routing.DigestKey(key))
	}
	return tenant
}

func TestRequestWithoutValidKeyIsRejected(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.configure(2, tenantWith("acme", "one", "two"), tenantWith("other", "three"))
	is.Equal(h.post("/safe/x", "1").StatusCode, http.StatusUnauthorized)
	is.Equal(h.post("/safe/x", "2", "Test-Key", "onE").StatusCode, http.StatusUnauthorized)
	is.Equal(h.post("/safe/x", "3", "Test-Key", "").StatusCode, http.StatusUnauthorized)
	is.Equal(len(h.replicas[0].Received()), 0)
	for id, key := range map[string]string{"acme": "two", "other": "three"} {
		is.Equal(h.post("/safe/x", id, "Test-Key", key).StatusCode, http.StatusOK)
	}
	for _, received := range h.replicas[0].Received() {
		is.Equal(received.Header.Get("Test-Tenant"), received.Header.Get("Test-Id"))
		is.Equal(received.Header.Get("Test-Key"), "")
	}
}

func TestPublicRoutesNeedNoKey(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.configure(2, tenantWith("acme", "one"))
	is.Equal(h.post("/public/x", "1").StatusCode, http.StatusOK)
	is.Equal(h.post("/public/x", "2", "Test-Key", "unknown", "Test-Tenant", "acme").StatusCode, http.StatusOK)
	is.Equal(h.post("/public/x", "3", "Test-Key", "one").StatusCode, http.StatusOK)
	received := h.replicas[0].Received()
	is.Equal(received[1].Header.Get("Test-Tenant"), "")
	is.Equal(received[2].Header.Get("Test-Tenant"), "acme")
}

func TestRequestWithSeveralKeysIsRejected(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	h.configure(2, tenantWith("acme", "one"), tenantWith("other", "two"))
	is.Equal(h.raw("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: 1\r\nTest-Key: one\r\ntest-key: two\r\nContent-Length: 0\r\n\r\n"), http.StatusUnauthorized)
	is.Equal(len(h.replicas[0].Received()), 0)
}

func TestTenantPriorityOverridesRoutePriority(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	urgent, usual := tenantWith("urgent", "one"), tenantWith("usual", "two")
	urgent.Priority, urgent.HasPriority = 0, true
	h.configure(2, urgent, usual)
	h.post("/resume/x", "1", "Test-Key", "one")
	h.post("/resume/x", "2", "Test-Key", "two")
	received := h.replicas[0].Received()
	is.True(received[0].Header.Get("Test-Priority") < received[1].Header.Get("Test-Priority"))
}

func TestReservedFieldsOfClientsAreNotForwarded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	forged := "tESt-InsTANce: forged\r\nTest-Instance: forged\r\nTest-Hold: forged\r\nTEST-TENANT: forged\r\nTest-Priority: forged\r\nTest-Kept: 1\r\n"
	for number, more := range []string{"", "Connection: Test-Hold, close\r\n", "Connection: test-id\r\n", "Trailer: Test-Hold\r\n"} {
		id := fmt.Sprint(number)
		is.Equal(h.raw("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: "+id+"\r\n"+forged+more+
			"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nTest-Hold: forged\r\nTest-Tenant: forged\r\n\r\n"), http.StatusOK)
	}
	received := h.replicas[0].Received()
	is.Equal(len(received), 4)
	for number, one := range received {
		is.Equal(one.Header.Values("Test-Id"), []string{fmt.Sprint(number)})
		is.Equal(one.Header.Values("Test-Instance"), []string{"a"})
		is.Equal(one.Header.Get("Test-Kept"), "1")
		assertNothingForged(t, one.Header)
	}
}

func TestKeysAreNotLogged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	var lines bytes.Buffer
	h.router.config.Logger = slog.New(slog.NewJSONHandler(&lines, nil))
	h.configure(2, tenantWith("acme", "sesame-open"))
	h.post("/safe/x", "1", "Test-Key", "sesame-open")
	h.post("/safe/x", "2", "Test-Key", "sesame-shut")
	is.True(strings.Contains(lines.String(), `"tenant":"acme"`))
	is.True(strings.Contains(lines.String(), routing.DigestKey("sesame-shut").String()))
	is.True(!strings.Contains(lines.String(), "sesame"))
}

// assertNothingForged fails if a header field contains a value forged by the client.
func assertNothingForged(t *testing.T, header http.Header) {
	t.Helper()
	for name, values := range header {
		if strings.Contains(strings.Join(values, ","), "forged") {
			t.Fatalf("%s: %q", name, values)
		}
	}
}

// raw sends bytes on a new connection and returns the status of the response, or 0.
func (h *harness) raw(request string) int {
	socket, err := net.Dial("tcp4", h.server.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	if _, err := socket.Write([]byte(request)); err != nil {
		h.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// FuzzRequestHeader checks that no reserved field of a client's header is sent to a replica.
func FuzzRequestHeader(f *testing.F) {
	for _, header := range []string{
		"Test-Hold: forged\r\n", "test-hold: forged\r\nTEST-HOLD: forged\r\n", "Connection: test-tenant\r\nTest-Tenant: forged\r\n",
		"Connection: Test-Id, Test-Kept\r\nTest-Kept: 1\r\n", "Test-Key: forged\r\nTest-Priority: forged\r\n", "Test_Hold: 1\r\nTest-Hold : forged\r\n",
	} {
		f.Add(header)
	}
	tenant := tenantWith("acme", "one")
	f.Fuzz(func(t *testing.T, header string) {
		read, err := textproto.NewReader(bufio.NewReader(strings.NewReader("Test-Id: 7\r\n" + header + "\r\n\r\n"))).ReadMIMEHeader()
		if err != nil {
			t.Skip()
		}
		forwarded := testNames.requestHeader(http.Header(read), &tenant)
		for _, name := range testNames.Reserved {
			if values := forwarded.Values(name); len(values) > 0 && (name != testNames.Tenant || len(values) != 1 || values[0] != "acme") {
				t.Fatalf("%s: %q", name, values)
			}
		}
		if forwarded.Get("Test-Id") == "" || forwarded.Get("Test-Tenant") != "acme" {
			t.Fatalf("id %q, tenant %q", forwarded.Get("Test-Id"), forwarded.Get("Test-Tenant"))
		}
	})
}

// fakeFreshness is a Freshness with a settable age.
type fakeFreshness struct {
	age   atomic.Int64
	known bool
}

func (a *fakeFreshness) Age() (time.Duration, bool) { return time.Duration(a.age.Load()), a.known }
func (a *fakeFreshness) UnavailableForAll() bool    { return true }

func TestRequestWithKeyIsRejectedWhileConfigurationIsStale(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	fresh := &fakeFreshness{known: true}
	fresh.age.Store(int64(time.Second))
	h.router.config.Lease, h.router.config.Freshness = 4*time.Second, fresh
	h.configure(2, tenantWith("acme", "one"))
	is.Equal(h.post("/safe/x", "1", "Test-Key", "one").StatusCode, http.StatusOK)
	is.Equal(h.post("/safe/x", "2", "Test-Key", "new").StatusCode, http.StatusUnauthorized)
	fresh.age.Store(int64(4*time.Second + 1))
	for _, key := range []string{"one", "new"} { // a key that may be valid is never denied
		got := h.post("/safe/x", "3"+key, "Test-Key", key)
		is.Equal(got.StatusCode, http.StatusServiceUnavailable)
		is.True(got.Header.Get("Retry-After") != "")
	}
	fresh.age.Store(0)
	fresh.known = false
	is.Equal(h.post("/safe/x", "5", "Test-Key", "one").StatusCode, http.StatusServiceUnavailable)
	is.Equal(h.post("/public/x", "6").StatusCode, http.StatusOK)
	is.Equal(len(h.replicas[0].Received()), 2)
}

func TestLeaseIsCheckedBeforeEachAttempt(t *testing.T) {
	is := is.New(t)
	fresh := &fakeFreshness{known: true}
	h := newHarness(t, func(e *replica.Exchange) bool {
		fresh.age.Store(int64(time.Minute)) // the lease expires while the first replica sheds the request
		return withStatus(http.StatusServiceUnavailable, "Test-Not-Run: 1")(e)
	}, healthy)
	h.router.config.Lease, h.router.config.Freshness = 4*time.Second, fresh
	h.configure(2, tenantWith("acme", "one"))
	is.Equal(h.post("/safe/x", "1", "Test-Key", "one").StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(h.replicas[1].Received()), 0)
}

func TestTurnsOfOtherTenantsAreNotFound(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool {
		e.Answer(http.StatusOK, "id: 1\ndata: w\n\n", "Test-Id: "+e.Request.Header.Get("Test-Id"), "Test-Stamp: s")
		return true
	})
	h.configure(2, tenantWith("acme", "one"), tenantWith("other", "two"))
	is.Equal(h.post("/kept/x", "t1", "Test-Key", "one").StatusCode, http.StatusOK)
	foreign := h.post("/kept/x", "t2", "Test-Key", "two", "Test-Previous", "t1")
	absent := h.post("/kept/x", "t3", "Test-Key", "two", "Test-Previous", "never")
	is.Equal(foreign.StatusCode, http.StatusNotFound)
	is.Equal(foreign.body, absent.body)
	is.Equal(h.post("/kept/x", "t4", "Test-Key", "two", "Test-Previous", "acme/t1").StatusCode, http.StatusNotFound)
	is.Equal(h.post("/kept/x", "t5", "Test-Key", "one", "Test-Previous", "t1").StatusCode, http.StatusOK)
	received := h.replicas[0].Received()
	is.Equal(len(received), 2)
	is.Equal(received[1].Body, "inputw\ninput")
}
