package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/residency"
)

// failureLatency is an upper bound for work without any timeout.
const failureLatency = 120 * time.Millisecond

func indexEntryOf(turn ledger.TurnID) ledger.IndexEntry {
	return ledger.IndexEntry{Program: "p", Turn: turn, Retention: time.Minute}
}

// TestCoordinatorReportsUnavailableStoreAtOnce checks that the caller then persists and reads
// the turn itself.
func TestCoordinatorReportsUnavailableStoreAtOnce(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 3, true)
	coordinator, other := coordinatorOf(nodes, "p")
	coordinator.store.closed.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	is.NoErr(other.service.PersistTurn(ctx, indexEntryOf("t1"), []byte("one"), residency.AllowedRegions{}))
	is.True(time.Since(began) < failureLatency)
	turn, err := other.service.Begin(ctx, Request{Program: "p", Previous: "t1"})
	is.NoErr(err)
	texts, err := other.service.Texts(ctx, "p", turn.Chain, residency.AllowedRegions{})
	is.NoErr(err)
	is.Equal(string(texts[0]), "one")
}

// TestHelpersServeNodeWithoutStore covers a node that is itself the coordinator, and one whose
// coordinator has no store either.
func TestHelpersServeNodeWithoutStore(t *testing.T) {
	for _, atCoordinator := range []bool{true, false} {
		is := is.New(t)
		nodes := startClusterWith(t, 4, true)
		coordinator, other := coordinatorOf(nodes, "p")
		coordinator.store.closed.Store(true)
		from := coordinator
		if !atCoordinator {
			other.store.closed.Store(true)
			from = other
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		turn, err := from.service.Begin(ctx, turnOf("p", 1000, 100))
		is.NoErr(err)
		is.NoErr(from.service.PersistTurn(ctx, indexEntryOf("t1"), []byte("one"), residency.AllowedRegions{}))
		turn.Finish(10)
		next, err := from.service.Begin(ctx, Request{Program: "p", Previous: "t1"})
		is.NoErr(err)
		texts, err := from.service.Texts(ctx, "p", next.Chain, residency.AllowedRegions{})
		is.NoErr(err)
		is.Equal(string(texts[0]), "one")
		is.True(time.Since(began) < 4*failureLatency)
	}
}

// TestHelpersOutsideAllowedRegionsAreNotCalled checks that the text is not sent and the turn is
// not persisted.
func TestHelpersOutsideAllowedRegionsAreNotCalled(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 3, true)
	for _, one := range nodes {
		one.identity.Region = "elsewhere"
	}
	setViews(nodes, nodes)
	coordinator, _ := coordinatorOf(nodes, "p")
	coordinator.store.closed.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := coordinator.service.PersistTurn(ctx, indexEntryOf("t1"), []byte("one"), residency.OnlyIn([]string{"here"}))
	is.True(errors.Is(err, ledgerlog.ErrUnavailable))
	for _, one := range nodes {
		is.Equal(one.store.appended.Load(), int32(0))
	}
}

// TestTurnIsRefusedAtOnceIfStoreIsUnavailableToAll checks that trying helpers does not delay
// the error.
func TestTurnIsRefusedAtOnceIfStoreIsUnavailableToAll(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 4, true)
	for _, one := range nodes {
		one.store.closed.Store(true)
	}
	for _, one := range nodes {
		began := time.Now()
		_, err := one.service.Begin(t.Context(), turnOf("p", 1000, 100))
		is.True(errors.Is(err, ledgerlog.ErrStoreUnavailable))
		is.True(time.Since(began) < 2*failureLatency)
	}
}

// TestBudgetHoldsOverHelpers begins turns of one program at its coordinator, at a helper while
// the store is unavailable to the coordinator, and at the coordinator again.
func TestBudgetHoldsOverHelpers(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 4, true)
	coordinator, other := coordinatorOf(nodes, "p")
	const budget, maxTokens = 1000, 100
	usedTokens := 0
	for round := range 60 {
		coordinator.store.closed.Store(round%3 == 1)
		from := coordinator
		if round%2 == 1 {
			from = other
		}
		turn, err := from.service.Begin(t.Context(), turnOf("p", budget, maxTokens))
		if err != nil {
			continue
		}
		usedTokens += maxTokens
		turn.Finish(maxTokens)
		time.Sleep(5 * time.Millisecond)
	}
	is.True(usedTokens <= budget+maxTokens)
	is.True(usedTokens >= budget/2)
}
