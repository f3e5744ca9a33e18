package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
)

const (
	// maxHelpers is how many other nodes are tried for ledger work while the store is
	// unavailable to this node. If the store refuses a third of the nodes, one in nine such
	// requests finds no node to serve it.
	maxHelpers = 2
	// storeUnavailableTTL is how long a node's report that the store is unavailable to it is
	// valid.
	storeUnavailableTTL = 500 * time.Millisecond
	// availabilityPollInterval is the time between two checks whether the store is still
	// available.
	availabilityPollInterval = 50 * time.Millisecond
)

// errStoreUnavailable reports that the store is unavailable to this node. Its text is sent to
// other nodes.
var errStoreUnavailable = fmt.Errorf("%w: the store does not answer this node", ledgerlog.ErrStoreUnavailable)

// storeAvailable reports whether the store is available to this node, as far as known.
func (s *Service) storeAvailable() bool {
	return s.config.StoreAvailable == nil || s.config.StoreAvailable()
}

// untilStoreUnavailable returns a context that is cancelled once the store is unavailable to
// this node.
func (s *Service) untilStoreUnavailable(ctx context.Context) (context.Context, context.CancelFunc) {
	within, cancel := context.WithCancel(ctx)
	if s.config.StoreAvailable == nil {
		return within, cancel
	}
	go func() {
		ticker := time.NewTicker(availabilityPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-within.Done():
				return
			case <-ticker.C:
			}
			if !s.config.StoreAvailable() {
				cancel()
			}
		}
	}()
	return within, cancel
}

// callWithProgress sends a request that needs the store to another node and gives up if that
// node reports no progress in time. The store then counts as unavailable to that node.
func (s *Service) callWithProgress(ctx context.Context, target identity.Node, request peer.Message) (peer.Message, error) {
	response, err := s.callWhileProgressing(ctx, target, request)
	if err != nil && ctx.Err() == nil && !errors.Is(err, peer.ErrUnknownKind) {
		s.storeUnavailable.add(target.Name)
	}
	return response, err
}

// callWhileProgressing sends a request to another node and gives up if that node reports no progress
// in time.
func (s *Service) callWhileProgressing(ctx context.Context, target identity.Node, request peer.Message) (peer.Message, error) {
	within, cancel := context.WithTimeout(ctx, coordinatorTimeout+s.roundTrip(target))
	defer cancel()
	timer := time.AfterFunc(hedgeDelay+s.roundTrip(target), cancel)
	defer timer.Stop()
	return s.call(within, target, request, func(peer.Message) error {
		timer.Reset(progressTimeout)
		return nil
	})
}

// recordStatus records a node's report that the store is unavailable to it.
func (s *Service) recordStatus(target identity.Node, decoded bool, response *persistResponse) {
	if decoded && response.Status == statusStoreUnavailable {
		s.storeUnavailable.add(target.Name)
	}
}

// callHelpers tries some other nodes in turn for work that this one can't do while the store is
// unavailable to it. It skips the coordinator, which was tried before, and nodes outside the
// allowed regions. It returns the last error if all fail.
func callHelpers[T any](s *Service, coordinator identity.NodeName, within residency.AllowedRegions, ask func(helper identity.Node) (T, error)) (T, error) {
	var done T
	err := error(errStoreUnavailable)
	for _, helper := range s.helpers(coordinator, within) {
		if done, err = ask(helper); err == nil {
			return done, nil
		}
	}
	return done, err
}

// helpers returns up to maxHelpers random nodes that may do the work.
func (s *Service) helpers(coordinator identity.NodeName, within residency.AllowedRegions) []identity.Node {
	view := s.view.Load()
	if view == nil || s.config.Peers == nil {
		return nil
	}
	var found []identity.Node
	for _, index := range rand.Perm(len(view.members)) {
		member := view.members[index]
		switch {
		case len(found) == maxHelpers:
			return found
		case member.Status != membership.Alive || member.Node.Name == s.config.Self || member.Node.Name == coordinator:
		case s.isAvoided(member.Node.Name) || s.storeUnavailable.has(member.Node.Name) || !within.Allows(string(member.Node.Region)):
		default:
			found = append(found, member.Node)
		}
	}
	return found
}

// expiringSet is a set of nodes that leave it after storeUnavailableTTL. It is safe for
// concurrent use.
type expiringSet struct {
	mutex sync.Mutex
	until map[identity.NodeName]time.Time
}

func (p *expiringSet) add(node identity.NodeName) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.until[node] = time.Now().Add(storeUnavailableTTL)
}

func (p *expiringSet) has(node identity.NodeName) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Now().Before(p.until[node])
}
