package ledgerlog

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
)

// liveMembers are those of nodes that all live.
type liveMembers struct{}

func (liveMembers) IsAlive(ledger.IncarnationID) bool    { return true }
func (liveMembers) MayBeAlive(ledger.IncarnationID) bool { return true }

// turnAtAHelper begins a turn at a node that is no home, where both live.
func turnAtAHelper(t *testing.T) (home, helper *Ledger, begun Grant) {
	log := store.New()
	home, helper = newLedger(log, "a"), newLedger(log, "b")
	home.SetMembers(liveMembers{})
	helper.SetMembers(liveMembers{})
	helper.SettleIdle(func(int) bool { return false })
	begun, err := take(within(t, time.Second), helper, "p", 100, 60, false)
	is.New(t).NoErr(err)
	return home, helper, begun
}

// TestReservationOfANodeThatIsNoHomeIsGivenBackAtOnce: a turn that was begun beside the home,
// or where the home was before, keeps the next one out for no longer than it runs.
func TestReservationOfANodeThatIsNoHomeIsGivenBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		home, helper, begun := turnAtAHelper(t)
		helper.FinishTurn(begun.Program, begun.ID, 10)
		_, err := take(within(t, time.Second), home, "p", 100, 60, true)
		is.NoErr(err)
		time.Sleep(2 * time.Second) // what is written in the background ends
	})
}

// TestTurnWaitsForWhatALivingNodeGivesBack, for a short time, and is refused after it.
func TestTurnWaitsForWhatALivingNodeGivesBack(t *testing.T) {
	for _, after := range []time.Duration{releasePause / 2, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			home, helper, begun := turnAtAHelper(t)
			go func() {
				time.Sleep(after)
				helper.FinishTurn(begun.Program, begun.ID, 0)
			}()
			asked := time.Now()
			_, err := take(within(t, time.Second), home, "p", 100, 60, true)
			is.Equal(errors.Is(err, ErrBudgetReserved), after == time.Second)
			is.True(time.Since(asked) < reserveTries*releasePause)
			time.Sleep(2 * time.Second)
		})
	}
}
