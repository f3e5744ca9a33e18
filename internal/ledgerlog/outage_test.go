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

// outageLedger is the ledger of a node whose calls go through breakers, with many partitions.
func outageLedger(log logstore.Store) *Ledger { return gatedLedger(log, "a", outagePartitions) }

// newGatedLedger is newLedger with breakers.
func newGatedLedger(log logstore.Store, name string) *Ledger { return gatedLedger(log, name, 3) }

func gatedLedger(log logstore.Store, name string, partitions int) *Ledger {
	gated := guardedstore.New(guardedstore.Config{Store: log, Logger: slog.New(slog.DiscardHandler)})
	return New(Config{
		Store: gated, Availability: gated, Topic: "ledger", TextTopic: "texts", Partitions: partitions, Producer: name,
		RecordBytes: 64, CallBytes: 1 << 20, CacheBytes: 1 << 10, Logger: slog.New(slog.DiscardHandler),
	})
}

// TestAppendsOfAStoreThatIsAwayAreFew: a node whose partitions all have something to write
// makes a bounded number of calls in an outage, and all is written soon after its end.
func TestAppendsOfAStoreThatIsAwayAreFew(t *testing.T) {
	for _, fault := range []store.Fault{{Busy: true}, {Silent: true}, {LoseAnswers: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := store.New()
			log.Fail(fault)
			l := outageLedger(log)
			for i := range 100 {
				l.of(ledger.ProgramID(fmt.Sprint(i))).submitNow([]byte{byte(i)})
			}
			time.Sleep(outage)
			// Before the breaker opens, each partition fails at 0, 20, 60 and 140 ms at the
			// soonest; after it, probes alone.
			const before = 4
			is.True(log.Calls("append") <= outagePartitions*before+int(outage/(150*time.Millisecond)))
			log.Fail(store.Fault{})
			// The next probe, the time of a call that hangs, and the spread of those that wait.
			time.Sleep(700 * time.Millisecond)
			written := 0
			for _, p := range l.partitions {
				written += len(log.Records(p.appender.partition))
			}
			is.Equal(written, 100)
			is.Equal(l.of("p").appender.pacer.gap.Load(), int64(0)) // no calls are spaced for what the outage refused
		})
	}
}

// partlyAway returns a ledger that knows that its log is away on one partition of either
// topic, that of the program given.
func partlyAway(t *testing.T, log *store.Store, program ledger.ProgramID) *Ledger {
	l := outageLedger(log)
	down := l.Partition(program)
	log.Fail(store.Fault{Silent: true, Partition: &down})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	l.texts.partition = down
	_, texts := l.texts.writer()
	go func() { _, _ = texts.append(ctx, [][]byte{{1}}) }()
	go func() { _, _ = l.of(program).appender.append(ctx, [][]byte{{1}}) }()
	for i := 0; ctx.Err() == nil; i++ { // others are answered
		_, _ = l.partitions[(down+1)%outagePartitions].appender.append(ctx, [][]byte{{1}})
		time.Sleep(50 * time.Millisecond)
	}
	return l
}

// TestWorkGoesToPartitionsThatAnswer at once, and what needs the one that is away is
// refused at once and not run.
func TestWorkGoesToPartitionsThatAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := partlyAway(t, log, "p")
		began := time.Now()
		location, err := l.WriteText(within(t, time.Second), []byte("text"))
		is.NoErr(err)
		is.True(int(location.Partition) != l.Partition("p"))
		is.NoErr(l.PersistTurn(within(t, time.Second), ledger.IndexEntry{Program: "p", Turn: "t", Chain: []ledger.Location{location}, Retention: time.Minute}))
		is.Equal(time.Since(began), time.Duration(0))
		_, err = take(within(t, 5*time.Second), l, "p", 100, 60, true)
		is.True(errors.Is(err, ErrStoreUnavailable))
		is.Equal(time.Since(began), time.Duration(0))
		other := ledger.ProgramID("q")
		for i := 0; l.Partition(other) == l.Partition("p"); i++ {
			other = ledger.ProgramID(fmt.Sprint("q", i))
		}
		_, err = take(within(t, time.Second), l, other, 100, 60, false)
		is.NoErr(err)
		log.Fail(store.Fault{})
		time.Sleep(time.Second)
		grant, err := take(within(t, time.Second), l, "p", 100, 60, true)
		is.NoErr(err) // by the reservation that was kept
		l.FinishTurn(grant.Program, grant.ID, 60)
		is.NoErr(l.Stop(within(t, time.Second)))
	})
}

// TestSubmissionsThatNobodyWaitsForEndAtTheGate, and a stop ends with its time.
func TestSubmissionsThatNobodyWaitsForEndAtTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Fail(store.Fault{Busy: true})
		l := outageLedger(log)
		for number := range outagePartitions {
			_, err := l.partitions[number].appender.append(within(t, 100*time.Millisecond), [][]byte{{1}})
			is.True(errors.Is(err, errAbandoned))
		}
		time.Sleep(time.Second)
		for _, p := range l.partitions {
			is.True(p.appender.idle())
		}
		l.of("p").submitNow([]byte{1})
		began := time.Now()
		is.True(errors.Is(l.Stop(within(t, 2*time.Second)), context.DeadlineExceeded))
		is.Equal(time.Since(began), 2*time.Second)
		log.Fail(store.Fault{})
		is.NoErr(l.Stop(within(t, time.Second)))
		is.Equal(len(log.Records(l.of("p").appender.partition)), 1)
	})
}

// TestOnlyTheHomeReservesWhileTheStoreIsAway: what others would reserve for turns that they
// refuse would be written, and their partitions read, by all nodes at the store's return.
func TestOnlyTheHomeReservesWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := outageLedger(log)
		grant, err := take(within(t, time.Second), l, "known", 100, 60, false)
		is.NoErr(err)
		log.Fail(store.Fault{Busy: true})
		l.of("p").submitNow([]byte{1})
		time.Sleep(time.Second)
		_, err = take(within(t, time.Second), l, "known", 100, 60, false)
		is.True(errors.Is(err, ErrStoreUnavailable))
		for i := range 100 {
			_, err := take(within(t, time.Second), l, ledger.ProgramID(fmt.Sprint(i)), 100, 60, false)
			is.True(errors.Is(err, ErrStoreUnavailable))
		}
		_, err = take(within(t, time.Second), l, "own", 100, 60, true)
		is.True(errors.Is(err, ErrStoreUnavailable))
		log.Fail(store.Fault{})
		appends := log.Calls("append")
		time.Sleep(time.Second)
		is.True(log.Calls("append")-appends <= 3) // the probe's record, the home's reservation, its claim
		for i := range 100 {
			begun, err := take(within(t, time.Second), l, ledger.ProgramID(fmt.Sprint(i)), 100, 60, false)
			is.NoErr(err)
			l.FinishTurn(begun.Program, begun.ID, 60)
		}
		l.FinishTurn(grant.Program, grant.ID, 60)
		is.NoErr(l.Stop(within(t, time.Second)))
	})
}

// TestEachRecordIsWrittenOnce whatever the store does meanwhile.
func TestEachRecordIsWrittenOnce(t *testing.T) {
	faults := []store.Fault{{}, {}, {Busy: true}, {Silent: true}, {LoseAnswers: true}, {Delay: 300 * time.Millisecond}}
	rapid.Check(t, func(rt *rapid.T) {
		draws := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1, 60).Draw(rt, "draws")
		synctest.Test(t, func(*testing.T) {
			log := store.New()
			l := newGatedLedger(log, "a")
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

// TestCreditOutlastsAnOutage: a turn that can't be kept ends, and its program comes back when
// its client has given up on it. What is reserved must be there still.
func TestCreditOutlastsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var away atomic.Bool
		home := New(Config{
			Store: store.New(), Topic: "ledger", TextTopic: "texts", Partitions: 1, Producer: "a", RecordBytes: 64, CallBytes: 1 << 20,
			CacheBytes: 1 << 10, Availability: answeringGate{answers: func() bool { return !away.Load() }}, Logger: slog.New(slog.DiscardHandler),
		})
		atHome := func(int) bool { return true }
		begun, err := take(within(t, time.Second), home, "p", 1000, 100, true)
		is.NoErr(err)
		time.Sleep(time.Second) // the reservation stands
		away.Store(true)
		home.FinishTurn(begun.Program, begun.ID, 10)
		for range 6 {
			time.Sleep(time.Second)
			home.SettleIdle(atHome)
		}
		again, err := take(within(t, time.Second), home, "p", 1000, 100, true)
		is.NoErr(err)
		away.Store(false)
		home.FinishTurn(again.Program, again.ID, 10)
		is.NoErr(home.Stop(within(t, time.Second)))
	})
}
