package backends

import (
	"container/list"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// CachedPrefix is one prefix that an engine is expected to have cached.
type CachedPrefix struct {
	Backend string
	Tokens  int
}

// CacheMap estimates which engines have which branches' prefixes cached. It covers
// the branches whose calls went through this node and is corrected by the engines'
// cache events and listings. Events are late and may be lost, so entries may be
// missing or stale: the map may influence the choice of an engine but must not
// decide which prefixes are released. It is safe for concurrent use.
type CacheMap struct {
	limit int
	// ownEntryGrace is how long an entry recorded by a call of this node takes
	// precedence over events, which may be older.
	ownEntryGrace time.Duration

	// mutex guards all below.
	mutex    sync.Mutex
	entries  map[entryKey]*list.Element
	branches map[branchKey]map[string]struct{}
	engines  map[string]int
	// recent orders the entries by the time of recording, the newest in front.
	recent *list.List
}

type branchKey struct {
	program identity.ProgramID
	branch  identity.BranchID
}

type entryKey struct {
	backend string
	branchKey
}

type cacheEntry struct {
	key        entryKey
	tokens     int
	recordedAt time.Time
}

// NewCacheMap returns an empty map that keeps up to limit prefixes and evicts the
// least recently recorded ones.
func NewCacheMap(limit int, ownEntryGrace time.Duration) *CacheMap {
	return &CacheMap{
		limit: max(limit, 1), ownEntryGrace: ownEntryGrace,
		entries:  map[entryKey]*list.Element{},
		branches: map[branchKey]map[string]struct{}{},
		engines:  map[string]int{},
		recent:   list.New(),
	}
}

// Record replaces the entry of a branch at an engine after a call of this node
// left tokens in its cache.
func (m *CacheMap) Record(now time.Time, engine string, program identity.ProgramID, branch identity.BranchID, tokens int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := entryKey{backend: engine, branchKey: branchKey{program: program, branch: branch}}
	m.remove(key)
	if tokens <= 0 {
		return
	}
	m.entries[key] = m.recent.PushFront(&cacheEntry{key: key, tokens: tokens, recordedAt: now})
	if m.branches[key.branchKey] == nil {
		m.branches[key.branchKey] = map[string]struct{}{}
	}
	m.branches[key.branchKey][engine] = struct{}{}
	m.engines[engine]++
	if len(m.entries) > m.limit {
		m.remove(m.recent.Back().Value.(*cacheEntry).key)
	}
}

func (m *CacheMap) remove(key entryKey) {
	element, found := m.entries[key]
	if !found {
		return
	}
	m.recent.Remove(element)
	delete(m.entries, key)
	delete(m.branches[key.branchKey], key.backend)
	if len(m.branches[key.branchKey]) == 0 {
		delete(m.branches, key.branchKey)
	}
	if m.engines[key.backend]--; m.engines[key.backend] == 0 {
		delete(m.engines, key.backend)
	}
}

// correct sets an existing entry to the tokens that the engine reported, unless
// the entry was recorded after before.
func (m *CacheMap) correct(before time.Time, key entryKey, tokens int) {
	element, found := m.entries[key]
	if !found || element.Value.(*cacheEntry).recordedAt.After(before) {
		return
	}
	if tokens <= 0 {
		m.remove(key)
		return
	}
	element.Value.(*cacheEntry).tokens = tokens
}

// Apply corrects the entries of an engine by its events, in order.
func (m *CacheMap) Apply(now time.Time, engine string, events []backend.CacheEvent) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, event := range events {
		key := entryKey{backend: engine, branchKey: branchKey{program: event.Prefix.Program, branch: event.Prefix.Branch}}
		m.correct(now.Add(-m.ownEntryGrace), key, event.Prefix.Tokens)
	}
}

// Replace corrects the entries of an engine by a listing of its whole cache that
// was requested at requestedAt. Entries that are not listed are removed.
func (m *CacheMap) Replace(requestedAt time.Time, engine string, listed []backend.HeldPrefix) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	tokens := make(map[branchKey]int, len(listed))
	for _, prefix := range listed {
		tokens[branchKey{program: prefix.Program, branch: prefix.Branch}] = prefix.Tokens
	}
	for key := range m.entries {
		if key.backend == engine {
			m.correct(requestedAt, key, tokens[key.branchKey])
		}
	}
}

// Forget removes all entries of an engine.
func (m *CacheMap) Forget(engine string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for key := range m.entries {
		if key.backend == engine {
			m.remove(key)
		}
	}
}

// HasEntries reports whether the map has entries of an engine. Without any, the
// engine's events need not be read.
func (m *CacheMap) HasEntries(engine string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.engines[engine] > 0
}

// Tokens returns how many tokens of the branch's prefix the engine is expected to
// have cached, 0 if there is no entry.
func (m *CacheMap) Tokens(engine string, program identity.ProgramID, branch identity.BranchID) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	element, found := m.entries[entryKey{backend: engine, branchKey: branchKey{program: program, branch: branch}}]
	if !found {
		return 0
	}
	return element.Value.(*cacheEntry).tokens
}

// Holders returns the engines that are expected to have the branch's prefix
// cached, in no particular order.
func (m *CacheMap) Holders(program identity.ProgramID, branch identity.BranchID) []CachedPrefix {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var prefixes []CachedPrefix
	key := branchKey{program: program, branch: branch}
	for engine := range m.branches[key] {
		element := m.entries[entryKey{backend: engine, branchKey: key}]
		prefixes = append(prefixes, CachedPrefix{Backend: engine, Tokens: element.Value.(*cacheEntry).tokens})
	}
	return prefixes
}

// Len returns the number of entries.
func (m *CacheMap) Len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.entries)
}
