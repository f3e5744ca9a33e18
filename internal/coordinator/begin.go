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

// Begin begins a turn. Errors: a *ledgerlog.SpentError, or one that wraps
// ledgerlog.ErrNoSuchTurn or ledgerlog.ErrUnavailable. Where the store answers neither the
// home nor this node, another node is asked to do the work.
func (s *Service) Begin(ctx context.Context, request Request) (*Turn, error) {
	turn, err := s.beginAtHome(ctx, request)
	if errors.Is(err, ledgerlog.ErrBudgetReserved) {
		return s.beginPassedOver(ctx, request, err)
	}
	if !errors.Is(err, ledgerlog.ErrUnavailable) || s.storeAnswers() {
		return turn, err
	}
	home, _ := s.home(s.config.Ledger.Partition(request.Program))
	helped, helpErr := firstHelp(s, home.Name, residency.AllowedRegions{}, func(helper identity.Node) (*Turn, error) {
		begun, err := s.beginThere(ctx, request, helper, make(chan struct{}, 1))
		if errors.Is(err, ledgerlog.ErrStoreUnavailable) {
			s.storeless.add(helper.Name)
		}
		return begun, err
	})
	if helpErr != nil {
		return nil, err
	}
	return helped, nil
}

// beginAtHome begins a turn at the home, or here. Where the home says that the store does not
// answer it, the next candidate is the home, for all who ask.
func (s *Service) beginAtHome(ctx context.Context, request Request) (turn *Turn, err error) {
	partition := s.config.Ledger.Partition(request.Program)
	asked := map[identity.NodeName]bool{}
	for {
		home, self := s.home(partition)
		if self || !s.mayAsk(home) || asked[home.Name] {
			return s.beginHere(ctx, request, self)
		}
		asked[home.Name] = true
		turn, err = s.hedge(ctx, request, home)
		if !errors.Is(err, errPassOn) {
			return turn, err
		}
	}
}

// errPassOn tells that the home does not do the work, and that another candidate may.
var errPassOn = errors.New("homes: the store does not answer the home, the next one is asked")

// passesOn notes that the store does not answer a home, and tells whether another node is the
// home now.
func (s *Service) passesOn(partition int, home identity.NodeName) bool {
	s.toldAway.add(home)
	next, _ := s.home(partition)
	return next.Name != home
}

// beginPassedOver begins a turn at the home that the store does not answer, where the node in
// its place was refused: the rest of the budget is reserved, and most probably there.
func (s *Service) beginPassedOver(ctx context.Context, request Request, refused error) (*Turn, error) {
	first, passed := s.passedOver(s.config.Ledger.Partition(request.Program))
	if !passed || first.Name != s.config.Self && !s.mayAsk(first) {
		return nil, refused
	}
	var turn *Turn
	var err error
	if first.Name == s.config.Self {
		turn, err = s.beginHere(ctx, request, false)
	} else {
		turn, err = s.beginThere(ctx, request, first, make(chan struct{}, 1))
	}
	if err != nil {
		return nil, refused
	}
	return turn, nil
}

// result is the outcome of one of two ways to begin a turn.
type result struct {
	turn *Turn
	err  error
	home bool
}

// hedge asks the home and, if that fails or takes long, does the work here too.
func (s *Service) hedge(ctx context.Context, request Request, home identity.Node) (*Turn, error) {
	partition := s.config.Ledger.Partition(request.Program)
	results := make(chan result, 2)
	lives := make(chan struct{}, 1)
	pending := 1
	go func() {
		turn, err := s.beginThere(ctx, request, home, lives)
		results <- result{turn, err, true}
	}()
	timer := time.NewTimer(hedgeAfter + s.roundTrip(home))
	defer timer.Stop()
	here := false
	start := func() {
		if here {
			return
		}
		here = true
		pending++
		go func() {
			turn, err := s.beginHere(ctx, request, false)
			results <- result{turn, err, false}
		}()
	}
	var last error
	for pending > 0 {
		select {
		case <-lives:
			timer.Reset(patientAfter)
		case <-timer.C:
			s.passOver(home.Name)
			start()
		case one := <-results:
			pending--
			if one.err == nil {
				go discard(results, pending)
				return one.turn, nil
			}
			last = refusalOf(last, one.err)
			if errors.Is(one.err, ledgerlog.ErrBudgetReserved) {
				continue // the other way may be what has reserved the rest
			}
			if one.home && !here && errors.Is(one.err, ledgerlog.ErrStoreUnavailable) && s.passesOn(partition, home.Name) {
				return nil, errPassOn
			}
			if !errors.Is(one.err, ledgerlog.ErrUnavailable) {
				go discard(results, pending) // an answer by proof
				return nil, one.err
			}
			if one.home && ctx.Err() == nil {
				start()
			}
		}
	}
	return nil, last
}

// refusalOf returns which of two errors a turn is refused with: that its budget is reserved
// elsewhere says more than that a node could not be asked.
func refusalOf(first, second error) error {
	if errors.Is(first, ledgerlog.ErrBudgetReserved) {
		return first
	}
	return second
}

// discard ends turns that were begun for nothing.
func discard(results <-chan result, pending int) {
	for range pending {
		if one := <-results; one.err == nil {
			one.turn.Finish(0)
		}
	}
}

// take asks this node's own ledger for a turn's tokens; home tells that the partition is at
// home here.
func (s *Service) take(ctx context.Context, request *Request, grant ledger.GrantID, home bool) (ledgerlog.Grant, error) {
	_, standIn := s.passedOver(s.config.Ledger.Partition(request.Program))
	return s.config.Ledger.BeginTurn(ctx, ledgerlog.TurnRequest{
		Program: request.Program, ID: grant, Budget: request.Budget, MaxTurnTokens: request.MaxTurnTokens, Coordinator: home, Substitute: home && standIn,
	})
}

// beginHere does the work through this node's own ledger.
func (s *Service) beginHere(ctx context.Context, request Request, home bool) (*Turn, error) {
	turn := &Turn{Coordinator: s.config.Self}
	if request.Budgeted {
		grant, err := s.take(ctx, &request, ledgerlog.NewGrantID(), home)
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

// beginThere asks the home. lives has room for its word that it lives.
func (s *Service) beginThere(ctx context.Context, request Request, home identity.Node, lives chan<- struct{}) (*Turn, error) {
	asked := &begin{Request: request, Grant: ledgerlog.NewGrantID()}
	answer, err := s.call(ctx, home, asked, func(peer.Message) error {
		select {
		case lives <- struct{}{}:
		default: // it has been told
		}
		return nil
	})
	if err != nil {
		if request.Budgeted {
			// The home may have begun the turn, or may yet.
			go s.finishThere(home, request.Program, asked.Grant, 0)
		}
		s.count("home", err)
		return nil, err
	}
	got, ok := answer.(*begun)
	if !ok {
		return nil, fmt.Errorf("%w: home %s answered %T", ledgerlog.ErrUnavailable, home.Name, answer)
	}
	err = got.err(home.Name)
	s.count("home", err)
	if err != nil {
		return nil, err
	}
	turn := &Turn{Charged: got.Charged, Unlogged: got.Ahead, First: got.First, Chain: got.Chain, CacheLocation: got.Resident, Coordinator: home.Name}
	if request.Budgeted {
		turn.finish = func(used uint32) { go s.finishThere(home, request.Program, asked.Grant, used) }
	}
	return turn, nil
}

func (m *begun) err(home identity.NodeName) error {
	if m.Status == statusSpent {
		return &ledgerlog.BudgetExhaustedError{Charged: m.Charged}
	}
	return m.Status.err(home, m.Reason)
}

// finishThere tells a turn's end, which may be told twice. Where that fails, the
// home counts the turn in full.
func (s *Service) finishThere(home identity.Node, program ledger.ProgramID, grant ledger.GrantID, used uint32) {
	for attempt := 1; ; attempt++ {
		err := s.tellFinish(home, &finish{Program: program, Grant: grant, Used: used})
		if err == nil {
			return
		}
		if attempt == finishAttempts {
			s.config.Logger.Info("turn's end not told", "home", home.Name, "program", program, "used", used, "error", err)
			return
		}
		time.Sleep(finishPause)
	}
}

func (s *Service) tellFinish(home identity.Node, message *finish) error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_, err := s.call(ctx, home, message, nil)
	return err
}
