package ledger

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// legacyPartition decides on reservations of one program as versions without OwnerLimit records
// do.
type legacyPartition struct {
	known, exclusive bool
	charged          uint64
	open             map[AttemptID]Reservation
	granted          map[AttemptID]uint32
}

func (p *legacyPartition) apply(record Record) uint32 {
	switch record := record.(type) {
	case Reservation:
		return p.reserve(record)
	case Settlement:
		if _, open := p.open[record.Attempt]; open {
			delete(p.open, record.Attempt)
			p.charged += uint64(record.Used) - uint64(p.granted[record.Attempt])
		}
	}
	return 0
}

func (p *legacyPartition) reserve(record Reservation) uint32 {
	if !p.known {
		p.known, p.exclusive = true, record.Exclusive
	}
	if _, repeated := p.open[record.Attempt]; repeated {
		return 0
	}
	open, margin := uint64(record.Budget), uint64(0)
	if p.exclusive {
		for attempt, one := range p.open {
			if one.Incarnation != record.Incarnation {
				margin += uint64(p.granted[attempt])
			}
		}
		margin = min(margin, uint64(record.MaxTurnTokens))
	} else {
		open = legacyBudget(record.Budget, record.MaxTurnTokens)
	}
	needed := p.charged + uint64(record.MinTokens)
	granted := record.MinTokens
	switch {
	case needed > open+margin:
		return 0
	case needed <= open:
		granted = uint32(min(uint64(record.WantedTokens), open-p.charged))
	}
	p.charged += uint64(granted)
	p.open[record.Attempt], p.granted[record.Attempt] = record, granted
	return granted
}

// versionRun is a program that nodes of this and of earlier versions serve.
type versionRun struct {
	t                 *rapid.T
	partition         *Partition
	legacy            *legacyPartition
	budget, maxTokens uint32
	attempts          AttemptID
	usedTokens        uint64
}

// write applies a record by the rules of both versions, which must agree.
func (r *versionRun) write(record Record) uint32 {
	verdict, _ := r.partition.Apply(Encode(record), 0)
	if legacy := r.legacy.apply(record); legacy != verdict.Granted {
		r.t.Fatalf("%v is granted %d tokens, and %d by earlier versions", record, verdict.Granted, legacy)
	}
	return verdict.Granted
}

// reserve writes a reservation of a node that is not an exclusive owner, and uses some of it.
func (r *versionRun) reserve(incarnation IncarnationID, isLegacy bool) {
	known := r.partition.Knows("p")
	if !known && !isLegacy {
		for _, one := range r.partition.AssumedReservations("p", incarnation, r.budget, r.maxTokens, rapid.Bool().Draw(r.t, "complete")) {
			r.write(one)
		}
	}
	r.attempts++
	tokens := rapid.Uint32Range(1, r.maxTokens).Draw(r.t, "least")
	granted := r.write(Reservation{
		Program: "p", Attempt: r.attempts, Budget: r.budget, MaxTurnTokens: r.maxTokens, MinTokens: tokens,
		WantedTokens: rapid.Uint32Range(tokens, 2*r.maxTokens).Draw(r.t, "wanted"), Exclusive: !known && !isLegacy, Incarnation: incarnation,
	})
	used := rapid.Uint32Range(0, granted).Draw(r.t, "used")
	r.usedTokens += uint64(used)
	if granted > 0 && rapid.Bool().Draw(r.t, "settled") {
		r.write(Settlement{Program: "p", Attempt: r.attempts, Used: used})
	}
}

// TestVersionsNeverOverspendTogether draws reservations of nodes of this and of earlier versions
// after an owner of either died with unlogged grants. The versions must agree on all verdicts,
// and use at most the budget and one turn.
func TestVersionsNeverOverspendTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &versionRun{
			t: t, partition: NewPartition(), legacy: &legacyPartition{open: map[AttemptID]Reservation{}, granted: map[AttemptID]uint32{}},
			budget: 1000, maxTokens: rapid.Uint32Range(20, 600).Draw(t, "most"),
		}
		versions := map[IncarnationID]bool{}
		for _, incarnation := range []IncarnationID{"a", "b", "c", "d"} {
			versions[incarnation] = rapid.Bool().Draw(t, "legacy")
		}
		run.write(OwnershipClaim{Incarnation: "a"})
		run.usedTokens = legacyUnloggedLimit(run.budget, run.maxTokens)
		if !versions["a"] {
			run.write(OwnerLimit{Incarnation: "a"})
			run.usedTokens = UnloggedLimit(run.maxTokens)
		}
		if rapid.Bool().Draw(t, "replaced") {
			run.write(OwnershipClaim{Incarnation: "b"})
			run.write(OwnerLimit{Incarnation: "b"})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			incarnation := rapid.SampledFrom([]IncarnationID{"b", "c", "d"}).Draw(t, "incarnation")
			run.reserve(incarnation, versions[incarnation])
		}
		if run.usedTokens > uint64(run.budget)+uint64(run.maxTokens) {
			t.Fatalf("%d tokens used of a budget of %d and turns of %d", run.usedTokens, run.budget, run.maxTokens)
		}
	})
}

// TestMoreThanOneTurnIsAssumedOnlyAfterEarlierVersions guards against logs whose oldest records are
// dropped: an owner whose claim is gone must not be taken for one of an earlier version.
func TestMoreThanOneTurnIsAssumedOnlyAfterEarlierVersions(t *testing.T) {
	assumed := func(records ...Record) (tokens []uint32) {
		p := NewPartition()
		p.SkipTo(5)
		apply(p, records...)
		for _, one := range p.AssumedReservations("p", "b", 1000, 100, true) {
			tokens = append(tokens, one.WantedTokens)
		}
		return tokens
	}
	is := is.New(t)
	claim := OwnershipClaim{Incarnation: "b"}
	is.Equal(assumed(claim), []uint32{100, 250})
	is.Equal(assumed(OwnershipClaim{Incarnation: "a"}, OwnerLimit{Incarnation: "a"}, claim), []uint32{100, 250}) // of a's predecessors
	is.Equal(assumed(OwnerLimit{Incarnation: "a", Exclusive: true}, claim), []uint32{100, 250})                  // b itself
	is.Equal(assumed(OwnerLimit{Incarnation: "a", Exclusive: true}, claim, OwnerLimit{Incarnation: "b"}), []uint32{100})
}
