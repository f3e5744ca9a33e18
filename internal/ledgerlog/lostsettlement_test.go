package ledgerlog

import (
	"testing"
	"testing/synctest"
	"time"
)

// A settlement that shared a call whose outcome stayed unknown was not written again: what a turn had left
// over was charged for as long as its program went on, and the program was told that its budget was spent.
func TestSettlementsAreRepeatedWhereTheirOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run, owner, program := ownedRun(t)
		program.budget = program.maxTokens + program.maxTokens/2
		grant, err := beginTurn(within(t, time.Second), owner.Ledger, program.id, program.budget, program.maxTokens, true)
		if err != nil {
			t.Fatal(err)
		}
		owner.FinishTurn(program.id, grant.ID, 0)
		time.Sleep(time.Second) // the reservation is written
		owner.path.fenced.Store(2)
		run.tick(creditIdleTimeout + time.Second)
		if left := owner.path.fenced.Load(); left > 0 {
			t.Fatal("no append failed")
		}
		if _, err := beginTurn(within(t, time.Second), owner.Ledger, program.id, program.budget, program.maxTokens, true); err != nil {
			t.Errorf("a turn of %d of %d that are not used gets %v, with the records%s", program.maxTokens, program.budget, err, run.recordsOf(program.id))
		}
		run.end()
	})
}
