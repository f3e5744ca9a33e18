package backends

import (
	"container/list"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// CachedPrefix is one prefix that an engine is believed to hold.
type CachedPrefix struct {
	Backend string
	Tokens  int
}

// CacheMap is which engine is believed to hold which branch's prefix. It knows
// the branches whose calls went through this node; the engines' cache events and
// lists correct it. Events come late and with gaps, so the map may be wrong
// either way at any time: it may steer a choice and must never decide what is
// released. One mutex guards it.
type CacheMap struct {
	limit int
	// settle is how long a belief from a call of our own stands against events,
	// which may be older than it.
	settle time.Duration

	mutex    sync.Mutex
	entries  map[holdingKey]*list.Element
	branches map[branchKey]map[string]struct{}
	engines  map[string]int
	// recent orders entries by last belief, the newest in front.
	recent *list.List
}

type branchKey struct {
	program identity.ProgramID
	branch  identity.BranchID
}

type holdingKey struct {
	backend string
	branchKey
}

type holding struct {
	key      holdingKey
	tokens   int
	believed time.Time
}

// NewCacheMap returns an empty map of at most limit prefixes.
func NewCacheMap(limit int, settle time.Duration) *CacheMap {
	return &CacheMap{
		limit: max(limit, 1), settle: settle,
		entries:  map[holdingKey]*list.Element{},
		branches: map[branchKey]map[string]struct{}{},
		engines:  map[string]int{},
		recent:   list.New(),
	}
}

// Record notes that a call of our own left tokens at the engine.
func (m *CacheMap) Record(now time.Time, engine string, program identity.ProgramID, branch identity.BranchID, tokens int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := holdingKey{backend: engine, branchKey: branchKey{program: program, branch: branch}}
	m.drop(key)
	if tokens <= 0 {
		return
	}
	m.entries[key] = m.recent.PushFront(&holding{key: key, tokens: tokens, believed: now})
	if m.branches[key.branchKey] == nil {
		m.branches[key.branchKey] = map[string]struct{}{}
	}
	m.branches[key.branchKey][engine] = struct{}{}
	m.engines[engine]++
	if len(m.entries) > m.limit {
		m.drop(m.recent.Back().Value.(*holding).key)
	}
}

func (m *CacheMap) drop(key holdingKey) {
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

// correct sets a known prefix to what the engine said, unless our own belief is
// too recent for that.
func (m *CacheMap) correct(before time.Time, key holdingKey, tokens int) {
	element, found := m.entries[key]
	if !found || element.Value.(*holding).believed.After(before) {
		return
	}
	if tokens <= 0 {
		m.drop(key)
		return
	}
	element.Value.(*holding).tokens = tokens
}

// Apply corrects what is believed of an engine by its events, in their order.
func (m *CacheMap) Apply(now time.Time, engine string, events []backend.CacheEvent) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, event := range events {
		key := holdingKey{backend: engine, branchKey: branchKey{program: event.Prefix.Program, branch: event.Prefix.Branch}}
		m.correct(now.Add(-m.settle), key, event.Prefix.Tokens)
	}
}

// Replace corrects what is believed of an engine by the list of all that it
// held when it was asked, at asked. What it does not list is gone.
func (m *CacheMap) Replace(asked time.Time, engine string, held []backend.HeldPrefix) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	tokens := make(map[branchKey]int, len(held))
	for _, prefix := range held {
		tokens[branchKey{program: prefix.Program, branch: prefix.Branch}] = prefix.Tokens
	}
	for key := range m.entries {
		if key.backend == engine {
			m.correct(asked, key, tokens[key.branchKey])
		}
	}
}

// Forget drops all that is believed of an engine, as after its death.
func (m *CacheMap) Forget(engine string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for key := range m.entries {
		if key.backend == engine {
			m.drop(key)
		}
	}
}

// HasEntries tells whether anything is believed of an engine, so that its events matter.
func (m *CacheMap) HasEntries(engine string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.engines[engine] > 0
}

// Tokens returns how many tokens of the branch's prefix the engine is believed
// to hold; 0 also where nothing is known.
func (m *CacheMap) Tokens(engine string, program identity.ProgramID, branch identity.BranchID) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	element, found := m.entries[holdingKey{backend: engine, branchKey: branchKey{program: program, branch: branch}}]
	if !found {
		return 0
	}
	return element.Value.(*holding).tokens
}

// Holders returns the engines that are believed to hold the branch's prefix, in
// no particular order.
func (m *CacheMap) Holders(program identity.ProgramID, branch identity.BranchID) []CachedPrefix {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var holdings []CachedPrefix
	key := branchKey{program: program, branch: branch}
	for engine := range m.branches[key] {
		element := m.entries[holdingKey{backend: engine, branchKey: key}]
		holdings = append(holdings, CachedPrefix{Backend: engine, Tokens: element.Value.(*holding).tokens})
	}
	return holdings
}

// Len returns the number of prefixes.
func (m *CacheMap) Len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.entries)
}
