package ledger

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRecordedBytesOfRecords guards compatibility with records of other versions, in both
// directions.
func TestRecordedBytesOfRecords(t *testing.T) {
	for name, c := range map[string]struct {
		record  Record
		written string
	}{
		"settlement":      {Settlement{Program: "p", Attempt: 7, Used: 40}, "02000170000000000000000700000028"},
		"index entry":     {IndexEntry{Program: "p", Turn: "t", Chain: []Location{{Partition: 3, Offset: 9, Size: 20}}, Retention: time.Minute, CacheLocation: CacheLocation{Instance: "i", Tokens: 80}}, "030001700001740000ea600001000300000000000000090000001400016900000050"},
		"ownership claim": {OwnershipClaim{Incarnation: "n.1"}, "0400036e2e31"},
		"text":            {Text{Bytes: []byte("abc")}, "06616263"},
		"index entry of the preceding text": {
			IndexEntry{Program: "p", Turn: "t", Chain: []Location{TextBefore(5, 3)}, Retention: time.Minute, CacheLocation: CacheLocation{Instance: "i", Tokens: 80}},
			"030001700001740000ea6000018005ffffffffffffffff0000000300016900000050",
		},
		"ownership release": {OwnershipRelease{Incarnation: "n.1"}, "0500036e2e31"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hex.EncodeToString(Encode(c.record)), c.written)
			written, err := hex.DecodeString(c.written)
			is.NoErr(err)
			read, err := Decode(written)
			is.NoErr(err)
			is.Equal(read, c.record)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Settlement{Program: "p", Attempt: 7, Used: 40}))
	f.Add(Encode(IndexEntry{Program: "p", Turn: "t", Chain: []Location{{Partition: 3, Offset: 9, Size: 20}}}))
	f.Add([]byte{3, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, encoded []byte) { _, _ = Decode(encoded) })
}

// FuzzApply checks that records of other writers neither end a reader nor grow its state beyond one
// account and one turn a record.
func FuzzApply(f *testing.F) {
	f.Add(Encode(Reservation{Program: "p", Attempt: 1, Budget: 100, MaxTurnTokens: 20, MinTokens: 20, WantedTokens: 70}), Encode(Settlement{Program: "p", Attempt: 1, Used: 1<<32 - 1}))
	f.Add(Encode(OwnershipClaim{Incarnation: "x"}), Encode(OwnerLimit{Incarnation: "x", Exclusive: true}))
	f.Add([]byte{}, []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		p := NewPartition()
		const records = 3
		for _, record := range [records][]byte{first, second, first} {
			p.Apply(record, 0)
		}
		if p.Next() != records || len(p.accounts) > records || len(p.turns) > records {
			t.Fatalf("%d accounts and %d turns after %d records", len(p.accounts), len(p.turns), p.Next())
		}
	})
}
