package origin

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

const (
	// noticeTimeout bounds one notice, beside the round trips to the holder.
	noticeTimeout = 300 * time.Millisecond
	// maxBatch is the number of records in one notice, and maxQueue that of records that wait
	// for one holder.
	maxBatch = 256
	maxQueue = 4096
	// enoughCopies is the number of holders that must have stored a record, or all other nodes
	// of a smaller site; with fewer the record is distributed again each redistributeInterval.
	enoughCopies         = 3
	redistributeInterval = 500 * time.Millisecond
	// maxUnconfirmed bounds the records to distribute again.
	maxUnconfirmed = 4096
)

// distribution is one record on its way to its holders.
type distribution struct {
	record    Record
	startedAt time.Duration
	// candidates are the possible holders by rank. The first of them are sent the record at
	// once, each further one after a failure; next is the first that was not.
	candidates []identity.Node
	next       atomic.Int32
	// open counts the notices without an outcome, stored those that succeeded.
	open, stored atomic.Int32
}

// sender sends the records for one holder, several in a notice while an earlier one is under
// way. The service's mutex guards it.
type sender struct {
	queue []*distribution
}

// distribute starts to copy a record to its holders.
func (s *Service) distribute(record Record) {
	candidates := s.holders(record.Key)
	one := &distribution{record: record, startedAt: s.config.Now(), candidates: candidates}
	first := candidates[:min(copies, len(candidates))]
	one.next.Store(int32(len(first)))
	one.open.Store(int32(len(first)))
	for _, holder := range first {
		s.enqueue(holder, one)
	}
	if len(first) == 0 {
		s.ended(one)
	}
}

// enqueue adds a record to a holder's queue and starts its sender if there is none.
func (s *Service) enqueue(holder identity.Node, one *distribution) {
	if !s.tryEnqueue(holder, one) {
		s.failed(one)
	}
}

// tryEnqueue returns false if the holder's queue is full.
func (s *Service) tryEnqueue(holder identity.Node, one *distribution) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	existing, running := s.senders[holder.Name]
	if !running {
		s.senders[holder.Name] = &sender{queue: []*distribution{one}}
		go s.send(holder)
		return true
	}
	if len(existing.queue) >= maxQueue {
		return false
	}
	existing.queue = append(existing.queue, one)
	return true
}

// send sends the queued records of a holder until there are none.
func (s *Service) send(holder identity.Node) {
	for {
		s.mutex.Lock()
		queue := s.senders[holder.Name].queue
		if len(queue) == 0 {
			delete(s.senders, holder.Name)
			s.mutex.Unlock()
			return
		}
		batch := queue[:min(len(queue), maxBatch)]
		s.senders[holder.Name].queue = queue[len(batch):]
		s.mutex.Unlock()
		stored := s.sendBatch(holder, batch)
		s.metrics.countNotice(stored, len(batch))
		for _, one := range batch {
			if stored {
				one.stored.Add(1)
				s.settled(one)
			} else {
				s.failed(one)
			}
		}
	}
}

func (s *Service) sendBatch(holder identity.Node, batch []*distribution) bool {
	now := s.config.Now()
	message := &notice{Records: make([]Record, 0, len(batch))}
	for _, one := range batch {
		record := one.record
		record.Left -= now - one.startedAt
		message.Records = append(message.Records, record)
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout+2*s.roundTrip(holder.Zone))
	defer cancel()
	answer, err := s.config.Peers.Call(ctx, holder.PeerAddress, message, nil)
	response, ok := answer.(*noticeResponse)
	return err == nil && ok && response.Stored
}

// failed sends a record to the next holder in rank.
func (s *Service) failed(one *distribution) {
	if next := int(one.next.Add(1)) - 1; next < len(one.candidates) {
		s.enqueue(one.candidates[next], one)
		return
	}
	s.settled(one)
}

// settled counts the outcome of a record at one of its holders.
func (s *Service) settled(one *distribution) {
	if one.open.Add(-1) == 0 {
		s.ended(one)
	}
}

// ended keeps a record that too few holders have stored, to distribute it again.
func (s *Service) ended(one *distribution) {
	stored := int(one.stored.Load())
	if s.config.Peers == nil || stored >= enoughCopies {
		return
	}
	// A node that knows no others has just started, or is cut off.
	if stored >= max(len(s.holders(one.record.Key)), 1) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.unconfirmed) < maxUnconfirmed {
		record := one.record
		record.Left -= s.config.Now() - one.startedAt
		s.unconfirmed[record.Key] = record
	}
}

// Run distributes records again that too few holders have stored, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(redistributeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.redistribute()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) redistribute() {
	s.mutex.Lock()
	again := slices.Collect(maps.Values(s.unconfirmed))
	clear(s.unconfirmed)
	s.mutex.Unlock()
	for _, record := range again {
		// The table knows for how long the record is still needed.
		current, conflicting, found := s.table.get(record.Key, s.config.Now())
		if found && !conflicting && len(s.members.Load().all.nodes) > 1 {
			s.distribute(current)
		}
	}
}

// Close passes the records of this node on to the holders that remain once it has left. Queries
// are still answered.
func (s *Service) Close() {
	s.stopping.Store(true)
	for _, record := range s.table.all(s.config.Now()) {
		s.distribute(record)
	}
}
