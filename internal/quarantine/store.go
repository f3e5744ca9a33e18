package quarantine

import (
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/holders"
)

// store starts to store the attempts of a content that this node made, or all that it knows of, if they
// must outlive the nodes: those of contents that all nodes are told of. all is set for the last attempt
// that is allowed, and for those of a node that may have ended. Attempts of a content that does not
// identify its request are always stored together: whether they overlap is told from their ages, which
// must be those of one moment.
func (s *Service) store(key Key, all bool) *write {
	if s.archive == nil {
		return storedWrite()
	}
	now := s.config.Now()
	s.table.mutex.Lock()
	found, known := s.table.records[key]
	if !known || !all && found.broken() < s.announceFrom() {
		s.table.mutex.Unlock()
		return storedWrite()
	}
	values := found.archived(now, all)
	s.table.mutex.Unlock()
	return s.archive.put(values)
}

func (s *Service) isStored(one *write) bool { return s.archive == nil || s.archive.isStored(one) }

// archived returns the values to store of the counting attempts that this node made, or of all. The
// caller must hold the table's mutex.
func (e *entry) archived(now time.Duration, all bool) map[archiveKey]archivedValue {
	values := map[archiveKey]archivedValue{}
	shared, found := e.share(now)
	if !found {
		return values
	}
	shared.void = false
	for _, one := range shared.attempts {
		if known := e.find(one.id); known.state.counts() && (all || known.own || !e.identified) {
			alone := shared
			alone.attempts = []sharedAttempt{one}
			values[archiveKey{content: e.key, attempt: one.id}] = archivedValue{state: one.state, encoded: encodeArchived(&alone), again: !e.identified}
		}
	}
	return values
}

// unstore removes an attempt that does not count any more, if this node has stored it, or if the node
// that did may be gone.
func (s *Service) unstore(of Attempt, own bool) {
	if s.archive == nil {
		return
	}
	key := archiveKey{content: of.key, attempt: of.id}
	if own && s.archive.holds(key) || !own && s.cleansUp(of.key) {
		s.archive.remove([]archiveKey{key})
	}
}

// unstoreAll removes attempts of a content that do not count any more.
func (s *Service) unstoreAll(key Key, attempts []*attempt) {
	if s.archive != nil {
		s.archive.remove(lo.Map(attempts, func(one *attempt, _ int) archiveKey { return archiveKey{content: key, attempt: one.id} }))
	}
}

// removeArchived removes the attempts of a record that has expired. The caller must hold the table's
// mutex.
func (s *Service) removeArchived(removed *entry) {
	counting := lo.Filter(removed.attempts, func(one *attempt, _ int) bool { return one.state.counts() })
	if len(counting) > 0 && removed.count() >= s.announceFrom() && s.cleansUp(removed.key) {
		s.unstoreAll(removed.key, counting)
	}
}

// cleansUp reports whether this node, of all members, removes what is stored of a content in the end.
func (s *Service) cleansUp(key Key) bool {
	first := s.copies.Members().Reachable.Rank(holders.Key(key), "", 1, 1)
	return len(first) == 0 || first[0].Name == s.config.Self
}
