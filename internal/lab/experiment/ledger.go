package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// ledger accounts for every token-second of cache in the measured window, from
// the truth of the engines and of the programs.
//
// Memory held for a branch is wasted where
//   - the branch has had its last answer (gone),
//   - another engine holds the branch as well and was used later (duplicate),
//   - it lay idle and was evicted or given up before the branch used it again
//     (evicted).
//
// What lies idle when the window ends counts as useful.
type ledger struct {
	clock *clock
	from  time.Duration
	until time.Duration
	keys  map[model.Key]*keyAccount
	// engines is the memory in use at each engine since it last changed.
	engines []engineAccount

	held, gone, duplicate, evicted float64
}

type engineAccount struct {
	used int
	at   time.Duration
}

type keyAccount struct {
	at       time.Duration
	gone     bool
	primary  int
	holdings []holding
}

// holding is what one engine holds of a branch; pending are the token-seconds
// since its last use, of which it is not known yet whether they were wasted.
type holding struct {
	engine  int
	tokens  int
	pending float64
}

func newLedger(clock *clock, engines int, from, until time.Duration) *ledger {
	return &ledger{
		clock: clock, from: from, until: until,
		keys: map[model.Key]*keyAccount{}, engines: make([]engineAccount, engines),
	}
}

// span returns the seconds from at to now that lie in the window.
func (l *ledger) span(at time.Duration) float64 {
	return max(min(l.clock.now, l.until)-max(at, l.from), 0).Seconds()
}

func (l *ledger) key(key model.Key) *keyAccount {
	account, found := l.keys[key]
	if !found {
		account = &keyAccount{at: l.clock.now}
		l.keys[key] = account
	}
	return account
}

// accrue books the time since the account last changed.
func (l *ledger) accrue(account *keyAccount) {
	span := l.span(account.at)
	account.at = l.clock.now
	for i := range account.holdings {
		h := &account.holdings[i]
		amount := span * float64(h.tokens)
		switch {
		case account.gone:
			l.gone += amount
		case h.engine != account.primary:
			l.duplicate += amount
		default:
			h.pending += amount
		}
	}
}

// used books the memory in use at an engine, which has just changed to tokens.
func (l *ledger) used(engine, tokens int) {
	account := &l.engines[engine]
	l.held += l.span(account.at) * float64(account.used)
	*account = engineAccount{used: tokens, at: l.clock.now}
}

// use notes that a call of the branch begins at engine; what it found cached
// there was not wasted.
func (l *ledger) use(engine int, key model.Key, cached int) {
	account := l.key(key)
	l.accrue(account)
	account.primary = engine
	for i := range account.holdings {
		if h := &account.holdings[i]; h.engine == engine && h.tokens > 0 {
			h.pending *= 1 - min(float64(cached)/float64(h.tokens), 1)
		}
	}
}

// change notes that engine now holds tokens of the branch. stored tells that a
// call stored them.
func (l *ledger) change(engine int, change model.Change) {
	account := l.key(change.Key)
	l.accrue(account)
	position := -1
	for i := range account.holdings {
		if account.holdings[i].engine == engine {
			position = i
		}
	}
	if position < 0 {
		if change.Tokens == 0 {
			return
		}
		account.holdings = append(account.holdings, holding{engine: engine})
		position = len(account.holdings) - 1
	}
	h := &account.holdings[position]
	if change.Tokens < h.tokens {
		lost := h.pending * float64(h.tokens-change.Tokens) / float64(h.tokens)
		h.pending -= lost
		if !account.gone {
			l.evicted += lost
		}
	} else if change.Stored {
		h.pending = 0
	}
	h.tokens = change.Tokens
	if h.tokens == 0 {
		account.holdings = append(account.holdings[:position], account.holdings[position+1:]...)
	}
}

// end notes that the branch has had its last answer.
func (l *ledger) end(key model.Key) {
	account := l.key(key)
	l.accrue(account)
	account.gone = true
}

// close books everything up to the end of the window.
func (l *ledger) close() {
	// In a fixed order, so that sums of floats come out the same each time.
	keys := slices.SortedFunc(maps.Keys(l.keys), func(a, b model.Key) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Branch, b.Branch))
	})
	for _, key := range keys {
		l.accrue(l.keys[key])
	}
	for engine := range l.engines {
		l.used(engine, l.engines[engine].used)
	}
}
