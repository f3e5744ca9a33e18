// Package heldbytes bounds the bytes that a node holds for its peers, over all messages that are
// being received or have not been passed on yet.
package heldbytes

import (
	"errors"
	"sync"
)

var (
	// ErrFull means that the bytes of all holders would exceed the limit.
	ErrFull = errors.New("heldbytes: too many bytes are held")
	// ErrOwnerFull means that the bytes held for one owner would exceed its share.
	ErrOwnerFull = errors.New("heldbytes: too many bytes are held for one peer")
)

// ownerDivisor is the divisor of the limit for the bytes of one owner, so that a peer that sends
// without an end leaves room for the others.
const ownerDivisor = 4

// Limit bounds the bytes of all its holders, and those of each owner. It is safe for concurrent use.
type Limit struct {
	bytes int64

	// mutex guards the fields below.
	mutex sync.Mutex
	used  int64
	// owners holds the bytes of each owner that has some.
	owners map[string]int64
}

// New returns a limit in bytes.
func New(bytes int64) *Limit {
	return &Limit{bytes: bytes, owners: map[string]int64{}}
}

// Used returns the bytes that are held.
func (l *Limit) Used() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.used
}

// Holder returns a holder without bytes. Those of holders with an empty owner count together only.
func (l *Limit) Holder(owner string) *Holder { return &Holder{limit: l, owner: owner} }

// Holder counts the bytes of one message. It is not safe for concurrent use.
type Holder struct {
	limit *Limit
	owner string
	bytes int64
}

// Grow holds total bytes instead of fewer. If the limit does not allow that, it holds no more than
// before and returns ErrFull or ErrOwnerFull.
func (h *Holder) Grow(total int64) error {
	more := total - h.bytes
	if more <= 0 {
		return nil
	}
	l := h.limit
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.used+more > l.bytes {
		return ErrFull
	}
	if h.owner != "" {
		if l.owners[h.owner]+more > l.bytes/ownerDivisor {
			return ErrOwnerFull
		}
		l.owners[h.owner] += more
	}
	l.used += more
	h.bytes = total
	return nil
}

// Shrink holds total bytes instead of more.
func (h *Holder) Shrink(total int64) {
	less := h.bytes - total
	if less <= 0 {
		return
	}
	l := h.limit
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.used -= less
	if h.owner != "" {
		if l.owners[h.owner] -= less; l.owners[h.owner] == 0 {
			delete(l.owners, h.owner)
		}
	}
	h.bytes = total
}

// Release holds no bytes any more.
func (h *Holder) Release() { h.Shrink(0) }
