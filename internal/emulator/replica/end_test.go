package replica

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func answer(e *Exchange) bool {
	e.Answer(http.StatusOK, "done")
	return true
}

// request sends a request on a connection and returns the error of its response.
func request(socket net.Conn) error {
	_ = socket.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := socket.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestEndsLookLikeThoseOfMachines(t *testing.T) {
	for name, c := range map[string]struct {
		how   End
		fails func(open, dial error) bool
	}{
		"reset": {EndReset, func(open, dial error) bool {
			return (errors.Is(open, syscall.ECONNRESET) || errors.Is(open, syscall.EPIPE)) && errors.Is(dial, syscall.ECONNREFUSED)
		}},
		"closed": {EndClosed, func(open, dial error) bool {
			return open != nil && !errors.Is(open, os.ErrDeadlineExceeded) && errors.Is(dial, syscall.ECONNREFUSED)
		}},
		"silent": {EndSilent, func(open, dial error) bool {
			var network net.Error
			return errors.Is(open, os.ErrDeadlineExceeded) && errors.As(dial, &network) && network.Timeout()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started, err := Start(answer)
			is.NoErr(err)
			defer started.Close()
			socket, err := net.Dial("tcp4", started.Address.String())
			is.NoErr(err)
			defer func() { _ = socket.Close() }()
			is.NoErr(request(socket))
			started.End(c.how)
			open := request(socket)
			_, dial := net.DialTimeout("tcp4", started.Address.String(), 300*time.Millisecond)
			if !c.fails(open, dial) {
				t.Errorf("open connection: %v, new one: %v", open, dial)
			}
		})
	}
}

// Processes that were being started held the listener of a replica that had ended, so that it went on
// accepting connections.
func TestEndedReplicaRefusesConnectionsWhileProcessesStart(t *testing.T) {
	is := is.New(t)
	program, err := os.Executable()
	is.NoErr(err)
	var starters sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	for range 4 {
		starters.Go(func() {
			for ctx.Err() == nil {
				_ = exec.CommandContext(ctx, program, "-test.run=^$").Run()
			}
		})
	}
	accepted := 0
	for range 500 {
		ended, err := Start(func(*Exchange) bool { return true })
		is.NoErr(err)
		time.Sleep(time.Millisecond)
		ended.End(EndReset)
		if socket, err := net.Dial("tcp4", ended.Address.String()); err == nil {
			accepted++
			_ = socket.Close()
		}
		ended.Close()
	}
	stop()
	starters.Wait()
	is.Equal(accepted, 0)
}
