package ledgerlog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
)

// keptTurn takes a turn that hands out used tokens, and keeps it.
func keptTurn(t *testing.T, l *Ledger, program ledger.ProgramID, number int, budget, most, used uint32) error {
	grant, err := take(within(t, time.Second), l, program, budget, most, true)
	if err != nil {
		return err
	}
	time.Sleep(400 * time.Millisecond) // the turn runs
	l.FinishTurn(grant.Program, grant.ID, used)
	return l.PersistTurn(within(t, time.Second), ledger.IndexEntry{Program: program, Turn: ledger.TurnID(fmt.Sprint("t", number)), Retention: time.Minute})
}

// TestRebaseCostsNoCall: each kept turn is one call, which settles and reserves too. One more
// reserves in advance during a turn, before the first rebase.
func TestRebaseCostsNoCall(t *testing.T) {
	for _, budget := range []uint32{1700, 10_000} {
		countRebasedCalls(t, budget)
	}
}

func countRebasedCalls(t *testing.T, budget uint32) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		own(t, l)
		program := samePartition(l, 1)[0]
		is.NoErr(keptTurn(t, l, program, 0, budget, 100, 70))
		appends, reads := log.Calls("append"), log.Calls("read")
		const turns = 20
		for number := range turns {
			is.NoErr(keptTurn(t, l, program, number+1, budget, 100, 70))
		}
		is.True(log.Calls("append")-appends <= turns+1)
		is.Equal(log.Calls("read"), reads)
	})
}

// TestProgramOfFewTurnsGoesOnAfterItsHomeDies: the home dies after a turn that was kept, and
// the program's next turns run elsewhere, up to the budget and the most of one turn.
func TestProgramOfFewTurnsGoesOnAfterItsHomeDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, most, used = 576, 288, 36
		log := store.New()
		first, second := newLedger(log, "a"), newLedger(log, "b")
		own(t, first)
		program := samePartition(first, 1)[0]
		const before = 3
		for number := range before {
			is.NoErr(keptTurn(t, first, program, number, budget, most, used))
		}
		time.Sleep(time.Second)
		is.Equal(first.of(program).follower.state.Charged(program), uint64(before*used+most)) // one turn ahead
		served := before
		for ; ; served++ {
			if err := keptTurn(t, second, program, served, budget, most, used); err != nil {
				break
			}
		}
		is.True(served >= 7) // 36 tokens each, less the 288 that the dead node held
		is.True(served*used <= budget+most)
	})
}
