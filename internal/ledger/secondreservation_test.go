package ledger

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
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

// A turn that was granted ahead of the log must be charged exactly once, whatever becomes of the
// reservations for it and whoever else reserves meanwhile.
func TestTurnAheadOfTheLogIsChargedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 288
		budget := rapid.SampledFrom([]uint32{most, 500, 600, 900, 5000}).Draw(t, "budget")
		p := NewPartition()
		apply := func(record Record) Verdict {
			verdict, _ := p.Apply(Encode(record), 0)
			return verdict
		}
		applyAll := func(records []Record) {
			for _, record := range records {
				apply(record)
			}
		}
		apply(OwnershipClaim{Incarnation: "x"})
		apply(OwnerLimit{Incarnation: "x", Exclusive: true})
		owner := NewCredit("p", "x", budget, most, 0)
		first := owner.NextReservation(1, most, true, rapid.Bool().Draw(t, "ample"))
		owner.Open(1, most, 0)
		written := rapid.SampledFrom([]string{"before", "after", "never"}).Draw(t, "first written")
		if written == "before" {
			apply(first)
		}
		usedByOther := uint32(0)
		if rapid.Bool().Draw(t, "another node") {
			other := NewCredit("p", "y", budget, most, 0)
			if !p.Knows("p") {
				for _, assumed := range p.AssumedReservations("p", "y", budget, most, true) {
					apply(assumed)
				}
			}
			other.ApplyVerdict(apply(other.NextReservation(2, most, true, false)), noneAlive)
			if other.Fits(most, false) {
				usedByOther = uint32(rapid.IntRange(0, most).Draw(t, "used by the other"))
				other.Open(2, most, 0)
				other.Finish(2, usedByOther, 0)
			}
			applyAll(other.Settle())
		}
		if written == "after" {
			apply(first)
		}
		owner.Fail(1)
		used := uint32(rapid.IntRange(0, most).Draw(t, "used"))
		early := rapid.Bool().Draw(t, "ends before the next reservation")
		if early {
			owner.Finish(1, used, 0)
		}
		attempt := AttemptID(3)
		reserve := func() {
			applyAll(owner.Corrections())
			for range 2 {
				record := owner.NextReservation(attempt, 0, true, false)
				attempt++
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					if rapid.Bool().Draw(t, "written") {
						apply(record)
					}
					owner.Fail(record.Attempt)
					return
				}
				owner.ApplyVerdict(apply(record), noneAlive)
				if !owner.MisledByAssumption() {
					return
				}
				applyAll(owner.Corrections())
			}
		}
		for range rapid.IntRange(0, 3).Draw(t, "reservations") {
			reserve()
		}
		if !early {
			owner.Finish(1, used, 0)
		}
		for range 20 { // as the manager of credits does before it settles
			if !owner.Unrecorded() {
				break
			}
			reserve()
		}
		if owner.Unrecorded() {
			t.Skip("no reservation was answered")
		}
		applyAll(owner.Settle())
		open := uint64(0)
		for _, one := range p.OpenReservations("p", 0) {
			if !one.Void && one.Tokens > 0 && (!one.Assumed || used > 0) {
				t.Fatalf("%+v is left open", one)
			}
			open += uint64(one.Tokens)
		}
		if charged := p.Charged("p") - open; charged != uint64(used+usedByOther) {
			t.Fatalf("%d of %d tokens charged", charged, used+usedByOther)
		}
	})
}
