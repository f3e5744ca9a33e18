package balance

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/fleet"
)

// Of a service with many replicas only a few are looked at for a request, and their keepers
// asked: those that are likely to hold its prompt or a connection of this node, and some by
// chance, since the best of a few drawn is nearly as free as the best of all. The numbers
// are how many of each; with them a choice costs the same among 60 replicas and 20,000, and
// a keeper is asked eight times a request.
const (
	// gatherAffine prefer a prompt's first part. Nodes of a zone agree on them, so that a
	// part that many programs share is read by few replicas.
	gatherAffine = 4
	// gatherOwn are this node's own for requests without a prompt, so that its connections
	// are used again.
	gatherOwn = 3
	// gatherDrawn are drawn in the nearest zone, gatherElsewhere in another one.
	gatherDrawn     = 2
	gatherElsewhere = 1
)

// SampleOptions says which replicas of a service may be of use to a request.
type SampleOptions struct {
	Service string
	// Zones are those that the request may go to, the nearest first.
	Zones []string
	// CacheLocation is the life of the replica that is told to hold the beginning of the prompt.
	CacheLocation string
	// FirstSegment names the prompt's first part; 0 if it has none.
	FirstSegment uint64
	// Node is a number of this node's own, the same over time.
	Node uint64
	// Eligible tells whether a replica may get the request.
	Eligible func(replica *fleet.Replica) bool
	// Random returns numbers in [0,1).
	Random func() float64
}

// SampleReplicas returns the replicas to choose from, each once. It finds one if any fits.
func SampleReplicas(directory *fleet.Directory, need SampleOptions, now time.Duration) []fleet.Replica {
	if len(need.Zones) == 0 {
		return nil
	}
	found := make([]fleet.Replica, 0, gatherAffine+gatherDrawn+gatherElsewhere+1)
	if resident, known := directory.ByIncarnation(need.CacheLocation, now); known && need.allows(&resident) {
		found = append(found, resident)
	}
	nearest, others := need.Zones[0], need.Zones[1:]
	if need.FirstSegment != 0 {
		found = directory.After(found, need.Service, nearest, spread(need.FirstSegment), gatherAffine, need.Eligible, now)
	} else {
		found = directory.After(found, need.Service, nearest, spread(need.Node), gatherOwn, need.Eligible, now)
	}
	found = directory.Draw(found, need.Service, nearest, need.Random(), gatherDrawn, need.Eligible, now)
	if len(others) > 0 {
		other := others[int(need.Random()*float64(len(others)))]
		found = directory.Draw(found, need.Service, other, need.Random(), gatherElsewhere, need.Eligible, now)
	}
	if len(found) == 0 {
		return directory.First(need.Service, need.allows, now)
	}
	return onlyOnce(found)
}

// allows tells whether a replica fits and lies in one of the zones.
func (g *SampleOptions) allows(replica *fleet.Replica) bool {
	return replica.Service == g.Service && slices.Contains(g.Zones, replica.Zone) && g.Eligible(replica)
}

// spread turns a number into a place on the ring of replicas.
func spread(number uint64) uint64 {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], number)
	return xxhash.Sum64(encoded[:])
}

// onlyOnce drops replicas that were found before. There are few.
func onlyOnce(found []fleet.Replica) []fleet.Replica {
	kept := found[:0]
	for i := range found {
		if !slices.ContainsFunc(kept, func(other fleet.Replica) bool { return other.Instance == found[i].Instance }) {
			kept = append(kept, found[i])
		}
	}
	return kept
}
