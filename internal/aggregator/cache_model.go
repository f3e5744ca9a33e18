package aggregator

// maxCachedSegments bounds the modelled segments per replica.
const maxCachedSegments = 4096

// maxSegmentTokens bounds the length of a segment.
const maxSegmentTokens = 1 << 24

// CacheModel models the prefix cache of one replica as an LRU cache of prompt segments. It
// is not safe for concurrent use.
//
// Invariant: total is the sum of the tokens of all entries. It does not exceed a known
// capacity, unless a single segment does.
type CacheModel struct {
	capacity, total int
	entries         map[uint32]*cachedSegment
	// newest and oldest are the ends of the list in the order of last use.
	newest, oldest *cachedSegment
}

// cachedSegment is an entry of the LRU list.
type cachedSegment struct {
	id           uint32
	tokens       int
	newer, older *cachedSegment
}

// Resize sets the capacity in tokens.
func (m *CacheModel) Resize(capacity int) {
	m.capacity = capacity
	m.evict()
}

// Insert records that the replica caches a prompt's segments, which counts as a use of
// each. A segment that is already cached may grow, but does not shrink.
func (m *CacheModel) Insert(segments []Segment) {
	if m.entries == nil {
		m.entries = map[uint32]*cachedSegment{}
	}
	// A segment is useful only together with the preceding ones, so the last one is the
	// first to be evicted.
	for i := len(segments) - 1; i >= 0; i-- {
		m.touch(segments[i])
	}
	m.evict()
}

func (m *CacheModel) touch(segment Segment) {
	tokens := min(max(segment.Tokens, 0), maxSegmentTokens)
	entry, found := m.entries[segment.ID]
	if found {
		m.unlink(entry)
	} else {
		entry = &cachedSegment{id: segment.ID}
		m.entries[segment.ID] = entry
	}
	m.total += max(tokens-entry.tokens, 0)
	entry.tokens = max(tokens, entry.tokens)
	m.pushNewest(entry)
}

// evict removes the least recently used segments until the rest fits.
func (m *CacheModel) evict() {
	for m.oldest != m.newest && (m.capacity > 0 && m.total > m.capacity || len(m.entries) > maxCachedSegments) {
		evicted := m.oldest
		m.unlink(evicted)
		delete(m.entries, evicted.id)
		m.total -= evicted.tokens
	}
}

// Cached returns the number of tokens in the longest cached prefix of a prompt.
func (m *CacheModel) Cached(segments []Segment) int {
	total := 0
	for _, segment := range segments {
		entry, found := m.entries[segment.ID]
		if !found {
			break
		}
		total += min(entry.tokens, segment.Tokens)
		if entry.tokens < segment.Tokens {
			break
		}
	}
	return total
}

func (m *CacheModel) pushNewest(segment *cachedSegment) {
	segment.older = m.newest
	if m.newest != nil {
		m.newest.newer = segment
	}
	m.newest = segment
	if m.oldest == nil {
		m.oldest = segment
	}
}

func (m *CacheModel) unlink(segment *cachedSegment) {
	if segment.newer != nil {
		segment.newer.older = segment.older
	} else {
		m.newest = segment.older
	}
	if segment.older != nil {
		segment.older.newer = segment.newer
	} else {
		m.oldest = segment.newer
	}
	segment.newer, segment.older = nil, nil
}
