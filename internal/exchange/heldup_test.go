package exchange

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// heldUpSocket is a connection of a process that is busy: the write of a body begins late, or ends late.
type heldUpSocket struct {
	net.Conn
	begin, end time.Duration
}

func (s heldUpSocket) Write(text []byte) (int, error) {
	if bytes.HasPrefix(text, []byte("POST ")) {
		return s.Conn.Write(text) // the head
	}
	time.Sleep(s.begin)
	n, err := s.Conn.Write(text)
	time.Sleep(s.end)
	return n, err
}

func (s heldUpSocket) SyscallConn() (syscall.RawConn, error) {
	return s.Conn.(syscall.Conn).SyscallConn()
}

// heldUp is how long a write is held up: longer than sentTimeout, and shorter than heldUpTimeout.
const heldUp = 10 * sentTimeout

// sendHeldUp sends an upload of size bytes from a busy process.
func sendHeldUp(t *testing.T, client *Client, to Target, size int, begin, end time.Duration) *Answer {
	t.Helper()
	request := newRequest("1")
	request.Body = make([]byte, size)
	used, err := client.connect(t.Context(), to, request, true)
	if err != nil {
		t.Fatal(err)
	}
	used.socket = heldUpSocket{Conn: used.socket, begin: begin, end: end}
	answer, err := client.exchange(t.Context(), used, request)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// TestWholeResponseToAHeldUpWriteIsWhole guards against whole responses without a length that failed, and
// connections that were given up, since the goroutine that writes the request ran late in a busy process.
func TestWholeResponseToAHeldUpWriteIsWhole(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		kept     bool
	}{
		"without a length": {response: "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nwhole"},
		"with a length":    {response: "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 5\r\n\r\nwhole", kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to, client := start(t, func(e *replica.Exchange) bool { e.Write("%s", c.response); return c.kept })
			target := Target{Instance: "i", Address: to.Address}
			answer := sendHeldUp(t, client, target, 1<<10, 0, heldUp)
			body, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.Equal(string(body), "whole")
			is.NoErr(answer.ConfirmEnd(t.Context()))
			answer.Close()
			is.Equal(client.Connected(true)(target), c.kept)
		})
	}
}

// TestPartOfAResponseToAHeldUpWriteIsNotWhole guards against a part of a body without a length that looks whole,
// since its replica had taken all of the upload that had been written by its end.
func TestPartOfAResponseToAHeldUpWriteIsNotWhole(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\npart of the answer"
	for name, c := range map[string]struct {
		replica earlyReplica
		size    int
	}{
		"closed":                      {earlyReplica{response: response}, uploadBytes},
		"closed, a short upload":      {earlyReplica{response: response}, 1},
		"reset behind the upload":     {earlyReplica{response: response, reset: true, pause: 2 * heldUp}, uploadBytes},
		"closed within the upload":    {earlyReplica{response: response, pause: 2 * heldUp}, uploadBytes},
		"closed behind a short one":   {earlyReplica{response: response, pause: 2 * heldUp}, 1},
		"reset behind a short upload": {earlyReplica{response: response, reset: true, pause: 2 * heldUp}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			client := NewClient(names)
			t.Cleanup(client.pool.closeAll)
			answer := sendHeldUp(t, client, startEarly(t, c.replica), c.size, heldUp, 0)
			_, err := io.ReadAll(answer.Body)
			is.True(err != nil || answer.ConfirmEnd(t.Context()) != nil)
			answer.Close()
		})
	}
}

// TestWriteThatTheReplicaHoldsUpIsNotWaitedFor guards against requests that wait for an upload that their replica
// does not read, although they have its response.
func TestWriteThatTheReplicaHoldsUpIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	to := startEarly(t, earlyReplica{response: "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 5\r\n\r\nwhole", pause: 2 * heldUpTimeout})
	client := NewClient(names)
	t.Cleanup(client.pool.closeAll)
	request := newRequest("1")
	request.Body = make([]byte, uploadBytes)
	answer, err := client.Send(t.Context(), to, request)
	is.NoErr(err)
	_, err = io.ReadAll(answer.Body)
	is.NoErr(err)
	before := time.Now()
	answer.Close()
	is.True(time.Since(before) < heldUpTimeout)
	is.True(!client.Connected(true)(to))
}
