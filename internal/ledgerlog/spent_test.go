package ledgerlog

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
)

// TestProgramThatHasSpentItsBudgetCostsNoCalls however often it asks, and goes on at once where
// an open turn hands out less than it might have.
func TestProgramThatHasSpentItsBudgetCostsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		first, err := take(within(t, time.Second), l, "p", 100, 40, true)
		is.NoErr(err)
		second, err := take(within(t, time.Second), l, "p", 100, 40, true)
		is.NoErr(err)
		_, err = take(within(t, time.Second), l, "p", 100, 40, true)
		var spent *BudgetExhaustedError
		is.True(errors.As(err, &spent))
		time.Sleep(time.Second)
		calls := log.Calls("append") + log.Calls("read")
		for range 50 {
			_, err = take(within(t, time.Second), l, "p", 100, 40, true)
			is.True(errors.As(err, &spent))
		}
		time.Sleep(time.Second)
		is.Equal(log.Calls("append")+log.Calls("read"), calls)
		l.FinishTurn(first.Program, first.ID, 10)
		third, err := take(within(t, time.Second), l, "p", 100, 40, true)
		is.NoErr(err)
		l.FinishTurn(second.Program, second.ID, 40)
		l.FinishTurn(third.Program, third.ID, 40)
		_, err = take(within(t, time.Second), l, "p", 100, 40, true)
		is.True(errors.As(err, &spent))
	})
}

// TestBudgetThatOthersMayGiveBackIsAskedForAgain: a refusal for what others have reserved is not
// remembered.
func TestBudgetThatOthersMayGiveBackIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		home, other := newLedger(log, "a"), newLedger(log, "b")
		begun, err := take(within(t, time.Second), other, "p", 100, 60, false)
		is.NoErr(err)
		_, err = take(within(t, time.Second), home, "p", 100, 60, true)
		is.True(errors.Is(err, ErrBudgetReserved))
		other.FinishTurn(begun.Program, begun.ID, 10)
		is.NoErr(other.Stop(within(t, time.Second)))
		_, err = take(within(t, time.Second), home, "p", 100, 60, true)
		is.NoErr(err)
	})
}
