package loopback

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestFreeSkipsAllocatedAndBoundPorts(t *testing.T) {
	is := is.New(t)
	host := ProcessIP()
	is.True(host.IsLoopback())
	seen := map[netip.AddrPort]bool{}
	for range 200 {
		next, err := FreeAddress(host)
		is.NoErr(err)
		is.True(!seen[next])
		seen[next] = true
		after := netip.AddrPortFrom(host, next.Port()+1)
		if taken, err := net.Listen("tcp4", after.String()); err == nil && len(seen) == 100 {
			seen[after] = true
			defer func() { _ = taken.Close() }()
		} else if err == nil {
			_ = taken.Close()
		}
	}
}

// TestPortsAreBelowEphemeralRange guards against allocating a port that the kernel may
// assign to another process at any time.
func TestPortsAreBelowEphemeralRange(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the ephemeral port range is not readable on this system")
	}
	lowest, err := strconv.Atoi(strings.Fields(string(text))[0])
	is.NoErr(err)
	is.True(firstPort+portCount <= lowest)
}

func TestExtraIPsAreDistinct(t *testing.T) {
	is := is.New(t)
	seen := map[netip.Addr]bool{ProcessIP(): true}
	for number := range ExtraIPs {
		extra := ExtraIP(number)
		is.True(extra.IsLoopback())
		is.True(!seen[extra])
		seen[extra] = true
		address, err := FreeAddress(extra)
		is.NoErr(err)
		is.Equal(address.Addr(), extra)
	}
}
