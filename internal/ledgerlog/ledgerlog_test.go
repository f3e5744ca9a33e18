package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
)

func newLedger(log *store.Store, name string) *Ledger {
	return New(Config{
		Store: log, Topic: "ledger", TextTopic: "texts", Partitions: 3, Producer: name,
		RecordBytes: 64, CallBytes: 1 << 20, CacheBytes: 1 << 10, Logger: slog.New(slog.DiscardHandler),
	})
}

func within(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestBudgetIsSharedByAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		first, second := newLedger(log, "a"), newLedger(log, "b")
		reserved, err := first.Reserve(within(t, time.Second), "p", 100, 60)
		is.NoErr(err)
		_, err = second.Reserve(within(t, time.Second), "p", 100, 60)
		var spent *SpentError
		is.True(errors.As(err, &spent))
		is.Equal(spent.Charged, uint64(60))
		reserved.Settle(30)
		time.Sleep(2 * settlePause)
		_, err = second.Reserve(within(t, time.Second), "p", 100, 60)
		is.NoErr(err)
	})
}

func TestSilentStoreRefusesInTimeAndTheReservationIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		log.Fail(store.Fault{LoseAnswers: true})
		began := time.Now()
		_, err := l.Reserve(within(t, 300*time.Millisecond), "p", 100, 60)
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(time.Since(began), 300*time.Millisecond)
		log.Fail(store.Fault{})
		time.Sleep(5 * time.Second)
		_, err = l.Reserve(within(t, time.Second), "p", 100, 100)
		is.NoErr(err) // the reservation that nobody waited for has been released
	})
}

func TestLostAnswersWriteNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		log.Fail(store.Fault{LoseAnswers: true})
		time.AfterFunc(2*time.Second, func() { log.Fail(store.Fault{}) })
		_, err := l.Reserve(within(t, 10*time.Second), "p", 100, 60)
		is.NoErr(err)
		is.Equal(len(log.Records(l.of("p").follower.partition)), 1)
	})
}

func TestKeptTurnIsFoundByEveryNodeAndUnderEveryProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		first := newLedger(log, "a")
		text := strings.Repeat("x", 150) // three records
		is.NoErr(first.Keep(within(t, time.Second), Turn{Program: "p", ID: "t1", Text: []byte(text), For: time.Minute}, nil, 0))
		chain, err := first.Chain(within(t, time.Second), "p", "t1")
		is.NoErr(err)
		is.NoErr(first.Keep(within(t, time.Second), Turn{Program: "p", ID: "t2", Chain: chain, Text: []byte("y"), For: time.Minute}, nil, 0))

		restarted := newLedger(log, "b")
		for _, program := range []ledger.ProgramID{"p", "other", "third"} {
			chain, err = restarted.Chain(within(t, time.Second), program, "t2")
			is.NoErr(err)
			texts, err := restarted.Texts(within(t, time.Second), chain)
			is.NoErr(err)
			is.Equal(string(texts[0])+string(texts[1]), text+"y")
		}
		_, err = restarted.Chain(within(t, time.Second), "p", "t3")
		is.True(errors.Is(err, ErrNoSuchTurn))
	})
}

func TestAbsenceIsNotClaimedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		for _, fault := range []store.Fault{{Busy: true}, {Silent: true}} {
			log.Fail(fault)
			_, err := l.Chain(within(t, 4*time.Second), "p", "t")
			is.True(errors.Is(err, ErrUnavailable))
			is.True(!errors.Is(err, ErrNoSuchTurn))
		}
	})
}

func TestForgottenHistoryIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		_, err := newLedger(log, "a").Reserve(within(t, time.Second), "p", 100, 60)
		is.NoErr(err)
		l := newLedger(log, "b")
		log.Trim(l.of("p").follower.partition, 1)
		_, err = l.Reserve(within(t, time.Second), "p", 100, 60)
		is.NoErr(err)
	})
}

// TestNodesNeverOverspendTogether lets several nodes, some of which die, reserve
// and settle while the store fails in all its ways.
func TestNodesNeverOverspendTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const budget = 500
		faults := []store.Fault{{}, {}, {Busy: true}, {Silent: true}, {LoseAnswers: true}, {LoseAnswers: true, LateAfter: 2 * time.Second}, {Delay: 300 * time.Millisecond}}
		steps := rapid.SliceOfN(rapid.IntRange(0, 1000), 5, 25).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			log := store.New()
			nodes := []*Ledger{newLedger(log, "n0"), newLedger(log, "n1"), newLedger(log, "n2")}
			handedOut := uint32(0)
			for i, step := range steps {
				log.Fail(faults[step%len(faults)])
				at := step / 7 % len(nodes)
				if step%11 == 0 {
					nodes[at] = newLedger(log, fmt.Sprintf("n%d.%d", at, i)) // died and came back
				}
				most := uint32(20 + step%100)
				reserved, err := nodes[at].Reserve(within(t, time.Second), "p", budget, most)
				if err != nil {
					continue
				}
				used := most - uint32(step%20)
				handedOut += used
				if step%3 != 0 {
					reserved.Settle(used)
				}
				if handedOut > budget {
					rt.Fatalf("%d tokens of %d handed out", handedOut, budget)
				}
			}
			log.Fail(store.Fault{})
			time.Sleep(time.Minute)
		})
	})
}
