// Package blackboard holds the state that a node's controllers share. A
// controller reads what others wrote and writes what it alone is responsible
// for; controllers never call each other.
//
// Single values stand in a Cell, keyed values in a Map whose shards have a lock
// each. Values are replaced whole and never changed in place, so a reader may
// keep what it read.
package blackboard

import (
	"context"
	"sync"
)

// Cell holds one value that is replaced whole.
type Cell[T any] struct {
	mutex   sync.Mutex
	value   T
	version uint64
	changed chan struct{}
}

// NewCell returns a cell that holds value.
func NewCell[T any](value T) *Cell[T] {
	return &Cell[T]{value: value, changed: make(chan struct{})}
}

// Load returns the value.
func (c *Cell[T]) Load() T {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.value
}

// Store replaces the value and wakes all who wait for a change.
func (c *Cell[T]) Store(value T) {
	c.Update(func(T) T { return value })
}

// Update replaces the value by change of it, atomically.
func (c *Cell[T]) Update(change func(T) T) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.value = change(c.value)
	c.version++
	close(c.changed)
	c.changed = make(chan struct{})
}

// Watch returns the value, its version and a channel that is closed at the next change.
func (c *Cell[T]) Watch() (value T, version uint64, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.value, c.version, c.changed
}

// Await returns the value once it satisfies condition, or ctx's error.
func (c *Cell[T]) Await(ctx context.Context, condition func(T) bool) (T, error) {
	for {
		value, _, changed := c.Watch()
		if condition(value) {
			return value, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return value, ctx.Err()
		}
	}
}
