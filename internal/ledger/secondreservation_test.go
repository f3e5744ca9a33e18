package ledger

import (
	"testing"

	"github.com/matryer/is"
)

// A turn that an owner had granted ahead of the log was charged nowhere: the outcome of its first reservation was unknown, and
// the second one was refused.
func TestGrantedTurnIsChargedIfItsSecondReservationIsRefused(t *testing.T) {
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
	other.Open(1, 288, 0)
	other.Finish(1, 288, 0)
	for _, record := range other.Settle() {
		apply(record)
	}
	for _, record := range owner.Corrections() {
		apply(record)
	}
	owner.ApplyVerdict(apply(owner.NextReservation(3, 0, true, false)), noneAlive)
	owner.Finish(1, 288, 0)
	for _, record := range owner.Settle() {
		apply(record)
	}
	is.Equal(p.Charged("p"), uint64(288+288)) // the turns of both
}
