package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/residency"
)

// TestTextsStayInAllowedRegions persists and reads turns at nodes of three regions, with
// coordinators inside and outside the allowed regions.
func TestTextsStayInAllowedRegions(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	for i, one := range nodes {
		one.identity.Region = identity.Region(fmt.Sprint("r", i))
	}
	setViews(nodes, nodes)
	time.Sleep(singleNodeDelay) // each node coordinates its partitions
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	persistedAtTarget := 0
	for number := range 12 {
		program := ledger.ProgramID(fmt.Sprint("p", number))
		from := nodes[number%len(nodes)]
		coordinator, self := from.service.coordinator(from.service.config.Ledger.Partition(program))
		if self {
			continue
		}
		target := nodeNamed(nodes, coordinator.Name)
		within := residency.OnlyIn([]string{string(from.identity.Region)})
		appended, texts := target.store.appended.Load(), target.store.textReads.Load()
		turn := ledger.TurnID("t" + program)
		is.NoErr(from.service.PersistTurn(ctx, ledger.IndexEntry{Program: program, Turn: turn, Retention: time.Minute}, []byte("text"), within))
		begun, err := from.service.Begin(ctx, Request{Program: program, Previous: turn})
		is.NoErr(err)
		read, err := from.service.Texts(ctx, program, begun.Chain, within)
		is.NoErr(err)
		is.Equal(string(read[0]), "text")
		is.Equal(target.store.appended.Load(), appended) // the coordinator has written nothing
		is.Equal(target.store.textReads.Load(), texts)   // and read no text

		both := residency.OnlyIn([]string{string(from.identity.Region), string(coordinator.Region)})
		is.NoErr(from.service.PersistTurn(ctx, ledger.IndexEntry{Program: program, Turn: turn + "2", Retention: time.Minute}, []byte("text"), both))
		if target.store.appended.Load() > appended {
			persistedAtTarget++ // the coordinator is in an allowed region
		}
	}
	is.True(persistedAtTarget > 0)
}

func nodeNamed(nodes []*node, name identity.NodeName) *node {
	for _, one := range nodes {
		if one.identity.Name == name {
			return one
		}
	}
	return nil
}
