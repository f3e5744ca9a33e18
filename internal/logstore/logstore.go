// Package logstore describes the durable log that a routed node builds on: topics
// with numbered partitions of records, and keyed topics whose newest record for
// each key is kept for good. The platform's adapter implements Store; the
// stand-in in internal/emulator/logstore does so for tests.
package logstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrUnavailable tells that the call had no effect, for certain.
	ErrUnavailable = errors.New("logstore: unavailable, nothing was done")
	// ErrOutcomeUnknown tells that the call may have had its effect, or may have it later.
	ErrOutcomeUnknown = errors.New("logstore: answer lost, the effect is unknown")
	// ErrFenced tells that a higher epoch of the producer has been seen.
	ErrFenced = errors.New("logstore: producer is fenced")
	// ErrSequence tells that the producer's sequence number is not the next one.
	ErrSequence = errors.New("logstore: producer sequence out of order")
)

// TrimmedError tells that the asked records are gone; First is the oldest kept.
type TrimmedError struct{ First Offset }

// Error names the oldest offset that is left.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("logstore: records are gone, the oldest kept is %d", e.First)
}

// Offset counts the records of a partition from 0 without gaps.
type Offset uint64

// Partition names one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// AppendRequest adds all its records, or none. Producer, Epoch and Sequence make a
// repeat of the same call harmless: it gets the first call's answer.
type AppendRequest struct {
	Partition Partition
	Records   [][]byte
	Producer  string
	Epoch     uint64
	Sequence  uint64
}

// AppendResult tells where the records stand.
type AppendResult struct {
	// First is the offset of the first record added.
	First Offset
	// End is the offset that the next record will get.
	End Offset
}

// ReadRequest asks for records from an offset on.
type ReadRequest struct {
	Partition Partition
	From      Offset
	// MaxBytes bounds the answer; 0 takes the store's default.
	MaxBytes int
	// Wait is how long the store may hold the call until a record is there.
	Wait time.Duration
}

// ReadResult holds the records from ReadRequest.From on.
type ReadResult struct {
	Records [][]byte
	// End is the offset that the next record will get.
	End Offset
}

// Item is the newest record of a key. A nil Value means that the key was dropped.
type Item struct {
	Key   string
	Value []byte
}

// NewestRequest asks for the newest records of a keyed partition by key, from the first
// key after After on.
type NewestRequest struct {
	Partition Partition
	After     string
}

// NewestResult is one page of the newest records. Pages are not a snapshot: each holds
// what was newest when it was read.
type NewestResult struct {
	Items []Item
	// End is the offset from which Changes goes on without a gap for the keys of this page
	// and of all pages read after it.
	End Offset
	// More tells that there are keys behind the last item.
	More bool
}

// ChangesResult holds the records of a keyed partition from ReadRequest.From on.
type ChangesResult struct {
	Items []Item
	// Next is the offset to go on from; before ReadRequest.From where the partition
	// holds less than that.
	Next Offset
	// End is the offset that the next record will get.
	End Offset
}

// Store is the durable log. Errors wrap the sentinels above or are a TrimmedError.
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
