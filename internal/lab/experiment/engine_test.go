package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/engine/model"
	"stepseam.example/stepseam/internal/identity"
)

func testStream(program string, prompt, answer int) *stream {
	return &stream{
		key: keyFor(program), prompt: []model.Segment{{Digest: 1, Tokens: prompt}},
		answer: model.Segment{Digest: 2, Tokens: answer}, maxTokens: answer,
		began: func(*stream) {}, done: func(*stream, bool) {},
	}
}

func keyFor(program string) model.Key {
	return model.Key{Program: identity.ProgramID(program), Branch: identity.MainBranch}
}

// TestSingleStreamTakesModelTime checks the duration of a jump against the sum of
// the model's step times.
func TestSingleStreamTakesModelTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt, answer := rapid.IntRange(1, 5000).Draw(t, "prompt"), rapid.IntRange(1, 400).Draw(t, "answer")
		var c clock
		parameters := model.Default()
		e := newEngine(0, 0, "e", parameters, &c)
		ended := time.Duration(0)
		s := testStream("a", prompt, answer)
		s.done = func(*stream, bool) { ended = c.now }
		e.submit(s)
		for c.step() {
		}
		want := parameters.PrefillTime(prompt)
		for i := range answer {
			want += parameters.DecodeStep(1, prompt+i)
		}
		if difference := (ended - want).Abs(); difference > 10*time.Microsecond {
			t.Fatalf("ended after %s, want %s", ended, want)
		}
	})
}

// TestNewStreamStartsAtNextStep guards against a jump that delays a stream arriving
// during it by more than one step, or that loses tokens when it is shortened.
func TestNewStreamStartsAtNextStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		arrives := time.Duration(rapid.IntRange(0, 4000).Draw(t, "arrives")) * time.Millisecond
		var c clock
		parameters := model.Default()
		e := newEngine(0, 0, "e", parameters, &c)
		first, second := testStream("a", 100, 200), testStream("b", 300, 50)
		ended := 0
		for _, s := range []*stream{first, second} {
			s.done = func(s *stream, succeeded bool) {
				if !succeeded || s.decoded != s.answer.Tokens {
					t.Fatalf("ended with %d of %d tokens", s.decoded, s.answer.Tokens)
				}
				ended++
			}
		}
		e.submit(first)
		c.after(arrives, func() { e.submit(second) })
		for c.step() {
		}
		if ended != 2 {
			t.Fatalf("%d of 2 streams ended", ended)
		}
		if late := second.beganAt - arrives; late < 0 || late > parameters.DecodeStep(1, 400)+parameters.PrefillTime(100) {
			t.Fatalf("arrived at %s, began %s later", arrives, late)
		}
	})
}

func TestQueueIsOrderedByPriorityThenArrival(t *testing.T) {
	is := is.New(t)
	var c clock
	parameters := model.Default()
	parameters.MaxBatch = 1
	e := newEngine(0, 0, "e", parameters, &c)
	var order []int
	for i, priority := range []int{0, 1, 5, 1, 5} {
		s := testStream(string(rune('a'+i)), 50, 5)
		s.priority = priority
		s.began = func(*stream) { order = append(order, i) }
		e.submit(s)
	}
	for c.step() {
	}
	is.Equal(order, []int{0, 2, 4, 1, 3}) // the first started before the others arrived
}

// TestCacheLedgerClassifiesWaste follows one branch through a duplicate, an eviction
// and its end.
func TestCacheLedgerClassifiesWaste(t *testing.T) {
	is := is.New(t)
	var c clock
	l := newLedger(&c, 2, 0, time.Hour)
	key := keyFor("a")
	at := func(second int) { c.now = time.Duration(second) * time.Second }
	stored := func(engine, tokens int) {
		l.change(engine, model.Change{Key: key, Tokens: tokens, Stored: true})
		l.used(engine, tokens)
	}
	l.use(0, key, 0)
	stored(0, 100)
	at(10) // 10 s idle, then used again: useful
	l.use(0, key, 100)
	at(20) // idle for another 10 s, then used on another engine
	l.use(1, key, 0)
	stored(1, 100)
	at(25) // cached twice for 5 s, then the first copy is evicted with its 10 idle seconds
	l.change(0, model.Change{Key: key})
	l.used(0, 0)
	at(30)
	l.end(key)
	at(37) // cached for 7 s after the last answer
	l.change(1, model.Change{Key: key, Wanted: true})
	l.used(1, 0)
	l.close()
	is.Equal(l.duplicate, 500.0)
	is.Equal(l.evicted, 1000.0)
	is.Equal(l.afterEnd, 700.0)
	is.Equal(l.held, 2500.0+1700.0)
}
