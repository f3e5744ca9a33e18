package ledger

import (
	"math"
	"time"
)

// Text is the text of a turn that stands in the log right before the turn's Keep, where
// that is small. Builds before it pass such records over.
type Text struct{ Bytes []byte }

func (r Text) encode() []byte { return append([]byte{byte(kindText)}, r.Bytes...) }

// TextOf returns the text that an encoded record holds, within the record; false if it is
// of another kind.
func TextOf(encoded []byte) ([]byte, bool) {
	if len(encoded) == 0 || recordKind(encoded[0]) != kindText {
		return nil, false
	}
	return encoded[1:], true
}

const (
	// indexFlag in a location's partition tells that the text stands in the index's topic.
	// Builds before it ask the store for a partition that does not exist, and so answer that
	// they can't read the turn, and never that there is none.
	indexFlag = 1 << 15
	// IndexPartitions is how many partitions an index may have for texts to stand there.
	IndexPartitions = indexFlag
	// recordBefore is the offset, in a Keep's last location, of the record right before the
	// Keep: the writer does not know the offsets that the store will give. Apply puts the
	// offset in its place, so that no chain that is handed on has it.
	recordBefore = math.MaxUint64
)

// TextBefore is the location of a text of size bytes that stands right before its Keep in a
// partition of the index.
func TextBefore(partition, size int) Location { return TextAt(partition, recordBefore, size) }

// TextAt is the location of a text of size bytes that is the record at an offset of a
// partition of the index.
func TextAt(partition int, offset uint64, size int) Location {
	return Location{Partition: uint16(partition) | indexFlag, Offset: offset, Size: uint32(size)}
}

// InIndex returns the partition of the index where a text stands, of as many as there are;
// false where it stands in the texts' own topic. An index of more than IndexPartitions
// holds no texts.
func (l Location) InIndex(partitions int) (int, bool) {
	if partitions > IndexPartitions || l.Partition&indexFlag == 0 {
		return 0, false
	}
	return int(l.Partition &^ indexFlag), true
}

// Resolved tells whether the location is that of one record. A build before Text hands on
// what a Keep says of the record before it; such a location may mean any turn's text.
func (l Location) Resolved() bool { return l.Partition&indexFlag == 0 || l.Offset != recordBefore }

// resolved returns a chain of a Keep at an offset with the location of its own text.
func resolved(chain []Location, offset uint64) []Location {
	if len(chain) == 0 || offset == 0 {
		return chain
	}
	if last := &chain[len(chain)-1]; !last.Resolved() {
		last.Offset = offset - 1
	}
	return chain
}

// TextLimits bounds the texts in one partition of the index. It answers many large turns a
// second: whoever takes a partition over reads all that it holds before it serves a turn,
// and after the loss of all machines every partition is taken over at once.
type TextLimits struct {
	// Retain is how long the store keeps records.
	Retain time.Duration
	// WindowBytes bounds the texts that the records of the last Retain hold. Where turns
	// come so fast that theirs would be more, almost none stands in the partition: what
	// saves calls only until the window is used up is no saving.
	WindowBytes int
	// TextBytes bounds one text.
	TextBytes int
}

// demandSpan is the span over which the rate of kept turns is observed.
const demandSpan = 30 * time.Second

// demandBytes is the most that the texts of all turns of a demandSpan may be.
func (r *TextLimits) demandBytes() int {
	if r.Retain <= demandSpan {
		return r.WindowBytes
	}
	return int(int64(r.WindowBytes) * int64(demandSpan) / int64(r.Retain))
}

// textSlot is the span that texts are counted by.
const textSlot = 5 * time.Second

// textWindow counts the bytes of the texts in a partition by when their records were
// applied. Records that a node reads when it takes the partition over count from then on,
// which is late, so that it puts fewer texts there.
type textWindow struct {
	// slots are ordered by time.
	slots []countedTexts
}

type countedTexts struct {
	// slot is the time divided by textSlot.
	slot  time.Duration
	bytes int
}

// add counts a text and forgets those older than retain.
func (w *textWindow) add(bytes int, now, retain time.Duration) {
	w.forget(now, retain)
	slot := now / textSlot
	if last := len(w.slots) - 1; last >= 0 && w.slots[last].slot == slot {
		w.slots[last].bytes += bytes
		return
	}
	w.slots = append(w.slots, countedTexts{slot: slot, bytes: bytes})
}

// forget drops what is older than retain, by whole slots.
func (w *textWindow) forget(now, retain time.Duration) {
	for len(w.slots) > 0 && (w.slots[0].slot+1)*textSlot+retain < now {
		w.slots = w.slots[1:]
	}
}

func (w *textWindow) sum() int {
	sum := 0
	for _, one := range w.slots {
		sum += one.bytes
	}
	return sum
}

// SetTextLimits sets the rule for the partition's texts; without one it takes none.
func (p *Partition) SetTextLimits(rule TextLimits) { p.rule = rule }

// AcceptsText tells whether one more text may stand in the partition.
func (p *Partition) AcceptsText(size int, now time.Duration) bool {
	p.texts.forget(now, p.rule.Retain)
	p.demand.forget(now, demandSpan)
	return size <= p.rule.TextBytes && p.texts.sum()+size <= p.rule.WindowBytes && p.demand.sum()+size <= p.rule.demandBytes()
}

// noteDemand counts the text of a kept turn, wherever it stands.
func (p *Partition) noteDemand(chain []Location, now time.Duration) {
	if len(chain) > 0 {
		p.demand.add(int(chain[len(chain)-1].Size), now, demandSpan)
	}
}

// NoteText counts a text that this node has written and not read.
func (p *Partition) NoteText(size int, now time.Duration) { p.texts.add(size, now, p.rule.Retain) }

// TextBytes returns the bytes of texts that a take-over of the partition reads, and those
// of all turns kept of late.
func (p *Partition) TextBytes(now time.Duration) (held, demanded int) {
	p.texts.forget(now, p.rule.Retain)
	p.demand.forget(now, demandSpan)
	return p.texts.sum(), p.demand.sum()
}
