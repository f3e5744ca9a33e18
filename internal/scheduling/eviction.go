package scheduling

import (
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

const (
	// DefaultBreakEvenInterval is the time for which keeping a token in the cache
	// costs as much as prefilling it again once, while the cache is full.
	// docs/decisions/0005-scheduling.md has the figures.
	DefaultBreakEvenInterval = 600 * time.Second
	// Above fullMemoryRatio of the cache in use, the break-even interval is the
	// base value; below freeMemoryRatio it is maxBreakEvenFactor times as long.
	fullMemoryRatio    = 0.9
	freeMemoryRatio    = 0.5
	maxBreakEvenFactor = 4
)

// BreakEvenInterval returns the time for which keeping a token in the cache costs
// as much as prefilling it again once, while used of capacity tokens are in use.
// It is base for a full cache and grows as the cache becomes emptier, since a
// cached token then displaces less.
func BreakEvenInterval(base time.Duration, used, capacity int) time.Duration {
	if capacity <= 0 {
		return base
	}
	share := float64(used) / float64(capacity)
	free := min(max((fullMemoryRatio-share)/(fullMemoryRatio-freeMemoryRatio), 0), 1)
	return time.Duration(float64(base) * (1 + (maxBreakEvenFactor-1)*free))
}

// Paused is a branch that waits for its program's next call.
type Paused struct {
	Program identity.ProgramID
	Branch  identity.BranchID
	// Cached is true if a back end may have the prefix cached. Branches without a
	// cached prefix still count as pauses that have not ended.
	Cached    bool
	IdleSince time.Time
	// KeepWarm is the keep_warm column of the class's row: the minimum time for
	// which the prefix is kept.
	KeepWarm time.Duration
	// Kind selects the pause history, such as the class and whether it is the
	// main branch.
	Kind string
}

// Eviction names a cached prefix to evict, with the reason.
type Eviction struct {
	Program identity.ProgramID
	Branch  identity.BranchID
	Reason  string
}

// PauseHistories contains one PauseHistory per kind of branch. It is not safe for
// concurrent use.
type PauseHistories struct {
	histories map[string]*PauseHistory
}

// NewPauseHistories returns an empty collection.
func NewPauseHistories() *PauseHistories {
	return &PauseHistories{histories: map[string]*PauseHistory{}}
}

// History returns the history of a kind and creates it if necessary.
func (b *PauseHistories) History(kind string) *PauseHistory {
	history, found := b.histories[kind]
	if !found {
		history = &PauseHistory{}
		b.histories[kind] = history
	}
	return history
}

// SelectEvictions returns the prefixes to evict: those that have been idle for
// longer than their class's keep_warm and whose expected return rate, by the
// history of their kind, is below one per breakEven. Prefixes of a kind with too
// little history are kept, since the engine evicts the least recently used anyway.
// paused must contain all paused branches, including those without a cached
// prefix, as they are observations of pauses that have not ended.
func (b *PauseHistories) SelectEvictions(now time.Time, paused []Paused, breakEven time.Duration) []Eviction {
	rates := b.rates(now, paused)
	var evictions []Eviction
	for i := range paused {
		p := &paused[i]
		idle := now.Sub(p.IdleSince)
		if !p.Cached || idle <= p.KeepWarm {
			continue
		}
		rate, known := rates[p.Kind].At(idle)
		if !known || rate*breakEven.Seconds() >= 1 {
			continue
		}
		evictions = append(evictions, Eviction{
			Program: p.Program, Branch: p.Branch,
			Reason: fmt.Sprintf("idle %s, %.4f returns a second expected at best", idle.Round(time.Second), rate),
		})
	}
	return evictions
}

func (b *PauseHistories) rates(now time.Time, paused []Paused) map[string]*ReturnRates {
	idle := map[string][]time.Duration{}
	for i := range paused {
		idle[paused[i].Kind] = append(idle[paused[i].Kind], now.Sub(paused[i].IdleSince))
	}
	rates := map[string]*ReturnRates{}
	for kind, pauses := range idle {
		kindRates := b.History(kind).Rates(pauses)
		rates[kind] = &kindRates
	}
	return rates
}
