package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/emulator/store"
)

// responseForm is a form in which a replica sends a body.
type responseForm struct {
	name string
	// encode returns the response to a request with an ID.
	encode func(id, body string) string
	// ends reports that the body ends with its connection.
	ends bool
	// refused reports that even the whole response is no success.
	refused bool
}

func fields(id string) string { return "Test-Id: " + id + "\r\nTest-Stamp: s\r\n" }

// chunks sends each event, or line, as a chunk of its own.
func chunks(body string) string {
	var encoded strings.Builder
	for part := range strings.SplitAfterSeq(body, "\n\n") {
		if part != "" {
			encoded.WriteString(chunk(part))
		}
	}
	return encoded.String()
}

var framedForms = []responseForm{
	{name: "chunked", encode: func(id, body string) string {
		return "HTTP/1.1 200 OK\r\n" + fields(id) + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body) + "0\r\n\r\n"
	}},
	{name: "length", encode: func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields(id), len(body), body)
	}},
	{name: "connection", ends: true, encode: func(id, body string) string {
		return "HTTP/1.1 200 OK\r\n" + fields(id) + "\r\n" + body
	}},
}

// oddForms are cut at each byte by fewer clients.
var oddForms = []responseForm{
	{name: "trailers", encode: func(id, body string) string {
		return "HTTP/1.1 200 OK\r\n" + fields(id) + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body) + "0\r\nX-A: b\r\n\r\n"
	}},
	{name: "bare line feeds", encode: func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\n%sContent-Length: %d\n\n%s", strings.ReplaceAll(fields(id), "\r", ""), len(body), body)
	}},
	{name: "folded field", refused: true, encode: func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n%sContent-Length:\r\n %d\r\n\r\n%s", fields(id), len(body), body)
	}},
	{name: "repeated fields", encode: func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\nContent-Length: %d\r\n\r\n%s", fields(id), fields(id), len(body), len(body), body)
	}},
	{name: "two lengths", refused: true, encode: func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\nContent-Length: 9\r\n\r\n%s", fields(id), len(body), body)
	}},
	{name: "informational heads", encode: func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields(id), len(body), body)
	}},
	{name: "content encoding", refused: true, encode: func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", fields(id), len(body), body)
	}},
	{name: "HTTP/1.0 with a length", encode: func(id, body string) string {
		return fmt.Sprintf("HTTP/1.0 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields(id), len(body), body)
	}},
	{name: "HTTP/1.0", ends: true, encode: func(id, body string) string {
		return "HTTP/1.0 200 OK\r\n" + fields(id) + "\r\n" + body
	}},
}

const brokenPlain = "a body of one line, and then\n\nsome more of it\n"

func bodyOf(path string) string {
	if path == "/unsafe/x" {
		return brokenPlain
	}
	return numbered(1, 4)
}

// endSocket ends a replica's connection by FIN or RST.
func endSocket(socket net.Conn, reset bool) {
	if tcp, ok := socket.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = socket.Close()
}

// verdict is what a client takes a response for.
type verdict string

const (
	verdictRefused verdict = "refused"
	verdictBroken  verdict = "broken"
	verdictWhole   verdict = "whole"
	// verdictShort is that of a part of the body that the client takes for whole by its framing,
	// verdictOpen if only the end of the connection delimits it.
	verdictShort verdict = "short"
	verdictOpen  verdict = "open"
	// verdictKept is that of a response that only the end of the connection delimits and that does not
	// say that it closes the connection.
	verdictKept verdict = "kept"
)

// ask sends a request of a version of HTTP on a connection of its own and reads the response to its end.
func ask(address, version, path, id string, header ...string) verdict {
	socket, err := net.Dial("tcp4", address)
	if err != nil {
		return verdict(err.Error())
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(10 * time.Second))
	lines := strings.Join(append(header, ""), "\r\n")
	_, err = fmt.Fprintf(socket, "POST %s HTTP/%s\r\nHost: h.example\r\nTest-Id: %s\r\nContent-Length: 5\r\n%s\r\ninput", path, version, id, lines)
	if err != nil {
		return verdict(err.Error())
	}
	var raw strings.Builder
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(socket, &raw)), nil)
	if err != nil {
		return verdictBroken
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return verdictRefused
	}
	body, err := io.ReadAll(response.Body)
	open := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	switch {
	case err != nil:
		return verdictBroken
	case open && version == "1.1" && !strings.Contains(raw.String(), "\r\nConnection: close\r\n"):
		return verdictKept
	case string(body) == bodyOf(path):
		return verdictWhole
	case open:
		return verdictOpen
	}
	return verdictShort
}

// cutCase is a response that is cut after some bytes.
type cutCase struct {
	form          *responseForm
	path, version string
	reset         bool
	cut           int
}

func (c *cutCase) id() string {
	return fmt.Sprintf("%s-%s-%s-%t-%04d", strings.ReplaceAll(c.form.name, " ", "_"), c.path[1:4], c.version, c.reset, c.cut)
}

func (c *cutCase) encoded() string { return c.form.encode(c.id(), bodyOf(c.path)) }

// sent returns the part of the body that precedes the cut, of a form without any framing.
func (c *cutCase) sent() string {
	body := bodyOf(c.path)
	return body[:max(c.cut-(len(c.encoded())-len(body)), 0)]
}

// allows reports whether a client may take the response for what the verdict says. A body that ends with
// its connection has no sign of its end, but a stream that has no event, or an open one, is not whole.
func (c *cutCase) allows(got verdict) bool {
	switch got {
	case verdictRefused, verdictBroken:
		return c.cut < len(c.encoded()) || c.form.refused || c.reset
	case verdictWhole:
		// The last event, or chunk, may be whole before the last byte was sent.
		return !c.form.refused
	case verdictOpen:
		sent := c.sent()
		whole := c.path == "/unsafe/x" || sent != "" && strings.HasSuffix(sent, "\n\n")
		return c.form.ends && !c.reset && whole
	}
	return false
}

// cutCases returns the cases of a form at every byte.
func cutCases(form *responseForm, versions []string) []*cutCase {
	var all []*cutCase
	for _, path := range []string{"/resume/x", "/stream/x", "/unsafe/x"} {
		for _, version := range versions {
			for _, reset := range []bool{false, true} {
				first := &cutCase{form: form, path: path, version: version, reset: reset}
				for cut := range len(first.encoded()) + 1 {
					one := *first
					one.cut = cut
					all = append(all, &one)
				}
			}
		}
	}
	return all
}

const cutClients = 8

// playCuts plays cases and returns the verdict of each. A whole response has a router of its own: until its
// replica ends the connection, the router may send on it a request that nobody reads.
func playCuts(t *testing.T, cases []*cutCase) map[*cutCase]verdict {
	whole, cut := lo.FilterReject(cases, func(one *cutCase, _ int) bool { return one.cut == len(one.encoded()) })
	verdicts := playTogether(t, cut)
	for _, one := range whole {
		maps.Copy(verdicts, playTogether(t, []*cutCase{one}))
	}
	return verdicts
}

// playTogether plays cases with one router and one replica, which gets each case once.
func playTogether(t *testing.T, cases []*cutCase) map[*cutCase]verdict {
	h := newHarness(t, func(e *replica.Exchange) bool {
		one := cases[0]
		if at, err := strconv.Atoi(e.Request.Header.Get("X-Case")); err == nil {
			one = cases[at]
		}
		encoded := one.encoded()
		_, _ = io.WriteString(e.Socket, encoded[:one.cut])
		endSocket(e.Socket, one.reset)
		return false
	})
	_, address := trackedServer(t, h.router)
	verdicts := make([]verdict, len(cases))
	var clients sync.WaitGroup
	for client := range cutClients {
		clients.Go(func() {
			for at := client; at < len(cases); at += cutClients {
				verdicts[at] = ask(address, cases[at].version, cases[at].path, cases[at].id(), fmt.Sprint("X-Case: ", at))
			}
		})
	}
	clients.Wait()
	// Another test of the machine may still send to a replica of its own that had this address.
	own := lo.Filter(h.replicas[0].Received(), func(request replica.Request, _ int) bool { return request.Header.Get("X-Case") != "" })
	received := lo.CountValuesBy(own, func(request replica.Request) string { return request.Header.Get("X-Case") })
	byCase := map[*cutCase]verdict{}
	for at, one := range cases {
		if times := received[strconv.Itoa(at)]; times != 1 {
			t.Errorf("%s was received %d times, and its client took the response for %s", one.id(), times, verdicts[at])
		}
		byCase[one] = verdicts[at]
	}
	is.New(t).Equal(len(own), len(cases))
	return byCase
}

// Clients of HTTP/1.0 took streams that broke off for whole, and all clients bodies without a length.
func TestResponsesThatBreakOffAreNotTakenForWhole(t *testing.T) {
	t.Parallel()
	play := func(form responseForm, versions ...string) {
		t.Run(form.name, func(t *testing.T) {
			cases := cutCases(&form, versions)
			verdicts := playCuts(t, cases)
			counts, wrong := map[string]map[verdict]int{}, 0
			for _, one := range cases {
				key := fmt.Sprintf("HTTP/%s %s reset=%t", one.version, one.path, one.reset)
				if counts[key] == nil {
					counts[key] = map[verdict]int{}
				}
				counts[key][verdicts[one]]++
				if !one.allows(verdicts[one]) {
					if wrong++; wrong <= 5 {
						t.Errorf("%s: %s", one.id(), verdicts[one])
					}
				}
			}
			t.Logf("%d of %d cuts wrong, %v", wrong, len(cases), counts)
		})
	}
	for _, form := range framedForms {
		play(form, "1.0", "1.1")
	}
	for _, form := range oddForms {
		play(form, "1.1")
	}
}

// readRaw sends a request of HTTP/1.0 and returns the body that was received and how the connection ended.
func readRaw(t *testing.T, address, path string, header ...string) (string, error) {
	is := is.New(t)
	socket, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	is.NoErr(socket.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = fmt.Fprintf(socket, "POST %s HTTP/1.0\r\nHost: h.example\r\nTest-Id: 1\r\nContent-Length: 5\r\n%s\r\ninput", path, strings.Join(append(header, ""), "\r\n"))
	is.NoErr(err)
	received, err := io.ReadAll(socket)
	_, body, _ := strings.Cut(string(received), "\r\n\r\n")
	return body, err
}

// A client of HTTP/1.0 saw a stream that the node had to end close like a whole one.
func TestStreamThatTheNodeEndsIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		// during is called while the stream is open.
		during func(*harness)
		header []string
		body   string
		reset  bool
	}{
		"whole":             {path: "/stream/x", body: numbered(1, 2)},
		"kept":              {path: "/kept/x", body: numbered(1, 2), header: []string{"Test-Program: p", "Test-Budget: 1000", "Test-Tokens: 100,60"}},
		"turn not kept":     {path: "/kept/x", during: func(h *harness) { h.log.Fail(store.Fault{Busy: true}) }, header: []string{"Test-Program: p", "Test-Budget: 1000", "Test-Tokens: 100,60"}, body: numbered(1, 2), reset: true},
		"node stops":        {path: "/stream/x", during: func(h *harness) { h.router.EndCalls(); time.Sleep(20 * time.Millisecond) }, body: numbered(1, 1), reset: true},
		"timeout":           {path: "/stream/x", during: func(*harness) { time.Sleep(1200 * time.Millisecond) }, body: numbered(1, 1), reset: true},
		"limit of a turn":   {path: "/stream/x", header: []string{"Test-Program: p", "Test-Budget: 1000", "Test-Tokens: 100,5"}, body: numbered(1, 1), reset: true},
		"node is stopped":   {path: "/stream/x", during: func(h *harness) { h.router.Drain() }, body: numbered(1, 2)},
		"replica broke off": {path: "/stream/x", during: func(h *harness) { h.replicas[0].End(replica.EndClosed) }, body: numbered(1, 1), reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h *harness
			h = newHarness(t, func(e *replica.Exchange) bool {
				e.Write("%s", streamHeader(e)+chunk(numbered(1, 1)))
				time.Sleep(20 * time.Millisecond) // the event is sent on before the stream goes on
				if c.during != nil {
					c.during(h)
				}
				e.Write("%s", chunk(numbered(2, 2))+"0\r\n\r\n")
				return true
			})
			_, address := trackedServer(t, h.router)
			body, err := readRaw(t, address, c.path, c.header...)
			is.Equal(errors.Is(err, syscall.ECONNRESET), c.reset)
			is.Equal(err == nil, !c.reset)
			is.Equal(body, c.body) // what was sent before the end has arrived
		})
	}
}

// A replica that was killed within a body without a length ended it like a whole one.
func TestBodyThatEndsWithItsReplicaIsNotWhole(t *testing.T) {
	t.Parallel()
	form := framedForms[2]
	cases := cutCases(&form, []string{"1.0", "1.1"})
	counts := map[verdict]int{}
	for _, one := range cases {
		// Only an end behind the head can be taken for that of the body.
		if behind := one.cut - (len(one.encoded()) - len(bodyOf(one.path))); behind < 0 || behind%8 != 0 && one.cut < len(one.encoded()) {
			continue
		}
		h := newHarness(t, func(e *replica.Exchange) bool {
			_, _ = io.WriteString(e.Socket, one.encoded()[:one.cut])
			how := replica.EndClosed
			if one.reset {
				how = replica.EndReset
			}
			e.Replica.End(how)
			return false
		})
		_, address := trackedServer(t, h.router)
		got := ask(address, one.version, one.path, one.id())
		counts[got]++
		if got != verdictRefused && got != verdictBroken {
			t.Errorf("%s: %s", one.id(), got)
		}
	}
	t.Log(counts)
}

// A killed replica's stream or body was not tried again, as it seemed to be whole.
func TestBodyThatEndsWithItsReplicaIsRetriedWhereThatIsAllowed(t *testing.T) {
	is := is.New(t)
	killed := func(body string) replica.Script {
		return func(e *replica.Exchange) bool {
			e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\n\r\n%s", e.Request.Header.Get("Test-Id"), body)
			time.Sleep(5 * time.Millisecond)
			e.Replica.End(replica.EndClosed)
			return false
		}
	}
	h := newHarness(t, killed("part"), healthy)
	is.Equal(h.post("/safe/x", "1").body, "done")
	h = newHarness(t, killed("part"), healthy)
	is.Equal(h.post("/unsafe/x", "1").StatusCode, http.StatusBadGateway)
	is.Equal(len(h.replicas[1].Received()), 0)
	h = newHarness(t, killed(numbered(1, 2)), events(3, 4, true))
	_, address := trackedServer(t, h.router)
	body, err := readRaw(t, address, "/resume/x")
	is.NoErr(err)
	is.Equal(body, numbered(1, 4))
	h = newHarness(t, killed(numbered(1, 2)))
	_, address = trackedServer(t, h.router)
	body, err = readRaw(t, address, "/stream/x")
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(body, numbered(1, 2))
	long := strings.Repeat("x", 2*maxBufferedBody)
	h = newHarness(t, killed(long))
	_, address = trackedServer(t, h.router)
	_, err = readRaw(t, address, "/unsafe/x")
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// A turn whose replica was killed between two events was kept as it had come, and its client took it for whole.
func TestKeptTurnIsWhatItsClientGot(t *testing.T) {
	turn := []string{"Test-Program: p", "Test-Budget: 1000", "Test-Tokens: 100,60"}
	for _, killed := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(t, func(e *replica.Exchange) bool {
			e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\n\r\n%s", e.Request.Header.Get("Test-Id"), numbered(1, 2))
			if killed {
				e.Replica.End(replica.EndClosed)
			}
			return false
		}, events(1, 1, true))
		body, err := readRaw(t, h.server.Listener.Addr().String(), "/kept/x", turn...)
		is.Equal(body, numbered(1, 2))
		is.Equal(errors.Is(err, syscall.ECONNRESET), killed)
		got := h.postBody("/kept/x", "2", "two.", turnHeader("p", 1000, 60, "Test-Previous", "1")...)
		if killed {
			is.Equal(got.StatusCode, http.StatusNotFound) // it was not answered whole
			continue
		}
		is.NoErr(got.err)
		is.Equal(h.replicas[0].Received()[1].Body, "inputw1\nw2\ntwo.")
	}
}
