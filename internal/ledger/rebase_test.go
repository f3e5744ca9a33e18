package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// decided returns a credit whose first reservation was granted.
func decided(budget, maxTokens, granted uint32) *Credit {
	c := NewCredit("p", "a", budget, maxTokens, 0)
	c.ApplyVerdict(Verdict{Attempt: 1, Granted: granted}, noneAlive)
	return c
}

func TestRebaseReservesOnlyTheNextTurn(t *testing.T) {
	is := is.New(t)
	c := decided(600, 100, 400)
	c.Open(1, 100, 0)
	_, _, changed := c.Rebase(2)
	is.True(!changed) // what the open turn may use must stay reserved
	c.Finish(1, 30, 0)
	settled, next, changed := c.Rebase(2)
	is.True(changed)
	is.Equal(settled, []Record{Settlement{Program: "p", Attempt: 1, Used: 30}})
	is.Equal(*next, Reservation{Program: "p", Attempt: 2, Budget: 600, MaxTurnTokens: 100, MinTokens: 100, WantedTokens: 100, Incarnation: "a"})
	is.True(!c.Fits(1, true)) // not before the verdict
	is.True(!c.Fresh())
	c.ApplyVerdict(Verdict{Attempt: 2, Granted: 100}, noneAlive)
	is.True(c.Fits(100, true))
	_, _, changed = c.Rebase(3)
	is.True(!changed) // the reservation is already right
	is.True(!c.Low()) // the next rebase reserves
}

// TestRebaseReturnsReservationsOfConcurrentTurns guards against losing the tokens of several
// turns with the node. A program may exceed its budget by one turn only.
func TestRebaseReturnsReservationsOfConcurrentTurns(t *testing.T) {
	is := is.New(t)
	c := decided(4000, 100, 1400)
	c.Open(1, 100, 0)
	c.Finish(1, 30, 0)
	_, next, changed := c.Rebase(2)
	is.True(changed)
	is.Equal(next.WantedTokens, uint32(100))
}

// TestNoTokensAreReservedAheadOfLoss covers a program that has lost tokens with another node.
func TestNoTokensAreReservedAheadOfLoss(t *testing.T) {
	is := is.New(t)
	c := NewCredit("p", "a", 1000, 100, 0)
	c.ApplyVerdict(Verdict{Attempt: 1, Granted: 100, OpenReservations: []OpenReservation{{Incarnation: "dead", Tokens: 100}}}, noneAlive)
	c.CountLost(noneAlive)
	c.Open(1, 100, 0)
	is.True(!c.Low())
	c.Finish(1, 30, 0)
	settled, next, changed := c.Rebase(2)
	is.True(changed)
	is.Equal(settled, []Record{Settlement{Program: "p", Attempt: 1, Used: 30}})
	is.True(next == nil)
	is.Equal(c.NextReservation(3, 100, true, true).WantedTokens, uint32(100))

	c = NewCredit("p", "a", 1000, 100, 0)
	c.Recall([]OpenReservation{{Incarnation: "dead", Tokens: 100}})
	c.CountLost(noneAlive)
	is.Equal(c.NextReservation(1, 100, true, true).WantedTokens, uint32(100))
}

// TestRebaseReservesOneOfTwoTurns guards against losing both turns of a program with the node.
func TestRebaseReservesOneOfTwoTurns(t *testing.T) {
	is := is.New(t)
	c := decided(576, 288, 576)
	c.Open(1, 288, 0)
	c.Finish(1, 36, 0)
	_, next, changed := c.Rebase(2)
	is.True(changed)
	is.Equal(next.WantedTokens, uint32(288))
	c = decided(300, 100, 100)
	c.Open(1, 100, 0)
	c.Finish(1, 100, 0)
	c.settled = 150
	_, _, changed = c.Rebase(2)
	is.True(!changed) // less than a turn is left
}

// incarnation has a credit, and records that are not in the log yet.
type incarnation struct {
	credit  *Credit
	waiting []Record
	// asking is set while a reservation is waiting.
	asking bool
	grants GrantID
}

// crashRun is a program's log and the incarnations that use its budget.
type crashRun struct {
	t            *rapid.T
	partition    *Partition
	incarnations []*incarnation
	attempts     AttemptID
	usedTokens   uint64
	// early injects a fault: a rebased credit makes grants before the verdict.
	early bool
	// spent counts how often a credit reported the budget as exhausted.
	spent int
}

const (
	crashBudget    = 1000
	crashMaxTokens = 150
)

func (k *crashRun) restart(place int) {
	k.attempts++
	name := IncarnationID(rune('A' + k.attempts))
	k.incarnations[place] = &incarnation{credit: NewCredit("p", name, crashBudget, crashMaxTokens, 0)}
}

// ask submits a reservation.
func (k *crashRun) ask(one *incarnation, ample bool) {
	if one.asking {
		return
	}
	k.attempts++
	one.asking = true
	one.waiting = append(one.waiting, one.credit.NextReservation(k.attempts, crashMaxTokens, false, ample))
}

// rebase submits a credit's settlements and new reservation.
func (k *crashRun) rebase(one *incarnation) {
	k.attempts++
	if one.asking {
		return
	}
	settled, next, changed := one.credit.Rebase(k.attempts)
	if !changed {
		return
	}
	one.waiting = append(one.waiting, settled...)
	if next == nil {
		return
	}
	one.asking = true
	one.waiting = append(one.waiting, *next)
	if k.early {
		one.credit.reservations = append(one.credit.reservations, reservation{attempt: k.attempts, granted: uint64(next.WantedTokens)})
	}
}

// write applies some of the waiting records in order and passes on the verdicts.
func (k *crashRun) write(one *incarnation, count int) {
	for range min(count, len(one.waiting)) {
		verdict, reserved := k.partition.Apply(Encode(one.waiting[0]), 0)
		one.waiting = one.waiting[1:]
		if reserved {
			one.asking = false
			one.credit.ApplyVerdict(verdict, noneAlive)
		}
	}
}

// checkSpent fails if a credit reports the budget as exhausted and the log does not.
func (k *crashRun) checkSpent(one *incarnation) {
	if one.asking || len(one.waiting) > 0 || !one.credit.Exhausted(crashMaxTokens) {
		return
	}
	k.attempts++
	k.spent++
	verdict, _ := k.partition.Apply(Encode(one.credit.NextReservation(k.attempts, crashMaxTokens, false, false)), 0)
	if verdict.Granted > 0 {
		k.t.Fatalf("%d tokens granted of a budget that was reported as exhausted", verdict.Granted)
	}
}

// turn begins a turn if it fits, which uses its tokens at once.
func (k *crashRun) turn(one *incarnation, used uint32, ends bool) {
	if !one.credit.Fits(crashMaxTokens, false) {
		k.checkSpent(one)
		k.ask(one, used%2 == 0)
		return
	}
	one.grants++
	one.credit.Open(one.grants, crashMaxTokens, 0)
	k.usedTokens += uint64(used)
	if ends {
		one.credit.Finish(one.grants, used, 0)
	}
}

// play draws turns and crashes and returns how many tokens were used.
func (k *crashRun) play() uint64 {
	for place := range k.incarnations {
		k.restart(place)
	}
	for range rapid.IntRange(100, 400).Draw(k.t, "steps") {
		place := rapid.IntRange(0, len(k.incarnations)-1).Draw(k.t, "incarnation")
		one := k.incarnations[place]
		switch draw := rapid.IntRange(0, 59).Draw(k.t, "step"); {
		case draw == 7:
			k.restart(place) // records that are not in the log are lost
		case draw == 9:
			one.credit.Expire(time.Minute, 2*time.Minute)
		case draw%4 == 0:
			k.rebase(one)
		case draw%4 == 1:
			k.write(one, rapid.IntRange(1, 3).Draw(k.t, "records"))
		default:
			k.turn(one, crashMaxTokens-rapid.Uint32Range(0, crashMaxTokens).Draw(k.t, "less"), rapid.IntRange(0, 9).Draw(k.t, "ends") > 0)
		}
	}
	return k.usedTokens
}

// TestCrashesDoNotOverspendRebasedCredits draws crashes at any time, with records that are not
// in the log yet. All incarnations together must never use more than the budget and one turn.
func TestCrashesDoNotOverspendRebasedCredits(t *testing.T) {
	spent := 0
	rapid.Check(t, func(t *rapid.T) {
		incarnations := rapid.IntRange(1, 3).Draw(t, "incarnations")
		run := &crashRun{t: t, partition: NewPartition(), incarnations: make([]*incarnation, incarnations)}
		if got := run.play(); got > crashBudget+crashMaxTokens {
			t.Fatalf("%d tokens used of a budget of %d", got, crashBudget)
		}
		spent += run.spent
	})
	if spent == 0 {
		t.Fatal("no credit reported the budget as exhausted")
	}
}

// TestCrashRunDetectsEarlyGrants checks that the test above detects an injected fault.
func TestCrashRunDetectsEarlyGrants(t *testing.T) {
	maxTokens := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		run := &crashRun{t: t, partition: NewPartition(), incarnations: make([]*incarnation, 3), early: true}
		maxTokens = max(maxTokens, run.play())
	})
	if maxTokens <= crashBudget+crashMaxTokens {
		t.Fatalf("injected fault not detected: %d tokens used of a budget of %d", maxTokens, crashBudget)
	}
}

// TestAdvanceReservationIsAtMostHalfOfRemainingBudget guards against losing most of a small
// budget with a node.
func TestAdvanceReservationIsAtMostHalfOfRemainingBudget(t *testing.T) {
	is := is.New(t)
	for budget, low := range map[uint32]bool{576: false, 863: false, 864: true} {
		c := decided(budget, 288, 288)
		c.Open(1, 288, 0)
		is.Equal(c.Low(), low)
	}
}
