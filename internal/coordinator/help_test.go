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

// withoutStore is a usual time for work that no patience was spent on.
const withoutStore = 120 * time.Millisecond

func keepOf(turn ledger.TurnID) ledger.IndexEntry {
	return ledger.IndexEntry{Program: "p", Turn: turn, Retention: time.Minute}
}

// TestHomeThatTheStoreTurnsAwaySaysSoAtOnce: the asking node keeps and reads the turn itself.
func TestHomeThatTheStoreTurnsAwaySaysSoAtOnce(t *testing.T) {
	is := is.New(t)
	nodes := startClusterThat(t, 3, true)
	home, other := homeOf(nodes, "p")
	home.store.closed.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	is.NoErr(other.service.PersistTurn(ctx, keepOf("t1"), []byte("one"), residency.AllowedRegions{}))
	is.True(time.Since(began) < withoutStore)
	turn, err := other.service.Begin(ctx, Request{Program: "p", Previous: "t1"})
	is.NoErr(err)
	texts, err := other.service.Texts(ctx, "p", turn.Chain, residency.AllowedRegions{})
	is.NoErr(err)
	is.Equal(string(texts[0]), "one")
}

// TestNodeThatTheStoreTurnsAwayIsHelped: the node is the program's home itself, or the home
// is turned away as well.
func TestNodeThatTheStoreTurnsAwayIsHelped(t *testing.T) {
	for _, atHome := range []bool{true, false} {
		is := is.New(t)
		nodes := startClusterThat(t, 4, true)
		home, other := homeOf(nodes, "p")
		home.store.closed.Store(true)
		from := home
		if !atHome {
			other.store.closed.Store(true)
			from = other
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		turn, err := from.service.Begin(ctx, turnOf("p", 1000, 100))
		is.NoErr(err)
		is.NoErr(from.service.PersistTurn(ctx, keepOf("t1"), []byte("one"), residency.AllowedRegions{}))
		turn.Finish(10)
		next, err := from.service.Begin(ctx, Request{Program: "p", Previous: "t1"})
		is.NoErr(err)
		texts, err := from.service.Texts(ctx, "p", next.Chain, residency.AllowedRegions{})
		is.NoErr(err)
		is.Equal(string(texts[0]), "one")
		is.True(time.Since(began) < 4*withoutStore)
	}
}

// TestHelpersOutsideTheDatasHomesAreNotAsked: the text stays here, and the turn is not kept.
func TestHelpersOutsideTheDatasHomesAreNotAsked(t *testing.T) {
	is := is.New(t)
	nodes := startClusterThat(t, 3, true)
	for _, one := range nodes {
		one.identity.Region = "elsewhere"
	}
	show(nodes, nodes)
	home, _ := homeOf(nodes, "p")
	home.store.closed.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := home.service.PersistTurn(ctx, keepOf("t1"), []byte("one"), residency.OnlyIn([]string{"here"}))
	is.True(errors.Is(err, ledgerlog.ErrUnavailable))
	for _, one := range nodes {
		is.Equal(one.store.appended.Load(), int32(0))
	}
}

// TestTurnIsRefusedAtOnceWhereTheStoreAnswersNobody though others are asked for help.
func TestTurnIsRefusedAtOnceWhereTheStoreAnswersNobody(t *testing.T) {
	is := is.New(t)
	nodes := startClusterThat(t, 4, true)
	for _, one := range nodes {
		one.store.closed.Store(true)
	}
	for _, one := range nodes {
		began := time.Now()
		_, err := one.service.Begin(t.Context(), turnOf("p", 1000, 100))
		is.True(errors.Is(err, ledgerlog.ErrStoreUnavailable))
		is.True(time.Since(began) < 2*withoutStore)
	}
}

// TestBudgetHoldsOverHelpers begins turns of one program at its home, at a helper of the
// home that the store turns away, and at the home again.
func TestBudgetHoldsOverHelpers(t *testing.T) {
	is := is.New(t)
	nodes := startClusterThat(t, 4, true)
	home, other := homeOf(nodes, "p")
	const budget, most = 1000, 100
	handedOut := 0
	for round := range 60 {
		home.store.closed.Store(round%3 == 1)
		from := home
		if round%2 == 1 {
			from = other
		}
		turn, err := from.service.Begin(t.Context(), turnOf("p", budget, most))
		if err != nil {
			continue
		}
		handedOut += most
		turn.Finish(most)
		time.Sleep(5 * time.Millisecond)
	}
	is.True(handedOut <= budget+most)
	is.True(handedOut >= budget/2)
}
