package origin

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/nodes"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// TestRecordedBytesOfMessages guards compatibility with nodes of other versions.
func TestRecordedBytesOfMessages(t *testing.T) {
	key := Key{0: 1, 15: 2}
	for name, c := range map[string]struct {
		message, empty peer.Message
		written        string
	}{
		"notice":          {&notice{Records: []Record{{Key: key, Origin: v1, Left: time.Second}}}, &notice{}, "0000000100000010010000000000000000000000000000020000000173000000027631000000003b9aca0000000000"},
		"notice response": {&noticeResponse{Stored: true}, &noticeResponse{}, "0100000000"},
		"query":           {&query{Keyed: true, Key: key, Route: "r", Service: "s", Relays: true}, &query{}, "010000001001000000000000000000000000000002000000017200000001730100000000"},
		"query response": {
			&queryResponse{State: stateKnown, Origin: v1, Left: time.Second, Span: fleet.VersionSpan{Only: true, Version: "v1", Age: time.Minute, Several: true}},
			&queryResponse{}, "010000000173000000027631000000003b9aca00010000000276310000000df84758000100000000",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hex.EncodeToString(nodes.Encode(c.message)), c.written)
			fields, err := hex.DecodeString(c.written)
			is.NoErr(err)
			decoder := wire.NewDecoder(fields)
			c.empty.Decode(decoder)
			is.NoErr(decoder.Finish())
			is.Equal(c.empty, c.message)
		})
	}
}
