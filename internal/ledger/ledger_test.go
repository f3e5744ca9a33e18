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
func exactly(attempt AttemptID, budget, most uint32) Reserve {
	return Reserve{Program: "p", Attempt: attempt, Budget: budget, Most: most, Least: most, Wanted: most, Sure: true}
}

func TestOrderOfTheLogDecidesWhoGetsTheLastTokens(t *testing.T) {
	is := is.New(t)
	verdicts := apply(
		NewPartition(),
		exactly(1, 100, 60),
		exactly(2, 100, 60),
		Settle{Program: "p", Attempt: 1, Used: 30},
		exactly(3, 100, 60),
	)
	is.Equal(verdicts, []Verdict{
		{Attempt: 1, Granted: 60}, {Attempt: 2, Charged: 60, Holdings: []Holding{{Tokens: 60}}, Short: 20}, {Attempt: 3, Granted: 60, Charged: 30},
	})
}

func TestUnsettledReservationsStayCharged(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	apply(p, exactly(1, 100, 60), Settle{Program: "p", Attempt: 9, Used: 0})
	is.Equal(p.Charged("p"), uint64(60))
	apply(p, Settle{Program: "p", Attempt: 1, Used: 20}, Settle{Program: "p", Attempt: 1, Used: 0})
	is.Equal(p.Charged("p"), uint64(20)) // the second settlement counts nothing
}

func TestKeptTurnsExpire(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	chain := []Location{{Partition: 3, Offset: 7, Size: 100}, {Partition: 11, Offset: 1 << 40, Size: 5}}
	resident := Resident{Instance: "r", Tokens: 900}
	p.Apply(Encode(Keep{Program: "p", Turn: "t", Chain: chain, For: time.Minute, Resident: resident}), 0)
	found, known := p.Turn("t")
	is.True(known)
	is.Equal(found, KeptTurn{Chain: chain, Resident: resident})
	p.Apply(Encode(Settle{}), time.Minute)
	_, known = p.Turn("t")
	is.True(known)
	p.Apply(Encode(Settle{}), 2*time.Minute)
	_, known = p.Turn("t")
	is.True(!known)
}

// TestKeepOfAnEarlierVersionIsRead: it ends before the replica that the turn ran on.
func TestKeepOfAnEarlierVersionIsRead(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	chain := []Location{{Partition: 3, Offset: 7, Size: 100}}
	encoded := Encode(Keep{Program: "p", Turn: "t", Chain: chain, For: time.Minute})
	const residentBytes = 2 + 4
	p.Apply(encoded[:len(encoded)-residentBytes], 0)
	found, known := p.Turn("t")
	is.True(known)
	is.Equal(found, KeptTurn{Chain: chain})
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
			Reserve{Program: program, Attempt: attempt, Budget: rapid.Uint32().Draw(t, "budget"), Most: 7, Least: 8, Wanted: 9, Sure: true},
			Own{Life: LifeID(program)},
			Release{Life: LifeID(program)},
			Settle{Program: program, Attempt: attempt, Used: rapid.Uint32().Draw(t, "used")},
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
				settled := Encode(Settle{Program: "p", Attempt: attempt, Used: used})
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
		Reserve{Program: "p", Attempt: 1, Budget: 100, Most: 20, Least: 20, Wanted: 70, Sure: true},
		Reserve{Program: "p", Attempt: 2, Budget: 100, Most: 20, Least: 20, Wanted: 70},
		Reserve{Program: "p", Attempt: 3, Budget: 100, Most: 20, Least: 1, Wanted: 1},
	)
	is.Equal(verdicts, []Verdict{
		{Attempt: 1, Granted: 70},
		{Attempt: 2, Granted: 30, Charged: 70},
		{Attempt: 3, Charged: 100, Holdings: []Holding{{Tokens: 30}, {Tokens: 70}}, Short: 1},
	})
}

func TestPartOfTheBudgetStaysClosedWhereTheFirstRecordIsNotSure(t *testing.T) {
	is := is.New(t)
	verdicts := apply(
		NewPartition(),
		Reserve{Program: "p", Attempt: 1, Budget: 1000, Most: 100, Least: 100, Wanted: 1000},
		Reserve{Program: "p", Attempt: 2, Budget: 1000, Most: 100, Least: 100, Wanted: 1000, Sure: true},
	)
	is.Equal(verdicts[0].Granted, uint32(750)) // 1000 + 100 - 350
	is.Equal(verdicts[1].Granted, uint32(0))   // a later sure record opens nothing
}

// TestAheadAndOpenAreTheBudgetAndOneTurn is the rule that the two limits keep.
func TestAheadAndOpenAreTheBudgetAndOneTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, most := rapid.Uint32().Draw(t, "budget"), rapid.Uint32().Draw(t, "most")
		if AheadLimit(budget, most) < uint64(most) {
			t.Fatal("not one turn fits ahead of the log")
		}
		if most <= budget && AheadLimit(budget, most)+OpenBudget(budget, most) > uint64(budget)+uint64(most) {
			t.Fatalf("%d and %d", AheadLimit(budget, most), OpenBudget(budget, most))
		}
	})
}

func TestOwnershipIsSureOnlyAfterACleanEnd(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	at := func(now time.Duration, record Record) { p.Apply(Encode(record), now) }
	at(0, Own{Life: "a"})
	is.True(p.Sure("a", 0, 0))
	is.True(!p.Sure("b", 0, 0))
	is.True(!p.Sure("a", 0, ConfirmWithin+1)) // not heard of for too long
	at(1, Own{Life: "b"})                     // a has not released
	is.True(!p.Sure("b", 1, 1))
	is.True(p.Sure("b", SureAfter, SureAfter+2))
	at(2, Release{Life: "a"}) // not the owner any more
	is.Equal(p.Owner(), LifeID("b"))
	at(3, Release{Life: "b"})
	at(4, Own{Life: "c"}) // what a handed out may still be ahead of the log
	is.True(!p.Sure("c", 4, 4))

	p = NewPartition()
	at(0, Own{Life: "a"})
	at(1, Release{Life: "a"})
	at(2, Own{Life: "b"})
	is.True(p.Sure("b", 2, 2))

	p = NewPartition()
	p.SkipTo(5)
	at(0, Own{Life: "a"}) // the records before are not known
	is.True(!p.Sure("a", 0, 0))
}

func TestCreditHandsOutNoMoreThanItHolds(t *testing.T) {
	is := is.New(t)
	c := NewCredit("p", "a", 1000, 100, 0)
	is.True(!c.Fits(100, false))
	is.True(c.Fits(100, true))
	first := c.Next(1, 100, true, true)
	is.Equal(first, Reserve{Program: "p", Attempt: 1, Budget: 1000, Most: 100, Least: 100, Wanted: 400, Sure: true, Life: "a"})
	is.Equal(c.Next(1, 100, true, false).Wanted, uint32(350))
	is.Equal(c.Next(1, 100, false, false).Wanted, uint32(100))
	for grant := range GrantID(3) {
		is.True(c.Fits(100, true))
		c.Open(grant, 100, 0)
	}
	is.True(!c.Fits(100, true)) // 350 ahead of the log
	c.Decided(Verdict{Attempt: 1, Granted: 320}, nobody)
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
	next := c.Next(2, 100, true, true)
	is.Equal(next.Least, uint32(50))
	is.Equal(next.Wanted, uint32(340))
	is.True(!next.Sure)
	c.Decided(Verdict{Attempt: 2, Granted: 340}, nobody)
	c.Expire(time.Minute, 2*time.Minute)
	is.True(c.Idle(0, 2*time.Minute))
	is.Equal(c.Settle(), []Record{Settle{Program: "p", Attempt: 1, Used: 270}, Settle{Program: "p", Attempt: 2}})
}

func nobody(LifeID) bool { return false }

func TestBudgetIsSpentOnlyByWhatCanNotComeBack(t *testing.T) {
	here := Holding{Life: "a", Tokens: 40}
	for _, one := range []struct {
		verdict Verdict
		blocked bool
	}{
		{Verdict{Attempt: 2, Charged: 90, Holdings: []Holding{here}, Short: 10}, false},
		{Verdict{Attempt: 2, Charged: 90, Holdings: []Holding{here, {Life: "b", Tokens: 10}}, Short: 10}, true},
		{Verdict{Attempt: 2, Charged: 90, Holdings: []Holding{here, {Life: "b", Tokens: 9}}, Short: 10}, false}, // it would not do
		{Verdict{Attempt: 2, Charged: 90, Holdings: []Holding{here, {Life: "dead", Tokens: 50}}, Short: 10}, false},
		{Verdict{Attempt: 2, Granted: 10, Charged: 90}, false},
	} {
		is := is.New(t)
		c := NewCredit("p", "a", 100, 20, 0)
		lives := func(life LifeID) bool { return life != "dead" }
		c.Decided(Verdict{Attempt: 1, Granted: 40}, lives)
		c.Decided(one.verdict, lives)
		is.Equal(c.Blocked(), one.blocked)
	}
}

// TestWhatTheDeadHeldKeepsNoTurnOut reserves for a program of which another life has
// reserved all that is left, as one that was killed in the middle of its turns.
func TestWhatTheDeadHeldKeepsNoTurnOut(t *testing.T) {
	is := is.New(t)
	reserve := func(attempt AttemptID, life LifeID, wanted uint32) Reserve {
		return Reserve{Program: "p", Attempt: attempt, Budget: 1178, Most: 589, Least: 589, Wanted: wanted, Sure: true, Life: life}
	}
	p := NewPartition()
	verdicts := apply(
		p,
		reserve(1, "dead", 589),
		Reserve{Program: "p", Attempt: 2, Budget: 1178, Most: 589, Least: 250, Wanted: 496, Sure: true, Life: "dead"},
		reserve(3, "b", 1178),
		reserve(4, "b", 589),
		reserve(5, "c", 589),
		Settle{Program: "p", Attempt: 3, Used: 250},
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
			record.Most, record.Wanted = most, rapid.Uint32Range(record.Least, budget).Draw(t, "wanted")
			record.Life = LifeID(rune('a' + rapid.IntRange(0, lives-1).Draw(t, "life")))
			verdict, _ := p.Apply(Encode(record), 0)
			used := rapid.Uint32Range(0, verdict.Granted).Draw(t, "used")
			handedOut += uint64(used)
			if rapid.Bool().Draw(t, "settled") {
				p.Apply(Encode(Settle{Program: "p", Attempt: attempt, Used: used}), 0)
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
