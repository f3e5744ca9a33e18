package ledger

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func apply(p *Partition, records ...Record) []Verdict {
	var verdicts []Verdict
	for _, record := range records {
		if verdict, is := p.Apply(Encode(record), 0); is {
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

// exactly reserves one turn of the maximum size for the program p.
func exactly(attempt AttemptID, budget, maxTokens uint32) Reservation {
	return Reservation{Program: "p", Attempt: attempt, Budget: budget, MaxTurnTokens: maxTokens, MinTokens: maxTokens, WantedTokens: maxTokens, Exclusive: true}
}

func TestLogOrderDecidesReservations(t *testing.T) {
	is := is.New(t)
	verdicts := apply(
		NewPartition(),
		exactly(1, 100, 60),
		exactly(2, 100, 60),
		Settlement{Program: "p", Attempt: 1, Used: 30},
		exactly(3, 100, 60),
	)
	is.Equal(verdicts, []Verdict{
		{Attempt: 1, Granted: 60}, {Attempt: 2, Charged: 60, OpenReservations: []OpenReservation{{Attempt: 1, Tokens: 60}}, Shortfall: 20}, {Attempt: 3, Granted: 60, Charged: 30},
	})
}

func TestUnsettledReservationsStayCharged(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	apply(p, exactly(1, 100, 60), Settlement{Program: "p", Attempt: 9, Used: 0})
	is.Equal(p.Charged("p"), uint64(60))
	apply(p, Settlement{Program: "p", Attempt: 1, Used: 20}, Settlement{Program: "p", Attempt: 1, Used: 0})
	is.Equal(p.Charged("p"), uint64(20)) // the second settlement has no effect
}

func TestIndexedTurnsExpire(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	chain := []Location{{Partition: 3, Offset: 7, Size: 100}, {Partition: 11, Offset: 1 << 40, Size: 5}}
	cacheLocation := CacheLocation{Instance: "r", Tokens: 900}
	p.Apply(Encode(IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute, CacheLocation: cacheLocation}), 0)
	found, known := p.Turn("t")
	is.True(known)
	is.Equal(found, IndexedTurn{Chain: chain, CacheLocation: cacheLocation})
	p.Apply(Encode(Settlement{}), time.Minute)
	_, known = p.Turn("t")
	is.True(known)
	p.Apply(Encode(Settlement{}), 2*time.Minute)
	_, known = p.Turn("t")
	is.True(!known)
}

// TestIndexEntryOfOlderVersionIsRead covers entries without a cache location.
func TestIndexEntryOfOlderVersionIsRead(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	chain := []Location{{Partition: 3, Offset: 7, Size: 100}}
	encoded := Encode(IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute})
	const residentBytes = 2 + 4
	p.Apply(encoded[:len(encoded)-residentBytes], 0)
	found, known := p.Turn("t")
	is.True(known)
	is.Equal(found, IndexedTurn{Chain: chain})
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition()
		p.Apply(rapid.SliceOf(rapid.Byte()).Draw(t, "record"), 0)
		if p.Next() != 1 {
			t.Fatalf("next is %d", p.Next())
		}
	})
}

func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		program := ProgramID(rapid.String().Draw(t, "program"))
		attempt := AttemptID(rapid.Uint64().Draw(t, "attempt"))
		record := rapid.SampledFrom([]Record{
			Reservation{Program: program, Attempt: attempt, Budget: rapid.Uint32().Draw(t, "budget"), MaxTurnTokens: 7, MinTokens: 8, WantedTokens: 9, Exclusive: true},
			OwnershipClaim{Incarnation: IncarnationID(program)},
			OwnershipRelease{Incarnation: IncarnationID(program)},
			Settlement{Program: program, Attempt: attempt, Used: rapid.Uint32().Draw(t, "used")},
		}).Draw(t, "record")
		decoded, err := Decode(Encode(record))
		if err != nil || decoded != record {
			t.Fatalf("%v became %v, %v", record, decoded, err)
		}
	})
}

// TestNoOrderOverspends draws interleavings of reservations of several nodes, with lost
// settlements. What granted attempts use must never exceed the budget, and two readers of the
// log must agree.
func TestNoOrderOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 1000
		first, second := NewPartition(), NewPartition()
		granted := map[AttemptID]uint32{}
		usedTokens := uint64(0)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for attempt := AttemptID(1); attempt <= AttemptID(steps); attempt++ {
			maxTokens := rapid.Uint32Range(1, 400).Draw(t, "most")
			record := Encode(exactly(attempt, budget, maxTokens))
			verdict, _ := first.Apply(record, 0)
			again, _ := second.Apply(record, 0)
			if !reflect.DeepEqual(verdict, again) {
				t.Fatalf("verdicts %v and %v differ on the same log", verdict, again)
			}
			if verdict.Granted == 0 {
				continue
			}
			granted[attempt] = maxTokens
			used := rapid.Uint32Range(0, maxTokens).Draw(t, "used")
			usedTokens += uint64(used)
			if rapid.Bool().Draw(t, "settled") {
				settled := Encode(Settlement{Program: "p", Attempt: attempt, Used: used})
				first.Apply(settled, 0)
				second.Apply(settled, 0)
			}
			if usedTokens > budget {
				t.Fatalf("%d tokens used of at most %d", usedTokens, budget)
			}
		}
	})
}

func TestReservationGetsRemainingBudget(t *testing.T) {
	is := is.New(t)
	verdicts := apply(
		NewPartition(),
		Reservation{Program: "p", Attempt: 1, Budget: 100, MaxTurnTokens: 20, MinTokens: 20, WantedTokens: 70, Exclusive: true},
		Reservation{Program: "p", Attempt: 2, Budget: 100, MaxTurnTokens: 20, MinTokens: 20, WantedTokens: 70},
		Reservation{Program: "p", Attempt: 3, Budget: 100, MaxTurnTokens: 20, MinTokens: 1, WantedTokens: 1},
	)
	is.Equal(verdicts, []Verdict{
		{Attempt: 1, Granted: 70},
		{Attempt: 2, Granted: 30, Charged: 70},
		{Attempt: 3, Charged: 100, OpenReservations: []OpenReservation{{Attempt: 2, Tokens: 30}, {Attempt: 1, Tokens: 70}}, Shortfall: 1},
	})
}

func TestBudgetIsWithheldIfFirstRecordIsNotExclusive(t *testing.T) {
	is := is.New(t)
	verdicts := apply(
		NewPartition(),
		Reservation{Program: "p", Attempt: 1, Budget: 1000, MaxTurnTokens: 100, MinTokens: 100, WantedTokens: 1000},
		Reservation{Program: "p", Attempt: 2, Budget: 1000, MaxTurnTokens: 100, MinTokens: 100, WantedTokens: 1000, Exclusive: true},
	)
	is.Equal(verdicts[0].Granted, uint32(750)) // 1000 + 100 - 350
	is.Equal(verdicts[1].Granted, uint32(0))   // a later exclusive record opens nothing
}

// TestAheadAndOpenAreTheBudgetAndOneTurn checks that unlogged and logged grants together stay
// within the budget and one turn.
func TestAheadAndOpenAreTheBudgetAndOneTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, maxTokens := rapid.Uint32().Draw(t, "budget"), rapid.Uint32().Draw(t, "most")
		if UnloggedLimit(maxTokens) < uint64(maxTokens) || legacyUnloggedLimit(budget, maxTokens) < uint64(maxTokens) {
			t.Fatal("no turn fits the limit of unlogged grants")
		}
		if UnloggedLimit(maxTokens)+uint64(budget) > uint64(budget)+uint64(maxTokens) {
			t.Fatalf("%d and %d", UnloggedLimit(maxTokens), budget)
		}
		if maxTokens <= budget && legacyUnloggedLimit(budget, maxTokens)+legacyBudget(budget, maxTokens) > uint64(budget)+uint64(maxTokens) {
			t.Fatalf("%d and %d", legacyUnloggedLimit(budget, maxTokens), legacyBudget(budget, maxTokens))
		}
	})
}

func TestOwnershipIsSureOnlyAfterACleanEnd(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	at := func(now time.Duration, record Record) { p.Apply(Encode(record), now) }
	at(0, OwnershipClaim{Incarnation: "a"})
	is.True(p.MayGrantUnlogged("a", 0, 0, 0))
	is.True(!p.MayGrantUnlogged("b", 0, 0, 0))
	is.True(!p.MayGrantUnlogged("a", 0, 0, ConfirmationTTL+1)) // the confirmation has expired
	at(1, OwnershipClaim{Incarnation: "b"})                    // a has not released
	is.True(!p.MayGrantUnlogged("b", 1, 0, 1))
	is.True(p.MayGrantUnlogged("b", TakeoverDelay, 0, TakeoverDelay+2))
	is.True(!p.MayGrantUnlogged("b", TakeoverDelay, time.Minute, time.Minute)) // programs of a may come back
	is.True(p.MayGrantUnlogged("b", time.Minute+TakeoverDelay, time.Minute, time.Minute+TakeoverDelay+2))
	at(2, OwnershipRelease{Incarnation: "a"}) // a is no longer the owner
	is.Equal(p.Owner(), IncarnationID("b"))
	at(3, OwnershipRelease{Incarnation: "b"})
	at(4, OwnershipClaim{Incarnation: "c"}) // unlogged grants of a may remain
	is.True(!p.MayGrantUnlogged("c", 4, 0, 4))

	p = NewPartition()
	at(0, OwnershipClaim{Incarnation: "a"})
	at(1, OwnershipRelease{Incarnation: "a"})
	at(2, OwnershipClaim{Incarnation: "b"})
	is.True(p.MayGrantUnlogged("b", 2, 0, 2))

	p = NewPartition()
	p.SkipTo(5)
	at(0, OwnershipClaim{Incarnation: "a"}) // earlier records are not known
	is.True(!p.MayGrantUnlogged("a", 0, 0, 0))
}

func TestCreditGrantsNoMoreThanReserved(t *testing.T) {
	is := is.New(t)
	c := NewCredit("p", "a", 1000, 100, 0)
	is.True(!c.Fits(100, false))
	is.True(c.Fits(100, true))
	first := c.NextReservation(1, 100, true, true)
	is.Equal(first, Reservation{Program: "p", Attempt: 1, Budget: 1000, MaxTurnTokens: 100, MinTokens: 100, WantedTokens: 200, Exclusive: true, Incarnation: "a"})
	is.Equal(c.NextReservation(1, 50, true, false).WantedTokens, uint32(100)) // covers unlogged grants
	is.Equal(c.NextReservation(1, 50, false, false).WantedTokens, uint32(50))
	is.Equal(c.NextReservation(1, 100, false, false).WantedTokens, uint32(100))
	c.Open(0, 100, 0)
	is.True(!c.Fits(100, true)) // the limit of unlogged grants is 100
	c.ApplyVerdict(Verdict{Attempt: 1, Granted: 320}, noneAlive)
	c.Open(1, 100, 0)
	c.Open(2, 100, 0)
	is.True(!c.Fits(100, true))
	is.True(c.Finish(0, 70, 0))
	is.True(!c.Finish(0, 70, 0))
	is.True(!c.Fits(100, true)) // 270 of 320
	is.True(c.Fits(50, true))
	is.True(!c.Low()) // 70 used, 100 of 200 open, and 100 more
	c.Open(9, 50, 0)
	is.True(c.Finish(9, 51, 0))
	is.True(c.Low())
	c.used -= 51
	next := c.NextReservation(2, 100, true, true)
	is.Equal(next.MinTokens, uint32(50))
	is.Equal(next.WantedTokens, uint32(150))
	is.True(!next.Exclusive)
	c.ApplyVerdict(Verdict{Attempt: 2, Granted: 150}, noneAlive)
	c.Expire(time.Minute, 2*time.Minute)
	is.True(c.Idle(0, 2*time.Minute))
	is.Equal(c.Settle(), []Record{Settlement{Program: "p", Attempt: 1, Used: 270}, Settlement{Program: "p", Attempt: 2}})
}

func noneAlive(IncarnationID) bool { return false }

func TestBudgetIsSpentOnlyByWhatCanNotComeBack(t *testing.T) {
	here := OpenReservation{Incarnation: "a", Tokens: 40}
	for _, one := range []struct {
		verdict Verdict
		blocked bool
	}{
		{Verdict{Attempt: 2, Charged: 90, OpenReservations: []OpenReservation{here}, Shortfall: 10}, false},
		{Verdict{Attempt: 2, Charged: 90, OpenReservations: []OpenReservation{here, {Incarnation: "b", Tokens: 10}}, Shortfall: 10}, true},
		{Verdict{Attempt: 2, Charged: 90, OpenReservations: []OpenReservation{here, {Incarnation: "b", Tokens: 9}}, Shortfall: 10}, false}, // it would not be enough
		{Verdict{Attempt: 2, Charged: 90, OpenReservations: []OpenReservation{here, {Incarnation: "dead", Tokens: 50}}, Shortfall: 10}, false},
		{Verdict{Attempt: 2, Granted: 10, Charged: 90}, false},
	} {
		is := is.New(t)
		c := NewCredit("p", "a", 100, 20, 0)
		incarnations := func(incarnation IncarnationID) bool { return incarnation != "dead" }
		c.ApplyVerdict(Verdict{Attempt: 1, Granted: 40}, incarnations)
		c.ApplyVerdict(one.verdict, incarnations)
		is.Equal(c.Blocked(), one.blocked)
	}
}

// TestReservationsOfDeadNodesBlockNoTurn covers a program whose remaining budget was reserved
// by an incarnation that died in the middle of its turns.
func TestReservationsOfDeadNodesBlockNoTurn(t *testing.T) {
	is := is.New(t)
	reserve := func(attempt AttemptID, incarnation IncarnationID, wanted uint32) Reservation {
		return Reservation{Program: "p", Attempt: attempt, Budget: 1178, MaxTurnTokens: 589, MinTokens: 589, WantedTokens: wanted, Exclusive: true, Incarnation: incarnation}
	}
	p := NewPartition()
	verdicts := apply(
		p,
		reserve(1, "dead", 589),
		Reservation{Program: "p", Attempt: 2, Budget: 1178, MaxTurnTokens: 589, MinTokens: 250, WantedTokens: 496, Exclusive: true, Incarnation: "dead"},
		reserve(3, "b", 1178),
		reserve(4, "b", 589),
		reserve(5, "c", 589),
		Settlement{Program: "p", Attempt: 3, Used: 250},
		reserve(6, "b", 589),
	)
	is.Equal(verdicts[1].Granted, uint32(496))
	is.Equal(verdicts[2].Granted, uint32(589)) // no more than one turn beyond the budget
	is.Equal(verdicts[3].Granted, uint32(0))
	is.Equal(verdicts[4].Granted, uint32(0))
	is.Equal(verdicts[5].Granted, uint32(0))
	is.True(p.Charged("p") <= 1178+589)
}

// TestNoOrderOfIncarnationsOverspends draws reservations of incarnations that die with them.
// They must never use more than the budget and one turn, and a single incarnation never more
// than the budget.
func TestNoOrderOfIncarnationsOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, maxTokens = 1000, 300
		incarnations := rapid.IntRange(1, 4).Draw(t, "incarnations")
		p := NewPartition()
		usedTokens := uint64(0)
		for attempt := AttemptID(1); attempt <= 40; attempt++ {
			record := exactly(attempt, budget, rapid.Uint32Range(1, maxTokens).Draw(t, "least"))
			record.MaxTurnTokens, record.WantedTokens = maxTokens, rapid.Uint32Range(record.MinTokens, budget).Draw(t, "wanted")
			record.Incarnation = IncarnationID(rune('a' + rapid.IntRange(0, incarnations-1).Draw(t, "incarnation")))
			verdict, _ := p.Apply(Encode(record), 0)
			used := rapid.Uint32Range(0, verdict.Granted).Draw(t, "used")
			usedTokens += uint64(used)
			if rapid.Bool().Draw(t, "settled") {
				p.Apply(Encode(Settlement{Program: "p", Attempt: attempt, Used: used}), 0)
			}
			allowed := uint64(budget)
			if incarnations > 1 {
				allowed += maxTokens
			}
			if usedTokens > allowed {
				t.Fatalf("%d tokens used of at most %d", usedTokens, allowed)
			}
		}
	})
}
