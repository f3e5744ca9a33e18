// Package distribution spreads keyed topics of the store over all nodes while only a few of
// them read the store, so that the store's load does not grow with nodes times entries.
//
// The nodes of a zone form a tree in the order of a rank that all nodes compute (Plan). The
// first nodes of a zone pull from the readers, the others from their parent; a request
// waits until something has changed. A node without a fresh source tries other nodes, and
// finally reads the store itself (ReadDecider). A position is an offset in the store, so a
// node can continue from any other, and the response with the higher position is the newer
// one.
//
// Topic, Plan and ReadDecider do no I/O and read no clock. Service runs one goroutine per
// topic that pulls, and responds in the goroutines of package peer. The lock of a Topic
// guards its content, the lock of a Service the plan and the members. Topic.Age bounds how
// stale a topic is.
package distribution

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/logstore"
)

// historyLength is the number of changes of a topic that are retained. A peer that is
// further behind gets a snapshot. At 670 changes a second, such as when 20,000 replicas are
// replaced within a minute, it covers six seconds; a change takes 48 bytes.
const historyLength = 4096

// Topic is a node's copy of a keyed topic: the newest value of each key and the recent
// changes. It is safe for concurrent use.
//
// Invariant: items is the result of all records before position, and history contains every
// key that a record between complete and position has changed.
type Topic struct {
	name string

	// mutex guards the fields below.
	mutex sync.Mutex
	known bool
	// position is the offset up to which the topic is known; confirmed is the last time at
	// which the store had nothing beyond it.
	position  logstore.Offset
	confirmed time.Time
	items     map[string][]byte
	// bytes is the total length of all keys and values.
	bytes int
	// sorted contains the keys in order; nil if it must be rebuilt.
	sorted []string
	// history contains the newest changes in order. Changes up to complete may have been
	// dropped.
	history  []change
	complete logstore.Offset
	// changed is closed when a value changes, and then replaced.
	changed chan struct{}
}

// change is a key that changed, and the position at which the change is visible.
type change struct {
	position logstore.Offset
	key      string
}

// NewTopic returns an unknown topic. The name is used in logs and metrics.
func NewTopic(name string) *Topic {
	return &Topic{name: name, items: map[string][]byte{}, changed: make(chan struct{})}
}

// Name returns the name in logs and metrics.
func (t *Topic) Name() string { return t.name }

// Position returns the offset up to which the topic is known; false if it is unknown.
func (t *Topic) Position() (logstore.Offset, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.position, t.known
}

// Size returns the number of keys.
func (t *Topic) Size() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.items)
}

// Bytes returns the total length of all keys and values.
func (t *Topic) Bytes() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.bytes
}

// Age returns the time since the topic was last confirmed to be the newest; false if it
// never was.
func (t *Topic) Age(now time.Time) (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Sub(t.confirmed), t.known && !t.confirmed.IsZero()
}

// Confirmed returns the last time at which the store is known to have had nothing newer.
func (t *Topic) Confirmed() time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.confirmed
}

// Confirm records that the store had nothing newer at the given time.
func (t *Topic) Confirm(at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// Replace sets the content to a snapshot. Its position may be lower than the current one if
// the store has gone back.
func (t *Topic) Replace(items []logstore.Item, position logstore.Offset) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.known || position < t.position {
		t.history, t.complete = nil, position
	}
	t.known, t.position = true, position
	fresh := make(map[string]bool, len(items))
	for _, item := range items {
		fresh[item.Key] = true
	}
	for key := range t.items {
		if !fresh[key] {
			t.put(logstore.Item{Key: key})
		}
	}
	for _, item := range items {
		t.put(item)
	}
	t.notify()
}

// Apply applies changes up to a position. Items that change no value may be omitted.
func (t *Topic) Apply(items []logstore.Item, position logstore.Offset) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.position = position
	for _, item := range items {
		t.put(item)
	}
	if len(items) > 0 {
		t.notify()
	}
}

// put updates one item and the history; the caller must hold the mutex.
func (t *Topic) put(item logstore.Item) {
	before, found := t.items[item.Key]
	switch {
	case item.Value != nil && found && bytes.Equal(before, item.Value):
		return
	case item.Value == nil && !found: // it was added and removed unseen, and others may have seen neither
	case item.Value == nil:
		delete(t.items, item.Key)
		t.bytes -= len(item.Key) + len(before)
		t.sorted = nil
	default:
		t.items[item.Key] = item.Value
		t.bytes += len(item.Value) - len(before)
		if !found {
			t.bytes += len(item.Key)
			t.sorted = nil
		}
	}
	if len(t.history) == historyLength {
		const dropped = historyLength / 4
		t.complete = t.history[dropped-1].position
		t.history = slices.Delete(t.history, 0, dropped)
	}
	t.history = append(t.history, change{position: t.position, key: item.Key})
}

// notify wakes the waiters of Changed; the caller must hold the mutex.
func (t *Topic) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a value changes.
func (t *Topic) Changed() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.changed
}

// Since returns the current values of the keys that have changed since a position, and the
// position of the result; false if the history does not reach back that far.
func (t *Topic) Since(from logstore.Offset) ([]logstore.Item, logstore.Offset, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.known || from < t.complete || from > t.position {
		return nil, t.position, false
	}
	var items []logstore.Item
	named := map[string]bool{}
	for i := len(t.history) - 1; i >= 0 && t.history[i].position > from; i-- {
		if key := t.history[i].key; !named[key] {
			named[key] = true
			items = append(items, logstore.Item{Key: key, Value: t.items[key]})
		}
	}
	slices.Reverse(items)
	return items, t.position, true
}

// Page is a part of a topic's snapshot, in key order.
type Page struct {
	Items []logstore.Item
	// Position is where Since continues for the keys of this page and all after it.
	Position logstore.Offset
	// More is set if keys follow the last item.
	More bool
}

// Page returns the items after a key, up to maxBytes but at least one; false if the topic
// is unknown.
func (t *Topic) Page(after string, maxBytes int) (Page, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.known {
		return Page{}, false
	}
	if t.sorted == nil {
		t.sorted = make([]string, 0, len(t.items))
		for key := range t.items {
			t.sorted = append(t.sorted, key)
		}
		slices.Sort(t.sorted)
	}
	page := Page{Position: t.position}
	begin, found := slices.BinarySearch(t.sorted, after)
	if found {
		begin++
	}
	size := 0
	for _, key := range t.sorted[begin:] {
		value := t.items[key]
		if size += len(key) + len(value); size > maxBytes && len(page.Items) > 0 {
			page.More = true
			return page, true
		}
		page.Items = append(page.Items, logstore.Item{Key: key, Value: value})
	}
	return page, true
}
