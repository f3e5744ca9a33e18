package ledgerlog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
)

// ownedRun returns a run whose only node is the exclusive owner of the partition of a program that has
// not begun.
func ownedRun(t *testing.T) (run *budgetRun, owner *budgetNode, program *budgetProgram) {
	run = newBudgetRun(t)
	run.reckless = true
	run.start()
	owner = run.live[0]
	other := &budgetProgram{id: "other", budget: 100_000, maxTokens: 10}
	run.turn(other, 1, 0)
	run.tick(5 * time.Second)
	program = &budgetProgram{id: "p", budget: 800, maxTokens: 100}
	for owner.Partition(program.id) != owner.Partition(other.id) {
		program.id += "p"
	}
	if !isExclusive(owner.partitionOf(program.id).creditManager) {
		t.Fatal("not an exclusive owner")
	}
	return run, owner, program
}

// useBudgetWithLoss runs whole turns of a program to its end, and loses all nodes once the program has
// used its budget and one turn.
func (r *budgetRun) useBudgetWithLoss(program *budgetProgram) {
	for !program.ended && program.used < program.budget+program.maxTokens {
		r.useWholeTurn(program)
	}
	r.loseAll()
	for !program.ended && r.failure == "" {
		r.useWholeTurn(program)
	}
}

// recordsOf returns the records of a program's partition, one a line.
func (r *budgetRun) recordsOf(program ledger.ProgramID) string {
	var text strings.Builder
	for _, encoded := range r.log.Records(r.started[0].partitionOf(program).appender.partition) {
		record, _ := ledger.Decode(encoded)
		fmt.Fprintf(&text, "\n%T%+v", record, record)
	}
	return text.String()
}

// A node that coordinated again while its release was being written granted a turn that no record
// covered, and the program got two turns beyond its budget after one more loss.
func TestNoTurnIsGrantedUnloggedBehindARelease(t *testing.T) {
	for name, fault := range map[string]store.Fault{
		"the answer is lost":     {LoseAnswers: true},
		"the release comes late": {LoseAnswers: true, LateAfter: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run, owner, program := ownedRun(t)
				run.log.Fail(fault)
				owner.SettleIdle(func(int) bool { return false })
				time.Sleep(50 * time.Millisecond) // the release has been sent
				run.tick(time.Second)             // the node coordinates again
				run.useWholeTurn(program)
				run.loseAll()
				time.Sleep(5 * time.Second)
				run.log.Fail(store.Fault{})
				run.useBudgetWithLoss(program)
				run.end()
				if run.failure != "" {
					t.Errorf("%s, with the records%s", run.failure, run.recordsOf(program.id))
				}
			})
		})
	}
}

// A turn whose check of the ownership came before a release, and its grant after it, was covered by no
// record before the release.
func TestReleaseFollowsTheReservationsOfAllGrants(t *testing.T) {
	const rounds = 400
	synctest.Test(t, func(t *testing.T) {
		granted := 0
		log := store.New()
		l := newLedger(log, "a")
		for round, program := range samePartition(l, rounds) {
			own(t, l)
			before := len(log.Records(l.partitionOf(program).appender.partition))
			var concurrent sync.WaitGroup
			unlogged := false
			concurrent.Go(func() { l.SettleIdle(func(int) bool { return false }) })
			concurrent.Go(func() {
				grant, err := beginTurn(within(t, time.Second), l, program, 1000, 100, true)
				unlogged = err == nil && grant.Unlogged
				l.FinishTurn(program, grant.ID, 0)
			})
			concurrent.Wait()
			time.Sleep(time.Second)
			if err := l.Stop(within(t, time.Second)); err != nil {
				t.Fatal(err)
			}
			records := log.Records(l.partitionOf(program).appender.partition)[before:]
			if unlogged && !reservedBeforeRelease(records, program) {
				t.Fatalf("round %d: a turn of %s was granted behind a release", round, program)
			}
			if unlogged {
				granted++
			}
		}
		if granted == 0 {
			t.Error("no turn was granted ahead of the log")
		}
	})
}

// reservedBeforeRelease reports whether a program has a reservation before the first release.
func reservedBeforeRelease(records [][]byte, program ledger.ProgramID) bool {
	for _, encoded := range records {
		switch record, _ := ledger.Decode(encoded); record := record.(type) {
		case ledger.Reservation:
			if record.Program == program {
				return true
			}
		case ledger.OwnershipRelease:
			return false
		}
	}
	return false
}

// An owner released while a turn was open that it had granted ahead of the log and the log had not
// covered, so that what others had assumed for that turn was taken back.
func TestOwnerReleasesOnceItsUnloggedTurnsAreCovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run, owner, program := ownedRun(t)
		owner.path.silent.Store(true)
		run.beginWholeTurn(program)
		run.start()
		for program.used < program.budget {
			run.useWholeTurn(program)
		}
		run.beginWholeTurn(program)
		run.kill(run.live[:1])
		run.live = run.live[1:]
		run.start()
		owner.path.silent.Store(false)
		run.tick(3 * time.Second) // the owner's reservation is refused, and it is to release
		for !program.ended && run.failure == "" {
			run.useWholeTurn(program)
		}
		run.end()
		if run.failure != "" {
			t.Errorf("%s, with the records%s", run.failure, run.recordsOf(program.id))
		}
	})
}

// beginWholeTurn begins a turn at the coordinator that uses all of its tokens and does not end.
func (r *budgetRun) beginWholeTurn(program *budgetProgram) {
	_, err := beginTurn(within(r.t, time.Second), r.live[0].Ledger, program.id, program.budget, program.maxTokens, true)
	if err != nil {
		r.t.Fatal(err)
	}
	program.used += program.maxTokens
}

// A turn that was granted ahead of the log, and whose reservation failed with an unknown outcome, was
// charged to nobody once its program's credit had been idle.
func TestUnloggedTurnIsChargedThoughItsReservationFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run, owner, program := ownedRun(t)
		owner.path.fenced.Store(2)
		run.useWholeTurn(program)
		run.tick(creditIdleTimeout + 2*time.Second)
		run.useBudgetWithLoss(program)
		run.end()
		if run.failure != "" {
			t.Errorf("%s, with the records%s", run.failure, run.recordsOf(program.id))
		}
	})
}

// What a node assumed for the unlogged turns of a dead owner was lost with its own first reservation, and
// not written again.
func TestUnloggedTurnsAreAssumedAgainAfterAFailedReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run, owner, program := ownedRun(t)
		owner.path.silent.Store(true)
		run.beginWholeTurn(program)
		run.loseAll()
		run.live[0].path.fenced.Store(2)
		run.useBudgetWithLoss(program)
		run.end()
		if run.failure != "" {
			t.Errorf("%s, with the records%s", run.failure, run.recordsOf(program.id))
		}
	})
}
