package aggregator

import (
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/loads"
)

// The wire format must stay compatible with other versions.
func TestDatagramWireFormat(t *testing.T) {
	report := Report{Key: 5, Sequence: 9, Load: loads.Load{InFlight: 3, PendingTokens: 128, Failing: true}, CapacityTokens: 1000, Segments: []Segment{{ID: 8, Tokens: 12600}}}
	q := query{number: 4, keys: []ReplicaKey{5, 6}, segments: []Segment{{ID: 8, Tokens: 12600}}}
	resp := response{number: 4, states: []State{{Key: 5, Load: loads.Load{InFlight: 2}, CachedTokens: 12600, Complete: true}}}
	for name, c := range map[string]struct {
		encoded []byte
		written string
		read    datagram
	}{
		"report":   {encodeReport(report), "6b010100000005000000000000000980030002000003e8010000000800003138", datagram{kind: kindReport, report: report}},
		"query":    {encodeQuery(q), "6b010200000004020000000500000006010000000800003138", datagram{kind: kindQuery, query: q}},
		"response": {encodeResponse(resp), "6b0103000000040100000005000200000000313801", datagram{kind: kindResponse, response: resp}},
	} {
		t.Run(name, func(t *testing.T) {
			checkRecorded(t, c.encoded, c.written, c.read)
		})
	}
}

// checkRecorded checks that a datagram is encoded as recorded in hexadecimal and decoded to
// its original. It returns the recorded bytes.
func checkRecorded(t *testing.T, encoded []byte, recorded string, reads datagram) []byte {
	t.Helper()
	is := is.New(t)
	is.Equal(hex.EncodeToString(encoded), recorded)
	written, err := hex.DecodeString(recorded)
	is.NoErr(err)
	read, err := decode(written)
	is.NoErr(err)
	is.Equal(read, reads)
	return written
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeReport(Report{Key: 5, Segments: []Segment{{ID: 8, Tokens: 12600}}}))
	f.Add(encodeResponse(response{number: 4, states: []State{{Key: 5}}}))
	f.Add([]byte{0x6b, 1, 9})
	f.Fuzz(func(_ *testing.T, encoded []byte) { _, _ = decode(encoded) })
}
