// Package blackboard provides the state that a node's controllers share. Each
// value has one writer, except where its field says otherwise; all controllers
// may read it. Controllers never call each other.
//
// Single values are in a Cell, keyed values in a Map with a lock for each of its
// shards. Values are replaced and never modified in place, so a reader may
// retain a value that it loaded.
package blackboard

import (
	"context"
	"sync"
)

// Cell contains one value that is replaced atomically. It is safe for concurrent
// use.
type Cell[T any] struct {
	mutex   sync.Mutex
	value   T
	version uint64
	changed chan struct{}
}

// NewCell returns a cell that contains value.
func NewCell[T any](value T) *Cell[T] {
	return &Cell[T]{value: value, changed: make(chan struct{})}
}

// Load returns the value.
func (c *Cell[T]) Load() T {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.value
}

// Store replaces the value and notifies all watchers.
func (c *Cell[T]) Store(value T) {
	c.Update(func(T) T { return value })
}

// Update atomically replaces the value by the result of change. change runs under
// the cell's lock and must not use the cell.
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

// Await waits until the value satisfies condition and returns it, or ctx's error
// if ctx ends first.
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
