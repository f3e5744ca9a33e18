package coordinator

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/membership"
)

// SetView tells which nodes live. Partitions that are at home elsewhere now are
// given up at once.
func (s *Service) SetView(view membership.View) {
	s.view.Store(newSiteView(view, s.config.Ledger.Partitions()))
	s.config.Ledger.SettleIdle(s.keepsCredits)
}

// Close makes this node the home of nothing.
func (s *Service) Close() {
	s.closing.Store(true)
	s.config.Ledger.SettleIdle(s.keepsCredits)
}

// IncarnationOf names a life of a node in the ledger.
func IncarnationOf(node identity.Reference) ledger.IncarnationID {
	return ledger.IncarnationID(string(node.Name) + "." + strconv.FormatUint(uint64(node.Incarnation), 36))
}

// IsAlive tells whether a life is a member that has not died.
func (s *Service) IsAlive(life ledger.IncarnationID) bool {
	view := s.view.Load()
	if view == nil {
		return false
	}
	return view.isMember(life)
}

// MayBeAlive tells whether a life may go on: it is a member that has not died, or this
// node does not know all others yet.
func (s *Service) MayBeAlive(life ledger.IncarnationID) bool {
	return s.IsAlive(life) || s.config.Peers != nil && time.Since(s.began) < learnMembers
}

// Run gives up partitions that are at home elsewhere, and tells others whether the store
// answers this node, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() { s.watchStore(ctx) })
	s.config.Ledger.Run(ctx, s.keepsCredits)
	watching.Wait()
}

// keepsCredits tells whether this node holds on to a partition's credits. One that the store
// does not answer could give none back, and goes on with them afterwards.
func (s *Service) keepsCredits(partition int) bool {
	return s.isHome(partition) || s.away.Load() && !s.closing.Load()
}

func (s *Service) isHome(partition int) bool {
	_, self := s.home(partition)
	return self
}

// home returns the node that keeps a partition, and whether that is this one. It
// returns neither while this node does not know the others yet, or stops.
func (s *Service) home(partition int) (identity.Node, bool) {
	view := s.view.Load()
	if view == nil || len(view.members) <= 1 {
		return identity.Node{}, !s.closing.Load() && (s.config.Peers == nil || time.Since(s.began) > settleAfter)
	}
	best := s.keeper(view, view.ranked(partition, s.config.Self, s.closing.Load()))
	return best, best.Name == s.config.Self
}

// keeper returns the one of a partition's candidates that keeps it.
func (s *Service) keeper(view *siteView, candidates []identity.Node) identity.Node {
	if view.homesStay(s.config.Self) {
		return keeperOf(candidates, func(identity.NodeName) bool { return false })
	}
	return keeperOf(candidates, func(name identity.NodeName) bool { return s.lacksStore(view, name) })
}

// lacksStore tells whether the store does not answer a node, as far as it has told.
func (s *Service) lacksStore(view *siteView, name identity.NodeName) bool {
	if name == s.config.Self {
		return s.away.Load()
	}
	return view.lacking[name] || s.toldAway.has(name)
}

// passedOver returns the first by rank of a partition's candidates if another node keeps the
// partition since the store does not answer that one.
func (s *Service) passedOver(partition int) (identity.Node, bool) {
	view := s.view.Load()
	if view == nil {
		return identity.Node{}, false
	}
	candidates := view.ranked(partition, s.config.Self, s.closing.Load())
	if len(candidates) == 0 || s.keeper(view, candidates).Name == candidates[0].Name {
		return identity.Node{}, false
	}
	return candidates[0], true
}

// mayAsk tells whether a home may be asked: there is one, and it has answered lately.
func (s *Service) mayAsk(home identity.Node) bool {
	return home.Name != "" && s.config.Peers != nil && !s.avoided(home.Name)
}

// Addresses returns the peer addresses of the other nodes that live, in a slice that the
// caller must not change.
func (s *Service) Addresses() []netip.AddrPort {
	view := s.view.Load()
	if view == nil {
		return nil
	}
	return view.addresses(s.config.Self)
}

// Coordinated returns the partitions that this node is the home of.
func (s *Service) Coordinated() []int {
	var kept []int
	for partition := range s.config.Ledger.Partitions() {
		if s.isHome(partition) {
			kept = append(kept, partition)
		}
	}
	return kept
}
