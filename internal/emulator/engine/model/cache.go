package model

import (
	"container/list"
	"slices"

	"stepseam.example/stepseam/internal/identity"
)

// Key identifies the prefix of one branch of one program. Prefixes are not shared between
// keys.
type Key struct {
	Program identity.ProgramID
	Branch  identity.BranchID
}

// Segment is one piece of a prompt, such as a message: the digest of its content and its
// length in tokens. Two prompts share a prefix up to the first segment in which they
// differ. A simulation without real messages may use turn numbers as digests.
type Segment struct {
	Digest uint64
	Tokens int
}

// CountTokens returns the sum of the segments' tokens.
func CountTokens(segments []Segment) int {
	total := 0
	for _, segment := range segments {
		total += segment.Tokens
	}
	return total
}

// Change states that the cache now contains Tokens for Key; Stored is false if that is
// less than before.
type Change struct {
	Key    Key
	Tokens int
	Stored bool
	// Wanted is true if the memory was freed by Release and not by eviction.
	Wanted bool
}

// Held is the memory that one key uses.
type Held struct {
	Key    Key
	Tokens int
	// Running counts the streams that use part of it.
	Running int
}

// Cache is the memory of one engine. Running streams reserve memory until they end
// (Lease); cached prefixes fill the rest and are evicted from the tail of the least
// recently used one. A prefix that a running stream reads is pinned. Cache has no lock:
// its owner serialises all calls.
type Cache struct {
	capacity int
	entries  map[Key]*entry
	// recent orders entries by last use, the most recent first.
	recent *list.List
	leases map[*Lease]struct{}
	// kept counts the tokens of entries, reserved those of leases.
	kept     int
	reserved int
	changes  []Change
}

type entry struct {
	key      Key
	segments []Segment
	tokens   int
	pins     int
	element  *list.Element
}

// Lease is the memory of one running stream.
type Lease struct {
	key    Key
	prompt []Segment
	// Cached is the number of prompt tokens found in the cache; PromptTokens is the whole
	// prompt.
	Cached       int
	PromptTokens int
	reserved     int
	pinned       *entry
	// released is set if the key was released while the stream ran, so that its prefix is
	// not cached at the end.
	released bool
}

// NewCache returns an empty cache of capacity tokens.
func NewCache(capacity int) *Cache {
	return &Cache{
		capacity: capacity,
		entries:  map[Key]*entry{},
		recent:   list.New(),
		leases:   map[*Lease]struct{}{},
	}
}

// Capacity returns the size in tokens.
func (c *Cache) Capacity() int { return c.capacity }

// Used returns the tokens of cached prefixes and running streams.
func (c *Cache) Used() int { return c.kept + c.reserved }

// Programs returns the number of programs that use memory.
func (c *Cache) Programs() int {
	programs := map[identity.ProgramID]struct{}{}
	for key := range c.entries {
		programs[key.Program] = struct{}{}
	}
	for lease := range c.leases {
		programs[lease.key.Program] = struct{}{}
	}
	return len(programs)
}

// TakeChanges returns the changes since the last call, in order.
func (c *Cache) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// Match returns how many tokens of prompt are in the cache. The last segment never counts
// in full: an engine needs at least one token to compute the next one from.
func (c *Cache) Match(key Key, prompt []Segment) int {
	_, tokens := c.match(key, prompt)
	return tokens
}

func (c *Cache) match(key Key, prompt []Segment) (segments, tokens int) {
	held, found := c.entries[key]
	if !found {
		return 0, 0
	}
	for segments < len(held.segments) && segments < len(prompt)-1 && held.segments[segments] == prompt[segments] {
		tokens += prompt[segments].Tokens
		segments++
	}
	return segments, tokens
}

// Begin reserves memory for a stream with prompt that generates up to maxTokens, and pins
// the cached part of the prompt. It returns false and changes nothing if evicting all
// unpinned prefixes would not make enough room.
func (c *Cache) Begin(key Key, prompt []Segment, maxTokens int) (*Lease, bool) {
	segments, cached := c.match(key, prompt)
	held := c.entries[key]
	lease := &Lease{
		key: key, prompt: slices.Clone(prompt), Cached: cached, PromptTokens: CountTokens(prompt),
	}
	lease.reserved = lease.PromptTokens - cached + maxTokens
	if !c.makeRoomBeside(held, cached, lease.reserved) {
		return nil, false
	}
	if segments > 0 {
		lease.pinned = held
		held.pins++
		c.recent.MoveToFront(held.element)
	}
	c.reserved += lease.reserved
	c.leases[lease] = struct{}{}
	return lease, true
}

// makeRoomBeside makes room for tokens without evicting the first cached tokens of held,
// which may be nil. The rest of held differs from the new prompt and is evicted at once,
// unless a running stream reads it. Without enough room it returns false and changes
// nothing.
func (c *Cache) makeRoomBeside(held *entry, cached, tokens int) bool {
	if held == nil {
		held = &entry{}
	}
	tail := 0
	if held.pins == 0 {
		tail = held.tokens - cached
	}
	held.pins++ // excludes held from eviction
	defer func() { held.pins-- }()
	if !c.fits(tokens - tail) {
		return false
	}
	if tail > 0 {
		c.trim(held, tail)
	}
	c.makeRoom(tokens)
	return true
}

// fits reports whether evicting unpinned prefixes makes room for tokens.
func (c *Cache) fits(tokens int) bool {
	free := c.capacity - c.Used()
	if free >= tokens {
		return true
	}
	for element := c.recent.Back(); element != nil; element = element.Prev() {
		if candidate := element.Value.(*entry); candidate.pins == 0 {
			free += candidate.tokens
			if free >= tokens {
				return true
			}
		}
	}
	return false
}

// makeRoom evicts from the tails of the least recently used prefixes.
func (c *Cache) makeRoom(tokens int) {
	for element := c.recent.Back(); element != nil && c.capacity-c.Used() < tokens; {
		candidate := element.Value.(*entry)
		element = element.Prev()
		if candidate.pins == 0 {
			c.trim(candidate, tokens-(c.capacity-c.Used()))
		}
	}
}

// trim evicts whole segments from the tail until at least tokens are free.
func (c *Cache) trim(held *entry, tokens int) {
	freed := 0
	for len(held.segments) > 0 && freed < tokens {
		last := len(held.segments) - 1
		freed += held.segments[last].Tokens
		held.segments = held.segments[:last]
	}
	held.tokens -= freed
	c.kept -= freed
	if len(held.segments) == 0 {
		c.remove(held)
	}
	c.changes = append(c.changes, Change{Key: held.key, Tokens: held.tokens})
}

func (c *Cache) remove(held *entry) {
	delete(c.entries, held.key)
	c.recent.Remove(held.element)
}

// End frees the reservation of lease. With keep, the prompt and generated segments become
// the key's cached prefix, unless the key was released meanwhile. It must be called once
// for each lease.
func (c *Cache) End(lease *Lease, keep bool, generated ...Segment) {
	if _, running := c.leases[lease]; !running {
		return
	}
	delete(c.leases, lease)
	c.reserved -= lease.reserved
	if lease.pinned != nil {
		lease.pinned.pins--
	}
	if !keep || lease.released {
		return
	}
	c.Store(lease.key, append(lease.prompt, generated...))
}

// Store makes segments the cached prefix of key, as after an import. It returns false and
// changes nothing if a running stream reads a prefix that the new one does not continue,
// or if there is no room.
func (c *Cache) Store(key Key, segments []Segment) bool {
	tokens := CountTokens(segments)
	held, found := c.entries[key]
	if !found {
		if tokens == 0 || !c.fits(tokens) {
			return false
		}
		c.makeRoom(tokens)
		held = &entry{key: key}
		held.element = c.recent.PushFront(held)
		c.entries[key] = held
	} else {
		if held.pins > 0 && !continues(held.segments, segments) {
			return false
		}
		held.pins++ // excludes held from eviction for its own growth
		fits := c.fits(tokens - held.tokens)
		if fits {
			c.makeRoom(tokens - held.tokens)
			c.recent.MoveToFront(held.element)
		}
		held.pins--
		if !fits {
			return false
		}
	}
	before := held.tokens
	c.kept += tokens - before
	held.segments, held.tokens = slices.Clone(segments), tokens
	c.changes = append(c.changes, Change{Key: key, Tokens: tokens, Stored: tokens >= before})
	return true
}

func continues(held, segments []Segment) bool {
	return len(segments) >= len(held) && slices.Equal(held, segments[:len(held)])
}

// Segments returns the cached prefix of key, for an export.
func (c *Cache) Segments(key Key) []Segment {
	if held, found := c.entries[key]; found {
		return slices.Clone(held.segments)
	}
	return nil
}

// Release frees the cached prefixes of program, or of one branch if branch is set, and
// returns the number of tokens freed. Streams of it that still run keep their reservation
// until they end, and their prefixes are not cached.
func (c *Cache) Release(program identity.ProgramID, branch identity.BranchID) int {
	matches := func(key Key) bool {
		return key.Program == program && (branch == "" || key.Branch == branch)
	}
	for lease := range c.leases {
		if matches(lease.key) {
			lease.released = true
		}
	}
	freed := 0
	for element := c.recent.Front(); element != nil; {
		held := element.Value.(*entry)
		element = element.Next()
		if !matches(held.key) {
			continue
		}
		freed += held.tokens
		c.kept -= held.tokens
		c.remove(held)
		// A running stream still reads it: the stream's reservation is charged with the
		// memory.
		c.moveToReaders(held)
		c.changes = append(c.changes, Change{Key: held.key, Wanted: true})
	}
	return freed
}

// moveToReaders charges the memory of a removed prefix to one stream that reads it.
func (c *Cache) moveToReaders(held *entry) {
	if held.pins == 0 {
		return
	}
	for lease := range c.leases {
		if lease.pinned == held {
			lease.reserved += held.tokens
			c.reserved += held.tokens
			return
		}
	}
}

// Held lists the memory that each key uses, cached and running, sorted by key.
func (c *Cache) Held() []Held {
	byKey := map[Key]Held{}
	for key, held := range c.entries {
		byKey[key] = Held{Key: key, Tokens: held.tokens}
	}
	for lease := range c.leases {
		held := byKey[lease.key]
		held.Key = lease.key
		held.Tokens += lease.reserved
		held.Running++
		byKey[lease.key] = held
	}
	all := make([]Held, 0, len(byKey))
	for _, held := range byKey {
		all = append(all, held)
	}
	slices.SortFunc(all, func(a, b Held) int {
		if a.Key.Program != b.Key.Program {
			return compare(a.Key.Program, b.Key.Program)
		}
		return compare(a.Key.Branch, b.Key.Branch)
	})
	return all
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
