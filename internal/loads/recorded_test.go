package loads

import (
	"encoding/hex"
	"testing"

	"github.com/matryer/is"
)

// TestDatagramEncodingIsStable guards against a change of the datagram format, which nodes
// of different builds exchange.
func TestDatagramEncodingIsStable(t *testing.T) {
	is := is.New(t)
	loads := map[ReplicaKey]Load{7: {InFlight: 3, PendingTokens: 2 * pendingUnit, Failing: true}}
	const written = "4c0200010000000780030002"
	is.Equal(hex.EncodeToString(Encode(loads)), written)
	encoded, err := hex.DecodeString(written)
	is.NoErr(err)
	read, err := Decode(encoded)
	is.NoErr(err)
	is.Equal(read, loads)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(map[ReplicaKey]Load{7: {InFlight: 3}}))
	f.Fuzz(func(_ *testing.T, encoded []byte) { _, _ = Decode(encoded) })
}
