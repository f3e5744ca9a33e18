package headsyntax

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/emulator/sockets"
)

// serve answers each request on each connection with a text.
func serve(t *testing.T, text string) string {
	return serveEach(t, func(int) string { return text })
}

// serveEach answers each request on a connection by its number, from 1.
func serveEach(t *testing.T, text func(number int) string) string {
	listener, err := sockets.Accept(func(socket net.Conn) {
		reader := bufio.NewReader(socket)
		for number := 1; ; number++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(socket, text(number))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return "http://" + listener.Addr().String() + "/"
}

func fetch(t *testing.T, address string, requests int) (string, error) {
	transport := &http.Transport{DialContext: Checked((&net.Dialer{Timeout: time.Second}).DialContext)}
	t.Cleanup(transport.CloseIdleConnections)
	body := ""
	for range requests {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address, strings.NewReader(strings.Repeat("x", 10_000)))
		if err != nil {
			return "", err
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			return "", err
		}
		read, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return "", err
		}
		body += string(read)
	}
	return body, nil
}

// TestCheckedConnectionsRejectInvalidHeads guards against responses of the store and of back ends that net/http
// accepts without a line that it can't read.
func TestCheckedConnectionsRejectInvalidHeads(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\nConnection: close\r\n\r\nwhole",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		if body, err := fetch(t, serve(t, text), 1); !errors.Is(err, ErrSyntax) {
			t.Errorf("%q: body %q, %v", text, body, err)
		}
	}
}

// TestBodyOfARequestIsNotTakenForAnotherRequest guards against a whole response to a large request that fails, and
// leaves the outcome of the request unknown: a part of the request's body that looked like the line of another
// request began the wait for another head.
func TestBodyOfARequestIsNotTakenForAnotherRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const refusal = "too large"
	response := "HTTP/1.1 413 Too Large\r\nContent-Length: 400\r\nConnection: close\r\n\r\n" + refusal + strings.Repeat(".", 400-len(refusal))
	upload := strings.Repeat(strings.Repeat("a", 4000)+" b HTTP/1.1\r\n", 2000)
	server, err := replica.StartEarly(func(e *replica.Exchange) bool {
		half := len(response) / 2
		e.Write("%s", response[:half])
		time.Sleep(20 * time.Millisecond)
		_, _ = io.CopyN(io.Discard, e.Socket, 1<<20)
		e.Write("%s", response[half:])
		_, _ = io.Copy(io.Discard, e.Socket)
		return true
	}, nil)
	is.NoErr(err)
	t.Cleanup(server.Close)
	for range 10 {
		transport := &http.Transport{DialContext: Checked((&net.Dialer{Timeout: time.Second}).DialContext)}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address.String(), strings.NewReader(upload))
		is.NoErr(err)
		answer, err := transport.RoundTrip(request)
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusRequestEntityTooLarge)
		is.True(strings.HasPrefix(string(body), refusal))
		_ = answer.Body.Close()
		transport.CloseIdleConnections()
	}
}

// TestEachResponseOnAConnectionIsChecked guards against invalid heads that pass as the response to a request whose
// head is written in parts, or that follows others with bodies.
func TestEachResponseOnAConnectionIsChecked(t *testing.T) {
	t.Parallel()
	for _, length := range []int{1, 5000, 9000} {
		for _, valid := range []int{0, 1, 3} {
			answered := 0
			address := serveEach(t, func(number int) string {
				if number > valid {
					return "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 5\r\n\r\nwhole"
				}
				answered++
				return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
			})
			_, err := fetch(t, address+strings.Repeat("a", length), valid+1)
			if !errors.Is(err, ErrSyntax) || answered != valid {
				t.Errorf("request lines of %d bytes, %d responses before: %d, %v", length, valid, answered, err)
			}
		}
	}
}

// TestRequestsWithoutALengthFail guards against responses that are not checked, since it is not known where their
// request ends.
func TestRequestsWithoutALengthFail(t *testing.T) {
	is := is.New(t)
	transport := &http.Transport{DialContext: Checked((&net.Dialer{Timeout: time.Second}).DialContext)}
	t.Cleanup(transport.CloseIdleConnections)
	unknown := io.MultiReader(strings.NewReader("input"))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), unknown)
	is.NoErr(err)
	response, err := transport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
	is.True(errors.Is(err, ErrRequestLength))
}

func TestCheckedConnectionsPassResponses(t *testing.T) {
	is := is.New(t)
	body, err := fetch(t, serve(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n\x00 A : b"), 3)
	is.NoErr(err)
	is.Equal(body, strings.Repeat("\x00 A : b", 3))
	body, err = fetch(t, serve(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"), 3)
	is.NoErr(err)
	is.Equal(body, strings.Repeat("whole", 3))
}
