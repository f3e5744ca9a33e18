package journal

import (
	"errors"
	"slices"

	"stepseam.example/stepseam/internal/wire"
)

// Tail is the part of a shard's records that the log may not hold yet: an
// optional snapshot of the state after record After, and the records behind it.
type Tail struct {
	// After is the index of the last record before Entries.
	After uint64
	// Folded is true where State holds the state after record After, and the log
	// may hold less than After. Otherwise the log holds all up to After.
	Folded  bool
	State   []byte
	Entries [][]byte
}

// Last returns the index of the last record that the tail reaches.
func (t *Tail) Last() uint64 { return t.After + uint64(len(t.Entries)) }

// Bytes returns the size of what the tail keeps.
func (t *Tail) Bytes() int {
	size := len(t.State)
	for _, entry := range t.Entries {
		size += len(entry)
	}
	return size
}

// Trim drops what the log holds: everything up to index.
func (t *Tail) Trim(index uint64) {
	if index < t.After {
		return
	}
	t.Folded, t.State = false, nil
	known := min(index-t.After, uint64(len(t.Entries)))
	t.After = index
	rest := t.Entries[known:]
	if known > 0 && 2*len(rest) <= len(t.Entries) {
		rest = slices.Clone(rest) // lets the memory of what was dropped go
	}
	t.Entries = rest
}

// Fold replaces all records up to index by the state after it.
func (t *Tail) Fold(index uint64, state []byte) {
	t.Trim(index)
	t.Folded, t.State = true, state
}

// Add appends entries whose first follows record after. Those already held are
// passed over. It returns false if records in between are missing.
func (t *Tail) Add(after uint64, entries [][]byte) bool {
	last := t.Last()
	if after > last {
		return false
	}
	known := min(last-after, uint64(len(entries)))
	t.Entries = append(t.Entries, entries[known:]...)
	return true
}

// From returns the entries behind record after, at most limit bytes but at
// least one, or false where the tail does not reach back that far.
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

// errTailGap tells that the log holds less than the replicas were told.
var errTailGap = errors.New("journal: records between the log's end and the replicas' tail are missing")

// Longest returns the tail that reaches furthest. Tails of one ownership are
// prefixes of one sequence, so the furthest one holds what all others do.
func Longest(tails []Tail) Tail {
	var longest Tail
	for i, tail := range tails {
		// The first one may be the whole state of a shard without records.
		if i == 0 || tail.Last() > longest.Last() {
			longest = tail
		}
	}
	return longest
}

// behind returns what is left of the tail for a reader that holds all records up
// to index.
func (t Tail) behind(index uint64) (Tail, error) {
	if t.After > index {
		if !t.Folded {
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
	e.Bool(t.Folded)
	e.Blob(t.State)
	encodeBlobs(e, t.Entries)
}

func (t *Tail) decode(d *wire.Decoder) {
	t.After = d.Uint64()
	t.Folded = d.Bool()
	t.State = d.Blob()
	t.Entries = decodeBlobs(d)
}
