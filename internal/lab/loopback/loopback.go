// Package loopback allocates loopback addresses for processes that must know them before
// they start. To avoid conflicts in between, ports are below the kernel's ephemeral port
// range, a process allocates no address twice, and each process may use loopback IP
// addresses of its own.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
)

const (
	firstPort = 10_000
	portCount = 20_000
	// processPortOffset is the distance between the first ports of processes with
	// consecutive IDs, so that they probe different ports on a shared IP address.
	processPortOffset = 97
)

// errNoPort is returned if no port of an IP address is free.
var errNoPort = errors.New("loopback: no free port")

// allocated tracks the ports that this process has probed or allocated.
var allocated = struct {
	// mutex guards the fields below.
	mutex sync.Mutex
	// tried counts the probed ports per IP address.
	tried map[netip.Addr]int
}{tried: map[netip.Addr]int{}}

// ProcessIP returns a loopback IP address derived from the process ID. No other running
// process on this machine gets the same address, as long as process IDs are below 2^22.
func ProcessIP() netip.Addr {
	const firstByte, upperHalf, upperMask = 127, 64, 63
	number := os.Getpid()
	return netip.AddrFrom4([4]byte{firstByte, byte(upperHalf + number>>16&upperMask), byte(number >> 8), byte(number)})
}

// checkProcessHandles has package os find out which process handles the kernel supports. It does so once, by a fork
// outside of the fork lock.
var checkProcessHandles = sync.OnceFunc(func() {
	if process, err := os.FindProcess(os.Getpid()); err == nil {
		_ = process.Release()
	}
})

// ExtraIPs is the number of distinct addresses that ExtraIP returns.
const ExtraIPs = 128

// ExtraIP returns a further IP address of this process, for a number from 0 to 127, for
// sites whose nodes all use the same port. Only processes whose IDs differ by a multiple
// of 65,536 share it; they start their search for free ports at different ports.
func ExtraIP(number int) netip.Addr {
	const firstExtra = 256 - ExtraIPs
	bytes := ProcessIP().As4()
	bytes[1] = byte(firstExtra + number%ExtraIPs)
	return netip.AddrFrom4(bytes)
}

// FreeAddress returns an address of host whose port is free for TCP and UDP.
func FreeAddress(host netip.Addr) (netip.AddrPort, error) {
	allocated.mutex.Lock()
	defer allocated.mutex.Unlock()
	last := errNoPort
	begin := os.Getpid() * processPortOffset
	for allocated.tried[host] < portCount {
		chosen := netip.AddrPortFrom(host, uint16(firstPort+(begin+allocated.tried[host])%portCount))
		allocated.tried[host]++
		if err := probe(chosen); err != nil {
			last = fmt.Errorf("%w: %w", errNoPort, err)
			continue
		}
		return chosen, nil
	}
	return netip.AddrPort{}, last
}

// probe returns an error if address can't be bound for TCP and UDP. A process that is started meanwhile would
// have copies of the sockets until it runs its program, and so keep the address in use.
func probe(address netip.AddrPort) error {
	checkProcessHandles()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return socket.Close()
}
