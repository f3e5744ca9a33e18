// Package loopback gives out addresses for processes that must know them before they
// start. Nobody else is given one in between: ports lie below the range from which the
// system gives out free ones, no address is given out twice by one process, and each
// process may take an IP number that no other one takes.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

const (
	firstPort = 10_000
	portCount = 20_000
	// portsApart lie between the first ports of two processes whose numbers follow each
	// other, so that they don't probe the same ones where they share an IP number.
	portsApart = 97
)

// errNoPort tells that all ports of an IP number are taken.
var errNoPort = errors.New("loopback: no port is free")

// given is what this process has given out.
var given = struct {
	// mutex guards all below.
	mutex sync.Mutex
	// tried counts the ports that were tried, by IP number.
	tried map[netip.Addr]int
}{tried: map[netip.Addr]int{}}

// Own returns an IP number of the loopback interface that no other living process of
// this machine gets here: it is made from the process's number.
func Own() netip.Addr {
	const firstByte, upperHalf, upperMask = 127, 64, 63
	number := os.Getpid()
	return netip.AddrFrom4([4]byte{firstByte, byte(upperHalf + number>>16&upperMask), byte(number >> 8), byte(number)})
}

// maxSiblings is how many IP numbers Sibling gives out.
const maxSiblings = 128

// Sibling returns a further IP number of this process, by a number from 0 to 127, for
// sites whose nodes all use one port. Only processes whose numbers differ by a multiple
// of 65,536 share it, and their ports lie apart.
func Sibling(number int) netip.Addr {
	const firstSibling = 256 - maxSiblings
	bytes := Own().As4()
	bytes[1] = byte(firstSibling + number%maxSiblings)
	return netip.AddrFrom4(bytes)
}

// Free returns an address of host whose port is free for TCP and UDP.
func Free(host netip.Addr) (netip.AddrPort, error) {
	given.mutex.Lock()
	defer given.mutex.Unlock()
	last := errNoPort
	begin := os.Getpid() * portsApart
	for given.tried[host] < portCount {
		chosen := netip.AddrPortFrom(host, uint16(firstPort+(begin+given.tried[host])%portCount))
		given.tried[host]++
		if err := probe(chosen); err != nil {
			last = fmt.Errorf("%w: %w", errNoPort, err)
			continue
		}
		return chosen, nil
	}
	return netip.AddrPort{}, last
}

// probe tells whether address can be bound.
func probe(address netip.AddrPort) error {
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
