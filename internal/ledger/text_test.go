package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTextBeforeIndexEntryIsResolved checks that Apply resolves the last location of a chain,
// whatever the offset, and leaves the others unchanged.
func TestTextBeforeIndexEntryIsResolved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition()
		offset := rapid.Uint64Range(0, 1<<40).Draw(t, "offset")
		p.SkipTo(offset)
		others := rapid.IntRange(0, 4).Draw(t, "others")
		for range others {
			p.Apply(Encode(Settlement{Program: "p"}), 0)
		}
		before := Location{Partition: 3, Offset: 9, Size: 20}
		p.Apply(Encode(Text{Bytes: []byte("abc")}), 0)
		p.Apply(Encode(IndexEntry{Program: "p", Turn: "t", Chain: []Location{before, TextBefore(5, 3)}, Retention: time.Minute}), 0)
		entry, found := p.Turn("t")
		if !found || len(entry.Chain) != 2 || entry.Chain[0] != before {
			t.Fatalf("turn %+v", entry)
		}
		if want := TextAt(5, offset+uint64(others), 3); entry.Chain[1] != want || !want.Resolved() {
			t.Fatalf("text at %+v, not %+v", entry.Chain[1], want)
		}
	})
}

func TestFirstIndexEntryHasNoText(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	p.Apply(Encode(IndexEntry{Program: "p", Turn: "t", Chain: []Location{TextBefore(5, 3)}, Retention: time.Minute}), 0)
	entry, found := p.Turn("t")
	is.True(found) // the turn itself must not be reported as absent
	is.True(!entry.Chain[0].Resolved())
}

func TestLocationOfIndexText(t *testing.T) {
	is := is.New(t)
	number, inIndex := TextAt(5, 9, 3).InIndex(12)
	is.True(inIndex)
	is.Equal(number, 5)
	_, inIndex = Location{Partition: 5, Offset: 9, Size: 3}.InIndex(12)
	is.True(!inIndex)
	_, inIndex = Location{Partition: 40_000}.InIndex(60_000) // a partition of the texts' topic
	is.True(!inIndex)
}

// TestTextsStayWithinLimits checks that the texts within the store's retention never exceed the
// window, and that old texts make room.
func TestTextsStayWithinLimits(t *testing.T) {
	limits := TextLimits{Retain: time.Minute, WindowBytes: 10_000, TextBytes: 1_000}
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition()
		p.SetTextLimits(limits)
		type written struct {
			at    time.Duration
			bytes int
		}
		var accepted []written
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "texts") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			size := rapid.IntRange(0, 1_500).Draw(t, "size")
			if !p.AcceptsText(size, now) {
				continue
			}
			if size > limits.TextBytes {
				t.Fatalf("accepted a text of %d bytes", size)
			}
			p.Apply(Encode(Text{Bytes: make([]byte, size)}), now)
			p.Apply(Encode(IndexEntry{Program: "p", Turn: "t", Chain: []Location{TextBefore(5, size)}}), now)
			accepted = append(accepted, written{now, size})
			sum := 0
			for _, one := range accepted {
				if now-one.at <= limits.Retain {
					sum += one.bytes
				}
			}
			if sum > limits.WindowBytes || textsIn(p, now) > limits.WindowBytes {
				t.Fatalf("%d bytes of texts in the last minute", sum)
			}
		}
		if now += limits.Retain + 2*textSlotDuration; !p.AcceptsText(limits.TextBytes, now) {
			t.Fatal("no room although all texts have expired")
		}
	})
}

func textsIn(p *Partition, now time.Duration) int {
	accepted, _ := p.TextBytes(now)
	return accepted
}

// TestHighRateKeepsTextsOutOfIndex checks that hardly any text is accepted if all of them would
// exceed the window, and that all are otherwise.
func TestHighRateKeepsTextsOutOfIndex(t *testing.T) {
	limits := TextLimits{Retain: 5 * time.Minute, WindowBytes: 64 << 10, TextBytes: 4 << 10}
	for bytesPerSecond, minShare := range map[int]float64{50: 1, 150: 1, 20_000: 0} {
		is := is.New(t)
		p := NewPartition()
		p.SetTextLimits(limits)
		const size, seconds = 1_000, 900
		taken, turns := 0, bytesPerSecond*seconds/size
		for i := range turns {
			now := time.Duration(i) * seconds * time.Second / time.Duration(turns)
			location := Location{Partition: 3, Offset: 9, Size: size}
			if p.AcceptsText(size, now) {
				taken++
				p.Apply(Encode(Text{Bytes: make([]byte, size)}), now)
				location = TextBefore(5, size)
			}
			p.Apply(Encode(IndexEntry{Program: "p", Turn: "t", Chain: []Location{location}}), now)
			is.True(textsIn(p, now) <= limits.WindowBytes)
		}
		share := float64(taken) / float64(turns)
		is.True(share >= minShare)
		is.True(minShare > 0 || share < 0.001)
	}
}

func TestWrittenAndReadTextsCount(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	p.SetTextLimits(TextLimits{Retain: time.Minute, WindowBytes: 100, TextBytes: 50})
	p.Apply(Encode(Text{Bytes: make([]byte, 40)}), 0)
	p.NoteText(40, 0)
	is.True(!p.AcceptsText(30, 0))
	is.True(p.AcceptsText(20, 0))
	is.True(!NewPartition().AcceptsText(1, 0)) // without limits
}

func TestTextOfARecord(t *testing.T) {
	is := is.New(t)
	text, found := TextOf(Encode(Text{Bytes: []byte("abc")}))
	is.True(found)
	is.Equal(string(text), "abc")
	_, found = TextOf(Encode(OwnershipClaim{Incarnation: "n.1"}))
	is.True(!found)
	_, found = TextOf(nil)
	is.True(!found)
}
