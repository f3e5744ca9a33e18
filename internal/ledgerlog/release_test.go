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

// liveMembers reports all incarnations as alive.
type liveMembers struct{}

func (liveMembers) IsAlive(ledger.IncarnationID) bool     { return true }
func (liveMembers) MayBeAlive(ledger.IncarnationID) bool  { return true }
func (liveMembers) IsReachable(ledger.IncarnationID) bool { return true }

// turnAtOtherNode begins a turn at a node that is not the coordinator, where both are alive.
func turnAtOtherNode(t *testing.T) (coordinator, helper *Ledger, begun Grant) {
	log := store.New()
	coordinator, helper = newLedger(log, "a"), newLedger(log, "b")
	coordinator.SetMembers(liveMembers{})
	helper.SetMembers(liveMembers{})
	helper.SettleIdle(func(int) bool { return false })
	begun, err := beginTurn(within(t, time.Second), helper, "p", 100, 60, false)
	is.New(t).NoErr(err)
	return coordinator, helper, begun
}

// TestOtherNodeReturnsReservationAtOnce checks that a reservation of a node that is not the
// coordinator blocks other turns only while its own turn runs.
func TestOtherNodeReturnsReservationAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		coordinator, helper, begun := turnAtOtherNode(t)
		helper.FinishTurn(begun.Program, begun.ID, 10)
		_, err := beginTurn(within(t, time.Second), coordinator, "p", 100, 60, true)
		is.NoErr(err)
		time.Sleep(2 * time.Second) // background writes end
	})
}

// TestTurnWaitsForReturnedReservation checks that a turn waits for a short time for a live node
// to return its reservation, and is then refused.
func TestTurnWaitsForReturnedReservation(t *testing.T) {
	for _, after := range []time.Duration{reserveRetryInterval / 2, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			coordinator, helper, begun := turnAtOtherNode(t)
			go func() {
				time.Sleep(after)
				helper.FinishTurn(begun.Program, begun.ID, 0)
			}()
			requested := time.Now()
			_, err := beginTurn(within(t, time.Second), coordinator, "p", 100, 60, true)
			is.Equal(errors.Is(err, ErrBudgetReserved), after == time.Second)
			is.True(time.Since(requested) < maxReserveAttempts*reserveRetryInterval)
			time.Sleep(2 * time.Second)
		})
	}
}
