package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/guardedstore"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	outage           = 7 * time.Second
	outagePartitions = 24
)

// outageLedger returns a ledger with many partitions and a circuit breaker.
func outageLedger(log logstore.Store) *Ledger { return breakerLedger(log, "a", outagePartitions) }

// newBreakerLedger is newLedger with a circuit breaker.
func newBreakerLedger(log logstore.Store, name string) *Ledger { return breakerLedger(log, name, 3) }

func breakerLedger(log logstore.Store, name string, partitions int) *Ledger {
	gated := guardedstore.New(guardedstore.Config{Store: log, Logger: slog.New(slog.DiscardHandler)})
	return New(Config{
		Store: gated, Availability: gated, Topic: "ledger", TextTopic: "texts", Partitions: partitions, Producer: name,
		RecordBytes: 64, CallBytes: 1 << 20, CacheBytes: 1 << 10, Logger: slog.New(slog.DiscardHandler),
	})
}

// TestFewAppendsWhileStoreIsUnavailable bounds the calls of a node that has records for all
// partitions in an outage, and the time until all are written after it.
func TestFewAppendsWhileStoreIsUnavailable(t *testing.T) {
	for _, fault := range []store.Fault{{Busy: true}, {Silent: true}, {LoseAnswers: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := store.New()
			log.Fail(fault)
			l := outageLedger(log)
			for i := range 100 {
				l.partitionOf(ledger.ProgramID(fmt.Sprint(i))).submitNow([]byte{byte(i)})
			}
			time.Sleep(outage)
			// Before the breaker opens, each partition fails at 0, 20, 60 and 140 ms at the
			// earliest; after that there are only probes.
			const before = 4
			is.True(log.Calls("append") <= outagePartitions*before+int(outage/(150*time.Millisecond)))
			log.Fail(store.Fault{})
			// The next probe, the time of a call that hangs, and the spread of waiting calls.
			time.Sleep(700 * time.Millisecond)
			written := 0
			for _, p := range l.partitions {
				written += len(log.Records(p.appender.partition))
			}
			is.Equal(written, 100)
			is.Equal(l.partitionOf("p").appender.pacer.gap.Load(), int64(0)) // refusals during the outage do not slow down later calls
		})
	}
}

// partlyUnavailable returns a ledger that has detected that the given program's partition is
// unavailable in both topics.
func partlyUnavailable(t *testing.T, log *store.Store, program ledger.ProgramID) *Ledger {
	l := outageLedger(log)
	down := l.Partition(program)
	log.Fail(store.Fault{Silent: true, Partition: &down})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	l.texts.partition = down
	_, texts := l.texts.writer()
	go func() { _, _ = texts.append(ctx, [][]byte{{1}}) }()
	go func() { _, _ = l.partitionOf(program).appender.append(ctx, [][]byte{{1}}) }()
	for i := 0; ctx.Err() == nil; i++ { // other partitions are available
		_, _ = l.partitions[(down+1)%outagePartitions].appender.append(ctx, [][]byte{{1}})
		time.Sleep(50 * time.Millisecond)
	}
	return l
}

// TestWorkMovesToAvailablePartitions checks that writes move without delay, and that turns
// which need the unavailable partition are refused at once.
func TestWorkMovesToAvailablePartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := partlyUnavailable(t, log, "p")
		began := time.Now()
		location, err := l.WriteText(within(t, time.Second), []byte("text"))
		is.NoErr(err)
		is.True(int(location.Partition) != l.Partition("p"))
		is.NoErr(l.PersistTurn(within(t, time.Second), ledger.IndexEntry{Program: "p", Turn: "t", Chain: []ledger.Location{location}, Retention: time.Minute}))
		is.Equal(time.Since(began), time.Duration(0))
		_, err = beginTurn(within(t, 5*time.Second), l, "p", 100, 60, true)
		is.True(errors.Is(err, ErrStoreUnavailable))
		is.Equal(time.Since(began), time.Duration(0))
		other := ledger.ProgramID("q")
		for i := 0; l.Partition(other) == l.Partition("p"); i++ {
			other = ledger.ProgramID(fmt.Sprint("q", i))
		}
		_, err = beginTurn(within(t, time.Second), l, other, 100, 60, false)
		is.NoErr(err)
		log.Fail(store.Fault{})
		time.Sleep(time.Second)
		grant, err := beginTurn(within(t, time.Second), l, "p", 100, 60, true)
		is.NoErr(err) // by the reservation that was made during the outage
		l.FinishTurn(grant.Program, grant.ID, 60)
		is.NoErr(l.Stop(within(t, time.Second)))
	})
}

// TestExpiredSubmissionsAreDropped also checks that Stop returns when its context ends.
func TestExpiredSubmissionsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Fail(store.Fault{Busy: true})
		l := outageLedger(log)
		for number := range outagePartitions {
			_, err := l.partitions[number].appender.append(within(t, 100*time.Millisecond), [][]byte{{1}})
			is.True(errors.Is(err, errWaitEnded))
		}
		time.Sleep(time.Second)
		for _, p := range l.partitions {
			is.True(p.appender.idle())
		}
		l.partitionOf("p").submitNow([]byte{1})
		began := time.Now()
		is.True(errors.Is(l.Stop(within(t, 2*time.Second)), context.DeadlineExceeded))
		is.Equal(time.Since(began), 2*time.Second)
		log.Fail(store.Fault{})
		is.NoErr(l.Stop(within(t, time.Second)))
		is.Equal(len(log.Records(l.partitionOf("p").appender.partition)), 1)
	})
}

// TestOnlyCoordinatorReservesWhileStoreIsUnavailable guards against a burst of writes and reads
// by all nodes when the store recovers.
func TestOnlyCoordinatorReservesWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := outageLedger(log)
		grant, err := beginTurn(within(t, time.Second), l, "known", 100, 60, false)
		is.NoErr(err)
		log.Fail(store.Fault{Busy: true})
		l.partitionOf("p").submitNow([]byte{1})
		time.Sleep(time.Second)
		_, err = beginTurn(within(t, time.Second), l, "known", 100, 60, false)
		is.True(errors.Is(err, ErrStoreUnavailable))
		for i := range 100 {
			_, err := beginTurn(within(t, time.Second), l, ledger.ProgramID(fmt.Sprint(i)), 100, 60, false)
			is.True(errors.Is(err, ErrStoreUnavailable))
		}
		_, err = beginTurn(within(t, time.Second), l, "own", 100, 60, true)
		is.True(errors.Is(err, ErrStoreUnavailable))
		log.Fail(store.Fault{})
		appends := log.Calls("append")
		time.Sleep(time.Second)
		is.True(log.Calls("append")-appends <= 3) // the probe's record, the coordinator's reservation and its claim
		for i := range 100 {
			begun, err := beginTurn(within(t, time.Second), l, ledger.ProgramID(fmt.Sprint(i)), 100, 60, false)
			is.NoErr(err)
			l.FinishTurn(begun.Program, begun.ID, 60)
		}
		l.FinishTurn(grant.Program, grant.ID, 60)
		is.NoErr(l.Stop(within(t, time.Second)))
	})
}

// TestEachRecordIsWrittenOnce guards against lost and duplicate records under store failures.
func TestEachRecordIsWrittenOnce(t *testing.T) {
	faults := []store.Fault{{}, {}, {Busy: true}, {Silent: true}, {LoseAnswers: true}, {Delay: 300 * time.Millisecond}}
	rapid.Check(t, func(rt *rapid.T) {
		draws := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1, 60).Draw(rt, "draws")
		synctest.Test(t, func(*testing.T) {
			log := store.New()
			l := newBreakerLedger(log, "a")
			for number, draw := range draws {
				fault := faults[draw%len(faults)]
				if down := draw / 10 % 4; down < 3 {
					fault.Partition = &down
				}
				log.Fail(fault)
				l.partitions[draw/40%3].submitNow([]byte{byte(number)})
				time.Sleep(time.Duration(draw%1500) * time.Millisecond)
			}
			log.Fail(store.Fault{})
			time.Sleep(10 * time.Second)
			written := map[byte]int{}
			for _, p := range l.partitions {
				for _, record := range log.Records(p.appender.partition) {
					written[record[0]]++
				}
			}
			for number := range draws {
				if written[byte(number)] != 1 {
					rt.Fatalf("record %d is written %d times", number, written[byte(number)])
				}
			}
		})
	})
}

// TestCreditOutlastsOutage checks that a program that returns after an outage still finds its
// reservation.
func TestCreditOutlastsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var unavailable atomic.Bool
		coordinator := New(Config{
			Store: store.New(), Topic: "ledger", TextTopic: "texts", Partitions: 1, Producer: "a", RecordBytes: 64, CallBytes: 1 << 20,
			CacheBytes: 1 << 10, Availability: fakeAvailability{answers: func() bool { return !unavailable.Load() }}, Logger: slog.New(slog.DiscardHandler),
		})
		coordinatesAll := func(int) bool { return true }
		begun, err := beginTurn(within(t, time.Second), coordinator, "p", 1000, 100, true)
		is.NoErr(err)
		time.Sleep(time.Second) // the reservation is in the log
		unavailable.Store(true)
		coordinator.FinishTurn(begun.Program, begun.ID, 10)
		for range 6 {
			time.Sleep(time.Second)
			coordinator.SettleIdle(coordinatesAll)
		}
		again, err := beginTurn(within(t, time.Second), coordinator, "p", 1000, 100, true)
		is.NoErr(err)
		unavailable.Store(false)
		coordinator.FinishTurn(again.Program, again.ID, 10)
		is.NoErr(coordinator.Stop(within(t, time.Second)))
	})
}
