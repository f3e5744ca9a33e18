package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
)

// search is the search for a turn in a partition that is neither the own one of the program that
// continues the turn nor coordinated by the node that searches.
type search struct {
	t     *testing.T
	nodes []*node
	// coordinator coordinates the turn's partition.
	from, coordinator *node
	turnPartition     int
}

func newSearch(t *testing.T) search {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	log := store.New()
	s := search{t: t}
	for i := range 4 {
		s.nodes = append(s.nodes, startNode(t, log, fmt.Sprintf("n%d", i), false))
	}
	setViews(s.nodes, s.nodes)
	writer := newLedger(log, "writer", nil)
	author := ledger.ProgramID("author")
	for number := 0; writer.Partition(author) == writer.Partition("p"); number++ {
		author = ledger.ProgramID(fmt.Sprint("author", number))
	}
	is.New(t).NoErr(writer.PersistTurn(ctx, ledger.IndexEntry{Program: author, Turn: "t", Retention: time.Minute}))
	s.coordinator, s.from = coordinatorOf(s.nodes, author)
	s.turnPartition = writer.Partition(author)
	return s
}

func (s search) find(turn ledger.TurnID) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), 1300*time.Millisecond)
	defer cancel()
	_, err := s.from.service.findTurn(ctx, "p", turn)
	return err
}

// TestTurnIsFoundAlthoughItsCoordinatorCannotReadIt guards against a coordinator that is
// believed if it can't read its partition, at once or never, although other nodes can, and against
// one that other work avoids since a search took long there.
func TestTurnIsFoundAlthoughItsCoordinatorCannotReadIt(t *testing.T) {
	for name, disturb := range map[string]func(search){
		"refused":     func(s search) { s.coordinator.store.closed.Store(true) },
		"silent":      func(s search) { s.coordinator.store.silent.Store(s.turnPartition, true) },
		"silent node": search.silenceCoordinator,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSearch(t)
			disturb(s)
			is := is.New(t)
			is.NoErr(s.find("t"))
			is.True(!s.from.service.storeUnavailable.has(s.coordinator.identity.Name)) // other work still goes there
		})
	}
}

// silenceCoordinator replaces the coordinator by a process that does not respond.
func (s search) silenceCoordinator() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = listener.Close() })
	s.coordinator.identity.PeerAddress = netip.MustParseAddrPort(listener.Addr().String())
	setViews(s.nodes, s.nodes)
}

// silenceOthers makes all partitions but that of the turn unreadable to a node.
func (s search) silenceOthers(at *node) {
	for number := range partitions {
		if number != s.turnPartition {
			at.store.silent.Store(number, true)
		}
	}
}

// TestTurnIsFoundBesideUnreadableOwnPartition guards against a search of the program's own
// partition that uses up the time before other partitions are searched.
func TestTurnIsFoundBesideUnreadableOwnPartition(t *testing.T) {
	is := is.New(t)
	s := newSearch(t)
	s.silenceOthers(s.from)
	is.NoErr(s.find("t"))
}

// TestTurnIsAbsentOnlyIfAllPartitionsWereRead guards against a refusal for good because of a
// partition that could not be read.
func TestTurnIsAbsentOnlyIfAllPartitionsWereRead(t *testing.T) {
	is := is.New(t)
	s := newSearch(t)
	is.True(errors.Is(s.find("never"), ledgerlog.ErrNoSuchTurn))
	s.from.store.silent.Store(s.turnPartition, true)
	s.coordinator.store.closed.Store(true)
	err := s.find("never")
	is.True(errors.Is(err, ledgerlog.ErrUnavailable) && !errors.Is(err, ledgerlog.ErrNoSuchTurn))
}
