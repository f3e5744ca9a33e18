package balance

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// shortlistBest is how many of the candidates of least cost are asked about.
	shortlistBest = 3
	// shortlistAffine is how many more are asked about that all nodes prefer for the
	// prompt's first part, so that a part that many programs share is kept by few
	// replicas and not by all of them.
	shortlistAffine = 2
	// shortlistRandom is how many others are asked about: what is believed of the best is
	// old, and nodes that believe the same must not all ask about the same replicas.
	shortlistRandom = 1
)

// SplitByRoundTrip splits candidates into those whose keepers can answer within a time in
// milliseconds, as far as the way there goes, and those that are farther.
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

// Shortlist returns the candidates whose keepers are worth asking: those of least cost
// by what this node believes, those that the prompt's first part prefers, and a few
// that random, in [0,1), draws.
func Shortlist(candidates []Candidate, work Work, random func() float64) []Candidate {
	const most = shortlistBest + shortlistAffine + shortlistRandom
	if len(candidates) <= most {
		return candidates
	}
	rest := slices.Clone(candidates)
	shortlist := make([]Candidate, 0, most)
	take := func(index int) {
		shortlist = append(shortlist, rest[index])
		rest[index] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
	}
	offset := int(random() * float64(len(rest)))
	for range shortlistBest {
		take(cheapest(rest, work, offset))
	}
	if work.FirstSegment != 0 {
		for range shortlistAffine {
			take(preferred(rest, work.FirstSegment))
		}
	}
	for len(shortlist) < most {
		take(min(int(random()*float64(len(rest))), len(rest)-1))
	}
	return shortlist
}

// cheapest returns the index of a candidate of least cost; offset decides between equals.
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

// preferred returns the index of the candidate of the own zone, or of any where there is
// none, with the highest hash together with a prompt's part (rendezvous hashing).
func preferred(candidates []Candidate, part uint64) int {
	best, highest := 0, uint64(0)
	near := slices.ContainsFunc(candidates, func(candidate Candidate) bool { return candidate.SameZone })
	for i, candidate := range candidates {
		if near && !candidate.SameZone {
			continue
		}
		encoded := binary.BigEndian.AppendUint64(nil, part)
		if score := xxhash.Sum64(append(encoded, candidate.Instance...)); score >= highest {
			best, highest = i, score
		}
	}
	return best
}
