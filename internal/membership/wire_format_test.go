package membership

import (
	"encoding/hex"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wire"
)

// The wire format must stay compatible with other versions.
func TestDatagramWireFormat(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.1:7")
	node := identity.Node{Name: "n", Zone: "z", Region: "r", Incarnation: 9, PeerAddress: address, ProbeAddress: address}
	sent := datagram{
		kind: kindPing, sequence: 3, digest: 5, target: identity.Node{Name: "m"},
		sender: update{node: node, wireStatus: wireAlive, refutation: 1, load: 800},
	}
	encoder := wire.NewEncoder(nil)
	sent.encodeHeader(encoder)
	encoder.Uint16(0) // no updates
	const written = "53534d01010000000300000005000000016d01000000016e000000000000000900000001000000017a0000000172000000060a0000010700000000060a00000107000000000000000000000003200000"
	is.Equal(hex.EncodeToString(encoder.Bytes()), written)
	encoded, err := hex.DecodeString(written)
	is.NoErr(err)
	read, err := decodeDatagram(encoded)
	is.NoErr(err)
	is.Equal(read.sender, sent.sender)
	is.Equal(read.target.Name, sent.target.Name)
	is.Equal(read.sequence, sent.sequence)
}

func FuzzDecodeDatagram(f *testing.F) {
	encoder := wire.NewEncoder(nil)
	(&datagram{kind: kindPing, sender: update{node: identity.Node{Name: "n"}, wireStatus: wireAlive}}).encodeHeader(encoder)
	f.Add(encoder.Bytes())
	f.Fuzz(func(_ *testing.T, encoded []byte) { _, _ = decodeDatagram(encoded) })
}
