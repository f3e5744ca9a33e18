package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	// history is how long the store of these tests keeps records, kept how long routes keep turns.
	history = 20 * time.Second
	kept    = time.Minute
	// archiveTopic is the topic of the archives.
	archiveTopic = "keyed.archive"
)

// forgetfulSite has nodes on a store that drops records before turns may be forgotten.
type forgetfulSite struct {
	*is.I
	t   *testing.T
	log *store.Store
	// recordBytes bounds records; small ones make texts take several.
	recordBytes int
	started     int
	nodes       []*forgetfulNode
}

type forgetfulNode struct {
	*Ledger
	kill context.CancelFunc
	// idle is set if the node coordinates no partition, stopped if it has ended.
	idle, stopped atomic.Bool
	done          chan struct{}
}

func onForgetfulStore(t *testing.T, play func(s *forgetfulSite)) {
	synctest.Test(t, func(t *testing.T) {
		s := &forgetfulSite{I: is.New(t), t: t, log: store.New(), recordBytes: 4096}
		s.log.SetRetention(history)
		play(s)
		for _, one := range s.nodes {
			one.stop()
		}
	})
}

// start starts a node that coordinates all partitions.
func (s *forgetfulSite) start() *forgetfulNode {
	s.started++
	node := &forgetfulNode{done: make(chan struct{}), Ledger: New(Config{
		Store: s.log, Topic: "ledger", TextTopic: "texts", ArchiveTopic: archiveTopic, Partitions: 3, Producer: fmt.Sprintf("n%d.1", s.started),
		RecordBytes: s.recordBytes, CallBytes: 1 << 15, CacheBytes: 1 << 16, Retain: history, IndexTextBytes: testTextBytes, Logger: slog.New(slog.DiscardHandler),
	})}
	s.nodes = append(s.nodes, node)
	node.SetLongestRest(func() time.Duration { return kept })
	node.SetMembers(forgetfulMembers{s})
	var ctx context.Context
	ctx, node.kill = context.WithCancel(s.t.Context())
	go func() {
		defer close(node.done)
		node.Run(ctx, func(int) bool { return !node.idle.Load() })
	}()
	return node
}

// forgetfulMembers knows which nodes run.
type forgetfulMembers struct{ site *forgetfulSite }

func (m forgetfulMembers) IsAlive(incarnation ledger.IncarnationID) bool {
	for _, one := range m.site.nodes {
		if one.config.Producer == string(incarnation) {
			return !one.stopped.Load()
		}
	}
	return false
}

func (m forgetfulMembers) MayBeAlive(incarnation ledger.IncarnationID) bool {
	return m.IsAlive(incarnation)
}

func (m forgetfulMembers) IsReachable(incarnation ledger.IncarnationID) bool {
	return m.IsAlive(incarnation)
}

func (n *forgetfulNode) stop() {
	n.stopped.Store(true)
	n.kill()
	<-n.done
}

func turnText(number int) string {
	return fmt.Sprintf("text %d %s", number, strings.Repeat("x", number*100))
}

// persist persists turn number of a program behind a chain. Every third text is not in the index.
func (s *forgetfulSite) persist(node *forgetfulNode, program ledger.ProgramID, number int, chain []ledger.Location) []ledger.Location {
	entry := ledger.IndexEntry{Program: program, Turn: turnOf(program, number), Chain: chain, Retention: kept}
	text := []byte(turnText(number))
	if number%3 == 0 {
		location, err := node.WriteText(within(s.t, 5*time.Second), text)
		s.NoErr(err)
		entry.Chain = withLocation(chain, location)
		s.NoErr(node.PersistTurn(within(s.t, 5*time.Second), entry))
		return entry.Chain
	}
	location, err := node.PersistTurnWithText(within(s.t, 5*time.Second), entry, text, false)
	s.NoErr(err)
	return withLocation(chain, location)
}

func turnOf(program ledger.ProgramID, number int) ledger.TurnID {
	return ledger.TurnID(fmt.Sprintf("%s/%d", program, number))
}

// find returns the texts of a turn as a node finds them that is asked for the first time.
func (s *forgetfulSite) find(node *forgetfulNode, program ledger.ProgramID, turn ledger.TurnID) ([][]byte, error) {
	ctx := within(s.t, 10*time.Second)
	entry, err := findTurn(ctx, node.Ledger, program, turn)
	if err != nil {
		return nil, err
	}
	return node.Texts(ctx, entry.Chain)
}

func (s *forgetfulSite) wants(node *forgetfulNode, program ledger.ProgramID, number int) {
	s.t.Helper()
	texts, err := s.find(node, program, turnOf(program, number))
	s.NoErr(err)
	s.Equal(len(texts), number)
	for i, text := range texts {
		s.Equal(string(text), turnText(i+1))
	}
}

// TestKeptTurnOutlivesTheLogAndItsNodes guards against 404 for turns that are kept, once the store has
// dropped their records and the nodes were replaced that had read them.
func TestKeptTurnOutlivesTheLogAndItsNodes(t *testing.T) {
	for name, recordBytes := range map[string]int{"whole records": 4096, "texts in parts": 300} {
		t.Run(name, func(t *testing.T) {
			onForgetfulStore(t, func(s *forgetfulSite) {
				s.recordBytes = recordBytes
				node := s.start()
				var chain []ledger.Location
				for number := range 5 {
					chain = s.persist(node, "p", number+1, chain)
					time.Sleep(9 * time.Second)
				}
				node.stop()
				second := s.start()
				s.wants(second, "p", 5)
				s.wants(second, "p", 3)
				for range 2 { // all nodes at once, longer after that than the history
					time.Sleep(8 * time.Second)
					second.stop()
					second = s.start()
				}
				time.Sleep(8 * time.Second)
				s.wants(s.start(), "p", 5)
			})
		})
	}
}

// TestSpentBudgetOutlivesTheLogAndItsNodes guards against a second budget for a program whose charges
// the store has dropped.
func TestSpentBudgetOutlivesTheLogAndItsNodes(t *testing.T) {
	onForgetfulStore(t, func(s *forgetfulSite) {
		const budget, most = 160, 20
		node := s.start()
		spend := func(node *forgetfulNode) error {
			grant, err := beginTurn(within(s.t, 5*time.Second), node.Ledger, "p", budget, most, true)
			if err == nil {
				node.FinishTurn("p", grant.ID, most)
			}
			time.Sleep(100 * time.Millisecond)
			return err
		}
		tokens := 0
		for spend(node) == nil {
			tokens += most
		}
		s.True(tokens == budget || tokens == budget+most)
		for range 3 {
			time.Sleep(history - time.Second)
			node.stop()
			node = s.start()
			var spent *BudgetExhaustedError
			s.True(errors.As(spend(node), &spent))
		}
	})
}

// TestOpenReservationOutlivesTheLog guards against tokens that a node had reserved, and may have handed
// out, when it was lost.
func TestOpenReservationOutlivesTheLog(t *testing.T) {
	onForgetfulStore(t, func(s *forgetfulSite) {
		node := s.start()
		_, err := beginTurn(within(s.t, 5*time.Second), node.Ledger, "p", 100, 60, true)
		s.NoErr(err)
		time.Sleep(15 * time.Second)
		node.stop()
		time.Sleep(15 * time.Second)
		second := s.start()
		_, err = beginTurn(within(s.t, 5*time.Second), second.Ledger, "p", 100, 60, true)
		s.NoErr(err) // the turn beyond the budget
		_, err = beginTurn(within(s.t, 5*time.Second), second.Ledger, "p", 100, 60, true)
		s.True(err != nil)
	})
}

// TestTextsOutliveTheProgramTheyCameFrom guards against turns of a program that went on from another
// one, whose first texts are removed with the other's last turn.
func TestTextsOutliveTheProgramTheyCameFrom(t *testing.T) {
	onForgetfulStore(t, func(s *forgetfulSite) {
		node := s.start()
		chain := s.persist(node, "p", 2, s.persist(node, "p", 1, nil))
		time.Sleep(50 * time.Second)
		s.persist(node, "other", 3, chain)
		time.Sleep(55 * time.Second) // the turns of p are not kept any more
		_, err := s.find(node, "p", turnOf("p", 2))
		s.True(errors.Is(err, ErrNoSuchTurn))
		node.stop()
		s.wants(s.start(), "other", 3)
	})
}

// TestArchiveIsEmptyOnceNothingIsKept guards against an archive that grows without an end, also where all
// nodes are lost before they can remove anything.
func TestArchiveIsEmptyOnceNothingIsKept(t *testing.T) {
	onForgetfulStore(t, func(s *forgetfulSite) {
		s.recordBytes = 300
		node := s.start()
		var chain []ledger.Location
		for number := range 6 {
			chain = s.persist(node, "p", number+1, chain)
		}
		grant, err := beginTurn(within(s.t, 5*time.Second), node.Ledger, "p", 100, 60, true)
		s.NoErr(err)
		node.FinishTurn("p", grant.ID, 60)
		time.Sleep(10 * time.Second)
		s.True(s.archived() > 10)
		for range 20 { // each node lives for less than turns are kept
			node.stop()
			time.Sleep(30 * time.Second)
			node = s.start()
			time.Sleep(30 * time.Second)
		}
		time.Sleep(30 * time.Second)
		s.Equal(s.archived(), 3) // the positions
		_, err = s.find(node, "p", turnOf("p", 6))
		s.True(errors.Is(err, ErrNoSuchTurn))
	})
}

// archived returns the number of items of all archives.
func (s *forgetfulSite) archived() int {
	total := 0
	for number := range 3 {
		total += len(s.log.Keys(logstore.Partition{Topic: archiveTopic, Number: number}))
	}
	return total
}

// TestDroppedRecordsWithoutCopyAreNotForgotten guards against 404, and against a new budget, where the
// store dropped records before any node had copied them.
func TestDroppedRecordsWithoutCopyAreNotForgotten(t *testing.T) {
	onForgetfulStore(t, func(s *forgetfulSite) {
		node := s.start()
		s.persist(node, "p", 1, nil)
		time.Sleep(9500 * time.Millisecond) // between two batches
		s.persist(node, "p", 2, nil)
		_, err := beginTurn(within(s.t, 5*time.Second), node.Ledger, "p", 100, 60, true)
		s.NoErr(err)
		node.stop()
		s.log.Trim(node.partitionOf("p").reader.partition, 1<<20)
		time.Sleep(time.Second)
		second := s.start()
		s.wants(second, "p", 1)
		_, err = s.find(second, "p", turnOf("p", 2))
		s.True(errors.Is(err, ErrIncomplete))
		_, err = beginTurn(within(s.t, 5*time.Second), second.Ledger, "p", 100, 60, true)
		s.True(errors.Is(err, ErrIncomplete))
		time.Sleep(30 * time.Second)
		second.stop()
		third := s.start() // knows from the archive that records are missing
		time.Sleep(10 * time.Second)
		_, err = beginTurn(within(s.t, 5*time.Second), third.Ledger, "p", 100, 60, true)
		s.True(errors.Is(err, ErrIncomplete))
		time.Sleep(kept)
		_, err = beginTurn(within(s.t, 5*time.Second), third.Ledger, "q", 100, 60, true)
		s.NoErr(err) // whoever was in the records has not come back in time
		_, err = s.find(third, "p", turnOf("p", 2))
		s.True(errors.Is(err, ErrNoSuchTurn))
	})
}

// TestNodeIsCompleteOnceAnotherHasCopied guards against a node that goes on refusing what only the
// owner had read when the store dropped it.
func TestNodeIsCompleteOnceAnotherHasCopied(t *testing.T) {
	onForgetfulStore(t, func(s *forgetfulSite) {
		owner, other := s.start(), s.start()
		other.idle.Store(true)
		s.persist(owner, "p", 1, nil)
		time.Sleep(9500 * time.Millisecond) // between two batches
		s.persist(owner, "p", 1, nil)
		s.persist(owner, "p", 2, nil)
		s.log.Trim(owner.partitionOf("p").reader.partition, 1<<20)
		_, err := s.find(other, "p", turnOf("p", 2))
		s.True(errors.Is(err, ErrIncomplete))
		time.Sleep(5 * time.Second)
		_, err = s.find(other, "p", turnOf("p", 2))
		s.NoErr(err)
		_, err = s.find(other, "p", "none")
		s.True(errors.Is(err, ErrNoSuchTurn))
	})
}

// TestOwnerThatStoodStillOverwritesNothing guards against charges that a displaced owner sets back to
// what it knew before.
func TestOwnerThatStoodStillOverwritesNothing(t *testing.T) {
	onForgetfulStore(t, func(s *forgetfulSite) {
		first := s.start()
		turn := func(node *forgetfulNode) {
			grant, err := beginTurn(within(s.t, 5*time.Second), node.Ledger, "p", 1000, 60, true)
			s.NoErr(err)
			node.FinishTurn("p", grant.ID, 60)
		}
		turn(first)
		time.Sleep(10 * time.Second)
		stale := first.archivers[first.Partition("p")]
		written, err := stale.state(s.t.Context())
		s.NoErr(err)
		batch := stale.newBatch(written)
		batch.accounts = []ledger.ProgramID{"p"}
		stale.addItems(batch)
		s.True(!batch.empty())
		first.kill() // stands still with the batch in its hands

		second := s.start()
		for range 4 {
			turn(second)
		}
		time.Sleep(15 * time.Second)
		s.True(stale.append(s.t.Context(), batch) != nil)
		time.Sleep(history)
		second.stop()
		third := s.start()
		grant, err := beginTurn(within(s.t, 5*time.Second), third.Ledger, "p", 1000, 60, false)
		s.NoErr(err)
		s.True(grant.Charged >= 300)
	})
}

// TestRestrictedTextIsNotReadByTheArchiver guards against texts that leave their home regions, and
// against their loss with the log.
func TestRestrictedTextIsNotReadByTheArchiver(t *testing.T) {
	onForgetfulStore(t, func(s *forgetfulSite) {
		archiving, home := s.start(), s.start()
		home.idle.Store(true)
		entry := ledger.IndexEntry{Program: "p", Turn: turnOf("p", 1), Retention: kept}
		_, err := home.PersistTurnWithText(within(s.t, 5*time.Second), entry, []byte(turnText(1)), true)
		s.NoErr(err)
		time.Sleep(30 * time.Second)
		_, cached := archiving.CachedTexts(mustFind(s, archiving, "p", 1).Chain)
		s.True(!cached)
		home.stop()
		archiving.stop()
		s.wants(s.start(), "p", 1)
	})
}

func mustFind(s *forgetfulSite, node *forgetfulNode, program ledger.ProgramID, number int) ledger.IndexedTurn {
	entry, err := findTurn(within(s.t, 5*time.Second), node.Ledger, program, turnOf(program, number))
	s.NoErr(err)
	return entry
}
