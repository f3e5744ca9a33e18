package forwarding

import (
	"errors"
	"sync"
	"time"
)

// deliveryTTL is how long a delivered attempt is remembered at least. Duplicates arrive
// within it.
const deliveryTTL = 15 * time.Second

// errDuplicate is the response to a duplicate delivery. No caller waits for it, since the
// first delivery gets the real response.
var errDuplicate = errors.New("forwarding: the request was delivered before")

// deliveryLog remembers the attempts that were delivered to this node, so that each is
// handled once. Otherwise a delayed duplicate could run a call whose first delivery was
// rejected as not run.
type deliveryLog struct {
	// mutex guards the rest. An attempt is in current, and in former for one more period.
	mutex     sync.Mutex
	current   map[uint64]struct{}
	former    map[uint64]struct{}
	startedAt time.Time
}

// first reports whether this is the first delivery of the attempt.
func (s *deliveryLog) first(attempt uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := time.Now(); s.current == nil || now.Sub(s.startedAt) >= deliveryTTL {
		s.former, s.current, s.startedAt = s.current, map[uint64]struct{}{}, now
	}
	if _, found := s.current[attempt]; found {
		return false
	}
	if _, found := s.former[attempt]; found {
		return false
	}
	s.current[attempt] = struct{}{}
	return true
}
