package aggregator

// maxHeldParts bounds the parts that are modelled of one replica.
const maxHeldParts = 4096

// maxPartTokens bounds the length of one part.
const maxPartTokens = 1 << 24

// CacheModel models the prompt memory of one replica: parts of prompts of which the ones
// unused longest give way. It is not safe for concurrent use.
//
// Invariant: total is the sum of the tokens of all held parts, and at most the
// capacity, where one is known, unless one part alone is larger.
type CacheModel struct {
	capacity, total int
	held            map[uint32]*heldPart
	// newest and oldest end a list by last use.
	newest, oldest *heldPart
}

// heldPart is one part in the list; newer and older are its neighbours.
type heldPart struct {
	id           uint32
	tokens       int
	newer, older *heldPart
}

// Resize sets how many tokens fit.
func (m *CacheModel) Resize(capacity int) {
	m.capacity = capacity
	m.evict()
}

// Insert notes that the replica holds a prompt's parts, which counts as a use of each. A
// part that was held shorter has grown.
func (m *CacheModel) Insert(parts []Segment) {
	if m.held == nil {
		m.held = map[uint32]*heldPart{}
	}
	// The last part is of use only with those before it, so it is the first to go.
	for i := len(parts) - 1; i >= 0; i-- {
		m.use(parts[i])
	}
	m.evict()
}

func (m *CacheModel) use(part Segment) {
	tokens := min(max(part.Tokens, 0), maxPartTokens)
	known, found := m.held[part.ID]
	if found {
		m.unlink(known)
	} else {
		known = &heldPart{id: part.ID}
		m.held[part.ID] = known
	}
	m.total += max(tokens-known.tokens, 0)
	known.tokens = max(tokens, known.tokens)
	m.pushNewest(known)
}

// evict drops the parts unused longest until the rest fits.
func (m *CacheModel) evict() {
	for m.oldest != m.newest && (m.capacity > 0 && m.total > m.capacity || len(m.held) > maxHeldParts) {
		gone := m.oldest
		m.unlink(gone)
		delete(m.held, gone.id)
		m.total -= gone.tokens
	}
}

// Cached returns how many tokens of a prompt are held, from the first part on without
// a gap.
func (m *CacheModel) Cached(parts []Segment) int {
	total := 0
	for _, part := range parts {
		known, found := m.held[part.ID]
		if !found {
			break
		}
		total += min(known.tokens, part.Tokens)
		if known.tokens < part.Tokens {
			break
		}
	}
	return total
}

func (m *CacheModel) pushNewest(part *heldPart) {
	part.older = m.newest
	if m.newest != nil {
		m.newest.newer = part
	}
	m.newest = part
	if m.oldest == nil {
		m.oldest = part
	}
}

func (m *CacheModel) unlink(part *heldPart) {
	if part.newer != nil {
		part.newer.older = part.older
	} else {
		m.newest = part.older
	}
	if part.older != nil {
		part.older.newer = part.newer
	} else {
		m.oldest = part.newer
	}
	part.newer, part.older = nil, nil
}
