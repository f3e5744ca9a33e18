package quota

import (
	"slices"
	"time"
)

// bucket is the token bucket of one tenant at one allocator.
type bucket struct {
	limit Limit
	// requests and programStarts are the tokens as of the partition's filledAt.
	requests, programStarts float64
	history                 roomHistory
	programSize             programSizeEstimator
	lastUsed                time.Duration
}

// clip limits the bucket to a capacity and records its free capacity.
func (b *bucket) clip(capacity, startCapacity float64, stamp Stamp) {
	b.requests, b.programStarts = min(b.requests, capacity), min(b.programStarts, startCapacity)
	b.history.add(stamp, capacity-b.requests)
}

// Stamp orders the events of one allocator.
type Stamp uint64

// maxHistory bounds the entries of a roomHistory.
const maxHistory = 1024

// roomHistory is the free capacity of a bucket over time, as far as it determines the least
// free capacity since any event. Tokens that are returned late would otherwise add to those
// that have accrued in their place. Invariant: stamps and rooms increase.
type roomHistory []room

type room struct {
	stamp Stamp
	free  float64
}

// add records the free capacity after an event.
func (h *roomHistory) add(stamp Stamp, free float64) {
	entries := *h
	since := stamp
	for len(entries) > 0 && entries[len(entries)-1].free >= free {
		since = entries[len(entries)-1].stamp
		entries = entries[:len(entries)-1]
	}
	if len(entries) == maxHistory {
		entries = slices.Delete(entries, 0, 1)
	}
	*h = append(entries, room{stamp: since, free: free})
}

// takeBack returns how many of count tokens granted at an event the bucket can take back, as
// if they had never been granted: those for which there has been room ever since. It deducts
// them from the free capacity since then.
func (h *roomHistory) takeBack(count float64, granted Stamp) float64 {
	entries := *h
	// The first entry that covers the time after the event.
	first := 0
	for first < len(entries)-1 && entries[first+1].stamp <= granted {
		first++
	}
	if len(entries) == 0 || entries[first].stamp > granted {
		return 0
	}
	count = min(count, max(entries[first].free, 0))
	for i := first; i < len(entries); i++ {
		entries[i].free -= count
	}
	kept := first
	for kept > 0 && entries[kept-1].free >= entries[first].free {
		kept--
	}
	if kept < first {
		entries[first].stamp = entries[kept].stamp
		entries = slices.Delete(entries, kept, first)
	}
	*h = entries
	return count
}
