package coordinator

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/membership"
)

// SetView sets the membership view and gives up the partitions that this node no longer
// coordinates.
func (s *Service) SetView(view membership.View) {
	s.view.Store(newClusterView(view, s.config.Ledger.Partitions()))
	s.config.Ledger.SettleIdle(s.retainsCredits)
}

// Close makes this node give up all partitions and coordinate none.
func (s *Service) Close() {
	s.closing.Store(true)
	s.config.Ledger.SettleIdle(s.retainsCredits)
}

// IncarnationOf returns the id of a node's incarnation in the ledger.
func IncarnationOf(node identity.Reference) ledger.IncarnationID {
	return ledger.IncarnationID(string(node.Name) + "." + strconv.FormatUint(uint64(node.Incarnation), 36))
}

// nodeOf returns the name of the node that IncarnationOf was called with.
func nodeOf(incarnation ledger.IncarnationID) identity.NodeName {
	return identity.NodeName(incarnation[:max(0, strings.LastIndexByte(string(incarnation), '.'))])
}

// IsAlive reports whether an incarnation is a member that is not dead.
func (s *Service) IsAlive(incarnation ledger.IncarnationID) bool {
	view := s.view.Load()
	if view == nil {
		return false
	}
	return view.isMember(incarnation)
}

// MayBeAlive reports whether an incarnation is alive, or may be since this node does not know
// all members yet.
func (s *Service) MayBeAlive(incarnation ledger.IncarnationID) bool {
	return s.IsAlive(incarnation) || s.config.Peers != nil && time.Since(s.began) < membershipDelay
}

// IsReachable reports whether an incarnation is a member that has not failed to respond recently.
func (s *Service) IsReachable(incarnation ledger.IncarnationID) bool {
	return s.IsAlive(incarnation) && !s.isAvoided(nodeOf(incarnation))
}

// Run gives up partitions that this node does not coordinate and announces the store's
// availability to this node, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() { s.watchStore(ctx) })
	s.config.Ledger.Run(ctx, s.retainsCredits)
	watching.Wait()
}

// retainsCredits reports whether this node keeps its credits of a partition. A node to which
// the store is unavailable can't return any and continues to use them.
func (s *Service) retainsCredits(partition int) bool {
	return s.isCoordinator(partition) || s.unavailable.Load() && !s.closing.Load()
}

func (s *Service) isCoordinator(partition int) bool {
	_, self := s.coordinator(partition)
	return self
}

// coordinator returns the coordinator of a partition and whether that is this node. It returns
// neither before this node knows other members, or after Close.
func (s *Service) coordinator(partition int) (identity.Node, bool) {
	view := s.view.Load()
	if view == nil || len(view.members) <= 1 {
		return identity.Node{}, !s.closing.Load() && (s.config.Peers == nil || time.Since(s.began) > singleNodeDelay)
	}
	best := s.chooseCoordinator(view, view.ranked(partition, s.config.Self, s.closing.Load()))
	return best, best.Name == s.config.Self
}

// chooseCoordinator returns the one of a partition's candidates that coordinates it.
func (s *Service) chooseCoordinator(view *clusterView, candidates []identity.Node) identity.Node {
	if view.coordinatorsPinned(s.config.Self) {
		return selectCoordinator(candidates, func(identity.NodeName) bool { return false })
	}
	return selectCoordinator(candidates, func(name identity.NodeName) bool { return s.storeUnavailableFor(view, name) })
}

// storeUnavailableFor reports whether a node has reported that the store is unavailable to it.
func (s *Service) storeUnavailableFor(view *clusterView, name identity.NodeName) bool {
	if name == s.config.Self {
		return s.unavailable.Load()
	}
	return view.storeUnavailableAt[name] || s.reportedUnavailable.has(name)
}

// displacedCandidate returns a partition's first candidate if a substitute coordinates the
// partition because the store is unavailable to that candidate.
func (s *Service) displacedCandidate(partition int) (identity.Node, bool) {
	view := s.view.Load()
	if view == nil {
		return identity.Node{}, false
	}
	candidates := view.ranked(partition, s.config.Self, s.closing.Load())
	if len(candidates) == 0 || s.chooseCoordinator(view, candidates).Name == candidates[0].Name {
		return identity.Node{}, false
	}
	return candidates[0], true
}

// mayCall reports whether a coordinator may be called: there is one, and it has not failed
// recently.
func (s *Service) mayCall(coordinator identity.Node) bool {
	return coordinator.Name != "" && s.config.Peers != nil && !s.isAvoided(coordinator.Name)
}

// Addresses returns the peer addresses of the other nodes that are alive. The caller must not
// modify the slice.
func (s *Service) Addresses() []netip.AddrPort {
	view := s.view.Load()
	if view == nil {
		return nil
	}
	return view.addresses(s.config.Self)
}

// Coordinated returns the partitions that this node coordinates.
func (s *Service) Coordinated() []int {
	var coordinated []int
	for partition := range s.config.Ledger.Partitions() {
		if s.isCoordinator(partition) {
			coordinated = append(coordinated, partition)
		}
	}
	return coordinated
}
