package aggregator

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/loads"
)

// pendingUnit is the unit in which loads encode pending tokens.
const pendingUnit = 64

func drawSegments(t *rapid.T) []Segment {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Segment {
		return Segment{ID: rapid.Uint32().Draw(t, "id"), Tokens: rapid.IntRange(0, maxSegmentTokens).Draw(t, "tokens")}
	}), 0, maxSegments).Draw(t, "segments")
}

func drawLoad(t *rapid.T) loads.Load {
	return loads.Load{
		InFlight: rapid.IntRange(0, 1000).Draw(t, "in flight"), Failing: rapid.Bool().Draw(t, "failing"),
		PendingTokens: pendingUnit * rapid.IntRange(0, 1000).Draw(t, "pending tokens"),
	}
}

func decoded(t *rapid.T, encoded []byte) datagram {
	if len(encoded) > maxDatagramBytes {
		t.Fatalf("%d bytes", len(encoded))
	}
	read, err := decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func TestDatagramRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := Report{
			Key: ReplicaKey(rapid.Uint32().Draw(t, "key")), Sequence: rapid.Uint64().Draw(t, "sequence"), Load: drawLoad(t),
			CapacityTokens: rapid.IntRange(0, 1<<30).Draw(t, "capacity"), Segments: drawSegments(t),
		}
		if read := decoded(t, encodeReport(report)); !reflect.DeepEqual(read.report, report) {
			t.Fatalf("got %+v, want %+v", read.report, report)
		}
		q := query{number: rapid.Uint32().Draw(t, "number"), keys: []ReplicaKey{1, 2}, segments: drawSegments(t)}
		if read := decoded(t, encodeQuery(q)); !reflect.DeepEqual(read.query, q) {
			t.Fatalf("got %+v, want %+v", read.query, q)
		}
		resp := response{number: q.number, states: []State{{Key: 2, Load: drawLoad(t), CachedTokens: 9, Complete: true}}}
		if read := decoded(t, encodeResponse(resp)); !reflect.DeepEqual(read.response, resp) {
			t.Fatalf("got %+v, want %+v", read.response, resp)
		}
	})
}

func TestLongListsAreTruncated(t *testing.T) {
	segments, keys, states := make([]Segment, 1000), make([]ReplicaKey, 1000), make([]State, 1000)
	for _, encoded := range [][]byte{
		encodeReport(Report{Segments: segments}), encodeQuery(query{keys: keys, segments: segments}), encodeResponse(response{states: states}),
	} {
		if _, err := decode(encoded); err != nil || len(encoded) > maxDatagramBytes {
			t.Fatalf("datagram of %d bytes: %v", len(encoded), err)
		}
	}
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valid := encodeQuery(query{number: 1, keys: []ReplicaKey{1}, segments: []Segment{{ID: 1, Tokens: 1}}})
		cut := rapid.IntRange(0, len(valid)-1).Draw(t, "cut")
		if _, err := decode(valid[:cut]); err == nil {
			t.Fatalf("decoded a datagram truncated to %d of %d bytes", cut, len(valid))
		}
		noise := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "noise")
		_, _ = decode(append(append([]byte(nil), valid[:headerBytes]...), noise...)) // must not panic
	})
}
