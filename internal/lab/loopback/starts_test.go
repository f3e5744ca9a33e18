package loopback

import (
	"context"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestFreeAddressesCanBeBoundWhileProcessesStart guards against addresses that are in use: processes that were
// being started held the sockets by which an address had been probed.
func TestFreeAddressesCanBeBoundWhileProcessesStart(t *testing.T) {
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
	inUse := 0
	for range 2000 {
		address, err := FreeAddress(ProcessIP())
		is.NoErr(err)
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			inUse++
			continue
		}
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			inUse++
		} else {
			_ = socket.Close()
		}
		_ = listener.Close()
	}
	stop()
	starters.Wait()
	is.Equal(inUse, 0)
}

// firstStart is set in the processes that TestFirstAddressCanBeBoundWhileTheFirstProcessStarts starts.
const firstStart = "STEPSEAM_TEST_FIRST_START"

// TestFirstAddressCanBeBoundWhileTheFirstProcessStarts guards against addresses that are in use: os/exec forks
// once without the fork lock, before the first process that it starts, to find out what the kernel supports.
func TestFirstAddressCanBeBoundWhileTheFirstProcessStarts(t *testing.T) {
	is := is.New(t)
	program, err := os.Executable()
	is.NoErr(err)
	if os.Getenv(firstStart) != "" {
		bindWhileFirstProcessStarts(t, program)
		return
	}
	failed := 0
	for range 200 {
		command := exec.CommandContext(t.Context(), program, "-test.run=^"+t.Name()+"$")
		// The race detector has each process sleep for a second at its end.
		command.Env = append(os.Environ(), firstStart+"=1", "GORACE=atexit_sleep_ms=0")
		if output, err := command.CombinedOutput(); err != nil {
			failed++
			t.Logf("%s", output)
		}
	}
	is.Equal(failed, 0)
}

// bindWhileFirstProcessStarts binds addresses until the first process that this one starts runs its program.
func bindWhileFirstProcessStarts(t *testing.T, program string) {
	is := is.New(t)
	command := exec.CommandContext(t.Context(), program, "-test.run=^$")
	started := make(chan error, 1)
	go func() { started <- command.Start() }()
	for running := false; !running; {
		select {
		case err := <-started:
			is.NoErr(err)
			running = true
		default:
		}
		address, err := FreeAddress(ProcessIP())
		is.NoErr(err)
		listener, err := net.Listen("tcp4", address.String())
		is.NoErr(err)
		_ = listener.Close()
	}
	is.NoErr(command.Wait())
}
