package quota

import "time"

// bucket is the token bucket of one tenant at one allocator.
type bucket struct {
	limit Limit
	// requests and programStarts are the tokens as of the partition's filledAt.
	requests, programStarts float64
	programSize             programSizeEstimator
	lastUsed                time.Duration
}

// clip limits the bucket to a capacity.
func (b *bucket) clip(capacity, startCapacity float64) {
	b.requests, b.programStarts = min(b.requests, capacity), min(b.programStarts, startCapacity)
}
