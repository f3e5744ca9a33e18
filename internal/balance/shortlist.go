package balance

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// shortlistCheapest is the number of candidates with the lowest cost.
	shortlistCheapest = 3
	// shortlistBySegment is the number of candidates that all nodes prefer for the prompt's
	// first segment, so that a shared segment is cached by few replicas instead of all.
	shortlistBySegment = 2
	// shortlistRandom is the number of random candidates. The costs rest on delayed
	// reports, and nodes with the same information must not all query the same replicas.
	shortlistRandom = 1
)

// SplitByRoundTrip splits candidates into those with a round-trip time below the given
// milliseconds, whose aggregators can respond in time, and the others.
func SplitByRoundTrip(candidates []Candidate, milliseconds float64) (near, far []Candidate) {
	for _, candidate := range candidates {
		if candidate.RoundTripMilliseconds < milliseconds {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	return near, far
}

// Shortlist returns the candidates whose aggregators to query: those with the lowest cost
// by this node's estimates, those preferred for the prompt's first segment, and random
// ones. random returns numbers in [0,1).
func Shortlist(candidates []Candidate, work Work, random func() float64) []Candidate {
	const maxCandidates = shortlistCheapest + shortlistBySegment + shortlistRandom
	if len(candidates) <= maxCandidates {
		return candidates
	}
	rest := slices.Clone(candidates)
	shortlist := make([]Candidate, 0, maxCandidates)
	take := func(index int) {
		shortlist = append(shortlist, rest[index])
		rest[index] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
	}
	offset := int(random() * float64(len(rest)))
	for range shortlistCheapest {
		take(cheapest(rest, work, offset))
	}
	if work.FirstSegment != 0 {
		for range shortlistBySegment {
			take(preferred(rest, work.FirstSegment))
		}
	}
	for len(shortlist) < maxCandidates {
		take(min(int(random()*float64(len(rest))), len(rest)-1))
	}
	return shortlist
}

// cheapest returns the index of the candidate with the lowest cost. offset breaks ties.
func cheapest(candidates []Candidate, work Work, offset int) int {
	best, least := -1, 0.0
	for i := range candidates {
		index := (i + offset) % len(candidates)
		if expected := cost(candidates[index], work); best < 0 || expected < least {
			best, least = index, expected
		}
	}
	return best
}

// preferred returns the index of the candidate that ranks first for a segment in rendezvous
// hashing, among those of the own zone if there are any, otherwise among all.
func preferred(candidates []Candidate, segment uint64) int {
	best, highest := 0, uint64(0)
	near := slices.ContainsFunc(candidates, func(candidate Candidate) bool { return candidate.SameZone })
	for i, candidate := range candidates {
		if near && !candidate.SameZone {
			continue
		}
		encoded := binary.BigEndian.AppendUint64(nil, segment)
		if score := xxhash.Sum64(append(encoded, candidate.Instance...)); score >= highest {
			best, highest = i, score
		}
	}
	return best
}
