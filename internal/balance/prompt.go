package balance

// partsPerReplica bounds the prompt parts remembered of one replica. When it is
// reached, the older half is forgotten.
const partsPerReplica = 4096

// Segment is one piece of a prompt.
type Segment struct {
	// ID is the same wherever the same tokens stand. The last part of a program's
	// prompt keeps its ID while it grows from turn to turn.
	ID uint64
	// Tokens is its length.
	Tokens int
}

// Prompt is what a replica has to read for a request.
type Prompt struct {
	Segments []Segment
	// Tokens is its whole length.
	Tokens int
	// CacheLocation is where the program's turn before ran, as the ledger tells.
	CacheLocation CacheLocation
}

// CacheLocation is a replica that holds the beginning of a prompt in its memory.
type CacheLocation struct {
	Instance string
	// Tokens is how much of the prompt it holds.
	Tokens int
}

// promptMemory remembers how much of which parts a replica has been sent.
type promptMemory struct {
	recent, older map[uint64]int32
}

// cached counts the tokens from the first part on that were seen without a gap.
func (m *promptMemory) cached(parts []Segment) int {
	total := 0
	for _, part := range parts {
		seen := int(max(m.recent[part.ID], m.older[part.ID]))
		total += min(seen, part.Tokens)
		if seen < part.Tokens {
			break
		}
	}
	return total
}

// remember notes that the replica gets the parts.
func (m *promptMemory) remember(parts []Segment) {
	if m.recent == nil || len(m.recent)+len(parts) > partsPerReplica/2 {
		m.older, m.recent = m.recent, map[uint64]int32{}
	}
	for _, part := range parts {
		m.recent[part.ID] = int32(min(max(part.Tokens, 0), maxPartTokens))
	}
}

// maxPartTokens bounds the length that is remembered of one part.
const maxPartTokens = 1 << 30
