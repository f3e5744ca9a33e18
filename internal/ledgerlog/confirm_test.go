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

// newFollower returns a follower of an empty partition.
func newFollower(log logstore.Store) *follower {
	began := time.Now()
	return &follower{
		store: log, partition: logstore.Partition{Topic: "ledger"}, metrics: newMetrics(nil), window: &readWindow{},
		clock: func() time.Duration { return time.Since(began) }, state: ledger.NewPartition(),
		verdicts: map[ledger.AttemptID]*ledger.Verdict{}, logger: slog.New(slog.DiscardHandler),
		onText: func(ledger.Location, []byte) {},
	}
}

// TestLateAnswerConfirmsNothing: an append whose answer was lost is repeated until it is
// answered, and the answer tells where its records stand, not what others have written since.
// An owner that took it for news would hand out tokens ahead of the log beside the one that
// has come in its place.
func TestLateAnswerConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reads := newFollower(store.New())
		time.Sleep(ledger.TakeoverDelay + time.Second)
		owned := [][]byte{ledger.Encode(ledger.OwnershipClaim{Incarnation: "a"})}
		reads.applyOwn(0, owned, ledger.ConfirmationTTL+time.Millisecond)
		is.Equal(reads.owner(), ledger.IncarnationID("a"))
		is.True(!reads.sure("a"))
		reads.applyOwn(1, [][]byte{ledger.Encode(ledger.Settlement{Program: "p"})}, time.Millisecond)
		is.True(reads.sure("a")) // nobody else had written by then
	})
}

// TestReadConfirmsFromItsSending for the same reason: its answer may take long.
func TestReadConfirmsFromItsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		reads := newFollower(&late{Store: log, by: 500 * time.Millisecond})
		time.Sleep(time.Second)
		is.NoErr(reads.readToEnd(t.Context()))
		is.Equal(reads.confirmed, time.Second)
	})
}

// late answers reads some time after it has done them.
type late struct {
	logstore.Store
	by time.Duration
}

// Read implements logstore.Store.
func (l *late) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	result, err := l.Store.Read(ctx, request)
	time.Sleep(l.by)
	return result, err
}
