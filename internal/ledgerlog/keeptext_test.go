package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

// smallText is short enough for the records of newLedger.
const smallText = "a small text"

func keepText(ctx context.Context, l *Ledger, turn ledger.TurnID, chain []ledger.Location, text string) error {
	_, err := l.PersistTurnWithText(ctx, ledger.IndexEntry{Program: "p", Turn: turn, Chain: chain, Retention: time.Minute}, []byte(text), false)
	return err
}

// readTurn returns the texts of a turn's chain.
func readTurn(ctx context.Context, l *Ledger, turn ledger.TurnID) ([]string, []ledger.Location, error) {
	kept, err := findTurn(ctx, l, "p", turn)
	if err != nil {
		return nil, nil, err
	}
	found, err := l.Texts(ctx, kept.Chain)
	var texts []string
	for _, text := range found {
		texts = append(texts, string(text))
	}
	return texts, kept.Chain, err
}

// TestKeptTurnIsOneCall: with its text, once the node knows the partition; the text of a
// large turn, of one that is kept apart and of one that finds no room goes to its topic.
func TestKeptTurnIsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		calls := func(turn ledger.TurnID, text string, apart bool) int {
			before := log.Calls("append")
			_, err := l.PersistTurnWithText(within(t, time.Second), ledger.IndexEntry{Program: "p", Turn: turn, Retention: 10 * time.Minute}, []byte(text), apart)
			is.NoErr(err)
			return log.Calls("append") - before
		}
		is.Equal(calls("t0", smallText, false), 2) // nothing is known of the partition
		_, err := findTurn(within(t, time.Second), l, "p", "never")
		is.True(errors.Is(err, ErrNoSuchTurn))
		is.Equal(calls("t1", smallText, false), 1)
		is.Equal(calls("t2", smallText, true), 2)
		is.Equal(calls("t3", strings.Repeat("x", 64), false), 2)
		is.Equal(calls("t4", "", false), 1)
		l.of("p").follower.state.NoteText(testTextBytes, l.of("p").follower.clock())
		is.Equal(calls("t5", smallText, false), 2)
		time.Sleep(2 * time.Minute) // the store has dropped them
		is.Equal(calls("t6", smallText, false), 1)

		other := newLedger(log, "b")
		for turn, want := range map[ledger.TurnID]string{"t4": "", "t5": smallText, "t6": smallText} {
			texts, _, err := readTurn(within(t, time.Second), other, turn)
			is.NoErr(err)
			is.Equal(texts, []string{want})
		}
	})
}

// TestWhoTakesAPartitionOverHasItsTexts: they were on the way, and do not stay beyond the
// cache.
func TestWhoTakesAPartitionOverHasItsTexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		own(t, l)
		const turns = 100
		for i := range turns {
			is.NoErr(keepText(within(t, time.Second), l, ledger.TurnID(fmt.Sprint("t", i)), nil, fmt.Sprint("text of the turn ", i)))
		}
		other := newLedger(log, "b")
		kept, err := findTurn(within(t, time.Second), other, "p", ledger.TurnID(fmt.Sprint("t", turns-1)))
		is.NoErr(err)
		texts, all := other.CachedTexts(kept.Chain)
		is.True(all)
		is.Equal(string(texts[0]), fmt.Sprint("text of the turn ", turns-1))
		is.True(other.texts.cached <= other.config.CacheBytes)
		first, _, err := readTurn(within(t, time.Second), other, "t0") // not remembered
		is.NoErr(err)
		is.Equal(first, []string{"text of the turn 0"})
	})
}

// TestTextIsReadOnlyWhereItStands: a location that may mean any turn's text, as a build
// before hands on, or that holds something else, is no text.
func TestTextIsReadOnlyWhereItStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLedger(store.New(), "a")
		own(t, l)
		is.NoErr(keepText(within(t, time.Second), l, "t1", nil, smallText))
		kept, err := findTurn(within(t, time.Second), l, "p", "t1")
		is.NoErr(err)
		right := kept.Chain[0]
		number := l.Partition("p")
		for _, wrong := range []ledger.Location{
			ledger.TextBefore(number, len(smallText)),
			ledger.TextAt(number, right.Offset, len(smallText)+1),
			ledger.TextAt(number, right.Offset+1, len(smallText)), // the Keep
			ledger.TextAt(number, right.Offset+100, len(smallText)),
		} {
			_, err := l.Texts(within(t, time.Second), []ledger.Location{wrong})
			is.True(errors.Is(err, ErrUnavailable))
		}
	})
}

// TestBuildBeforeCannotReadATextInTheIndex: it asks the texts' topic for a partition that
// is none, as recorded bytes tell it, which is an unreadable turn and no missing one.
func TestBuildBeforeCannotReadATextInTheIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		own(t, l)
		is.NoErr(keepText(within(t, time.Second), l, "t1", nil, smallText))
		records := log.Records(l.of("p").follower.partition)
		decoded, err := ledger.Decode(records[len(records)-1])
		is.NoErr(err)
		before := decoded.(ledger.IndexEntry).Chain[0] // what a build before takes the chain for
		is.True(int(before.Partition) >= l.Partitions())
		result, err := log.Read(within(t, time.Second), logstore.ReadRequest{
			Partition: logstore.Partition{Topic: "texts", Number: int(before.Partition)}, From: logstore.Offset(before.Offset),
		})
		is.True(err != nil || len(result.Records) == 0) // errTextShort there, which is ErrUnavailable
	})
}

// keepRun is one run of TestKeptTurnsAreFoundWhole.
type keepRun struct {
	t     *testing.T
	log   *store.Store
	nodes []*Ledger
	// kept holds the texts of the chains of the turns whose keeping was told.
	kept map[ledger.TurnID][]string
	last ledger.TurnID
	step int
}

// keep keeps a turn that goes on from the last one, or from none.
func (k *keepRun) keep(draw int) {
	node := k.nodes[draw%len(k.nodes)]
	var chain []ledger.Location
	var texts []string
	if draw%5 != 0 && k.last != "" {
		var err error
		if texts, chain, err = readTurn(within(k.t, 400*time.Millisecond), node, k.last); err != nil {
			return
		}
	}
	turn := ledger.TurnID(fmt.Sprint("t", k.step))
	text := strings.Repeat(fmt.Sprint(k.step, "."), draw/7%20)
	_, err := node.PersistTurnWithText(within(k.t, 900*time.Millisecond), ledger.IndexEntry{Program: "p", Turn: turn, Chain: chain, Retention: time.Hour}, []byte(text), draw%17 == 0)
	if err == nil {
		k.kept[turn], k.last = append(texts, text), turn
	}
}

// disturb plays the trouble that draw names, if any.
func (k *keepRun) disturb(draw int) {
	switch draw / 3 % 12 {
	case 0, 1:
		fault := scheduleFaults[draw/36%len(scheduleFaults)]
		if number := draw / 36 % 5; number < 3 {
			fault.Partition = &number
		}
		k.log.Fail(fault)
	case 2:
		k.log.Fail(store.Fault{})
	case 3: // a crash
		k.nodes[draw%len(k.nodes)] = newLedger(k.log, fmt.Sprintf("n%d.%d", draw%len(k.nodes), k.step))
	case 4:
		_, _ = findTurn(within(k.t, 400*time.Millisecond), k.nodes[draw%len(k.nodes)], "p", "never")
	}
}

// TestKeptTurnsAreFoundWhole: while the store fails in all its ways, answers get lost,
// nodes die and several write one partition, each turn whose keeping was told is found
// with its texts by a node without any memory.
func TestKeptTurnsAreFoundWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draws := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 5, 60).Draw(rt, "draws")
		synctest.Test(t, func(t *testing.T) {
			log := store.New()
			run := &keepRun{t: t, log: log, kept: map[ledger.TurnID][]string{}, nodes: []*Ledger{newLedger(log, "n0"), newLedger(log, "n1"), newLedger(log, "n2")}}
			own(t, run.nodes[0])
			for step, draw := range draws {
				run.step = step
				run.disturb(draw)
				run.keep(draw)
			}
			log.Fail(store.Fault{})
			time.Sleep(10 * time.Second)
			reader := newLedger(log, "reader")
			for turn, want := range run.kept {
				texts, _, err := readTurn(within(t, 10*time.Second), reader, turn)
				if err != nil || fmt.Sprint(texts) != fmt.Sprint(want) {
					rt.Fatalf("turn %s: %v, %q instead of %q", turn, err, texts, want)
				}
			}
			time.Sleep(time.Minute) // calls under way end
		})
	})
}

// TestLackOfRoomIsToldOnce: not for each text, and again once there is room for the largest.
func TestLackOfRoomIsToldOnce(t *testing.T) {
	is := is.New(t)
	lines := &strings.Builder{}
	f := &follower{logger: slog.New(slog.NewTextHandler(lines, nil)), state: ledger.NewPartition(), largestText: 50}
	f.state.SetTextLimits(ledger.TextLimits{Retain: time.Minute, WindowBytes: 100, TextBytes: 50})
	f.tellRoom(0)
	is.Equal(lines.String(), "")
	f.state.NoteText(60, 0)
	f.tellRoom(0)
	is.Equal(lines.String(), "") // smaller ones find room
	f.state.NoteText(40, 30*time.Second)
	f.tellRoom(30 * time.Second)
	f.tellRoom(31 * time.Second)
	is.Equal(strings.Count(lines.String(), "taken=false"), 1)
	f.tellRoom(70 * time.Second) // the first are gone
	f.tellRoom(71 * time.Second)
	is.Equal(strings.Count(lines.String(), "taken=true"), 1)
}
