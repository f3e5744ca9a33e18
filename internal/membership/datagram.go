package membership

import (
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wire"
)

// ErrDatagram is returned for a datagram that cannot be decoded.
var ErrDatagram = errors.New("membership: invalid datagram")

// protocolMagic starts every datagram; its last byte is the protocol version.
const protocolMagic uint32 = 0x53534d01

// maxNameLength bounds the names of nodes, zones and regions in datagrams.
const maxNameLength = 64

type datagramKind uint8

const (
	// kindPing requests an acknowledgement from the target.
	kindPing datagramKind = iota + 1
	// kindAcknowledge responds to a ping, directly or through a relay.
	kindAcknowledge
	// kindPingRequest requests that a relay ping the target.
	kindPingRequest
	// kindSyncRequest carries the sender's digests and requests the members that differ.
	kindSyncRequest
	// kindSyncReply carries members as updates.
	kindSyncReply
	// kindNotice carries the sender's status and updates, and has no response.
	kindNotice
)

// wireStatus is a member's status as exchanged between nodes. In addition to Status it has
// wireLeft, for a member that has left deliberately and needs no verification.
type wireStatus uint8

const (
	wireAlive wireStatus = iota + 1
	wireLeaving
	wireSuspect
	wireDead
	wireLeft
)

// status returns the corresponding Status. Wire statuses are ordered by precedence: of two
// reports with the same incarnation and refutation count, the higher status wins.
func (c wireStatus) status() Status {
	switch c {
	case wireAlive:
		return Alive
	case wireLeaving:
		return Leaving
	case wireSuspect:
		return Suspect
	default:
		return Dead
	}
}

// terminal reports whether the member is dead or has left.
func (c wireStatus) terminal() bool { return c >= wireDead }

// adverse reports whether the status is suspect, dead or left. Such updates carry no
// addresses, and the member may refute them.
func (c wireStatus) adverse() bool { return c >= wireSuspect }

// update is the information about a member that nodes exchange.
type update struct {
	node       identity.Node
	wireStatus wireStatus
	// refutation counts how often this incarnation of the member has refuted a report or
	// changed its own status. Only the member itself increases it.
	refutation   uint32
	tableVersion uint64
	load         uint32
}

// datagram is a message of the protocol.
type datagram struct {
	kind     datagramKind
	sequence uint32
	// digest is the digest of the sender's live members.
	digest uint32
	// target is the recipient of a ping; empty in a ping to a seed address.
	target identity.Node
	// sender is the sender's own status.
	sender update
	// buckets holds the digests of a sync request.
	buckets []uint32
	updates []update
}

// encodeHeader encodes everything but the updates.
func (d *datagram) encodeHeader(e *wire.Encoder) {
	e.Uint32(protocolMagic)
	e.Uint8(uint8(d.kind))
	e.Uint32(d.sequence)
	e.Uint32(d.digest)
	switch d.kind {
	case kindPing:
		e.String(string(d.target.Name))
	case kindPingRequest:
		e.String(string(d.target.Name))
		e.AddrPort(d.target.ProbeAddress)
	case kindSyncRequest:
		for _, bucket := range d.buckets {
			e.Uint32(bucket)
		}
	}
	d.sender.encode(e)
}

func decodeDatagram(payload []byte) (datagram, error) {
	decoder := wire.NewDecoder(payload)
	if magic := decoder.Uint32(); magic != protocolMagic {
		return datagram{}, fmt.Errorf("%w: magic %08x", ErrDatagram, magic)
	}
	message := datagram{
		kind:     datagramKind(decoder.Uint8()),
		sequence: decoder.Uint32(),
		digest:   decoder.Uint32(),
	}
	switch message.kind {
	case kindPing:
		message.target.Name = decodeName[identity.NodeName](decoder)
	case kindPingRequest:
		message.target.Name = decodeName[identity.NodeName](decoder)
		message.target.ProbeAddress = decoder.AddrPort()
	case kindSyncRequest:
		message.buckets = make([]uint32, bucketCount)
		for i := range message.buckets {
			message.buckets[i] = decoder.Uint32()
		}
	case kindAcknowledge, kindSyncReply, kindNotice:
	default:
		return datagram{}, fmt.Errorf("%w: kind %d", ErrDatagram, message.kind)
	}
	message.sender = decodeUpdate(decoder)
	if message.sender.wireStatus == wireSuspect || message.sender.wireStatus == wireDead {
		decoder.Fail(fmt.Errorf("sender reports itself as suspect or dead"))
	}
	for count := decoder.Uint16(); count > 0 && decoder.Err() == nil; count-- {
		message.updates = append(message.updates, decodeUpdate(decoder))
	}
	if err := decoder.Finish(); err != nil {
		return datagram{}, fmt.Errorf("%w: %w", ErrDatagram, err)
	}
	return message, nil
}

func (u *update) encode(e *wire.Encoder) {
	e.Uint8(uint8(u.wireStatus))
	e.String(string(u.node.Name))
	e.Uint64(uint64(u.node.Incarnation))
	e.Uint32(u.refutation)
	if u.wireStatus.adverse() {
		return
	}
	e.String(string(u.node.Zone))
	e.String(string(u.node.Region))
	e.AddrPort(u.node.PeerAddress)
	e.AddrPort(u.node.ProbeAddress)
	e.Uint64(u.tableVersion)
	e.Uint32(u.load)
}

func decodeUpdate(d *wire.Decoder) update {
	var u update
	u.wireStatus = wireStatus(d.Uint8())
	if u.wireStatus < wireAlive || u.wireStatus > wireLeft {
		d.Fail(fmt.Errorf("status %d", u.wireStatus))
		return u
	}
	u.node.Name = decodeName[identity.NodeName](d)
	u.node.Incarnation = identity.Incarnation(d.Uint64())
	u.refutation = d.Uint32()
	if u.node.Name == "" {
		d.Fail(errors.New("member has no name"))
	}
	if u.wireStatus.adverse() {
		return u
	}
	u.node.Zone = decodeName[identity.Zone](d)
	u.node.Region = decodeName[identity.Region](d)
	u.node.PeerAddress = d.AddrPort()
	u.node.ProbeAddress = d.AddrPort()
	u.tableVersion = d.Uint64()
	u.load = d.Uint32()
	if d.Err() == nil && !u.node.ProbeAddress.IsValid() {
		d.Fail(fmt.Errorf("member %s has no probe address", u.node.Name))
	}
	return u
}

func decodeName[T ~string](d *wire.Decoder) T {
	name := d.String()
	if len(name) > maxNameLength {
		d.Fail(fmt.Errorf("name has %d bytes", len(name)))
	}
	return T(name)
}
