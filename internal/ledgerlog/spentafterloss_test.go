package ledgerlog

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/internal/emulator/store"
)

// claimTogether lets two new nodes claim the partition of program at once, so that the later one displaces
// the other without a release. The first live node coordinates from then on.
func (r *budgetRun) claimTogether(program *budgetProgram) {
	r.start()
	r.start()
	r.log.Fail(store.Fault{Delay: 20 * time.Millisecond})
	var wait sync.WaitGroup
	for _, one := range r.live[:2] {
		wait.Go(func() {
			_, _ = beginTurn(within(r.t, 10*time.Millisecond), one.Ledger, program.id, program.budget, program.maxTokens, true)
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	r.log.Fail(store.Fault{})
	r.tick(3 * time.Second)
}

// A program that had spent its budget, beside a turn of its own, was told after a loss of all nodes that the
// rest was reserved elsewhere, for as long as the turn ran, since an owner that had granted nothing was alive.
func TestSpentBudgetIsNotReservedByAFormerOwnerThatGrantedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run, _, program := ownedRun(t)
		run.kill(run.live)
		run.live = nil
		other := &budgetProgram{id: program.id + "other", budget: 100_000, maxTokens: 10}
		for run.started[0].Partition(other.id) != run.started[0].Partition(program.id) {
			other.id += "r"
		}
		run.claimTogether(other)
		for program.used+2*program.maxTokens <= program.budget {
			run.useWholeTurn(program)
		}
		run.beginWholeTurn(program) // goes on
		l := run.live[0].Ledger
		_, err := beginTurn(within(t, time.Second), l, program.id, program.budget, program.maxTokens, true)
		var spent *BudgetExhaustedError
		if !errors.As(err, &spent) {
			t.Errorf("got %v, want that the budget is spent, with the records%s", err, run.recordsOf(program.id))
		}
		calls := run.log.Calls("append")
		for range 20 {
			_, err = beginTurn(within(t, time.Second), l, program.id, program.budget, program.maxTokens, true)
		}
		if added := run.log.Calls("append") - calls; added > 0 || !errors.As(err, &spent) {
			t.Errorf("20 more attempts made %d appends and ended with %v", added, err)
		}
		run.end()
	})
}

// An exclusive owner that had granted a program nothing refused its turns for as long as it lived: another node
// had begun the program, assumed a turn of the owner, and died.
func TestOwnerRefutesWhatWasAssumedOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run, owner, program := ownedRun(t)
		program.budget, program.maxTokens = 500, 288
		run.start()
		other := run.live[0]
		other.CatchUp(t.Context(), other.Partition(program.id))
		run.beginWholeTurn(program)
		run.kill(run.live[:1])
		run.live = run.live[1:]
		run.tick(3 * time.Second)
		owner.CatchUp(t.Context(), owner.Partition(program.id))
		_, err := beginTurn(within(t, time.Second), owner.Ledger, program.id, program.budget, program.maxTokens, true)
		if err != nil {
			t.Errorf("%d of %d and one turn of %d may be used, but: %v, with the records%s", program.used, program.budget, program.maxTokens, err, run.recordsOf(program.id))
		}
		run.end()
	})
}

// An owner that was displaced while it was cut off, and had granted a program nothing, never said so: what was
// assumed of it blocked a program that had lost a turn, for as long as the displaced owner lived.
func TestDisplacedOwnerSettlesWhatWasAssumedOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run, owner, program := ownedRun(t)
		program.budget, program.maxTokens = 500, 288
		run.start()
		run.live[0].CatchUp(t.Context(), owner.Partition(program.id))
		run.beginWholeTurn(program)
		run.kill(run.live[:1])
		run.live = run.live[1:]
		owner.path.silent.Store(true)
		run.start()
		other := &budgetProgram{id: program.id + "other", budget: 100_000, maxTokens: 10}
		for owner.Partition(other.id) != owner.Partition(program.id) {
			other.id += "r"
		}
		for range 4 { // the partition is claimed once the owner has not released it in time
			run.turn(other, 1, 0)
			run.tick(2 * time.Second)
		}
		run.heal()
		_, err := beginTurn(within(t, time.Second), run.live[0].Ledger, program.id, program.budget, program.maxTokens, true)
		if err != nil {
			t.Errorf("%d of %d and one turn of %d may be used, but: %v, with the records%s", program.used, program.budget, program.maxTokens, err, run.recordsOf(program.id))
		}
		run.end()
	})
}
