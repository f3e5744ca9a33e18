// Package loads exchanges reports of the requests that each node has in flight at each
// replica, the prompt tokens that are still pending there, and recent failures. The reports
// are sent in datagrams that may be lost, and are used only as hints in the choice of
// replicas.
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
	// format identifies datagrams of this version.
	format = 0x4c02
	// headerBytes and entryBytes are the sizes of a datagram's parts.
	headerBytes = 2 + 2
	entryBytes  = 4 + EncodedSize
	// maxEntries keeps a datagram within the usual path MTU.
	maxEntries = 170
	// SendInterval is the time between two datagrams.
	SendInterval = 200 * time.Millisecond
	// fanout is the number of nodes that get each datagram. It is bounded so that a node's
	// cost does not grow with the site.
	fanout = 16
	// ReportTTL is how long a received report is valid.
	ReportTTL = time.Second
)

// minCoverage is the coverage below which nodes do not send reports. With fewer peers
// covered, as at 480 nodes and more, one report more or less makes a replica look idle or
// overloaded; the aggregators of replicas are used instead.
const minCoverage = 0.15

// Coverage returns the expected fraction of peers from which a report is received within
// ReportTTL, given their number.
func Coverage(others int) float64 {
	if others <= fanout {
		return 1
	}
	missed := 1 - float64(fanout)/float64(others)
	return 1 - math.Pow(missed, float64(ReportTTL/SendInterval))
}

// errFormat is returned for a datagram that is not in this package's format.
var errFormat = errors.New("loads: unreadable datagram")

// ReplicaKey identifies a replica in a datagram. If two replicas have the same key, both
// only look busier.
type ReplicaKey uint32

// Load is a node's report on one replica.
type Load struct {
	// InFlight is the number of the node's requests in flight at the replica, encoded up to
	// maxInFlight.
	InFlight int
	// PendingTokens is the number of prompt tokens of those requests that are not yet
	// prefilled. It is encoded rounded up to units of pendingUnit, up to maxPending units.
	PendingTokens int
	// Failing is set if requests have recently failed at the replica.
	Failing bool
}

// maxInFlight and failingBit share the first two bytes of an encoded load; the other two
// contain the pending tokens in units of pendingUnit.
const (
	maxInFlight = 1<<15 - 1
	failingBit  = 1 << 15
	pendingUnit = 64
	maxPending  = 1<<16 - 1
)

// EncodedSize is the size of an encoded load in bytes.
const EncodedSize = 2 + 2

// Add returns the sum of two loads of one replica.
func (l Load) Add(other Load) Load {
	return Load{
		InFlight: l.InFlight + other.InFlight, PendingTokens: l.PendingTokens + other.PendingTokens,
		Failing: l.Failing || other.Failing,
	}
}

// Append appends the encoded load to encoded.
func (l Load) Append(encoded []byte) []byte {
	inFlight := uint16(min(l.InFlight, maxInFlight))
	if l.Failing {
		inFlight |= failingBit
	}
	pending := min((l.PendingTokens+pendingUnit-1)/pendingUnit, maxPending)
	return binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(encoded, inFlight), uint16(pending))
}

// DecodeLoad decodes a load from the first EncodedSize bytes of encoded, which must not be
// shorter.
func DecodeLoad(encoded []byte) Load {
	inFlight := binary.BigEndian.Uint16(encoded)
	return Load{
		InFlight: int(inFlight & maxInFlight), Failing: inFlight&failingBit != 0,
		PendingTokens: int(binary.BigEndian.Uint16(encoded[2:])) * pendingUnit,
	}
}

// HashReplica returns the key of a replica's instance.
func HashReplica(instance string) ReplicaKey { return ReplicaKey(xxhash.Sum64String(instance)) }

// Encode encodes up to maxEntries loads as a datagram.
func Encode(loads map[ReplicaKey]Load) []byte {
	encoded := binary.BigEndian.AppendUint16(nil, format)
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(min(len(loads), maxEntries)))
	left := maxEntries
	for key, load := range loads {
		if left == 0 {
			break
		}
		left--
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
		encoded = load.Append(encoded)
	}
	return encoded
}

// Decode decodes a datagram.
func Decode(encoded []byte) (map[ReplicaKey]Load, error) {
	if len(encoded) < headerBytes || binary.BigEndian.Uint16(encoded) != format {
		return nil, errFormat
	}
	count := int(binary.BigEndian.Uint16(encoded[2:]))
	if len(encoded) != headerBytes+count*entryBytes {
		return nil, errFormat
	}
	loads := make(map[ReplicaKey]Load, count)
	for rest := encoded[headerBytes:]; len(rest) > 0; rest = rest[entryBytes:] {
		loads[ReplicaKey(binary.BigEndian.Uint32(rest))] = DecodeLoad(rest[4:])
	}
	return loads, nil
}

// Gossiper sends this node's loads to peers and receives theirs.
type Gossiper struct {
	Conn *net.UDPConn
	// Peers returns the addresses of the other nodes. The caller may modify the slice.
	Peers func() []netip.AddrPort
	// Local returns this node's loads. OnReport is called with each received report.
	Local    func() map[ReplicaKey]Load
	OnReport func(from netip.AddrPort, loads map[ReplicaKey]Load)
}

// Run exchanges reports until ctx is canceled, and then closes the socket.
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
		peers := e.Peers()
		if Coverage(len(peers)) < minCoverage {
			continue
		}
		loads := e.Local()
		if idle && len(loads) == 0 {
			continue // peers already have the empty report
		}
		idle = len(loads) == 0
		e.send(sample(peers), Encode(loads))
	}
}

// sample returns fanout random targets, or all if there are fewer. It may reorder targets.
func sample(targets []netip.AddrPort) []netip.AddrPort {
	if len(targets) <= fanout {
		return targets
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:fanout]
}

func (e *Gossiper) send(targets []netip.AddrPort, datagram []byte) {
	for _, target := range targets {
		// Reports are best effort; a send error counts as a lost datagram.
		_, _ = e.Conn.WriteToUDPAddrPort(datagram, target)
	}
}

func (e *Gossiper) receive() {
	buffer := make([]byte, headerBytes+(maxEntries+1)*entryBytes)
	for {
		size, from, err := e.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as an ICMP error for an earlier datagram to a stopped node
		}
		if loads, err := Decode(buffer[:size]); err == nil {
			e.OnReport(from, loads)
		}
	}
}
