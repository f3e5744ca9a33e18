package coordinator

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
)

// olderBuild is a client to nodes of a version that does not know persistAnywhereRequest.
type olderBuild struct {
	peer.Client
	requests atomic.Int32
}

func (b *olderBuild) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	if _, newer := request.(*persistAnywhereRequest); newer {
		b.requests.Add(1)
		return nil, fmt.Errorf("%w: %d at the other node", peer.ErrUnknownKind, request.Kind())
	}
	return b.Client.Call(ctx, address, request, onPart)
}

// TestCoordinatorOfOlderVersionPersistsTurns checks the fallback to persistRequest, and that
// the node stays the coordinator.
func TestCoordinatorOfOlderVersionPersistsTurns(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	coordinator, other := coordinatorOf(nodes, "p")
	path := &olderBuild{Client: other.service.config.Peers}
	other.service.config.Peers = path
	before := other.store.appended.Load()
	is.NoErr(other.service.PersistTurn(t.Context(), indexEntryOf("t1"), []byte("one"), residency.AllowedRegions{}))
	is.Equal(path.requests.Load(), int32(1))
	is.Equal(other.store.appended.Load(), before) // the coordinator has written the turn
	is.True(!other.service.isAvoided(coordinator.identity.Name))
	is.True(!other.service.storeUnavailable.has(coordinator.identity.Name))
}

// textsInIndex counts the texts in the index.
func textsInIndex(at *node) int {
	found := 0
	for number := range partitions {
		for _, record := range at.store.Records(logstore.Partition{Topic: "ledger", Number: number}) {
			if decoded, err := ledger.Decode(record); err == nil {
				if _, text := decoded.(ledger.Text); text {
					found++
				}
			}
		}
	}
	return found
}

// TestRestrictedTextsStayOutOfTheIndex guards against texts that nodes outside the allowed
// regions could read. Unrestricted texts go into the index, in one call with the turn.
func TestRestrictedTextsStayOutOfTheIndex(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 2)
	for _, one := range nodes {
		one.identity.Region = "r"
	}
	setViews(nodes, nodes)
	coordinator, other := coordinatorOf(nodes, "p")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := coordinator.service.Begin(ctx, Request{Program: "p", Previous: "never"})
	is.True(err != nil) // the coordinator has read the partition
	for _, at := range nodes {
		is.NoErr(at.service.PersistTurn(ctx, indexEntryOf(ledger.TurnID("bound at "+at.identity.Name)), []byte("one"), residency.OnlyIn([]string{"r"})))
	}
	is.Equal(textsInIndex(coordinator), 0)
	for i, at := range nodes {
		turn := ledger.TurnID("open at " + at.identity.Name)
		before := coordinator.store.appended.Load()
		is.NoErr(at.service.PersistTurn(ctx, indexEntryOf(turn), []byte("one"), residency.AllowedRegions{}))
		is.Equal(textsInIndex(coordinator), i+1)
		is.Equal(coordinator.store.appended.Load(), before+1)
		begun, err := other.service.Begin(ctx, Request{Program: "p", Previous: turn})
		is.NoErr(err)
		found, err := other.service.Texts(ctx, "p", begun.Chain, residency.AllowedRegions{})
		is.NoErr(err)
		is.Equal(string(found[0]), "one")
	}
}
