package scheduling

import (
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// DefaultPatience is how many seconds of holding a token are worth prefilling it
// again once; docs/decisions/0005-scheduling.md has the figures behind it.
const DefaultPatience = 600 * time.Second

// Paused is a branch that waits for its program's next call while a back end
// holds its prefix.
type Paused struct {
	Program   identity.ProgramID
	Branch    identity.BranchID
	Backend   string
	Tokens    int
	IdleSince time.Time
	// KeepWarm is the column of the class's row: the prefix is kept at least so long.
	KeepWarm time.Duration
	// Kind selects the pause history, such as the class and whether it is the
	// main branch.
	Kind string
}

// Release is a prefix to give up, and why.
type Release struct {
	Program identity.ProgramID
	Branch  identity.BranchID
	Backend string
	Reason  string
}

// KeepWarm returns the prefixes to give up: those that lie idle for longer than
// their class keeps them warm and whose return, by the history of their kind,
// is not worth the memory of waiting for it any more. A kind of which too
// little is known is kept; the engine evicts the least recently used anyway.
func KeepWarm(now time.Time, paused []Paused, rates map[string]ReturnRates, patience time.Duration) []Release {
	var releases []Release
	for i := range paused {
		p := &paused[i]
		idle := now.Sub(p.IdleSince)
		if idle <= p.KeepWarm {
			continue
		}
		rate, known := rates[p.Kind].At(idle)
		if !known || rate*patience.Seconds() >= 1 {
			continue
		}
		releases = append(releases, Release{
			Program: p.Program, Branch: p.Branch, Backend: p.Backend,
			Reason: fmt.Sprintf("idle %s, %.4f returns a second expected at best", idle.Round(time.Second), rate),
		})
	}
	return releases
}
