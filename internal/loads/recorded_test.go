package loads

import (
	"encoding/hex"
	"testing"

	"github.com/matryer/is"
)

// TestRecordedBytesOfADatagram: what builds tell each other of loads stays as it is.
func TestRecordedBytesOfADatagram(t *testing.T) {
	is := is.New(t)
	told := map[ReplicaKey]Load{7: {InFlight: 3, PendingTokens: 2 * unreadUnit, Failing: true}}
	const written = "4c0200010000000780030002"
	is.Equal(hex.EncodeToString(Encode(told)), written)
	encoded, err := hex.DecodeString(written)
	is.NoErr(err)
	read, err := Decode(encoded)
	is.NoErr(err)
	is.Equal(read, told)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(map[ReplicaKey]Load{7: {InFlight: 3}}))
	f.Fuzz(func(_ *testing.T, encoded []byte) { _, _ = Decode(encoded) })
}
