package distribution

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/wire"
)

func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	request := &pullRequest{Topic: 1, Known: true, Position: 7, Paging: true, After: "k", MaxWait: time.Second, From: address(3)}
	encoder := wire.NewEncoder(nil)
	request.Encode(encoder)
	read := &pullRequest{}
	decoder := wire.NewDecoder(encoder.Bytes())
	read.Decode(decoder)
	is.NoErr(decoder.Finish())
	is.Equal(read, request)

	response := &pullResponse{
		State: stateChanges, Position: 9, AgeKnown: true, Age: time.Second, Waited: time.Minute, More: true,
		Items:        []logstore.Item{{Key: "a", Value: []byte("1")}, {Key: "b"}},
		Alternatives: []netip.AddrPort{address(1), address(2)},
	}
	encoder = wire.NewEncoder(nil)
	response.Encode(encoder)
	decoded := &pullResponse{}
	decoder = wire.NewDecoder(encoder.Bytes())
	decoded.Decode(decoder)
	is.NoErr(decoder.Finish())
	is.Equal(decoded, response)
}

func FuzzDecodeMessages(f *testing.F) {
	encoder := wire.NewEncoder(nil)
	(&pullResponse{State: statePage, Items: []logstore.Item{{Key: "a", Value: []byte("1")}}}).Encode(encoder)
	f.Add(encoder.Bytes())
	f.Add([]byte{})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		(&pullResponse{}).Decode(wire.NewDecoder(encoded))
		(&pullRequest{}).Decode(wire.NewDecoder(encoded))
	})
}
