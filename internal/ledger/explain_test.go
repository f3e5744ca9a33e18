package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A refused turn's log line did not tell what turns that run may use from what nobody returns, nor for how
// long it had been reserved.
func TestRefusalExplainsWhatBlocksIt(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	apply := func(record Record, now time.Duration) Verdict {
		verdict, _ := p.Apply(Encode(record), now)
		return verdict
	}
	apply(OwnershipClaim{Incarnation: "b"}, 0)
	apply(OwnershipClaim{Incarnation: "c"}, 0)
	for _, assumed := range p.AssumedReservations("p", "a", 300, 100, false)[:1] {
		apply(assumed, time.Second)
	}
	apply(Reservation{Program: "p", Attempt: 1, Budget: 300, MaxTurnTokens: 100, MinTokens: 100, WantedTokens: 100, Exclusive: true, Incarnation: "dead"}, 2*time.Second)
	c := NewCredit("p", "a", 300, 100, 0)
	reserve := func(attempt AttemptID) {
		c.ApplyVerdict(apply(c.NextReservation(attempt, 100, true, false), 3*time.Second), noneAlive)
	}
	reserve(2)
	c.Open(1, 100, 0)
	c.Finish(1, 30, 0)
	reserve(3)
	c.Open(2, 100, 0)
	reserve(4)
	is.Equal(c.Explain(noneAlive), `330 of 300 tokens are charged, 30 reserved here for 0.0 s, 100 reserved here for 0.0 s, 100 assumed for unlogged grants of "b" or earlier owners for 2.0 s, `+
		`100 reserved by dead (gone) for 1.0 s; of what is reserved here, 1 turns may use 100 and 30 are used`)
}
