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

// aheadOfTheLog is an exclusive owner that has granted a turn before its reservation is in the log.
type aheadOfTheLog struct {
	t       *rapid.T
	budget  uint32
	log     *Partition
	owner   *Credit
	attempt AttemptID
}

const turnTokens = 288

func newAheadOfTheLog(t *rapid.T) *aheadOfTheLog {
	m := &aheadOfTheLog{t: t, budget: rapid.SampledFrom([]uint32{turnTokens, 500, 600, 900, 5000}).Draw(t, "budget"), log: NewPartition(), attempt: 3}
	m.apply(OwnershipClaim{Incarnation: "x"})
	m.apply(OwnerLimit{Incarnation: "x", Exclusive: true})
	m.owner = NewCredit("p", "x", m.budget, turnTokens, 0)
	return m
}

func (m *aheadOfTheLog) apply(record Record) Verdict {
	verdict, _ := m.log.Apply(Encode(record), 0)
	return verdict
}

func (m *aheadOfTheLog) applyAll(records []Record) {
	for _, record := range records {
		m.apply(record)
	}
}

// otherTurn lets another node run a turn, if the log grants it, and returns what it used.
func (m *aheadOfTheLog) otherTurn() (used uint32) {
	other := NewCredit("p", "y", m.budget, turnTokens, 0)
	if !m.log.Knows("p") {
		for _, assumed := range m.log.AssumedReservations("p", "y", m.budget, turnTokens, true) {
			m.apply(assumed)
		}
	}
	other.ApplyVerdict(m.apply(other.NextReservation(2, turnTokens, true, false)), noneAlive)
	if other.Fits(turnTokens, false) {
		used = uint32(rapid.IntRange(0, turnTokens).Draw(m.t, "used by the other"))
		other.Open(2, turnTokens, 0)
		other.Finish(2, used, 0)
	}
	m.applyAll(other.Settle())
	return used
}

// reserve writes a reservation of the owner, whose outcome may be unknown.
func (m *aheadOfTheLog) reserve() {
	m.applyAll(m.owner.Corrections())
	for range 2 {
		record := m.owner.NextReservation(m.attempt, 0, true, false)
		m.attempt++
		if rapid.IntRange(0, 3).Draw(m.t, "lost") == 0 {
			if rapid.Bool().Draw(m.t, "written") {
				m.apply(record)
			}
			m.owner.Fail(record.Attempt)
			return
		}
		m.owner.ApplyVerdict(m.apply(record), noneAlive)
		if !m.owner.MisledByAssumption() {
			return
		}
		m.applyAll(m.owner.Corrections())
	}
}

// settle settles the owner's credit as its manager does, with a verdict if tokens were used.
func (m *aheadOfTheLog) settle() {
	for range 20 {
		if !m.owner.Unrecorded() {
			m.applyAll(m.owner.Settle())
			return
		}
		m.reserve()
	}
	m.t.Skip("no reservation was answered")
}

// charged returns what is charged without assumed reservations that may still be settled.
func (m *aheadOfTheLog) charged(usedByOwner uint32) uint64 {
	charged := m.log.Charged("p")
	for _, one := range m.log.OpenReservations("p", 0) {
		if !one.Void && one.Tokens > 0 && (!one.Assumed || usedByOwner > 0) {
			m.t.Fatalf("%+v is left open", one)
		}
		charged -= uint64(one.Tokens)
	}
	return charged
}

// A turn that was granted ahead of the log must be charged exactly once, whatever becomes of the
// reservations for it and whoever else reserves meanwhile.
func TestTurnAheadOfTheLogIsChargedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAheadOfTheLog(t)
		first := m.owner.NextReservation(1, turnTokens, true, rapid.Bool().Draw(t, "ample"))
		m.owner.Open(1, turnTokens, 0)
		written := rapid.SampledFrom([]string{"before", "after", "never"}).Draw(t, "first written")
		if written == "before" {
			m.apply(first)
		}
		usedByOther := uint32(0)
		if rapid.Bool().Draw(t, "another node") {
			usedByOther = m.otherTurn()
		}
		if written == "after" {
			m.apply(first)
		}
		m.owner.Fail(1)
		used := uint32(rapid.IntRange(0, turnTokens).Draw(t, "used"))
		early := rapid.Bool().Draw(t, "ends before the next reservation")
		if early {
			m.owner.Finish(1, used, 0)
		}
		for range rapid.IntRange(0, 3).Draw(t, "reservations") {
			m.reserve()
		}
		if !early {
			m.owner.Finish(1, used, 0)
		}
		m.settle()
		if charged := m.charged(used); charged != uint64(used+usedByOther) {
			t.Fatalf("%d of %d tokens charged", charged, used+usedByOther)
		}
	})
}
