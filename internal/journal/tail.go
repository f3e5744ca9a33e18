package journal

import (
	"errors"
	"slices"

	"stepseam.example/stepseam/internal/wire"
)

// Tail is the part of a shard's records that may not be in the log yet: an optional
// snapshot of the state after record After, and the records that follow it.
type Tail struct {
	// After is the index of the last record before Entries.
	After uint64
	// Compacted is true if State is the state after record After, and the log may end
	// before After. Otherwise the log has all records up to After.
	Compacted bool
	State     []byte
	Entries   [][]byte
}

// Last returns the index of the last record in the tail.
func (t *Tail) Last() uint64 { return t.After + uint64(len(t.Entries)) }

// Bytes returns the size of the state and the entries.
func (t *Tail) Bytes() int {
	size := len(t.State)
	for _, entry := range t.Entries {
		size += len(entry)
	}
	return size
}

// Trim removes everything up to index, which the log has.
func (t *Tail) Trim(index uint64) {
	if index < t.After {
		return
	}
	t.Compacted, t.State = false, nil
	known := min(index-t.After, uint64(len(t.Entries)))
	t.After = index
	rest := t.Entries[known:]
	if known > 0 && 2*len(rest) <= len(t.Entries) {
		rest = slices.Clone(rest) // frees the memory of the removed entries
	}
	t.Entries = rest
}

// Compact replaces all records up to index by the state after it.
func (t *Tail) Compact(index uint64, state []byte) {
	t.Trim(index)
	t.Compacted, t.State = true, state
}

// Add appends entries, the first of which follows record after. Entries that are
// already in the tail are skipped. It returns false if preceding records are missing.
func (t *Tail) Add(after uint64, entries [][]byte) bool {
	last := t.Last()
	if after > last {
		return false
	}
	known := min(last-after, uint64(len(entries)))
	t.Entries = append(t.Entries, entries[known:]...)
	return true
}

// From returns the entries that follow record after, up to limit bytes but at least
// one, or false if the tail does not cover them.
func (t *Tail) From(after uint64, limit int) ([][]byte, bool) {
	if after < t.After || after > t.Last() {
		return nil, false
	}
	entries := t.Entries[after-t.After:]
	size := 0
	for i, entry := range entries {
		size += len(entry)
		if size > limit && i > 0 {
			return entries[:i], true
		}
	}
	return entries, true
}

// errTailGap reports that the log ends before the tail at the replicas begins.
var errTailGap = errors.New("journal: records between the log's end and the replicas' tail are missing")

// Longest returns the tail with the highest last index. Tails of one ownership are
// prefixes of one sequence, so the longest covers all others.
func Longest(tails []Tail) Tail {
	var longest Tail
	for i, tail := range tails {
		// The first tail counts even if it is a full state without entries at index 0.
		if i == 0 || tail.Last() > longest.Last() {
			longest = tail
		}
	}
	return longest
}

// after returns the part of the tail that a reader with all records up to index
// needs.
func (t Tail) after(index uint64) (Tail, error) {
	if t.After > index {
		if !t.Compacted {
			return Tail{}, errTailGap
		}
		return t, nil
	}
	if t.Last() <= index {
		return Tail{After: index}, nil
	}
	return Tail{After: index, Entries: t.Entries[index-t.After:]}, nil
}

func (t *Tail) encode(e *wire.Encoder) {
	e.Uint64(t.After)
	e.Bool(t.Compacted)
	e.Blob(t.State)
	encodeBlobs(e, t.Entries)
}

func (t *Tail) decode(d *wire.Decoder) {
	t.After = d.Uint64()
	t.Compacted = d.Bool()
	t.State = d.Blob()
	t.Entries = decodeBlobs(d)
}
