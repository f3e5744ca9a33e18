package ledger

import (
	"math"
	"time"
)

// Text is the text of a turn, stored right before the turn's IndexEntry if it is small. Older
// versions skip such records.
type Text struct{ Bytes []byte }

func (r Text) encode() []byte { return append([]byte{byte(kindText)}, r.Bytes...) }

// TextOf returns the text in an encoded record, which it aliases, or false if the record is of
// another kind.
func TextOf(encoded []byte) ([]byte, bool) {
	if len(encoded) == 0 || recordKind(encoded[0]) != kindText {
		return nil, false
	}
	return encoded[1:], true
}

const (
	// indexFlag, in a location's partition, marks a text in the index's topic. Older versions
	// then read a partition that does not exist and report the turn as unreadable, rather than
	// as absent.
	indexFlag = 1 << 15
	// IndexPartitions is the maximum number of partitions of an index that may have texts.
	IndexPartitions = indexFlag
	// precedingRecord is the offset that stands for the record right before the IndexEntry in
	// the entry's last location, since the writer does not know the offsets yet. Apply replaces
	// it by the offset, so that no IndexedTurn has it.
	precedingRecord = math.MaxUint64
)

// TextBefore returns the location of a text of size bytes right before its IndexEntry in a
// partition of the index.
func TextBefore(partition, size int) Location { return TextAt(partition, precedingRecord, size) }

// TextAt returns the location of a text of size bytes at an offset of a partition of the index.
func TextAt(partition int, offset uint64, size int) Location {
	return Location{Partition: uint16(partition) | indexFlag, Offset: offset, Size: uint32(size)}
}

// InIndex returns the index partition of a text, given the number of partitions, or false if
// the text is in the texts' own topic. An index with more than IndexPartitions has no texts.
func (l Location) InIndex(partitions int) (int, bool) {
	if partitions > IndexPartitions || l.Partition&indexFlag == 0 {
		return 0, false
	}
	return int(l.Partition &^ indexFlag), true
}

// archivedFlag, in a location's partition, marks a text in the texts' own topic whose copy outside the
// log was written with it. Other nodes may not read the text, so they don't copy it. Older versions
// read a partition that does not exist, as for indexFlag.
const archivedFlag = 1 << 14

// ArchivedPartitions is the maximum number of partitions with texts whose copies are written with
// them.
const ArchivedPartitions = archivedFlag

// WithArchive returns the location of a text in its own topic whose copy was written with it.
func (l Location) WithArchive() Location {
	l.Partition |= archivedFlag
	return l
}

// InTopic returns the partition of a text in the texts' own topic, given the number of partitions,
// and whether its copy was written with it.
func (l Location) InTopic(partitions int) (partition int, archived bool) {
	if partitions > ArchivedPartitions || l.Partition&archivedFlag == 0 {
		return int(l.Partition), false
	}
	return int(l.Partition &^ archivedFlag), true
}

// Resolved reports whether the location identifies a record. Versions that do not know Text
// pass on unresolved locations, which could mean any turn's text.
func (l Location) Resolved() bool { return l.Partition&indexFlag == 0 || l.Offset != precedingRecord }

// resolveChain returns the chain of an IndexEntry at an offset with the location of its own
// text resolved. It modifies chain.
func resolveChain(chain []Location, offset uint64) []Location {
	if len(chain) == 0 || offset == 0 {
		return chain
	}
	if last := &chain[len(chain)-1]; !last.Resolved() {
		last.Offset = offset - 1
	}
	return chain
}

// TextLimits bounds the texts in one partition of the index. A node that takes a partition over
// reads all of it before it serves a turn, and after a restart of the whole cluster all
// partitions are taken over at once.
type TextLimits struct {
	// Retain is how long the store keeps records.
	Retain time.Duration
	// WindowBytes bounds the texts in the records of the last Retain. If the rate of turns is
	// so high that all their texts would exceed it, almost none are added, since those that fit
	// would save few calls.
	WindowBytes int
	// TextBytes bounds one text.
	TextBytes int
}

// demandWindow is the time over which the rate of turns is measured.
const demandWindow = 30 * time.Second

// demandBytes bounds the texts of all turns of a demandWindow.
func (r *TextLimits) demandBytes() int {
	if r.Retain <= demandWindow {
		return r.WindowBytes
	}
	return int(int64(r.WindowBytes) * int64(demandWindow) / int64(r.Retain))
}

// textSlotDuration is the resolution at which texts are counted.
const textSlotDuration = 5 * time.Second

// textWindow counts the bytes of texts in a partition by the time when their records were
// applied. Texts that a node reads when it takes a partition over count from that time, which
// is later than they were written, so the node adds fewer texts.
type textWindow struct {
	// slots are ordered by time.
	slots []textSlotBytes
}

type textSlotBytes struct {
	// slot is the time divided by textSlotDuration.
	slot  time.Duration
	bytes int
}

// add counts a text and forgets those older than retain.
func (w *textWindow) add(bytes int, now, retain time.Duration) {
	w.forget(now, retain)
	slot := now / textSlotDuration
	if last := len(w.slots) - 1; last >= 0 && w.slots[last].slot == slot {
		w.slots[last].bytes += bytes
		return
	}
	w.slots = append(w.slots, textSlotBytes{slot: slot, bytes: bytes})
}

// forget drops slots that are older than retain.
func (w *textWindow) forget(now, retain time.Duration) {
	for len(w.slots) > 0 && (w.slots[0].slot+1)*textSlotDuration+retain < now {
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

// SetTextLimits sets the limits for texts. Without limits the partition accepts none.
func (p *Partition) SetTextLimits(limits TextLimits) { p.limits = limits }

// AcceptsText reports whether one more text may be written to the partition.
func (p *Partition) AcceptsText(size int, now time.Duration) bool {
	p.texts.forget(now, p.limits.Retain)
	p.demand.forget(now, demandWindow)
	return size <= p.limits.TextBytes && p.texts.sum()+size <= p.limits.WindowBytes && p.demand.sum()+size <= p.limits.demandBytes()
}

// noteDemand counts the text of an indexed turn, wherever the text is.
func (p *Partition) noteDemand(chain []Location, now time.Duration) {
	if len(chain) > 0 {
		p.demand.add(int(chain[len(chain)-1].Size), now, demandWindow)
	}
}

// NoteText counts a text that this node has written but not read.
func (p *Partition) NoteText(size int, now time.Duration) { p.texts.add(size, now, p.limits.Retain) }

// TextBytes returns the bytes of texts that a takeover of the partition reads, and those of all
// turns persisted within demandWindow.
func (p *Partition) TextBytes(now time.Duration) (total, demanded int) {
	p.texts.forget(now, p.limits.Retain)
	p.demand.forget(now, demandWindow)
	return p.texts.sum(), p.demand.sum()
}
