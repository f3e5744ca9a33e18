package scheduling

import (
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

const (
	// DefaultBreakEvenInterval is how many seconds of holding a token are worth prefilling it
	// again once, while memory is short. docs/decisions/0005-scheduling.md has the
	// figures behind it.
	DefaultBreakEvenInterval = 600 * time.Second
	// fullPool and freePool are the shares of the memory in use at which patience
	// is as set, and at which it is patienceRange times as long.
	fullPool      = 0.9
	freePool      = 0.5
	patienceRange = 4
)

// BreakEvenInterval returns how long holding a token is worth prefilling it again once
// while used of capacity tokens are in use: the emptier the memory, the less
// holding costs others.
func BreakEvenInterval(base time.Duration, used, capacity int) time.Duration {
	if capacity <= 0 {
		return base
	}
	share := float64(used) / float64(capacity)
	free := min(max((fullPool-share)/(fullPool-freePool), 0), 1)
	return time.Duration(float64(base) * (1 + (patienceRange-1)*free))
}

// Paused is a branch that waits for its program's next call.
type Paused struct {
	Program identity.ProgramID
	Branch  identity.BranchID
	// Cached tells that a back end holds its prefix. One that none holds any more
	// still counts among those that have not returned.
	Cached    bool
	IdleSince time.Time
	// KeepWarm is the column of the class's row: the prefix is kept at least so long.
	KeepWarm time.Duration
	// Kind selects the pause history, such as the class and whether it is the
	// main branch.
	Kind string
}

// Eviction is a prefix to give up, and why.
type Eviction struct {
	Program identity.ProgramID
	Branch  identity.BranchID
	Reason  string
}

// PauseHistories keeps one pause history for each kind of branch. It has no lock.
type PauseHistories struct {
	histories map[string]*PauseHistory
}

// NewPauseHistories returns an empty book.
func NewPauseHistories() *PauseHistories {
	return &PauseHistories{histories: map[string]*PauseHistory{}}
}

// History returns the history of a kind, which is empty at first.
func (b *PauseHistories) History(kind string) *PauseHistory {
	history, found := b.histories[kind]
	if !found {
		history = &PauseHistory{}
		b.histories[kind] = history
	}
	return history
}

// SelectEvictions returns the prefixes to give up: those that lie idle for longer than
// their class keeps them warm and whose return, by the history of their kind,
// is not worth the memory of waiting for it any more. A kind of which too
// little is known is kept; the engine evicts the least recently used anyway.
// paused are all branches that pause, since those that have not returned are
// part of what is known.
func (b *PauseHistories) SelectEvictions(now time.Time, paused []Paused, patience time.Duration) []Eviction {
	rates := b.rates(now, paused)
	var releases []Eviction
	for i := range paused {
		p := &paused[i]
		idle := now.Sub(p.IdleSince)
		if !p.Cached || idle <= p.KeepWarm {
			continue
		}
		rate, known := rates[p.Kind].At(idle)
		if !known || rate*patience.Seconds() >= 1 {
			continue
		}
		releases = append(releases, Eviction{
			Program: p.Program, Branch: p.Branch,
			Reason: fmt.Sprintf("idle %s, %.4f returns a second expected at best", idle.Round(time.Second), rate),
		})
	}
	return releases
}

func (b *PauseHistories) rates(now time.Time, paused []Paused) map[string]*ReturnRates {
	idle := map[string][]time.Duration{}
	for i := range paused {
		idle[paused[i].Kind] = append(idle[paused[i].Kind], now.Sub(paused[i].IdleSince))
	}
	rates := map[string]*ReturnRates{}
	for kind, pauses := range idle {
		ofKind := b.History(kind).Rates(pauses)
		rates[kind] = &ofKind
	}
	return rates
}
