package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// uploadBytes is more than sockets hold, so that the request is still being written when its replica
// answers.
const uploadBytes = 8 << 20

// earlyReplica answers uploads before it has read them.
type earlyReplica struct {
	*net.TCPListener
	// response is written as it is, once read bytes of the body have been read.
	response string
	read     int64
	// reset ends connections with a reset, or else they are closed, after a pause.
	reset bool
	pause time.Duration
}

func startEarly(t *testing.T, replica earlyReplica) Target {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	replica.TCPListener = listener
	go replica.serve()
	return Target{Instance: "i", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

func (e *earlyReplica) serve() {
	for {
		socket, err := e.AcceptTCP()
		if err != nil {
			return
		}
		go e.answer(socket)
	}
}

// answer serves requests without a body, and ends with the first upload.
func (e *earlyReplica) answer(socket *net.TCPConn) {
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = socket.Close()
			return
		}
		if request.ContentLength == 0 {
			_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Test-Id"))
			continue
		}
		_, _ = io.CopyN(io.Discard, request.Body, e.read)
		_, _ = io.WriteString(socket, e.response)
		time.Sleep(e.pause)
		if e.reset {
			_ = socket.SetLinger(0)
		}
		_ = socket.Close()
		return
	}
}

// upload sends an upload and reports whether its body counts as whole.
func upload(t *testing.T, client *Client, to Target, used bool) (body string, whole bool) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request := Request{ID: "1", Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Test-Id": {"1"}}, Body: make([]byte, uploadBytes), Repeatable: true}
	if used {
		first := request
		first.Body = nil
		answer, err := client.Send(ctx, to, first)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		answer.Close()
	}
	answer, err := client.Send(ctx, to, request)
	if err != nil {
		return "", false
	}
	defer answer.Close()
	received, err := io.ReadAll(answer.Body)
	return string(received), err == nil && answer.ConfirmEnd(ctx) == nil
}

// TestPartOfAnEarlyResponseIsNotWhole guards against a part of a body without a length that looks whole:
// the write of the upload learned of the connection's reset, and the read saw a plain end.
func TestPartOfAnEarlyResponseIsNotWhole(t *testing.T) {
	t.Parallel()
	const response = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Stamp: s\r\nConnection: close\r\n\r\npart of the answer"
	for name, c := range map[string]struct {
		replica earlyReplica
		used    bool
	}{
		"reset soon":                    {replica: earlyReplica{reset: true, pause: 2 * time.Millisecond}},
		"reset later":                   {replica: earlyReplica{reset: true, pause: 50 * time.Millisecond}},
		"reset at once":                 {replica: earlyReplica{reset: true}},
		"reset within the upload":       {replica: earlyReplica{reset: true, read: 1 << 20, pause: 2 * time.Millisecond}},
		"reset, connection used before": {replica: earlyReplica{reset: true, pause: 2 * time.Millisecond}, used: true},
		"closed within the upload":      {replica: earlyReplica{read: 1 << 20, pause: 2 * time.Millisecond}},
		"closed soon":                   {replica: earlyReplica{pause: 2 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.replica.response = response
			to := startEarly(t, c.replica)
			client := NewClient(names)
			t.Cleanup(client.pool.closeAll)
			for range 20 {
				if body, whole := upload(t, client, to, c.used); whole {
					t.Fatalf("%q counts as whole", body)
				}
			}
		})
	}
}

// TestWholeResponsesToUploadsAreWhole guards against responses that are refused although they are
// whole: those whose length tells their end, and those to an upload that was read.
func TestWholeResponsesToUploadsAreWhole(t *testing.T) {
	t.Parallel()
	for name, replica := range map[string]earlyReplica{
		"early, with a length": {response: "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 5\r\n\r\nwhole", pause: 5 * time.Millisecond},
		"early, in chunks":     {response: "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", pause: 5 * time.Millisecond},
		"without a length":     {response: "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nwhole", read: uploadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			to := startEarly(t, replica)
			client := NewClient(names)
			t.Cleanup(client.pool.closeAll)
			for range 20 {
				body, whole := upload(t, client, to, false)
				is.True(whole)
				is.Equal(body, "whole")
			}
		})
	}
}
