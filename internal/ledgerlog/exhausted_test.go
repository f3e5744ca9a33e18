package ledgerlog

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
)

// TestExhaustedBudgetCostsNoCalls checks that repeated attempts make no calls, and that a turn
// begins at once after an open turn used less than its grant.
func TestExhaustedBudgetCostsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		first, err := beginTurn(within(t, time.Second), l, "p", 100, 40, true)
		is.NoErr(err)
		second, err := beginTurn(within(t, time.Second), l, "p", 100, 40, true)
		is.NoErr(err)
		_, err = beginTurn(within(t, time.Second), l, "p", 100, 40, true)
		var spent *BudgetExhaustedError
		is.True(errors.As(err, &spent))
		time.Sleep(time.Second)
		calls := log.Calls("append") + log.Calls("read")
		for range 50 {
			_, err = beginTurn(within(t, time.Second), l, "p", 100, 40, true)
			is.True(errors.As(err, &spent))
		}
		time.Sleep(time.Second)
		is.Equal(log.Calls("append")+log.Calls("read"), calls)
		l.FinishTurn(first.Program, first.ID, 10)
		third, err := beginTurn(within(t, time.Second), l, "p", 100, 40, true)
		is.NoErr(err)
		l.FinishTurn(second.Program, second.ID, 40)
		l.FinishTurn(third.Program, third.ID, 40)
		_, err = beginTurn(within(t, time.Second), l, "p", 100, 40, true)
		is.True(errors.As(err, &spent))
	})
}

// TestReturnableBudgetIsRequestedAgain checks that a refusal because of other nodes'
// reservations is not cached.
func TestReturnableBudgetIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		coordinator, other := newLedger(log, "a"), newLedger(log, "b")
		begun, err := beginTurn(within(t, time.Second), other, "p", 100, 60, false)
		is.NoErr(err)
		_, err = beginTurn(within(t, time.Second), coordinator, "p", 100, 60, true)
		is.True(errors.Is(err, ErrBudgetReserved))
		other.FinishTurn(begun.Program, begun.ID, 10)
		is.NoErr(other.Stop(within(t, time.Second)))
		_, err = beginTurn(within(t, time.Second), coordinator, "p", 100, 60, true)
		is.NoErr(err)
	})
}

// TestIdleRefusedProgramCausesNoCalls guards against nodes that reserve tokens for programs that
// they have refused and that do not come back.
func TestIdleRefusedProgramCausesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		l.SetMembers(liveMembers{})
		own(t, l)
		tick := func() {
			for range 12 {
				l.SettleIdle(func(int) bool { return true })
				time.Sleep(settleInterval)
			}
		}
		program := samePartition(l, 1)[0]
		first, err := beginTurn(within(t, time.Second), l, program, 130, 60, true)
		is.NoErr(err)
		l.FinishTurn(program, first.ID, 0)
		tick() // all credits are settled
		other := newLedger(log, "b")
		other.CatchUp(t.Context(), l.Partition(program))
		for range 2 {
			_, err = beginTurn(within(t, time.Second), other, program, 130, 60, false)
			is.NoErr(err)
		}
		_, err = beginTurn(within(t, time.Second), l, program, 130, 60, true)
		is.True(errors.Is(err, ErrBudgetReserved))
		time.Sleep(time.Second)
		appends := log.Calls("append")
		tick()
		is.Equal(log.Calls("append"), appends)
	})
}
