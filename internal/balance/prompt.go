package balance

// maxSegmentsPerReplica bounds the number of segments tracked per replica. When it is
// reached, the older half is dropped.
const maxSegmentsPerReplica = 4096

// Segment is a contiguous piece of a prompt.
type Segment struct {
	// ID identifies the content. The last segment of a program's prompt keeps its ID while
	// it grows from turn to turn.
	ID uint64
	// Tokens is the length in tokens.
	Tokens int
}

// Prompt is the input of a request.
type Prompt struct {
	Segments []Segment
	// Tokens is the total length in tokens.
	Tokens int
	// CacheLocation is the replica that ran the program's previous turn, by the ledger.
	CacheLocation CacheLocation
}

// CacheLocation is a replica that has a prefix of the prompt in its cache.
type CacheLocation struct {
	Instance string
	// Tokens is the length of the cached prefix.
	Tokens int
}

// sentSegments tracks the segments sent to a replica, and up to which length, in two
// generations.
type sentSegments struct {
	recent, older map[uint64]int32
}

// cached returns the length of the prefix of segments that was sent before without a gap.
func (m *sentSegments) cached(segments []Segment) int {
	total := 0
	for _, segment := range segments {
		sent := int(max(m.recent[segment.ID], m.older[segment.ID]))
		total += min(sent, segment.Tokens)
		if sent < segment.Tokens {
			break
		}
	}
	return total
}

// add records that segments are sent to the replica.
func (m *sentSegments) add(segments []Segment) {
	if m.recent == nil || len(m.recent)+len(segments) > maxSegmentsPerReplica/2 {
		m.older, m.recent = m.recent, map[uint64]int32{}
	}
	for _, segment := range segments {
		m.recent[segment.ID] = int32(min(max(segment.Tokens, 0), maxSegmentTokens))
	}
}

// maxSegmentTokens bounds the tracked length of a segment.
const maxSegmentTokens = 1 << 30
