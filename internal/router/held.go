package router

import (
	"errors"
	"sync/atomic"
)

// reasonBuffersFull is the reason of a rejection with errBuffersFull.
const reasonBuffersFull = "buffers_full"

var errBuffersFull = errors.New("router: too many bytes are held")

// heldBytes counts the bytes that a request holds against a limit for the node. It is not safe for
// concurrent use.
type heldBytes struct {
	used  *atomic.Int64
	limit int64
	held  int64
}

// grow holds more bytes in total. It returns errBuffersFull, and holds no more than before, if the
// node's limit does not allow them.
func (h *heldBytes) grow(total int64) error {
	more := total - h.held
	if more <= 0 {
		return nil
	}
	if h.used.Add(more) > h.limit {
		h.used.Add(-more)
		return errBuffersFull
	}
	h.held = total
	return nil
}

// shrink holds no more than total.
func (h *heldBytes) shrink(total int64) {
	if total < h.held {
		h.used.Add(total - h.held)
		h.held = total
	}
}

func (r *Router) newHeldRequest() *heldBytes {
	return &heldBytes{used: &r.requestBytes, limit: r.config.BufferBytes}
}

func (r *Router) newHeldResponse() *heldBytes {
	return &heldBytes{used: &r.responseBytes, limit: r.config.BufferBytes}
}
