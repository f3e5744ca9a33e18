package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// ledger accounts for every token-second of cache in the measured window, using the
// actual state of the engines and programs.
//
// Cache of a branch counts as wasted in the time in which
//   - the branch has already had its last answer (afterEnd),
//   - another engine also caches the branch and was used later (duplicate),
//   - it was idle and then evicted or released before the branch used it again
//     (evicted).
//
// Idle cache at the end of the window counts as useful.
type ledger struct {
	clock *clock
	from  time.Duration
	until time.Duration
	keys  map[model.Key]*keyAccount
	// engines has the cache in use on each engine.
	engines []engineAccount

	held, afterEnd, duplicate, evicted float64
}

type engineAccount struct {
	used int
	at   time.Duration
}

type keyAccount struct {
	at      time.Duration
	ended   bool
	primary int
	copies  []cachedCopy
}

// cachedCopy is the prefix of a branch that one engine caches. pending are the
// token-seconds since its last use, which become waste on eviction.
type cachedCopy struct {
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

// span returns the seconds between at and now that are in the window.
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

// accrue accounts for the time since the account last changed.
func (l *ledger) accrue(account *keyAccount) {
	span := l.span(account.at)
	account.at = l.clock.now
	for i := range account.copies {
		h := &account.copies[i]
		amount := span * float64(h.tokens)
		switch {
		case account.ended:
			l.afterEnd += amount
		case h.engine != account.primary:
			l.duplicate += amount
		default:
			h.pending += amount
		}
	}
}

// used records that the cache in use on an engine has just changed to tokens.
func (l *ledger) used(engine, tokens int) {
	account := &l.engines[engine]
	l.held += l.span(account.at) * float64(account.used)
	*account = engineAccount{used: tokens, at: l.clock.now}
}

// use records that a call of the branch starts on engine. The pending token-seconds
// of the cached tokens that it reuses were not wasted.
func (l *ledger) use(engine int, key model.Key, cached int) {
	account := l.key(key)
	l.accrue(account)
	account.primary = engine
	for i := range account.copies {
		if h := &account.copies[i]; h.engine == engine && h.tokens > 0 {
			h.pending *= 1 - min(float64(cached)/float64(h.tokens), 1)
		}
	}
}

// change records that engine now caches change.Tokens of the branch. A shrinking
// prefix turns its fraction of the pending token-seconds into waste.
func (l *ledger) change(engine int, change model.Change) {
	account := l.key(change.Key)
	l.accrue(account)
	position := -1
	for i := range account.copies {
		if account.copies[i].engine == engine {
			position = i
		}
	}
	if position < 0 {
		if change.Tokens == 0 {
			return
		}
		account.copies = append(account.copies, cachedCopy{engine: engine})
		position = len(account.copies) - 1
	}
	h := &account.copies[position]
	if change.Tokens < h.tokens {
		lost := h.pending * float64(h.tokens-change.Tokens) / float64(h.tokens)
		h.pending -= lost
		if !account.ended {
			l.evicted += lost
		}
	} else if change.Stored {
		h.pending = 0
	}
	h.tokens = change.Tokens
	if h.tokens == 0 {
		account.copies = append(account.copies[:position], account.copies[position+1:]...)
	}
}

// end records that the branch has had its last answer.
func (l *ledger) end(key model.Key) {
	account := l.key(key)
	l.accrue(account)
	account.ended = true
}

// close accounts for the time up to the end of the window.
func (l *ledger) close() {
	// The fixed order makes the floating-point sums deterministic.
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
