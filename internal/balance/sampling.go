package balance

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/fleet"
)

// Of a service with many replicas, only a sample is considered for each request: replicas
// that are likely to have the prompt cached or to have an open connection, and a few random
// ones, since the least loaded of a few random replicas is nearly as good as the least
// loaded of all. This keeps the cost of a selection, and the number of queries to
// aggregators, independent of the number of replicas: a selection costs the same among 60
// and 20,000, with about eight queries a request.
const (
	// sampleBySegment replicas are selected by the hash of the prompt's first segment. All
	// nodes of a zone select the same ones, so that few replicas prefill a shared segment.
	sampleBySegment = 4
	// sampleByNode replicas are selected by the node's hash for requests without a prompt, so
	// that connections are reused.
	sampleByNode = 3
	// sampleRandom random replicas come from the nearest zone, sampleOtherZone from
	// another.
	sampleRandom    = 2
	sampleOtherZone = 1
)

// SampleOptions defines which replicas of a service to sample for a request.
type SampleOptions struct {
	Service string
	// Zones are the zones that the request may go to, nearest first.
	Zones []string
	// CacheLocation is the incarnation ID of the replica that has the prompt's prefix in
	// its cache; empty if unknown.
	CacheLocation string
	// FirstSegment is the ID of the prompt's first segment; 0 if there is none.
	FirstSegment uint64
	// Node is a number that identifies this node and does not change.
	Node uint64
	// Eligible reports whether a replica may get the request.
	Eligible func(replica *fleet.Replica) bool
	// Random returns numbers in [0,1).
	Random func() float64
}

// SampleReplicas returns a sample of distinct eligible replicas. It is empty only if no
// replica is eligible.
func SampleReplicas(directory *fleet.Directory, options SampleOptions, now time.Duration) []fleet.Replica {
	if len(options.Zones) == 0 {
		return nil
	}
	found := make([]fleet.Replica, 0, sampleBySegment+sampleRandom+sampleOtherZone+1)
	if cached, exists := directory.ByIncarnation(options.CacheLocation, now); exists && options.allows(&cached) {
		found = append(found, cached)
	}
	nearest, others := options.Zones[0], options.Zones[1:]
	if options.FirstSegment != 0 {
		found = directory.After(found, options.Service, nearest, ringPosition(options.FirstSegment), sampleBySegment, options.Eligible, now)
	} else {
		found = directory.After(found, options.Service, nearest, ringPosition(options.Node), sampleByNode, options.Eligible, now)
	}
	found = directory.Draw(found, options.Service, nearest, options.Random(), sampleRandom, options.Eligible, now)
	if len(others) > 0 {
		other := others[int(options.Random()*float64(len(others)))]
		found = directory.Draw(found, options.Service, other, options.Random(), sampleOtherZone, options.Eligible, now)
	}
	if len(found) == 0 {
		return directory.First(options.Service, options.allows, now)
	}
	return removeDuplicates(found)
}

// allows reports whether a replica is eligible and in one of the zones.
func (o *SampleOptions) allows(replica *fleet.Replica) bool {
	return replica.Service == o.Service && slices.Contains(o.Zones, replica.Zone) && o.Eligible(replica)
}

// ringPosition hashes a number to a position on the ring of replicas.
func ringPosition(number uint64) uint64 {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], number)
	return xxhash.Sum64(encoded[:])
}

// removeDuplicates removes duplicates in place.
func removeDuplicates(found []fleet.Replica) []fleet.Replica {
	distinct := found[:0]
	for i := range found {
		if !slices.ContainsFunc(distinct, func(other fleet.Replica) bool { return other.Instance == found[i].Instance }) {
			distinct = append(distinct, found[i])
		}
	}
	return distinct
}
