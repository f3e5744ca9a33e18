package ledger

import (
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

func TestOrderOfTheLogDecidesWhoGetsTheLastTokens(t *testing.T) {
	is := is.New(t)
	verdicts := apply(
		NewPartition(),
		Reserve{Program: "p", Attempt: 1, Budget: 100, Most: 60},
		Reserve{Program: "p", Attempt: 2, Budget: 100, Most: 60},
		Settle{Program: "p", Attempt: 1, Used: 30},
		Reserve{Program: "p", Attempt: 3, Budget: 100, Most: 60},
	)
	is.Equal(verdicts, []Verdict{
		{Attempt: 1, Granted: true}, {Attempt: 2, Charged: 60}, {Attempt: 3, Granted: true, Charged: 30},
	})
}

func TestUnsettledReservationsStayCharged(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	apply(p, Reserve{Program: "p", Attempt: 1, Budget: 100, Most: 60}, Settle{Program: "p", Attempt: 9, Used: 0})
	is.Equal(p.Charged("p"), uint64(60))
	apply(p, Settle{Program: "p", Attempt: 1, Used: 20}, Settle{Program: "p", Attempt: 1, Used: 0})
	is.Equal(p.Charged("p"), uint64(20)) // the second settlement counts nothing
}

func TestKeptTurnsExpire(t *testing.T) {
	is := is.New(t)
	p := NewPartition()
	chain := []Location{{Partition: 3, Offset: 7, Size: 100}, {Partition: 11, Offset: 1 << 40, Size: 5}}
	p.Apply(Encode(Keep{Program: "p", Turn: "t", Chain: chain, For: time.Minute}), 0)
	found, known := p.Chain("t")
	is.True(known)
	is.Equal(found, chain)
	p.Apply(Encode(Settle{}), time.Minute)
	_, known = p.Chain("t")
	is.True(known)
	p.Apply(Encode(Settle{}), 2*time.Minute)
	_, known = p.Chain("t")
	is.True(!known)
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
			Reserve{Program: program, Attempt: attempt, Budget: rapid.Uint32().Draw(t, "budget"), Most: 7},
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
			record := Encode(Reserve{Program: "p", Attempt: attempt, Budget: budget, Most: most})
			verdict, _ := first.Apply(record, 0)
			again, _ := second.Apply(record, 0)
			if verdict != again {
				t.Fatalf("%v and %v of the same log", verdict, again)
			}
			if !verdict.Granted {
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
