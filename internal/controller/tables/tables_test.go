package tables_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// TestMain sets rapid's seed and number of checks unless the command line does.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// action is the kind of a step of a schedule.
type action int

const (
	race action = iota
	kill
	restart
	freeze
	thaw
	cutPeers
	cutLog
	outage
	loseAnswers
	slowLog
	healAll
	actionCount
)

// step is one step of a schedule. First and Second are indexes of nodes.
type step struct {
	Action        action
	First, Second int
	Pause         time.Duration
}

// schedule is a sequence of publications and faults.
type schedule struct {
	Seed  uint64
	Hints bool
	Steps []step
}

const siteSize = 6

func drawSchedule(t *rapid.T) schedule {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Action: action(rapid.IntRange(0, int(actionCount)-1).Draw(t, "action")),
			First:  rapid.IntRange(0, siteSize-1).Draw(t, "first"),
			Second: rapid.IntRange(0, siteSize-1).Draw(t, "second"),
			Pause:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond,
		}
	}), 4, 25)
	return schedule{Seed: rapid.Uint64().Draw(t, "seed"), Hints: rapid.Bool().Draw(t, "hints"), Steps: steps.Draw(t, "steps")}
}

// run executes a schedule and returns the violations, or "".
func run(t *testing.T, plan schedule, publish publisher, onStart func(*node)) (verdict string, publications int) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, plan.Seed, siteSize)
		s.hints, s.publish, s.onStart = plan.Hints, publish, onStart
		for _, name := range s.names {
			s.start(name)
		}
		var publishers sync.WaitGroup
		for _, one := range plan.Steps {
			time.Sleep(one.Pause)
			s.execute(one, &publishers)
		}
		s.heal()
		publishers.Wait()
		s.checkInForce(5 * time.Second)
		s.checkReports()
		verdict, publications = s.verdict(), len(s.reports)
	})
	return verdict, publications
}

func (s *site) execute(one step, publishers *sync.WaitGroup) {
	first, second := s.names[one.First], s.names[one.Second]
	switch one.Action {
	case race:
		s.race(one, publishers)
	case kill:
		s.kill(first)
	case restart:
		s.kill(first)
		s.start(first)
	case freeze, thaw, cutPeers:
		s.markFault()
		s.injectNetworkFault(one, first, second)
	case cutLog:
		s.markFault()
		s.log.ViewFor(string(first)).SetDown(true)
	case outage:
		s.markFault()
		s.log.SetDown(true)
	case loseAnswers:
		s.markFault()
		s.log.SetFaults(logservice.Faults{LoseBefore: 0.3, LoseAfter: 0.3, Refuse: 0.1})
		s.network.SetFaults(network.Faults{RequestLoss: 0.2, AnswerLoss: 0.2, Duplicate: 0.2, DuplicateDelay: time.Second})
	case slowLog:
		s.markFault()
		s.log.SetFaults(logservice.Faults{AppendDelay: 8 * time.Second, ReadDelay: 300 * time.Millisecond})
	case healAll:
		s.heal()
	}
}

// race lets up to three nodes publish concurrently, each on its version in force.
func (s *site) race(one step, publishers *sync.WaitGroup) {
	for _, index := range []int{one.First, one.Second, (one.First + one.Second) % siteSize} {
		if n := s.node(s.names[index]); n != nil {
			s.publishAt(n, n.version(), publishers)
		}
	}
}

func (s *site) injectNetworkFault(one step, first, second identity.NodeName) {
	switch one.Action {
	case cutPeers:
		s.network.Cut(first, second)
	case freeze:
		if n := s.node(first); n != nil {
			n.endpoint.Freeze()
		}
	default:
		if n := s.node(first); n != nil {
			n.endpoint.Thaw()
		}
	}
}

// TestTableInvariantsUnderFaults checks over random schedules of concurrent
// publications, kills, pauses, partitions, outages, delays and lost responses that
// publishers get correct results, that no version in force ever decreases, that
// each version is one table, and that all nodes have the newest version in force
// within 5 s after the last fault.
func TestTableInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawSchedule(rt)
		if verdict, _ := run(t, plan, publishCorrectly, func(*node) {}); verdict != "" {
			rt.Fatal(verdict)
		}
	})
}

// expectViolation runs schedules until the checker finds a violation, beginning with
// those that were constructed to cause it.
func expectViolation(t *testing.T, publish publisher, onStart func(*node), constructed ...schedule) {
	t.Helper()
	const tries = 200
	for _, plan := range constructed {
		verdict, _ := run(t, plan, publish, onStart)
		if verdict != "" {
			t.Logf("detected by a constructed schedule: %s", verdict)
			return
		}
	}
	plans := rapid.Custom(drawSchedule)
	for seed := range tries {
		if verdict, _ := run(t, plans.Example(seed), publish, onStart); verdict != "" {
			t.Logf("detected by schedule %d: %s", seed, verdict)
			return
		}
	}
	t.Fatalf("%d schedules did not detect the fault", tries)
}

func unmodified(*node) {}

// TestCheckerDetectsMissingReadBack treats a lost response as a refusal.
func TestCheckerDetectsMissingReadBack(t *testing.T) {
	expectViolation(t, func(ctx context.Context, n *node, p tables.Publication) (table.Entry, error) {
		record := table.Record{ID: p.ID, Base: p.Base, Author: p.Author, Note: p.Note, CSV: p.CSV}
		if _, err := n.log.Append(ctx, table.Stream, [][]byte{record.Encode()}); err != nil {
			return table.Entry{}, fmt.Errorf("%w: %w", tables.ErrNotPublished, err)
		}
		return n.controller.Publish(ctx, p)
	}, unmodified)
}

// TestCheckerDetectsAppendTreatedAsAcceptance treats every appended record as
// accepted.
func TestCheckerDetectsAppendTreatedAsAcceptance(t *testing.T) {
	expectViolation(t, func(ctx context.Context, n *node, p tables.Publication) (table.Entry, error) {
		record := table.Record{ID: p.ID, Base: p.Base, Author: p.Author, Note: p.Note, CSV: p.CSV}
		if _, err := n.log.Append(ctx, table.Stream, [][]byte{record.Encode()}); err != nil {
			return table.Entry{}, &tables.OutcomeUnknownError{ID: p.ID, Cause: err}
		}
		return table.Entry{Version: p.Base + 1, Status: table.Accepted}, nil
	}, unmodified)
}

// TestCheckerDetectsNewIDOnRetry retries with another id.
func TestCheckerDetectsNewIDOnRetry(t *testing.T) {
	expectViolation(t, func(ctx context.Context, n *node, p tables.Publication) (table.Entry, error) {
		record := table.Record{ID: p.ID + "-first", Base: p.Base, Author: p.Author, Note: p.Note, CSV: p.CSV}
		_, err := n.log.Append(ctx, table.Stream, [][]byte{record.Encode()})
		if errors.Is(err, siteservices.ErrUnavailable) {
			return table.Entry{}, fmt.Errorf("%w: %w", tables.ErrNotPublished, err)
		}
		if err == nil {
			p.ID = record.ID
		}
		return n.controller.Publish(ctx, p)
	}, unmodified)
}

// staleFirstNode pauses the first node before a second version is published and
// partitions it from the log and all nodes but the last, so that it stays stale after
// it resumes, thawAt after the start. Unlike in random schedules, the result does not
// depend on the order of goroutines.
func staleFirstNode(thawAt time.Duration, then ...step) schedule {
	const stale, last, raced, frozen = 0, siteSize - 1, 100 * time.Millisecond, 3 * time.Second
	steps := []step{
		{Action: race, First: 1, Second: 2, Pause: raced},
		{Action: freeze, First: stale, Pause: frozen},
		{Action: cutLog, First: stale},
	}
	for other := stale + 1; other < last; other++ {
		steps = append(steps, step{Action: cutPeers, First: stale, Second: other})
	}
	steps = append(
		steps,
		step{Action: race, First: 1, Second: 2},
		step{Action: thaw, First: stale, Pause: thawAt - raced - frozen},
	)
	return schedule{Seed: 1, Steps: append(steps, then...)}
}

// TestCheckerDetectsUnorderedAdoption adopts the version of any peer, even if it is
// older.
func TestCheckerDetectsUnorderedAdoption(t *testing.T) {
	expectViolation(t, publishCorrectly, func(n *node) {
		n.site.background.Go(func() { n.copyFromAnyPeer() })
	}, staleFirstNode(
		copyRound-10*time.Millisecond,
		step{Action: thaw, Pause: 3 * time.Second},
	))
}

// copyPause is the time between two copies of copyFromAnyPeer, which starts again with
// the first node at each multiple of copyRound from the start of a schedule.
const (
	copyPause = 250 * time.Millisecond
	copyRound = 4 * siteSize * copyPause
)

func (n *node) copyFromAnyPeer() {
	for {
		select {
		case <-time.After(copyPause):
		case <-n.endpoint.Done():
			return
		}
		other := n.site.node(n.site.names[int(time.Now().UnixMilli()/copyPause.Milliseconds())%siteSize])
		if other == nil || !n.connected(other) {
			continue
		}
		if received := other.board.Table.Load(); received != nil {
			n.board.Table.Store(received)
		}
	}
}

// TestCheckerDetectsPrematureStart puts the version of the first peer in force
// without waiting for the log or the other peers.
func TestCheckerDetectsPrematureStart(t *testing.T) {
	expectViolation(t, publishCorrectly, func(n *node) {
		for _, name := range n.site.names {
			other := n.site.node(name)
			if other == nil || other == n || !n.connected(other) {
				continue
			}
			if received := other.board.Table.Load(); received != nil {
				n.board.Table.Store(received)
				return
			}
		}
	}, staleFirstNode(
		6*time.Second,
		step{Action: restart, First: siteSize - 1},
		step{Action: thaw, Pause: 3 * time.Second},
	))
}

// TestConcurrentPublishersGetCorrectResults lets nodes publish on one base
// concurrently while some of their appends are refused or lost, or their responses
// are lost: exactly one is accepted, and all others get a ConflictError.
func TestConcurrentPublishersGetCorrectResults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		outcome := rapid.SampledFrom([]logservice.Outcome{
			logservice.Succeed, logservice.RefuseAppend, logservice.LoseRequest, logservice.LoseAnswer,
		})
		outcomes := rapid.SliceOfN(rapid.SliceOfN(outcome, 0, 4), 2, siteSize).Draw(rt, "outcomes")
		delay := time.Duration(rapid.IntRange(0, 400).Draw(rt, "delay")) * time.Millisecond
		verdict, winners, losers := "", 0, 0
		inBubble(t, func(_ *is.I, s *site) {
			s.log.SetFaults(logservice.Faults{AppendDelay: delay})
			var publishers sync.WaitGroup
			for i, lined := range outcomes {
				s.log.ViewFor(string(s.names[i])).Script(lined...)
				s.publishAt(s.node(s.names[i]), 1, &publishers)
			}
			publishers.Wait()
			s.checkInForce(5 * time.Second)
			s.checkReports()
			for _, outcome := range s.reports[1:] {
				var lost *tables.ConflictError
				switch {
				case outcome.err == nil:
					winners++
				case errors.As(outcome.err, &lost):
					losers++
				}
			}
			verdict = s.verdict()
		})
		if verdict != "" || winners != 1 || losers != len(outcomes)-1 {
			rt.Fatalf("%d accepted, %d conflicts of %d publishers\n%s", winners, losers, len(outcomes), verdict)
		}
	})
}

// inBubble runs a test in virtual time with a site whose nodes all have version 1 in
// force.
func inBubble(t *testing.T, test func(is *is.I, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 7, siteSize)
		for _, name := range s.names {
			s.start(name)
		}
		time.Sleep(time.Second)
		var publishers sync.WaitGroup
		s.publishAt(s.node("n0"), 0, &publishers)
		publishers.Wait()
		s.checkInForce(5 * time.Second)
		test(is.New(t), s)
		if verdict := s.verdict(); verdict != "" {
			t.Fatal(verdict)
		}
	})
}

func TestVersionReachesConnectedNodesWithTheLogDown(t *testing.T) {
	inBubble(t, func(is *is.I, s *site) {
		for _, name := range s.names[1:] {
			s.log.ViewFor(string(name)).SetDown(true)
		}
		_, err := s.node("n0").controller.Publish(s.ctx, tables.Publication{Base: 1, Author: "marta", CSV: sheetOf(50)})
		is.NoErr(err)
		s.log.SetDown(true)
		s.checkInForce(5 * time.Second)
		is.Equal(s.node("n5").version(), table.Version(2))
		s.kill("n5") // a new incarnation receives the version from its peers
		s.start("n5")
		s.checkInForce(5 * time.Second)
		is.Equal(s.node("n5").version(), table.Version(2))
	})
}

func TestNothingIsInForceWithoutLogAndPeers(t *testing.T) {
	inBubble(t, func(is *is.I, s *site) {
		s.log.SetDown(true)
		for _, name := range s.names {
			s.kill(name)
		}
		fresh := s.start("n0")
		time.Sleep(time.Hour)
		is.Equal(fresh.version(), table.Version(0))
		began := time.Now()
		_, err := fresh.controller.Publish(s.ctx, tables.Publication{Base: 1, CSV: sheetOf(9)})
		is.True(errors.Is(err, tables.ErrNotPublished))
		is.True(time.Since(began) < 5*time.Second) // before PublishTimeout
	})
}

func TestOutcomesOfPublish(t *testing.T) {
	inBubble(t, func(is *is.I, s *site) {
		c := s.node("n1").controller
		publish := func(p tables.Publication) (table.Entry, error) { return c.Publish(s.ctx, p) }
		var invalid *table.InvalidError
		_, err := publish(tables.Publication{Base: 1, CSV: []byte("kind,name\nwheel,x\n")})
		is.True(errors.As(err, &invalid))
		var lost *tables.ConflictError
		_, err = publish(tables.Publication{Base: 0, CSV: sheetOf(3)})
		is.True(errors.As(err, &lost))
		is.Equal(lost.Winner.Author, "author-1")
		var base *tables.BaseError
		_, err = publish(tables.Publication{Base: 9, CSV: sheetOf(3)})
		is.True(errors.As(err, &base))
		is.Equal(base.Current, table.Version(1))
		is.Equal(len(s.log.Records(table.Stream)), 1) // none of these was appended

		view := s.log.ViewFor("n1")
		view.Script(logservice.LoseRequest, logservice.LoseAnswer)
		entry, err := publish(tables.Publication{ID: "mine", Base: 1, CSV: sheetOf(3)})
		is.NoErr(err)
		is.Equal(entry.Version, table.Version(2))
		is.Equal(len(s.log.Records(table.Stream)), 2) // the first append was lost, the second succeeded without a response
		entry, err = s.node("n2").controller.Publish(s.ctx, tables.Publication{ID: "mine", Repeated: true, Base: 1, CSV: sheetOf(3)})
		is.NoErr(err) // the same publication on another node
		is.Equal(entry.Version, table.Version(2))
		_, err = publish(tables.Publication{ID: "mine", Base: 2, CSV: sheetOf(4)})
		is.True(errors.Is(err, tables.ErrIDReused))
	})
}

func TestUnknownOutcomeIsResolvedByRepeat(t *testing.T) {
	inBubble(t, func(is *is.I, s *site) {
		s.log.ViewFor("n1").Script(logservice.LoseAnswer)
		time.AfterFunc(time.Millisecond, func() { s.log.SetDown(true) })
		s.log.SetFaults(logservice.Faults{AppendDelay: time.Second})
		wanted := tables.Publication{ID: "mine", Base: 1, CSV: sheetOf(3)}
		_, err := s.node("n1").controller.Publish(s.ctx, wanted)
		var unknown *tables.OutcomeUnknownError
		is.True(errors.As(err, &unknown))
		s.log.SetFaults(logservice.Faults{})
		wanted.Repeated = true
		entry, err := s.node("n2").controller.Publish(s.ctx, wanted)
		is.NoErr(err)
		is.Equal(entry.Version, table.Version(2))
	})
}

// TestColdStartReadsFromSnapshot restarts the site after many records and counts the
// records that the first node reads.
func TestColdStartReadsFromSnapshot(t *testing.T) {
	inBubble(t, func(is *is.I, s *site) {
		const versions = 2000
		for base := 1; base < versions; base++ {
			record := table.Record{ID: fmt.Sprint("v", base), Base: table.Version(base), Author: "marta", CSV: sheetOf(base)}
			_, err := s.log.Append(s.ctx, table.Stream, [][]byte{record.Encode()})
			is.NoErr(err)
		}
		time.Sleep(2 * time.Minute)
		records := len(s.log.Records(table.Stream))
		is.True(records > versions && records < versions+20) // a few snapshots, not one per node
		for _, name := range s.names {
			s.kill(name)
		}
		counted := &countingLog{Log: s.log}
		fresh := tables.New(tables.Config{Self: "n9", Log: counted, Peers: s.network.Join(identity.Node{Name: "n9"}, peer.NewRegistry()), Board: blackboard.NewBoard()})
		ctx, cancel := context.WithCancel(s.ctx)
		s.background.Go(func() { _ = fresh.Run(ctx) })
		time.Sleep(time.Second)
		cancel()
		is.Equal(fresh.State().InForce, table.Version(versions))
		is.True(counted.records.Load() < versions/2)
	})
}

// countingLog counts the records read through it.
type countingLog struct {
	siteservices.Log
	records atomic.Int64
}

func (c *countingLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	result, err := c.Log.Read(ctx, stream, from, limit, wait)
	c.records.Add(int64(len(result.Records)))
	return result, err
}

// TestSpreadOnLargeSite lets one node read a version while the log is unavailable to
// all others and membership updates include no versions. The version must reach
// every node by pulls alone, at a cost per node that does not grow with the site.
func TestSpreadOnLargeSite(t *testing.T) {
	for _, size := range []int{12, 48} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { spread(t, size) })
	}
}

func spread(t *testing.T, size int) {
	const limit = 12 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is, s := is.New(t), newSite(t, 3, size)
		for _, name := range s.names {
			s.start(name)
		}
		publish := func(base table.Version) {
			_, err := s.node("n0").controller.Publish(s.ctx, tables.Publication{Base: base, Author: "marta", CSV: sheetOf(50)})
			is.NoErr(err)
		}
		publish(0)
		time.Sleep(limit)
		for _, name := range s.names[1:] {
			s.log.ViewFor(string(name)).SetDown(true)
		}
		messages, bytes := s.sent()
		const idle = 20 * time.Second
		time.Sleep(idle)
		idleMessages, idleBytes := s.sent()
		began := time.Now()
		publish(1)
		for !s.allAt(2) && time.Since(began) < limit {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(began)
		time.Sleep(limit)
		synctest.Wait()
		is.True(s.allAt(2))
		is.True(took < limit)
		allMessages, allBytes := s.sent()
		perNode := func(count int64) float64 { return float64(count) / float64(size) }
		t.Logf("%d nodes: in force on all after %s; idle: %.2f messages and %.0f bytes per second per node; new version: %.1f messages and %.0f bytes per node",
			size, took, perNode(idleMessages-messages)/idle.Seconds(), perNode(idleBytes-bytes)/idle.Seconds(),
			perNode(allMessages-idleMessages), perNode(allBytes-idleBytes))
		is.True(perNode(idleMessages-messages)/idle.Seconds() < 2)
		is.True(perNode(allMessages-idleMessages) < 25)
	})
}

func (s *site) sent() (messages, bytes int64) {
	for _, name := range s.names {
		sentMessages, sentBytes := s.node(name).endpoint.Sent()
		messages, bytes = messages+sentMessages, bytes+sentBytes
	}
	return messages, bytes
}

func (s *site) allAt(version table.Version) bool {
	for _, name := range s.names {
		if s.node(name).version() != version {
			return false
		}
	}
	return true
}
