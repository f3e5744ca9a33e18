package aggregator

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/loads"
)

// unreadUnit is the unit in which loads tell tokens.
const unreadUnit = 64

func drawParts(t *rapid.T) []Segment {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Segment {
		return Segment{ID: rapid.Uint32().Draw(t, "id"), Tokens: rapid.IntRange(0, maxPartTokens).Draw(t, "tokens")}
	}), 0, maxParts).Draw(t, "parts")
}

func drawLoad(t *rapid.T) loads.Load {
	return loads.Load{
		InFlight: rapid.IntRange(0, 1000).Draw(t, "under way"), Failing: rapid.Bool().Draw(t, "failing"),
		PendingTokens: unreadUnit * rapid.IntRange(0, 1000).Draw(t, "unread"),
	}
}

func decoded(t *rapid.T, encoded []byte) datagram {
	if len(encoded) > datagramBytes {
		t.Fatalf("%d bytes", len(encoded))
	}
	read, err := decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func TestMessagesSurviveADatagram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := Report{
			Key: ReplicaKey(rapid.Uint32().Draw(t, "key")), Sequence: rapid.Uint64().Draw(t, "sequence"), Load: drawLoad(t),
			CapacityTokens: rapid.IntRange(0, 1<<30).Draw(t, "capacity"), Segments: drawParts(t),
		}
		if read := decoded(t, encodeReport(report)); !reflect.DeepEqual(read.report, report) {
			t.Fatalf("%+v is not %+v", read.report, report)
		}
		asked := question{number: rapid.Uint32().Draw(t, "number"), keys: []ReplicaKey{1, 2}, parts: drawParts(t)}
		if read := decoded(t, encodeQuestion(asked)); !reflect.DeepEqual(read.question, asked) {
			t.Fatalf("%+v is not %+v", read.question, asked)
		}
		told := answer{number: asked.number, states: []State{{Key: 2, Load: drawLoad(t), CachedTokens: 9, Complete: true}}}
		if read := decoded(t, encodeAnswer(told)); !reflect.DeepEqual(read.answer, told) {
			t.Fatalf("%+v is not %+v", read.answer, told)
		}
	})
}

func TestLongListsAreCutToADatagram(t *testing.T) {
	parts, keys, states := make([]Segment, 1000), make([]ReplicaKey, 1000), make([]State, 1000)
	for _, encoded := range [][]byte{
		encodeReport(Report{Segments: parts}), encodeQuestion(question{keys: keys, parts: parts}), encodeAnswer(answer{states: states}),
	} {
		if _, err := decode(encoded); err != nil || len(encoded) > datagramBytes {
			t.Fatalf("%d bytes: %v", len(encoded), err)
		}
	}
}

func TestUnreadableDatagramsAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valid := encodeQuestion(question{number: 1, keys: []ReplicaKey{1}, parts: []Segment{{ID: 1, Tokens: 1}}})
		cut := rapid.IntRange(0, len(valid)-1).Draw(t, "cut")
		if _, err := decode(valid[:cut]); err == nil {
			t.Fatalf("%d of %d bytes were read", cut, len(valid))
		}
		noise := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "noise")
		_, _ = decode(append(append([]byte(nil), valid[:headBytes]...), noise...)) // must not panic
	})
}
