package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
)

// Begin begins a turn. Errors: a *ledgerlog.BudgetExhaustedError, or one that wraps
// ledgerlog.ErrNoSuchTurn or ledgerlog.ErrUnavailable. If the store is unavailable to both the
// coordinator and this node, other nodes are tried.
func (s *Service) Begin(ctx context.Context, request Request) (*Turn, error) {
	turn, err := s.beginAtCoordinator(ctx, request)
	if errors.Is(err, ledgerlog.ErrBudgetReserved) {
		return s.beginAtDisplaced(ctx, request, err)
	}
	if !errors.Is(err, ledgerlog.ErrUnavailable) || s.storeAvailable() {
		return turn, err
	}
	coordinator, _ := s.coordinator(s.config.Ledger.Partition(request.Program))
	helped, helpErr := callHelpers(s, coordinator.Name, residency.AllowedRegions{}, func(helper identity.Node) (*Turn, error) {
		begun, err := s.beginRemotely(ctx, request, helper, make(chan struct{}, 1))
		if errors.Is(err, ledgerlog.ErrStoreUnavailable) {
			s.storeUnavailable.add(helper.Name)
		}
		return begun, err
	})
	if helpErr != nil {
		return nil, err
	}
	return helped, nil
}

// beginAtCoordinator begins a turn at the coordinator, or locally if it can't be called. If a
// coordinator reports that the store is unavailable to it, the next candidate is tried; all
// nodes agree on the order of the candidates.
func (s *Service) beginAtCoordinator(ctx context.Context, request Request) (turn *Turn, err error) {
	partition := s.config.Ledger.Partition(request.Program)
	called := map[identity.NodeName]bool{}
	for {
		coordinator, self := s.coordinator(partition)
		if self || !s.mayCall(coordinator) || called[coordinator.Name] {
			return s.beginLocally(ctx, request, self, false)
		}
		called[coordinator.Name] = true
		turn, err = s.hedge(ctx, request, coordinator)
		if !errors.Is(err, errNextCandidate) {
			return turn, err
		}
	}
}

// errNextCandidate reports that the coordinator did not begin the turn and that another
// candidate now coordinates the partition.
var errNextCandidate = errors.New("coordinator: store is unavailable to the coordinator; another candidate coordinates the partition")

// failOver records that the store is unavailable to a coordinator and reports whether another
// node coordinates the partition now.
func (s *Service) failOver(partition int, coordinator identity.NodeName) bool {
	s.reportedUnavailable.add(coordinator)
	next, _ := s.coordinator(partition)
	return next.Name != coordinator
}

// beginAtDisplaced begins a turn at the first candidate, to which the store is unavailable,
// after its substitute was refused. The rest of the budget is reserved elsewhere, most likely
// by that node. It returns the substitute's error if this fails too.
func (s *Service) beginAtDisplaced(ctx context.Context, request Request, refused error) (*Turn, error) {
	first, displaced := s.displacedCandidate(s.config.Ledger.Partition(request.Program))
	if !displaced || first.Name != s.config.Self && !s.mayCall(first) {
		return nil, refused
	}
	var turn *Turn
	var err error
	if first.Name == s.config.Self {
		turn, err = s.beginLocally(ctx, request, false, false)
	} else {
		turn, err = s.beginRemotely(ctx, request, first, make(chan struct{}, 1))
	}
	if err != nil {
		return nil, refused
	}
	return turn, nil
}

// result is the outcome of a remote or a local attempt to begin a turn.
type result struct {
	turn   *Turn
	err    error
	remote bool
}

// hedge begins a turn at the coordinator, and locally as well if that fails or reports no
// progress in time. The first success wins.
func (s *Service) hedge(ctx context.Context, request Request, coordinator identity.Node) (*Turn, error) {
	partition := s.config.Ledger.Partition(request.Program)
	results := make(chan result, 2)
	progressed := make(chan struct{}, 1)
	pending := 1
	go func() {
		turn, err := s.beginRemotely(ctx, request, coordinator, progressed)
		results <- result{turn, err, true}
	}()
	timer := time.NewTimer(hedgeDelay + s.roundTrip(coordinator))
	defer timer.Stop()
	startedLocally := false
	start := func() {
		if startedLocally {
			return
		}
		startedLocally = true
		pending++
		go func() {
			turn, err := s.beginLocally(ctx, request, false, true)
			results <- result{turn, err, false}
		}()
	}
	var last error
	for pending > 0 {
		select {
		case <-progressed:
			timer.Reset(progressTimeout)
		case <-timer.C:
			s.avoidNode(coordinator.Name)
			start()
		case one := <-results:
			pending--
			if one.err == nil {
				go discard(results, pending)
				return one.turn, nil
			}
			last = preferredError(last, one.err)
			if errors.Is(one.err, ledgerlog.ErrBudgetReserved) {
				continue // the other attempt may hold the reservation
			}
			if one.remote && !startedLocally && errors.Is(one.err, ledgerlog.ErrStoreUnavailable) && s.failOver(partition, coordinator.Name) {
				return nil, errNextCandidate
			}
			if !errors.Is(one.err, ledgerlog.ErrUnavailable) {
				go discard(results, pending) // the error is definitive
				return nil, one.err
			}
			if one.remote && ctx.Err() == nil {
				start()
			}
		}
	}
	return nil, last
}

// preferredError returns the error to report if both attempts failed. A budget that is reserved
// elsewhere is more informative than an unreachable node. The other error is only mentioned.
func preferredError(first, second error) error {
	switch {
	case first == nil:
		return second
	case errors.Is(first, ledgerlog.ErrBudgetReserved):
		first, second = second, first
	}
	return fmt.Errorf("%w; other attempt: %v", second, first)
}

// discard finishes the turns of attempts whose results are not used.
func discard(results <-chan result, pending int) {
	for range pending {
		if one := <-results; one.err == nil {
			one.turn.Finish(0)
		}
	}
}

// reserveTurn reserves a turn's tokens in this node's ledger. coordinator reports whether this
// node coordinates the partition, repeated whether another node may have begun the same turn.
func (s *Service) reserveTurn(ctx context.Context, request *Request, grant ledger.GrantID, coordinator, repeated bool) (ledgerlog.Grant, error) {
	_, substitute := s.displacedCandidate(s.config.Ledger.Partition(request.Program))
	return s.config.Ledger.BeginTurn(ctx, ledgerlog.TurnRequest{
		Program: request.Program, ID: grant, Budget: request.Budget, MaxTurnTokens: request.MaxTurnTokens, Coordinator: coordinator, Substitute: coordinator && substitute, Repeated: repeated,
	})
}

// beginLocally begins a turn through this node's own ledger. repeated reports whether another
// node may have begun it.
func (s *Service) beginLocally(ctx context.Context, request Request, coordinator, repeated bool) (*Turn, error) {
	turn := &Turn{Coordinator: s.config.Self}
	if request.Budgeted {
		grant, err := s.reserveTurn(ctx, &request, ledgerlog.NewGrantID(), coordinator, repeated)
		if err != nil {
			s.count("here", err)
			return nil, err
		}
		turn.Charged, turn.Unlogged, turn.First = grant.Charged, grant.Unlogged, grant.First
		turn.finish = func(used uint32) { s.config.Ledger.FinishTurn(grant.Program, grant.ID, used) }
	}
	if request.Previous != "" {
		previous, err := s.findTurn(ctx, request.Program, request.Previous)
		if err != nil {
			turn.Finish(0)
			s.count("here", err)
			return nil, err
		}
		turn.Chain, turn.CacheLocation = previous.Chain, previous.CacheLocation
	}
	s.count("here", nil)
	return turn, nil
}

// beginRemotely begins a turn at the coordinator. progressed, which must be buffered, is
// signalled when the coordinator reports progress.
func (s *Service) beginRemotely(ctx context.Context, request Request, coordinator identity.Node, progressed chan<- struct{}) (*Turn, error) {
	message := &beginRequest{Request: request, Grant: ledgerlog.NewGrantID()}
	response, err := s.call(ctx, coordinator, message, func(peer.Message) error {
		select {
		case progressed <- struct{}{}:
		default: // a signal is pending
		}
		return nil
	})
	if err != nil {
		if request.Budgeted {
			// The coordinator may have begun the turn, or may yet begin it.
			go s.finishRemotely(coordinator, request.Program, message.Grant, 0)
		}
		s.count("home", err)
		return nil, err
	}
	begun, ok := response.(*beginResponse)
	if !ok {
		return nil, fmt.Errorf("%w: coordinator %s sent an unexpected response %T", ledgerlog.ErrUnavailable, coordinator.Name, response)
	}
	err = begun.err(coordinator.Name)
	s.count("home", err)
	if err != nil {
		return nil, err
	}
	turn := &Turn{Charged: begun.Charged, Unlogged: begun.Unlogged, First: begun.First, Chain: begun.Chain, CacheLocation: begun.CacheLocation, Coordinator: coordinator.Name}
	if request.Budgeted {
		turn.finish = func(used uint32) { go s.finishRemotely(coordinator, request.Program, message.Grant, used) }
	}
	return turn, nil
}

func (m *beginResponse) err(coordinator identity.NodeName) error {
	if m.Status == statusBudgetExhausted {
		return &ledgerlog.BudgetExhaustedError{Charged: m.Charged, Detail: fmt.Sprintf("home %s: %s", coordinator, m.Reason)}
	}
	return m.Status.err(coordinator, m.Reason)
}

// finishRemotely reports a turn's end and retries on failure, so that the coordinator may
// receive the report twice. If all attempts fail, the coordinator counts the turn in full.
func (s *Service) finishRemotely(coordinator identity.Node, program ledger.ProgramID, grant ledger.GrantID, used uint32) {
	for attempt := 1; ; attempt++ {
		err := s.sendFinish(coordinator, &finishRequest{Program: program, Grant: grant, Used: used})
		if err == nil {
			return
		}
		if attempt == finishAttempts {
			s.config.Logger.Info("failed to report the end of a turn to its coordinator", "home", coordinator.Name, "program", program, "used", used, "error", err)
			return
		}
		time.Sleep(finishRetryInterval)
	}
}

func (s *Service) sendFinish(coordinator identity.Node, message *finishRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_, err := s.call(ctx, coordinator, message, nil)
	return err
}
