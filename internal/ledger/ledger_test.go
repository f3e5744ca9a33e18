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

// exactly reserves what one turn hands out at most, for the program p.
func exactly(attempt AttemptID, budget, most uint32) Reservation {
	return Reservation{Program: "p", Attempt: attempt, Budget: budget, MaxTurnTokens: most, MinTokens: most, WantedTokens: most, Exclusive: true}
}

func TestOrderOfTheLogDecidesWhoGetsTheLastTokens(t *testing.T) {
	is := is.New(t)
	verdicts := apply(
		NewPartition(),
		exactly(1, 100, 60),
		exactly(2, 100, 60),
		Settlement{Program: "p", Attempt: 1, Used: 30},
		exactly(3, 100, 60),
	)
	is.Equal(verdicts, []Verdict{
		{Attempt: 1, Granted: 60}, {Attempt: 2, Charged: 60, OpenReservations: []OpenReservation{{Tokens: 60}}, Shortfall: 20}, {Attempt: 3, Granted: 60, Charged: 30},
	})
}

func TestUnsettledReservationsStayCharged(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	apply(p, exactly(1, 100, 60), Settlement{Program: "p", Attempt: 9, Used: 0})
	is.Equal(p.Charged("p"), uint64(60))
	apply(p, Settlement{Program: "p", Attempt: 1, Used: 20}, Settlement{Program: "p", Attempt: 1, Used: 0})
	is.Equal(p.Charged("p"), uint64(20)) // the second settlement counts nothing
}

func TestKeptTurnsExpire(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	chain := []Location{{Partition: 3, Offset: 7, Size: 100}, {Partition: 11, Offset: 1 << 40, Size: 5}}
	resident := CacheLocation{Instance: "r", Tokens: 900}
	p.Apply(Encode(IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute, CacheLocation: resident}), 0)
	found, known := p.Turn("t")
	is.True(known)
	is.Equal(found, IndexedTurn{Chain: chain, CacheLocation: resident})
	p.Apply(Encode(Settlement{}), time.Minute)
	_, known = p.Turn("t")
	is.True(known)
	p.Apply(Encode(Settlement{}), 2*time.Minute)
	_, known = p.Turn("t")
	is.True(!known)
}

// TestKeepOfAnEarlierVersionIsRead: it ends before the replica that the turn ran on.
func TestKeepOfAnEarlierVersionIsRead(t *testing.T) {
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

func TestUnreadableRecordsArePassedOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition()
		p.Apply(rapid.SliceOf(rapid.Byte()).Draw(t, "record"), 0)
		if p.Next() != 1 {
			t.Fatalf("next is %d", p.Next())
		}
	})
}

func TestRecordsSurviveEncoding(t *testing.T) {
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

// TestNoOrderOverspends draws interleavings of several nodes' attempts, lost
// settlements included: what attempts with a granted reservation hand out never
// exceeds the budget, and two readers of the log agree.
func TestNoOrderOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 1000
		first, second := NewPartition(), NewPartition()
		granted := map[AttemptID]uint32{}
		handedOut := uint64(0)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for attempt := AttemptID(1); attempt <= AttemptID(steps); attempt++ {
			most := rapid.Uint32Range(1, 400).Draw(t, "most")
			record := Encode(exactly(attempt, budget, most))
			verdict, _ := first.Apply(record, 0)
			again, _ := second.Apply(record, 0)
			if !reflect.DeepEqual(verdict, again) {
				t.Fatalf("%v and %v of the same log", verdict, again)
			}
			if verdict.Granted == 0 {
				continue
			}
			granted[attempt] = most
			used := rapid.Uint32Range(0, most).Draw(t, "used")
			handedOut += uint64(used)
			if rapid.Bool().Draw(t, "settled") {
				settled := Encode(Settlement{Program: "p", Attempt: attempt, Used: used})
				first.Apply(settled, 0)
				second.Apply(settled, 0)
			}
			if handedOut > budget {
				t.Fatalf("%d tokens of %d handed out", handedOut, budget)
			}
		}
	})
}

func TestReservationTakesWhatIsLeft(t *testing.T) {
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
		{Attempt: 3, Charged: 100, OpenReservations: []OpenReservation{{Tokens: 30}, {Tokens: 70}}, Shortfall: 1},
	})
}

func TestPartOfTheBudgetStaysClosedWhereTheFirstRecordIsNotSure(t *testing.T) {
	is := is.New(t)
	verdicts := apply(
		NewPartition(),
		Reservation{Program: "p", Attempt: 1, Budget: 1000, MaxTurnTokens: 100, MinTokens: 100, WantedTokens: 1000},
		Reservation{Program: "p", Attempt: 2, Budget: 1000, MaxTurnTokens: 100, MinTokens: 100, WantedTokens: 1000, Exclusive: true},
	)
	is.Equal(verdicts[0].Granted, uint32(750)) // 1000 + 100 - 350
	is.Equal(verdicts[1].Granted, uint32(0))   // a later sure record opens nothing
}

// TestAheadAndOpenAreTheBudgetAndOneTurn is the rule that the two limits keep.
func TestAheadAndOpenAreTheBudgetAndOneTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, most := rapid.Uint32().Draw(t, "budget"), rapid.Uint32().Draw(t, "most")
		if UnloggedLimit(budget, most) < uint64(most) {
			t.Fatal("not one turn fits ahead of the log")
		}
		if most <= budget && UnloggedLimit(budget, most)+LoggedBudget(budget, most) > uint64(budget)+uint64(most) {
			t.Fatalf("%d and %d", UnloggedLimit(budget, most), LoggedBudget(budget, most))
		}
	})
}

func TestOwnershipIsSureOnlyAfterACleanEnd(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	at := func(now time.Duration, record Record) { p.Apply(Encode(record), now) }
	at(0, OwnershipClaim{Incarnation: "a"})
	is.True(p.MayGrantUnlogged("a", 0, 0))
	is.True(!p.MayGrantUnlogged("b", 0, 0))
	is.True(!p.MayGrantUnlogged("a", 0, ConfirmationTTL+1)) // not heard of for too long
	at(1, OwnershipClaim{Incarnation: "b"})                 // a has not released
	is.True(!p.MayGrantUnlogged("b", 1, 1))
	is.True(p.MayGrantUnlogged("b", TakeoverDelay, TakeoverDelay+2))
	at(2, OwnershipRelease{Incarnation: "a"}) // not the owner any more
	is.Equal(p.Owner(), IncarnationID("b"))
	at(3, OwnershipRelease{Incarnation: "b"})
	at(4, OwnershipClaim{Incarnation: "c"}) // what a handed out may still be ahead of the log
	is.True(!p.MayGrantUnlogged("c", 4, 4))

	p = NewPartition()
	at(0, OwnershipClaim{Incarnation: "a"})
	at(1, OwnershipRelease{Incarnation: "a"})
	at(2, OwnershipClaim{Incarnation: "b"})
	is.True(p.MayGrantUnlogged("b", 2, 2))

	p = NewPartition()
	p.SkipTo(5)
	at(0, OwnershipClaim{Incarnation: "a"}) // the records before are not known
	is.True(!p.MayGrantUnlogged("a", 0, 0))
}

func TestCreditHandsOutNoMoreThanItHolds(t *testing.T) {
	is := is.New(t)
	c := NewCredit("p", "a", 1000, 100, 0)
	is.True(!c.Fits(100, false))
	is.True(c.Fits(100, true))
	first := c.NextReservation(1, 100, true, true)
	is.Equal(first, Reservation{Program: "p", Attempt: 1, Budget: 1000, MaxTurnTokens: 100, MinTokens: 100, WantedTokens: 400, Exclusive: true, Incarnation: "a"})
	is.Equal(c.NextReservation(1, 100, true, false).WantedTokens, uint32(350))
	is.Equal(c.NextReservation(1, 100, false, false).WantedTokens, uint32(100))
	for grant := range GrantID(3) {
		is.True(c.Fits(100, true))
		c.Open(grant, 100, 0)
	}
	is.True(!c.Fits(100, true)) // 350 ahead of the log
	c.ApplyVerdict(Verdict{Attempt: 1, Granted: 320}, nobody)
	is.True(!c.Fits(100, true))
	is.True(c.Finish(0, 70, 0))
	is.True(!c.Finish(0, 70, 0))
	is.True(!c.Fits(100, true)) // 270 of 320
	is.True(c.Fits(50, true))
	is.True(!c.Low()) // 70, 100 of 200 under way, and 100 more
	c.Open(9, 50, 0)
	is.True(c.Finish(9, 51, 0))
	is.True(c.Low())
	c.spent -= 51
	next := c.NextReservation(2, 100, true, true)
	is.Equal(next.MinTokens, uint32(50))
	is.Equal(next.WantedTokens, uint32(340))
	is.True(!next.Exclusive)
	c.ApplyVerdict(Verdict{Attempt: 2, Granted: 340}, nobody)
	c.Expire(time.Minute, 2*time.Minute)
	is.True(c.Idle(0, 2*time.Minute))
	is.Equal(c.Settle(), []Record{Settlement{Program: "p", Attempt: 1, Used: 270}, Settlement{Program: "p", Attempt: 2}})
}

func nobody(IncarnationID) bool { return false }

func TestBudgetIsSpentOnlyByWhatCanNotComeBack(t *testing.T) {
	here := OpenReservation{Incarnation: "a", Tokens: 40}
	for _, one := range []struct {
		verdict Verdict
		blocked bool
	}{
		{Verdict{Attempt: 2, Charged: 90, OpenReservations: []OpenReservation{here}, Shortfall: 10}, false},
		{Verdict{Attempt: 2, Charged: 90, OpenReservations: []OpenReservation{here, {Incarnation: "b", Tokens: 10}}, Shortfall: 10}, true},
		{Verdict{Attempt: 2, Charged: 90, OpenReservations: []OpenReservation{here, {Incarnation: "b", Tokens: 9}}, Shortfall: 10}, false}, // it would not do
		{Verdict{Attempt: 2, Charged: 90, OpenReservations: []OpenReservation{here, {Incarnation: "dead", Tokens: 50}}, Shortfall: 10}, false},
		{Verdict{Attempt: 2, Granted: 10, Charged: 90}, false},
	} {
		is := is.New(t)
		c := NewCredit("p", "a", 100, 20, 0)
		lives := func(life IncarnationID) bool { return life != "dead" }
		c.ApplyVerdict(Verdict{Attempt: 1, Granted: 40}, lives)
		c.ApplyVerdict(one.verdict, lives)
		is.Equal(c.Blocked(), one.blocked)
	}
}

// TestWhatTheDeadHeldKeepsNoTurnOut reserves for a program of which another life has
// reserved all that is left, as one that was killed in the middle of its turns.
func TestWhatTheDeadHeldKeepsNoTurnOut(t *testing.T) {
	is := is.New(t)
	reserve := func(attempt AttemptID, life IncarnationID, wanted uint32) Reservation {
		return Reservation{Program: "p", Attempt: attempt, Budget: 1178, MaxTurnTokens: 589, MinTokens: 589, WantedTokens: wanted, Exclusive: true, Incarnation: life}
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

// TestNoOrderOfLivesOverspends draws reservations of several lives that die with them:
// what they hand out never exceeds the budget and the most of one turn, and one life alone
// never exceeds the budget.
func TestNoOrderOfLivesOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, most = 1000, 300
		lives := rapid.IntRange(1, 4).Draw(t, "lives")
		p := NewPartition()
		handedOut := uint64(0)
		for attempt := AttemptID(1); attempt <= 40; attempt++ {
			record := exactly(attempt, budget, rapid.Uint32Range(1, most).Draw(t, "least"))
			record.MaxTurnTokens, record.WantedTokens = most, rapid.Uint32Range(record.MinTokens, budget).Draw(t, "wanted")
			record.Incarnation = IncarnationID(rune('a' + rapid.IntRange(0, lives-1).Draw(t, "life")))
			verdict, _ := p.Apply(Encode(record), 0)
			used := rapid.Uint32Range(0, verdict.Granted).Draw(t, "used")
			handedOut += uint64(used)
			if rapid.Bool().Draw(t, "settled") {
				p.Apply(Encode(Settlement{Program: "p", Attempt: attempt, Used: used}), 0)
			}
			allowed := uint64(budget)
			if lives > 1 {
				allowed += most
			}
			if handedOut > allowed {
				t.Fatalf("%d tokens of %d handed out", handedOut, allowed)
			}
		}
	})
}
