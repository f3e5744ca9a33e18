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
	// helperCount is how many other nodes are asked to do the ledger's work for one that the
	// store does not answer: where it turns a third of the nodes away, one in nine such
	// requests finds none.
	helperCount = 2
	// storelessFor is how long a node is passed over for work in the store after it has said
	// that the store does not answer it.
	storelessFor = 500 * time.Millisecond
	// answersPause is the time between two looks whether the store still answers.
	answersPause = 50 * time.Millisecond
)

// errStoreAway tells that the store does not answer this node, so that it does no work there.
var errStoreAway = fmt.Errorf("%w: the store does not answer this node", ledgerlog.ErrStoreUnavailable)

// storeAnswers tells whether the store answers this node, as far as is known.
func (s *Service) storeAnswers() bool {
	return s.config.StoreAvailable == nil || s.config.StoreAvailable()
}

// whileStoreAnswers returns a context that ends once the store does not answer this node.
func (s *Service) whileStoreAnswers(ctx context.Context) (context.Context, context.CancelFunc) {
	within, cancel := context.WithCancel(ctx)
	if s.config.StoreAvailable == nil {
		return within, cancel
	}
	go func() {
		ticker := time.NewTicker(answersPause)
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

// callWhileItWorks asks another node for work in the store, and gives up where it says
// nothing for a while.
func (s *Service) callWhileItWorks(ctx context.Context, there identity.Node, request peer.Message) (peer.Message, error) {
	within, cancel := context.WithTimeout(ctx, homePatience+s.roundTrip(there))
	defer cancel()
	timer := time.AfterFunc(hedgeAfter+s.roundTrip(there), cancel)
	defer timer.Stop()
	answer, err := s.call(within, there, request, func(peer.Message) error {
		timer.Reset(patientAfter)
		return nil
	})
	if err != nil && ctx.Err() == nil && !errors.Is(err, peer.ErrUnknownKind) {
		s.storeless.add(there.Name)
	}
	return answer, err
}

// noteStatus notes that a node has said that the store does not answer it.
func (s *Service) noteStatus(there identity.Node, readable bool, told *kept) {
	if readable && told.Status == statusStoreAway {
		s.storeless.add(there.Name)
	}
}

// firstHelp asks some other nodes, one after the other, for what this one can't do since the
// store does not answer it. The home, which was asked before, is passed over, and so are
// nodes outside the regions within. The last error is returned.
func firstHelp[T any](s *Service, home identity.NodeName, within residency.AllowedRegions, ask func(helper identity.Node) (T, error)) (T, error) {
	var done T
	err := error(errStoreAway)
	for _, helper := range s.helpers(home, within) {
		if done, err = ask(helper); err == nil {
			return done, nil
		}
	}
	return done, err
}

// helpers draws the nodes to ask.
func (s *Service) helpers(home identity.NodeName, within residency.AllowedRegions) []identity.Node {
	view := s.view.Load()
	if view == nil || s.config.Peers == nil {
		return nil
	}
	var found []identity.Node
	for _, index := range rand.Perm(len(view.members)) {
		member := view.members[index]
		switch {
		case len(found) == helperCount:
			return found
		case member.Status != membership.Alive || member.Node.Name == s.config.Self || member.Node.Name == home:
		case s.avoided(member.Node.Name) || s.storeless.has(member.Node.Name) || !within.Allows(string(member.Node.Region)):
		default:
			found = append(found, member.Node)
		}
	}
	return found
}

// passing is a set of nodes whose members leave it after storelessFor. It is safe for
// concurrent use.
type passing struct {
	// mutex guards until.
	mutex sync.Mutex
	until map[identity.NodeName]time.Time
}

func (p *passing) add(node identity.NodeName) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.until[node] = time.Now().Add(storelessFor)
}

func (p *passing) has(node identity.NodeName) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Now().Before(p.until[node])
}
