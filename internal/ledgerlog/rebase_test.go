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

// runAndPersistTurn runs a turn that uses tokens, and persists it.
func runAndPersistTurn(t *testing.T, l *Ledger, program ledger.ProgramID, number int, budget, maxTokens, used uint32) error {
	grant, err := beginTurn(within(t, time.Second), l, program, budget, maxTokens, true)
	if err != nil {
		return err
	}
	time.Sleep(400 * time.Millisecond) // the turn runs
	l.FinishTurn(grant.Program, grant.ID, used)
	return l.PersistTurn(within(t, time.Second), ledger.IndexEntry{Program: program, Turn: ledger.TurnID(fmt.Sprint("t", number)), Retention: time.Minute})
}

// TestRebaseCostsNoCall checks that settling and reserving share the call that persists a turn.
// One more call reserves in advance during a turn before the first rebase.
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
		is.NoErr(runAndPersistTurn(t, l, program, 0, budget, 100, 70))
		appends, reads := log.Calls("append"), log.Calls("read")
		const turns = 20
		for number := range turns {
			is.NoErr(runAndPersistTurn(t, l, program, number+1, budget, 100, 70))
		}
		is.True(log.Calls("append")-appends <= turns+1)
		is.Equal(log.Calls("read"), reads)
	})
}

// noMembers reports all incarnations as dead.
type noMembers struct{}

func (noMembers) IsAlive(ledger.IncarnationID) bool     { return false }
func (noMembers) MayBeAlive(ledger.IncarnationID) bool  { return false }
func (noMembers) IsReachable(ledger.IncarnationID) bool { return false }

// TestProgramOfFewTurnsSurvivesItsCoordinator checks that the next turns run on another node,
// up to the budget and one turn.
func TestProgramOfFewTurnsSurvivesItsCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, maxTokens, used = 576, 288, 36
		log := store.New()
		first, second := newLedger(log, "a"), newLedger(log, "b")
		second.SetMembers(noMembers{})
		own(t, first)
		program := samePartition(first, 1)[0]
		const before = 3
		for number := range before {
			is.NoErr(runAndPersistTurn(t, first, program, number, budget, maxTokens, used))
		}
		time.Sleep(time.Second)
		is.Equal(first.partitionOf(program).reader.state.Charged(program), uint64(before*used+maxTokens)) // one turn is reserved in advance
		served := before
		for ; ; served++ {
			if err := runAndPersistTurn(t, second, program, served, budget, maxTokens, used); err != nil {
				break
			}
		}
		is.True(served >= 7) // 36 tokens each, less the 288 that the dead node had reserved
		is.True(served*used <= budget+maxTokens)
	})
}
