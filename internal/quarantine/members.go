package quarantine

import (
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// memberMemory is how long nodes that are gone count for a majority: they may be cut off.
	memberMemory = 30 * time.Second
	// isolationTime is how long this node takes itself to be isolated after too few nodes have stored
	// a record. Such a record is distributed again sooner.
	isolationTime = 2 * time.Second
	// greeterCount is the number of nodes that tell a new one what all know.
	greeterCount = 3
)

// noteEnded notes whether enough nodes have stored a record.
func (s *Service) noteEnded(ended *holders.Distribution[Key]) {
	if ended.Stored() < min(holders.EnoughCopies, s.majority()-1) {
		s.isolatedUntil.Store(int64(s.config.Now() + isolationTime))
		return
	}
	s.isolatedUntil.Store(0)
}

// majority is the number of nodes, with this one, that are more than half of those that may run.
func (s *Service) majority() int {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	return s.countMembers()/2 + 1
}

// hasMetNobody reports whether this node has just started and knows no others yet, of which there are
// some. The caller must hold the table's mutex.
func (s *Service) hasMetNobody() bool {
	return !s.met && len(lo.Without(s.config.Seeds, s.config.Address)) > 0
}

// countMembers returns the number of nodes that may run, also cut off from this one. The caller
// must hold the table's mutex.
func (s *Service) countMembers() int {
	if s.config.Peers == nil {
		return 1
	}
	if s.config.Now()-s.peakAt > memberMemory {
		s.peak, s.peakAt = len(s.members), s.config.Now()
	}
	if s.hasMetNobody() {
		return 2
	}
	return max(s.peak, 1)
}

// SetView updates the members. Nodes that are new are told what all nodes know.
func (s *Service) SetView(view membership.View) {
	s.copies.SetView(view)
	s.table.mutex.Lock()
	before := s.members
	s.members = map[identity.NodeName]identity.Incarnation{}
	var added []identity.Node
	for _, node := range s.copies.Members().All.Nodes() {
		s.members[node.Name] = node.Incarnation
		if known, found := before[node.Name]; (!found || known != node.Incarnation) && node.Name != s.config.Self {
			added = append(added, node)
		}
	}
	s.met = s.met || len(s.members) > 1
	for name := range s.leaving {
		if _, found := s.members[name]; !found {
			s.peak--
		}
	}
	s.leaving = map[identity.NodeName]bool{}
	for i := range view.Members {
		if view.Members[i].Status == membership.Leaving {
			s.leaving[view.Members[i].Node.Name] = true
		}
	}
	if now := s.config.Now(); len(s.members) >= s.peak || now-s.peakAt > memberMemory {
		s.peak, s.peakAt = len(s.members), now
	}
	keys := s.announcedKeys()
	s.table.mutex.Unlock()
	if len(keys) == 0 {
		return
	}
	for _, node := range added {
		key := (&Content{Host: string(node.Name)}).Key()
		greeters := s.copies.Members().Reachable.Rank(holders.Key(key), node.Name, greeterCount, greeterCount)
		if lo.ContainsBy(greeters, func(one identity.Node) bool { return one.Name == s.config.Self }) {
			for _, key := range keys {
				s.copies.SendTo(key, node)
			}
		}
	}
}

// inMinority reports whether this node may know of fewer ends than others. The caller must hold the
// table's mutex.
func (s *Service) inMinority() bool {
	count := s.countMembers()
	return count > 1 && (s.config.Now() < time.Duration(s.isolatedUntil.Load()) || 2*len(s.members) <= count)
}
