package shares

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// firstTableDelay is how long the members must have been stable before the first table
	// is published; aloneDelay replaces it for a node without others.
	firstTableDelay = 1500 * time.Millisecond
	aloneDelay      = 4 * time.Second
	// replaceAfter is how long a holder must have been missing before it is replaced. Most
	// restarts and partitions are over by then.
	replaceAfter = 15 * time.Second
	// replaceMinorityAfter is the same if most holders are missing, since then they may all
	// be alive on another side of a partition, which replaces this side's.
	replaceMinorityAfter = time.Minute
	// missingRetention is how long a former member is remembered. One that still holds a
	// share then counts as missing from anew.
	missingRetention = time.Hour
	// addAfter is how long a node must have been a member before it becomes a holder.
	addAfter = 5 * time.Second
)

// candidate is a node that may become a holder.
type candidate struct {
	node identity.Node
	load uint32
	// score is a stable order among equal candidates.
	score uint64
}

// planner decides on the next table from the views of the members. It is not safe for
// concurrent use.
type planner struct {
	maxHolders int
	members    []membership.Member
	// changedAt is when the set of members changed last.
	changedAt time.Duration
	// since holds when each member joined, missingSince when each former member went
	// missing.
	since, missingSince map[Holder]time.Duration
}

func newPlanner(maxHolders int) *planner {
	return &planner{maxHolders: maxHolders, since: map[Holder]time.Duration{}, missingSince: map[Holder]time.Duration{}}
}

// setView records the members.
func (p *planner) setView(view membership.View, now time.Duration) {
	present := map[Holder]bool{}
	for _, member := range view.Members {
		name := HolderOf(member.Node)
		present[name] = true
		delete(p.missingSince, name)
		if _, known := p.since[name]; !known {
			p.since[name], p.changedAt = now, now
		}
	}
	for name := range p.since {
		if !present[name] {
			delete(p.since, name)
			p.missingSince[name], p.changedAt = now, now
		}
	}
	p.members = slices.Clone(view.Members)
	p.forgetMissing(now)
}

// forgetMissing drops the nodes that have been missing for so long that they no longer hold
// shares, if they ever did.
func (p *planner) forgetMissing(now time.Duration) {
	maps.DeleteFunc(p.missingSince, func(_ Holder, since time.Duration) bool { return now-since > missingRetention })
}

// missingFor returns how long a node has been missing; 0 if it is a member. A node that has
// never been a member counts from the first call.
func (p *planner) missingFor(name Holder, now time.Duration) time.Duration {
	if _, present := p.since[name]; present {
		return 0
	}
	if since, known := p.missingSince[name]; known {
		return now - since
	}
	p.missingSince[name] = now
	return 0
}

// countPresent returns how many of the holders are members.
func (p *planner) countPresent(holders []Holder) int {
	present := 0
	for _, holder := range holders {
		if _, found := p.since[holder]; found {
			present++
		}
	}
	return present
}

// first returns the holders of the first table; nil if it is too early.
func (p *planner) first(now time.Duration) []Holder {
	delay := firstTableDelay
	if len(p.members) <= 1 {
		delay = aloneDelay
	}
	if len(p.members) == 0 || now-p.changedAt < delay {
		return nil
	}
	return p.fill(nil, 0, now)
}

// next returns the holders of the table after current; nil if it need not change.
func (p *planner) next(current []Holder, now time.Duration) []Holder {
	current = p.withAddresses(current)
	delay, present := replaceAfter, p.countPresent(current)
	if 2*present <= len(current) {
		delay = replaceMinorityAfter
	}
	var kept []Holder
	for _, holder := range current {
		if p.missingFor(holder, now) < delay && !p.moved(holder, now) {
			kept = append(kept, holder)
		}
	}
	if len(kept) < len(current) {
		return p.fill(kept, addAfter, now)
	}
	if present < len(current) || len(current) >= p.maxHolders {
		return nil
	}
	// One at a time, since each new holder reduces the shares of the others before it can
	// use its own.
	grown := p.fill(kept, addAfter, now)
	if len(grown) <= len(kept) {
		return nil
	}
	for _, name := range grown {
		if !slices.Contains(kept, name) {
			return append(kept, name)
		}
	}
	return nil
}

// moved reports whether a node of a holder's name has been a member at another address for
// some time.
func (p *planner) moved(holder Holder, now time.Duration) bool {
	return slices.ContainsFunc(p.members, func(member membership.Member) bool {
		other := HolderOf(member.Node)
		return other != holder && member.Node.Name == holder.Name() && now-p.since[other] >= addAfter
	})
}

// withAddresses returns holders with the addresses of the members that holders without one
// are.
func (p *planner) withAddresses(holders []Holder) []Holder {
	result := slices.Clone(holders)
	for i, holder := range result {
		for _, member := range p.members {
			if holder == Holder(member.Node.Name) {
				result[i] = HolderOf(member.Node)
			}
		}
	}
	return result
}

// fill adds members to holders, up to the maximum. It prefers zones with the fewest holders,
// and members with more capacity.
func (p *planner) fill(holders []Holder, stableFor, now time.Duration) []Holder {
	result := slices.Clone(holders)
	inZone := map[identity.Zone]int{}
	var candidates []candidate
	for _, member := range p.members {
		name := HolderOf(member.Node)
		switch {
		case slices.Contains(holders, name):
			inZone[member.Node.Zone]++
		case member.Status == membership.Alive && now-p.since[name] >= stableFor:
			candidates = append(candidates, candidate{node: member.Node, load: member.Load, score: membership.Score(rankKey, member.Node.Name)})
		}
	}
	for len(result) < p.maxHolders && len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(inZone[a.node.Zone], inZone[b.node.Zone]), cmp.Compare(b.load, a.load), cmp.Compare(a.score, b.score))
		})
		inZone[best.node.Zone]++
		result = append(result, HolderOf(best.node))
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.node.Name == best.node.Name })
	}
	return result
}
