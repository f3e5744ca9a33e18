// Package loads lets nodes tell each other how many requests each has under way at
// each replica, how much of their prompts is yet to be read there, and which replicas
// fail, by datagrams that may be lost. What is heard only helps to choose.
package loads

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// form tells datagrams of this version from others.
	form = 0x4c02
	// headBytes and entryBytes are the sizes of a datagram's parts.
	headBytes  = 2 + 2
	entryBytes = 4 + EncodedSize
	// maxEntries keeps a datagram within the usual path MTU.
	maxEntries = 170
	// SendInterval is the time between two datagrams to one node.
	SendInterval = 200 * time.Millisecond
	// fanout is how many nodes get a datagram each time, so that the cost of a node
	// does not grow with the site.
	fanout = 16
	// ReportTTL is how long what a node has told counts.
	ReportTTL = time.Second
)

// leastCoverage is the part of the other nodes from which on what is heard stands for all.
// With fewer, at 480 nodes and more, a word more or less makes a replica look idle or full;
// the keepers of replicas know, and nobody tells at random.
const leastCoverage = 0.15

// Coverage is the part of the other nodes that is heard of within Life, where there
// are others of them.
func Coverage(others int) float64 {
	if others <= fanout {
		return 1
	}
	missed := 1 - float64(fanout)/float64(others)
	return 1 - math.Pow(missed, float64(ReportTTL/SendInterval))
}

// errForm tells that a datagram is not of this package.
var errForm = errors.New("loads: unreadable datagram")

// ReplicaKey stands for a replica in a datagram. Two replicas may share one, which only
// makes both look busier.
type ReplicaKey uint32

// Load is what a node tells of one replica.
type Load struct {
	// InFlight is how many of its requests are there; more than maxUnderWay count as
	// that many.
	InFlight int
	// PendingTokens is how much of its requests' prompts the replica has yet to read,
	// rounded up to whole units of unreadUnit; more than maxUnread units count as that
	// many.
	PendingTokens int
	// Failing tells that requests have failed there lately.
	Failing bool
}

// maxUnderWay and failingBit share the first two bytes of a load; the other two hold
// the unread tokens in units of unreadUnit.
const (
	maxUnderWay = 1<<15 - 1
	failingBit  = 1 << 15
	unreadUnit  = 64
	maxUnread   = 1<<16 - 1
)

// EncodedSize is the size of an encoded load.
const EncodedSize = 2 + 2

// Add adds up two loads of one replica.
func (l Load) Add(other Load) Load {
	return Load{
		InFlight: l.InFlight + other.InFlight, PendingTokens: l.PendingTokens + other.PendingTokens,
		Failing: l.Failing || other.Failing,
	}
}

// Append encodes the load behind what is encoded already.
func (l Load) Append(encoded []byte) []byte {
	underWay := uint16(min(l.InFlight, maxUnderWay))
	if l.Failing {
		underWay |= failingBit
	}
	unread := min((l.PendingTokens+unreadUnit-1)/unreadUnit, maxUnread)
	return binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(encoded, underWay), uint16(unread))
}

// DecodeLoad reads a load from Bytes bytes.
func DecodeLoad(encoded []byte) Load {
	underWay := binary.BigEndian.Uint16(encoded)
	return Load{
		InFlight: int(underWay & maxUnderWay), Failing: underWay&failingBit != 0,
		PendingTokens: int(binary.BigEndian.Uint16(encoded[2:])) * unreadUnit,
	}
}

// HashReplica returns the key of a replica's instance.
func HashReplica(instance string) ReplicaKey { return ReplicaKey(xxhash.Sum64String(instance)) }

// Encode returns a datagram of the loads by replica.
func Encode(told map[ReplicaKey]Load) []byte {
	encoded := binary.BigEndian.AppendUint16(nil, form)
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(min(len(told), maxEntries)))
	left := maxEntries
	for key, load := range told {
		if left == 0 {
			break
		}
		left--
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
		encoded = load.Append(encoded)
	}
	return encoded
}

// Decode reads a datagram.
func Decode(encoded []byte) (map[ReplicaKey]Load, error) {
	if len(encoded) < headBytes || binary.BigEndian.Uint16(encoded) != form {
		return nil, errForm
	}
	count := int(binary.BigEndian.Uint16(encoded[2:]))
	if len(encoded) != headBytes+count*entryBytes {
		return nil, errForm
	}
	told := make(map[ReplicaKey]Load, count)
	for rest := encoded[headBytes:]; len(rest) > 0; rest = rest[entryBytes:] {
		told[ReplicaKey(binary.BigEndian.Uint32(rest))] = DecodeLoad(rest[4:])
	}
	return told, nil
}

// Gossiper sends this node's loads and takes the others'.
type Gossiper struct {
	Conn *net.UDPConn
	// Peers returns where the other nodes take datagrams, in a slice that may be changed.
	Peers func() []netip.AddrPort
	// Local returns this node's loads, Heard takes another's.
	Local    func() map[ReplicaKey]Load
	OnReport func(from netip.AddrPort, told map[ReplicaKey]Load)
}

// Run exchanges loads until ctx ends; then it closes the socket.
func (e *Gossiper) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.Conn.Close() })
	defer stop()
	go e.receive()
	idle := false
	for {
		timer := time.NewTimer(SendInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		targets := e.Peers()
		if Coverage(len(targets)) < leastCoverage {
			continue
		}
		told := e.Local()
		if idle && len(told) == 0 {
			continue // it has been told already
		}
		idle = len(told) == 0
		e.send(sample(targets), Encode(told))
	}
}

// sample draws fanout of the targets.
func sample(targets []netip.AddrPort) []netip.AddrPort {
	if len(targets) <= fanout {
		return targets
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:fanout]
}

func (e *Gossiper) send(targets []netip.AddrPort, datagram []byte) {
	for _, target := range targets {
		// A datagram that can't be sent is a lost one.
		_, _ = e.Conn.WriteToUDPAddrPort(datagram, target)
	}
}

func (e *Gossiper) receive() {
	buffer := make([]byte, headBytes+(maxEntries+1)*entryBytes)
	for {
		size, from, err := e.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as the refusal of an earlier datagram by a node that is gone
		}
		if told, err := Decode(buffer[:size]); err == nil {
			e.OnReport(from, told)
		}
	}
}
