// Package transcript replicates the output of streams while they are sent to clients, so that a
// stream that its client resumes at any node is persisted with the events sent before.
//
// The node that begins a stream selects the holders of its transcript, all of them other nodes,
// and sends an event to the client once a majority of the holders has stored it. A node that
// resumes the stream claims it under a higher ballot at a majority, which fences the writer
// before it, takes the transcript with the highest ballot that one of them has accepted, up to
// the event that the client has, and stores that under its own ballot before the stream goes on.
// Each two majorities share a holder, so the transcript that is taken is that of the last writer
// that sent anything, with all events that it sent after they were stored.
package transcript

import (
	"cmp"
	"errors"

	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
)

// Key identifies a stream, over all attempts of its client.
type Key holders.Key

// Content is a digest of the turn that the stream answers.
type Content [16]byte

// Event is an event of a stream as far as it is part of the output.
type Event struct {
	// ID is the event's number; HasID is false if it has none.
	ID    int64
	HasID bool
	// Data is the event's contribution to the output.
	Data []byte
}

// Ballot orders the writers of a transcript. The first writer has round 1.
type Ballot struct {
	Round  uint64
	Writer uint64
}

// Compare returns the order of two ballots.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Writer, other.Writer))
}

var (
	// ErrUnknown means that the output before a position is not known for certain.
	ErrUnknown = errors.New("transcript: output of the stream is not known")
	// ErrOtherContent means that the stream answers another turn.
	ErrOtherContent = errors.New("transcript: the stream answers another turn")
	// ErrFenced means that the client has resumed the stream elsewhere since.
	ErrFenced = errors.New("transcript: the stream was resumed elsewhere")
)

// copyCount is the number of holders of a transcript on sites that have enough other nodes.
const copyCount = holders.Copies

// majority returns how many holders must accept.
func majority(count int) int { return count/2 + 1 }

// oddCount returns the number of holders for a number of candidates. An even number would bear
// the loss of no more holders than the odd one below it.
func oddCount(candidates int) int {
	count := min(candidates, copyCount)
	if count > 0 && count%2 == 0 {
		count--
	}
	return count
}

// prefix returns the events up to the one with an ID, and false if there is none. Before the
// first event, at position -1, it is empty.
func prefix(events []Event, position int64) ([]Event, bool) {
	if position == -1 {
		return nil, true
	}
	for i, event := range events {
		if event.HasID && event.ID == position {
			return events[:i+1], true
		}
	}
	return nil, false
}

func referencesOf(nodes []identity.Node) []identity.Reference {
	references := make([]identity.Reference, 0, len(nodes))
	for _, node := range nodes {
		references = append(references, node.Reference())
	}
	return references
}
