package coordinator

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// TestRecordedBytesOfMessages guards compatibility with nodes of other versions.
func TestRecordedBytesOfMessages(t *testing.T) {
	chain := []ledger.Location{{Partition: 3, Offset: 9, Size: 20}}
	cacheLocation := ledger.CacheLocation{Instance: "i", Tokens: 80}
	for name, c := range map[string]struct {
		message, empty peer.Message
		written        string
	}{
		"begin":      {&beginRequest{Request: Request{Program: "p", Budgeted: true, Budget: 900, MaxTurnTokens: 60, Previous: "t"}, Grant: 7}, &beginRequest{}, "000000017001000003840000003c00000001740000000000000007"},
		"begun":      {&beginResponse{Status: statusDone, Charged: 40, Unlogged: true, First: true, Chain: chain, CacheLocation: cacheLocation}, &beginResponse{}, "010000000000000028010100000001000300000000000000090000001400000001690000005000000000"},
		"find":       {&findRequest{Turn: "t", Partitions: []int{1, 2}}, &findRequest{}, "00000001740000000200010002"},
		"found turn": {&findResponse{Status: statusNoSuchTurn, Reason: "r", Chain: chain, CacheLocation: cacheLocation}, &findResponse{}, "030000000100030000000000000009000000140000000169000000500000000172"},
		"persist": {
			&persistRequest{Turn: ledger.IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute, CacheLocation: cacheLocation}, Text: []byte("x")},
			&persistRequest{}, "000000017000000001740000000100030000000000000009000000140000000df84758000000000169000000500000000178",
		},
		"persist anywhere": {
			&persistAnywhereRequest{persistRequest: persistRequest{Turn: ledger.IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute, CacheLocation: cacheLocation}, Text: []byte("x")}},
			&persistAnywhereRequest{}, "000000017000000001740000000100030000000000000009000000140000000df8475800000000016900000050000000017800000000",
		},
		"persisted": {&persistResponse{Status: statusDone, Location: ledger.TextAt(5, 9, 20), Reason: "r"}, &persistResponse{}, "0180050000000000000009000000140000000172"},
		"read":      {&readRequest{Chain: chain}, &readRequest{}, "000000010003000000000000000900000014"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			encoder := wire.NewEncoder(nil)
			c.message.Encode(encoder)
			is.Equal(hex.EncodeToString(encoder.Bytes()), c.written)
			written, err := hex.DecodeString(c.written)
			is.NoErr(err)
			decoder := wire.NewDecoder(written)
			c.empty.Decode(decoder)
			is.NoErr(decoder.Finish())
			is.Equal(c.empty, c.message)
		})
	}
}

func FuzzDecodeMessages(f *testing.F) {
	encoder := wire.NewEncoder(nil)
	(&beginRequest{Request: Request{Program: "p"}}).Encode(encoder)
	f.Add(encoder.Bytes())
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		for _, message := range []peer.Message{&beginRequest{}, &beginResponse{}, &finishRequest{}, &persistRequest{}, &persistAnywhereRequest{}, &persistResponse{}, &finishResponse{}, &readRequest{}, &readResponse{}, &findRequest{}, &findResponse{}} {
			message.Decode(wire.NewDecoder(encoded))
		}
	})
}
