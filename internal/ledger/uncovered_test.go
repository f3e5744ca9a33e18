package ledger

import (
	"testing"

	"github.com/matryer/is"
)

// An owner gave up the reservation of a turn that it had granted ahead of the log, since another node would
// return tokens: the turn was charged nowhere, and the program could use two turns beyond its budget.
func TestReservationOfGrantedTurnIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	apply := func(record Record) Verdict {
		verdict, _ := p.Apply(Encode(record), 0)
		return verdict
	}
	apply(OwnershipClaim{Incarnation: "x"})
	apply(OwnerLimit{Incarnation: "x", Exclusive: true})
	owner := NewCredit("p", "x", 500, 288, 0)
	first := owner.NextReservation(1, 288, true, false)
	owner.Open(1, 288, 0)
	apply(first)
	owner.Fail(1) // the response is lost
	other := NewCredit("p", "y", 500, 288, 0)
	other.ApplyVerdict(apply(other.NextReservation(2, 288, true, false)), noneAlive)
	for _, record := range owner.Corrections() {
		apply(record)
	}
	verdict := apply(owner.NextReservation(3, 0, true, false))
	if alive := func(IncarnationID) bool { return true }; owner.Yields(verdict, alive) {
		owner.GiveUp(verdict)
	} else {
		owner.ApplyVerdict(verdict, alive)
	}
	owner.Finish(1, 288, 0)
	for _, record := range owner.Settle() {
		apply(record)
	}
	is.Equal(p.Charged("p"), uint64(288+288)) // the turns of both
}

// A program was told for as long as a former owner lived that tokens are reserved for its unlogged grants,
// although it had released, since another claim came before the release.
func TestReleaseOfADisplacedOwnerShowsThatItLeftNoGrants(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	apply := func(record Record) Verdict {
		verdict, _ := p.Apply(Encode(record), 0)
		return verdict
	}
	apply(OwnershipClaim{Incarnation: "x"})
	apply(OwnerLimit{Incarnation: "x", Exclusive: true})
	for _, assumed := range p.AssumedReservations("p", "y", 500, 288, true) {
		apply(assumed)
	}
	apply(OwnershipClaim{Incarnation: "y"})
	is.True(!p.OpenReservations("p", 0)[0].Void)
	apply(OwnershipRelease{Incarnation: "x"})
	is.True(p.OpenReservations("p", 0)[0].Void)
	is.Equal(p.Owner(), IncarnationID("y"))
}
