package blackboard

import (
	"hash/maphash"
	"sync"
)

// shardCount is the number of locks of a Map; a power of two.
const shardCount = 32

// Map is a map in shards, each guarded by its own lock. It is safe for concurrent
// use.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	mutex  sync.RWMutex
	values map[K]V
}

// NewMap returns an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].values = map[K]V{}
	}
	return m
}

func (m *Map[K, V]) shard(key K) *mapShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%shardCount]
}

// Load returns the value of key.
func (m *Map[K, V]) Load(key K) (V, bool) {
	shard := m.shard(key)
	shard.mutex.RLock()
	defer shard.mutex.RUnlock()
	value, found := shard.values[key]
	return value, found
}

// Store sets the value of key.
func (m *Map[K, V]) Store(key K, value V) {
	shard := m.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.values[key] = value
}

// Update atomically replaces the value of key by the result of change. change
// gets the zero value and false if the key is absent, and returns false to remove
// the key. It runs under the shard's lock and must not use the map.
func (m *Map[K, V]) Update(key K, change func(value V, found bool) (V, bool)) {
	shard := m.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	value, found := shard.values[key]
	if value, keep := change(value, found); keep {
		shard.values[key] = value
		return
	}
	delete(shard.values, key)
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	shard := m.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	delete(shard.values, key)
}

// Clone returns a copy of the map. Each shard is copied atomically, the map as a
// whole is not.
func (m *Map[K, V]) Clone() map[K]V {
	all := map[K]V{}
	for i := range m.shards {
		shard := &m.shards[i]
		shard.mutex.RLock()
		for key, value := range shard.values {
			all[key] = value
		}
		shard.mutex.RUnlock()
	}
	return all
}

// Len returns the number of keys. Like Clone it is atomic only for each shard.
func (m *Map[K, V]) Len() int {
	count := 0
	for i := range m.shards {
		shard := &m.shards[i]
		shard.mutex.RLock()
		count += len(shard.values)
		shard.mutex.RUnlock()
	}
	return count
}
