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
