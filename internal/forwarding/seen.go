package forwarding

import (
	"errors"
	"sync"
	"time"
)

// seenPeriod is how long a try is remembered at least; a message that is
// delivered twice comes the second time within it.
const seenPeriod = 15 * time.Second

// errDelivered answers a request that was delivered before. Nobody waits for
// this answer: the try's own goes with its first delivery.
var errDelivered = errors.New("forwarding: the request was delivered before")

// seen remembers the tries that were delivered to this node, so that each is
// acted on once. Without it a late second delivery could run a call whose first
// delivery was refused as not run.
type seen struct {
	// mutex guards all below. A try stands in current or, for one period more, in former.
	mutex   sync.Mutex
	current map[uint64]struct{}
	former  map[uint64]struct{}
	began   time.Time
}

// first tells whether try is delivered for the first time.
func (s *seen) first(try uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := time.Now(); s.current == nil || now.Sub(s.began) >= seenPeriod {
		s.former, s.current, s.began = s.current, map[uint64]struct{}{}, now
	}
	if _, found := s.current[try]; found {
		return false
	}
	if _, found := s.former[try]; found {
		return false
	}
	s.current[try] = struct{}{}
	return true
}
