package ledgerlog

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
)

// The share of one of 380 nodes in 40,000 programs of 110 turns.
const (
	benchPrograms = 105
	benchTurns    = 110
)

// newBenchLedger returns a ledger of one partition whose archive has the turns and accounts of a node.
func newBenchLedger(b *testing.B, log *store.Store) *Ledger {
	made := New(Config{
		Store: log, Topic: "ledger", TextTopic: "texts", ArchiveTopic: archiveTopic, Partitions: 1, Producer: "n.1",
		RecordBytes: 256 << 10, CallBytes: 2 << 20, CacheBytes: 1 << 20, Retain: history, Logger: slog.New(slog.DiscardHandler),
	})
	made.SetLongestRest(func() time.Duration { return kept })
	b.Cleanup(func() { _ = made.Stop(b.Context()) })
	return made
}

func fillBenchLedger(b *testing.B, l *Ledger) {
	var group errgroup.Group
	for program := range benchPrograms {
		group.Go(func() error {
			id := ledger.ProgramID(fmt.Sprint("p", program))
			grant, err := beginTurn(b.Context(), l, id, 1<<20, 100, true)
			if err != nil {
				return err
			}
			l.FinishTurn(id, grant.ID, 100)
			var chain []ledger.Location
			for turn := range benchTurns {
				// The locations of a flagged text are not copied, so that the archive has entries only.
				chain = withLocation(chain, ledger.Location{Offset: uint64(program*benchTurns + turn), Size: 6000}.WithArchive())
				if err := l.PersistTurn(b.Context(), ledger.IndexEntry{Program: id, Turn: turnOf(id, turn), Chain: chain, Retention: time.Hour}); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkIdleBatch measures a batch of a partition in which nothing has changed.
func BenchmarkIdleBatch(b *testing.B) {
	l := newBenchLedger(b, store.New())
	fillBenchLedger(b, l)
	one := l.archivers[0]
	if err := one.write(b.Context()); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if made := one.newBatch(one.written); len(made.turns) > 0 {
			b.Fatal("something has changed")
		}
	}
}

// BenchmarkRestore measures the restore of a partition with the state of a whole node.
func BenchmarkRestore(b *testing.B) {
	log := store.New()
	l := newBenchLedger(b, log)
	fillBenchLedger(b, l)
	if err := l.archivers[0].write(b.Context()); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		snapshot, _, err := l.archivers[0].archive.load(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		state := ledger.NewPartition()
		state.Restore(snapshot, 0, 0)
		if !state.KnowsTurn(turnOf("p0", 0)) {
			b.Fatal("a turn is missing")
		}
	}
	_, size := log.Bytes(archiveTopic)
	b.ReportMetric(float64(size), "archive-bytes")
}
