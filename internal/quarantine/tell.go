package quarantine

import (
	"context"
	"time"

	"github.com/samber/lo"
)

const (
	// announceFrom is the number of counting attempts from which on all nodes are told of a
	// content. Contents that are not the cause of any end rarely reach it. At a site of up to
	// smallSite nodes, all are told of the first one: when many replicas end at once, each node
	// gets a record of each request that ran there.
	announceFrom = MaxEnded - 1
	smallSite    = 100
)

const (
	// noticeWait bounds the wait until enough other nodes have stored a record, before the request
	// is sent again or its client is answered. announceWait bounds the wait until all have.
	noticeWait   = 250 * time.Millisecond
	announceWait = 100 * time.Millisecond
	// takeoverDelay is how long a holder waits for the node that reported an attempt to tell all
	// nodes, before it does so itself.
	takeoverDelay = 40 * time.Millisecond
)

// tell starts to tell other nodes of a content: all of them if they know of it already, or if
// enough attempts count.
func (s *Service) tell(key Key) {
	s.store(key, false)
	s.copies.Distribute(key)
	if s.shouldAnnounce(key) || s.announced(key) {
		s.copies.Broadcast(key, 0)
	}
}

// shouldAnnounce reports whether all nodes are to be told of a content, and notes that they are.
func (s *Service) shouldAnnounce(key Key) bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	if !known {
		return false
	}
	// Attempts that are under way are known to the holders.
	over := found.broken()
	if over < s.announceFrom() || over <= found.announced {
		return false
	}
	found.announced = over
	return true
}

// announceFrom is the number of counting attempts from which on all nodes are told. The caller must
// hold the table's mutex.
func (s *Service) announceFrom() int {
	if len(s.members) <= smallSite {
		return 1
	}
	return announceFrom
}

func (s *Service) announced(key Key) bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	return known && found.announced > 0
}

// report tells other nodes of a content, stores its attempts, and waits until that is done, or
// noticeWait has passed: the client comes back to another node as soon as it is answered.
func (s *Service) report(ctx context.Context, key Key) {
	stored := s.store(key, false)
	started := s.copies.Distribute(key)
	await(ctx, started.Enough(), noticeWait)
	await(ctx, stored.done, noticeWait)
	s.noteEnded(started)
	// The holders' responses tell of attempts at other nodes.
	if !s.shouldAnnounce(key) && !s.announced(key) {
		return
	}
	await(ctx, s.copies.Broadcast(key, 0).Done(), announceWait)
}

func await(ctx context.Context, done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// announcedKeys returns the contents that all nodes should know. The caller must hold the table's
// mutex.
func (s *Service) announcedKeys() []Key {
	return lo.FilterMap(lo.Values(s.table.records), func(one *entry, _ int) (Key, bool) { return one.key, one.announced > 0 })
}
