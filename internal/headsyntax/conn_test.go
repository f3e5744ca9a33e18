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
)

// serve answers each request on each connection with a text.
func serve(t *testing.T, text string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				reader := bufio.NewReader(socket)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(socket, text)
				}
			}()
		}
	}()
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

func TestCheckedConnectionsPassResponses(t *testing.T) {
	is := is.New(t)
	body, err := fetch(t, serve(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n\x00 A : b"), 3)
	is.NoErr(err)
	is.Equal(body, strings.Repeat("\x00 A : b", 3))
	body, err = fetch(t, serve(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"), 3)
	is.NoErr(err)
	is.Equal(body, strings.Repeat("whole", 3))
}
