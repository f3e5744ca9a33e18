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

// buildBefore is a way to other nodes of a build that does not know keepAnywhere.
type buildBefore struct {
	peer.Client
	asked atomic.Int32
}

func (b *buildBefore) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	if _, newer := request.(*keepAnywhere); newer {
		b.asked.Add(1)
		return nil, fmt.Errorf("%w: %d at the other node", peer.ErrUnknownKind, request.Kind())
	}
	return b.Client.Call(ctx, address, request, onPart)
}

// TestHomeOfABuildBeforeKeepsTurns: it is asked by the message that it knows, and stays the
// home.
func TestHomeOfABuildBeforeKeepsTurns(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	home, other := homeOf(nodes, "p")
	way := &buildBefore{Client: other.service.config.Peers}
	other.service.config.Peers = way
	before := other.store.appended.Load()
	is.NoErr(other.service.PersistTurn(t.Context(), keepOf("t1"), []byte("one"), residency.AllowedRegions{}))
	is.Equal(way.asked.Load(), int32(1))
	is.Equal(other.store.appended.Load(), before) // the home has written it
	is.True(!other.service.avoided(home.identity.Name))
	is.True(!other.service.storeless.has(home.identity.Name))
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

// TestTextsWithHomesStayOutOfTheIndex: nodes of all regions read the index. Other texts go
// there, in one call with the turn.
func TestTextsWithHomesStayOutOfTheIndex(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 2)
	for _, one := range nodes {
		one.identity.Region = "r"
	}
	show(nodes, nodes)
	home, other := homeOf(nodes, "p")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := home.service.Begin(ctx, Request{Program: "p", Previous: "never"})
	is.True(err != nil) // the home has read the partition
	for _, at := range nodes {
		is.NoErr(at.service.PersistTurn(ctx, keepOf(ledger.TurnID("bound at "+at.identity.Name)), []byte("one"), residency.OnlyIn([]string{"r"})))
	}
	is.Equal(textsInIndex(home), 0)
	for i, at := range nodes {
		turn := ledger.TurnID("open at " + at.identity.Name)
		before := home.store.appended.Load()
		is.NoErr(at.service.PersistTurn(ctx, keepOf(turn), []byte("one"), residency.AllowedRegions{}))
		is.Equal(textsInIndex(home), i+1)
		is.Equal(home.store.appended.Load(), before+1)
		begun, err := other.service.Begin(ctx, Request{Program: "p", Previous: turn})
		is.NoErr(err)
		found, err := other.service.Texts(ctx, "p", begun.Chain, residency.AllowedRegions{})
		is.NoErr(err)
		is.Equal(string(found[0]), "one")
	}
}
