package coordinator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/residency"
)

// TestCoordinatorIsFirstCandidateWithStore also covers the fallback to the first candidate if
// the store is available to none.
func TestCoordinatorIsFirstCandidateWithStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "members")
		view := largeView(count)
		for i := range view.Members {
			view.Members[i].TableVersion = rapid.Uint64Range(0, 3).Draw(t, "changes")
		}
		partition := rapid.IntRange(0, 23).Draw(t, "partition")
		candidates := candidatesOf(partition, view.Members, "n0", false)
		if len(candidates) != min(count, candidateCount) {
			t.Fatalf("%d candidates of %d members", len(candidates), count)
		}
		storeUnavailable := storeUnavailableAt(view.Members)
		selected := selectCoordinator(candidates, func(name identity.NodeName) bool { return storeUnavailable[name] })
		want := candidates[0]
		for _, candidate := range candidates {
			if !storeUnavailable[candidate.Name] {
				want = candidate
				break
			}
		}
		if selected != want {
			t.Fatalf("%s coordinates, want %s", selected.Name, want.Name)
		}
	})
}

// TestCoordinatorsStayIfStoreIsUnavailableToAll checks that only the first candidates count.
func TestCoordinatorsStayIfStoreIsUnavailableToAll(t *testing.T) {
	is := is.New(t)
	var firstCandidates []identity.Node
	storeUnavailable := map[identity.NodeName]bool{}
	for i := range 9 {
		firstCandidates = append(firstCandidates, identity.Node{Name: identity.NodeName(fmt.Sprint("n", i))}, identity.Node{Name: "n0"})
	}
	for i := range 9 {
		is.Equal(unavailableToMost(firstCandidates, storeUnavailable), i >= 7)
		storeUnavailable[firstCandidates[2*i].Name] = true
	}
	is.True(unavailableToMost(firstCandidates, storeUnavailable))
	is.True(!unavailableToMost(nil, storeUnavailable))
}

// setStoreStatus gives all nodes a view with each node's current store status.
func setStoreStatus(nodes []*node) {
	view := membership.View{}
	for _, member := range nodes {
		changes := uint64(0)
		if !member.store.answers() {
			changes = 1
		}
		member.service.unavailable.Store(changes == 1)
		view.Members = append(view.Members, membership.Member{Node: member.identity, Status: membership.Alive, TableVersion: changes})
	}
	for _, one := range nodes {
		one.service.SetView(view)
	}
}

// candidatesIn returns the candidates of p's partition, ordered by rank.
func candidatesIn(nodes []*node) []*node {
	of := nodes[0].service
	var found []*node
	for _, candidate := range of.view.Load().ranked(of.config.Ledger.Partition("p"), "", false) {
		for _, one := range nodes {
			if one.identity.Name == candidate.Name {
				found = append(found, one)
			}
		}
	}
	return found
}

// TestAllNodesUseTheSameSubstitute checks that the substitute keeps one credit for all nodes,
// and that the first candidate coordinates again after the store recovers.
func TestAllNodesUseTheSameSubstitute(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 5, true)
	ranked := candidatesIn(nodes)
	mustBegin(t, ranked[0], turnOf("p", 100_000, 100)).Finish(10)
	time.Sleep(50 * time.Millisecond) // the coordinator owns the partition
	ranked[0].store.closed.Store(true)
	setStoreStatus(nodes)
	maxTokens := uint32(100)
	for _, from := range nodes {
		began := time.Now()
		turn := mustBegin(t, from, turnOf("p", 100_000, maxTokens))
		is.Equal(turn.Coordinator, ranked[1].identity.Name)
		turn.Finish(10)
		maxTokens = 20 // all turns fit the two of 100 that are reserved, even if all of them are still open
		is.True(time.Since(began) < failureLatency)
	}
	is.Equal(ranked[1].store.appended.Load(), int32(1)) // one reservation for all turns
	ranked[0].store.closed.Store(false)
	setStoreStatus(nodes)
	for _, from := range nodes {
		is.Equal(mustBegin(t, from, turnOf("p", 100_000, 100)).Coordinator, ranked[0].identity.Name)
	}
}

// TestNextCandidateIsTriedOnStoreUnavailable covers nodes that have not received the
// announcement.
func TestNextCandidateIsTriedOnStoreUnavailable(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 5, true)
	ranked := candidatesIn(nodes)
	ranked[0].store.closed.Store(true)
	ranked[1].store.closed.Store(true)
	for _, from := range ranked[3:] {
		turn := mustBegin(t, from, turnOf("p", 100_000, 100))
		is.Equal(turn.Coordinator, ranked[2].identity.Name)
		turn.Finish(10)
	}
}

// TestCoordinatorsStayInClusterWithoutStore checks that the coordinator continues with its
// reservations.
func TestCoordinatorsStayInClusterWithoutStore(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 5, true)
	ranked := candidatesIn(nodes)
	mustBegin(t, ranked[1], turnOf("p", 100_000, 100)).Finish(100)
	for _, one := range nodes {
		one.store.closed.Store(true)
	}
	setStoreStatus(nodes)
	turn := mustBegin(t, ranked[1], turnOf("p", 100_000, 100))
	is.Equal(turn.Coordinator, ranked[0].identity.Name)
}

// TestDisplacedCandidateServesItsReservations covers a substitute that is refused because the
// first candidate has reserved the rest of the budget.
func TestDisplacedCandidateServesItsReservations(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 5, true)
	ranked := candidatesIn(nodes)
	mustBegin(t, ranked[2], turnOf("p", 1000, 100)).Finish(100)
	time.Sleep(50 * time.Millisecond) // the coordinator's reservation is in the log
	ranked[0].store.closed.Store(true)
	setStoreStatus(nodes)
	served, coordinators := uint64(100), map[identity.NodeName]bool{}
	for {
		turn, err := ranked[2].service.Begin(t.Context(), turnOf("p", 1000, 100))
		if err != nil {
			break
		}
		coordinators[turn.Coordinator] = true
		turn.Finish(100)
		served += 100
		time.Sleep(10 * time.Millisecond)
	}
	is.True(coordinators[ranked[0].identity.Name])
	is.True(coordinators[ranked[1].identity.Name])
	const whole = 1000
	is.True(served <= whole)
	is.True(served+100 >= whole)
}

// TestBudgetHoldsWhileCoordinatorsMove begins turns of one program at all nodes while the store
// is unavailable to changing thirds of them, announced late or not at all.
func TestBudgetHoldsWhileCoordinatorsMove(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 5, true)
	const budget, maxTokens = 4000, 100
	usedTokens := 0
	for round := range 120 {
		for i, one := range nodes {
			one.store.closed.Store((i+round/7)%3 == 0)
		}
		if round%5 == 0 {
			setStoreStatus(nodes)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		turn, err := nodes[round%len(nodes)].service.Begin(ctx, turnOf("p", budget, maxTokens))
		cancel()
		if err != nil {
			continue
		}
		usedTokens += maxTokens
		turn.Finish(maxTokens)
	}
	is.True(usedTokens <= budget+maxTokens)
	is.True(usedTokens >= budget/2)
}

// TestTurnIsFoundThroughSubstitute covers a substitute that has not read the partition before.
func TestTurnIsFoundThroughSubstitute(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 5, true)
	ranked := candidatesIn(nodes)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	is.NoErr(ranked[2].service.PersistTurn(ctx, ledger.IndexEntry{Program: "p", Turn: "t1", Retention: time.Minute}, []byte("one"), residency.AllowedRegions{}))
	ranked[0].store.closed.Store(true)
	setStoreStatus(nodes)
	is.Equal(len(mustBegin(t, ranked[3], Request{Program: "p", Previous: "t1"}).Chain), 1)
	_, err := ranked[3].service.Begin(ctx, Request{Program: "p", Previous: "never"})
	is.True(errors.Is(err, ledgerlog.ErrNoSuchTurn))
}
