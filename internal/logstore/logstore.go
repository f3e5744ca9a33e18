// Package logstore defines the interface of the durable log that a routed node uses: topics
// with numbered partitions of records, and keyed topics that retain the newest record of each
// key. The platform's adapter implements Store; internal/emulator/logstore implements it for
// tests.
package logstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrUnavailable reports that the call certainly had no effect. Its text may be sent to
	// other nodes.
	ErrUnavailable = errors.New("logstore: unavailable, nothing was done")
	// ErrOutcomeUnknown reports that the call may have taken effect, or may still do so. Its
	// text may be sent to other nodes.
	ErrOutcomeUnknown = errors.New("logstore: answer lost, the effect is unknown")
	// ErrFenced reports that the store has seen a higher epoch of the producer.
	ErrFenced = errors.New("logstore: producer is fenced")
	// ErrSequence reports that the producer's sequence number is not the next one.
	ErrSequence = errors.New("logstore: producer sequence out of order")
)

// TrimmedError reports that the requested records were dropped. First is the oldest offset that
// is left.
type TrimmedError struct{ First Offset }

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("logstore: records are gone, the oldest kept is %d", e.First)
}

// EndError reports that an append had no effect, since the partition does not end where
// AppendRequest.At says.
type EndError struct{ End Offset }

// Error implements error.
func (e *EndError) Error() string {
	return fmt.Sprintf("logstore: the partition ends at offset %d", e.End)
}

// Offset is the position of a record in its partition, counted from 0 without gaps.
type Offset uint64

// Partition identifies one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// AppendRequest adds all its records, or none. Producer, Epoch and Sequence make repeated calls
// idempotent: a repeat gets the first call's result. Without a producer a repeat adds the records
// again, unless At prevents it.
type AppendRequest struct {
	Partition Partition
	// Keys has the key of each record of a keyed topic; it is nil for other topics.
	Keys     []string
	Records  [][]byte
	Producer string
	Epoch    uint64
	Sequence uint64
	// At is where the partition must end for the call to have an effect; nil means anywhere.
	At *Offset
	// AnswerWithin is when a missing response counts as a failure of the store, although the
	// call goes on; 0 means when the context ends. It is not sent to the store.
	AnswerWithin time.Duration
}

// AppendResult has the offsets of the added records.
type AppendResult struct {
	// First is the offset of the first record added.
	First Offset
	// End is the offset of the next record.
	End Offset
}

// ReadRequest reads records from an offset on.
type ReadRequest struct {
	Partition Partition
	From      Offset
	// MaxBytes bounds the result; 0 is the store's default.
	MaxBytes int
	// Wait is how long the store may delay its response until there is a record.
	Wait time.Duration
}

// ReadResult has the records from ReadRequest.From on.
type ReadResult struct {
	Records [][]byte
	// End is the offset of the next record.
	End Offset
}

// Item is the newest record of a key. A nil Value means that the key was deleted.
type Item struct {
	Key   string
	Value []byte
}

// NewestRequest reads the newest records of a keyed partition, ordered by key, starting with
// the first key after After.
type NewestRequest struct {
	Partition Partition
	After     string
}

// NewestResult is one page of the newest records. Pages are not a snapshot: each has the
// records that were the newest when it was read.
type NewestResult struct {
	Items []Item
	// End is the offset from which Changes continues without a gap for the keys of this page
	// and of all pages read after it.
	End Offset
	// More is set if there are keys after this page. Next is the NewestRequest.After of the next page
	// then; it is greater than that of this one.
	More bool
	Next string
}

// ChangesResult has the records of a keyed partition from ReadRequest.From on.
type ChangesResult struct {
	Items []Item
	// Next is the offset to continue from. It is lower than ReadRequest.From if the partition
	// ends before that.
	Next Offset
	// End is the offset of the next record.
	End Offset
}

// Store is the durable log. Its errors wrap those above or are a *TrimmedError or
// an *EndError.
type Store interface {
	// Append adds records to a partition.
	Append(ctx context.Context, request AppendRequest) (AppendResult, error)
	// Read returns records of a partition.
	Read(ctx context.Context, request ReadRequest) (ReadResult, error)
	// Newest returns a page of the newest records of a keyed partition.
	Newest(ctx context.Context, request NewestRequest) (NewestResult, error)
	// Changes returns the records of a keyed partition from an offset on.
	Changes(ctx context.Context, request ReadRequest) (ChangesResult, error)
}
