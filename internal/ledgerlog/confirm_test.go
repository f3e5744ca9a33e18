package ledgerlog

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

// newReader returns a reader of an empty partition.
func newReader(log logstore.Store) *reader {
	began := time.Now()
	return &reader{
		store: log, partition: logstore.Partition{Topic: "ledger"}, metrics: newMetrics(nil), window: &readWindow{},
		clock: func() time.Duration { return time.Since(began) }, state: ledger.NewPartition(),
		verdicts: map[ledger.AttemptID]*ledger.Verdict{}, logger: slog.New(slog.DiscardHandler),
		onText: func(ledger.Location, []byte) {},
	}
}

// TestLateAnswerConfirmsNothing guards against an owner that takes the late response to a
// repeated append for a current confirmation. It would make unlogged grants at the same time as
// the owner that replaced it.
func TestLateAnswerConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reads := newReader(store.New())
		time.Sleep(ledger.TakeoverDelay + time.Second)
		owned := [][]byte{ledger.Encode(ledger.OwnershipClaim{Incarnation: "a"})}
		reads.applyWritten(0, owned, ledger.ConfirmationTTL+time.Millisecond)
		is.Equal(reads.owner(), ledger.IncarnationID("a"))
		is.True(!reads.exclusive("a"))
		reads.applyWritten(1, [][]byte{ledger.Encode(ledger.Settlement{Program: "p"})}, time.Millisecond)
		is.True(reads.exclusive("a")) // no other node had written by then
	})
}

// TestReadConfirmsFromItsSending guards against the same fault for reads.
func TestReadConfirmsFromItsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		reads := newReader(&slowReads{Store: log, by: 500 * time.Millisecond})
		time.Sleep(time.Second)
		is.NoErr(reads.readToEnd(t.Context()))
		is.Equal(reads.confirmed, time.Second)
	})
}

// slowReads delays the responses to reads.
type slowReads struct {
	logstore.Store
	by time.Duration
}

// Read implements logstore.Store.
func (l *slowReads) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	result, err := l.Store.Read(ctx, request)
	time.Sleep(l.by)
	return result, err
}
