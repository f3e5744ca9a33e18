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

// smallText fits the records of newLedger.
const smallText = "a small text"

func keepText(ctx context.Context, l *Ledger, turn ledger.TurnID, chain []ledger.Location, text string) error {
	_, err := l.PersistTurnWithText(ctx, ledger.IndexEntry{Program: "p", Turn: turn, Chain: chain, Retention: time.Minute}, []byte(text), false)
	return err
}

// readTurn returns the texts and the locations of a turn's chain.
func readTurn(ctx context.Context, l *Ledger, turn ledger.TurnID) ([]string, []ledger.Location, error) {
	entry, err := findTurn(ctx, l, "p", turn)
	if err != nil {
		return nil, nil, err
	}
	found, err := l.Texts(ctx, entry.Chain)
	var texts []string
	for _, text := range found {
		texts = append(texts, string(text))
	}
	return texts, entry.Chain, err
}

// TestTurnWithTextIsPersistedInOneCall checks that a small text shares a call with its index
// entry once the node has read the partition. Large and separate texts, and those that exceed
// the partition's limit, go to their topic.
func TestTurnWithTextIsPersistedInOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		calls := func(turn ledger.TurnID, text string, separate bool) int {
			before := log.Calls("append")
			_, err := l.PersistTurnWithText(within(t, time.Second), ledger.IndexEntry{Program: "p", Turn: turn, Retention: 10 * time.Minute}, []byte(text), separate)
			is.NoErr(err)
			return log.Calls("append") - before
		}
		is.Equal(calls("t0", smallText, false), 2) // the partition has not been read
		_, err := findTurn(within(t, time.Second), l, "p", "never")
		is.True(errors.Is(err, ErrNoSuchTurn))
		is.Equal(calls("t1", smallText, false), 1)
		is.Equal(calls("t2", smallText, true), 2)
		is.Equal(calls("t3", strings.Repeat("x", 64), false), 2)
		is.Equal(calls("t4", "", false), 1)
		l.partitionOf("p").reader.state.NoteText(testTextBytes, l.partitionOf("p").reader.clock())
		is.Equal(calls("t5", smallText, false), 2)
		time.Sleep(2 * time.Minute) // the store's retention has passed
		is.Equal(calls("t6", smallText, false), 1)

		other := newLedger(log, "b")
		for turn, want := range map[ledger.TurnID]string{"t4": "", "t5": smallText, "t6": smallText} {
			texts, _, err := readTurn(within(t, time.Second), other, turn)
			is.NoErr(err)
			is.Equal(texts, []string{want})
		}
	})
}

// TestTakeoverCachesTexts checks that reading a partition caches its texts, within the cache's
// bounds.
func TestTakeoverCachesTexts(t *testing.T) {
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
		entry, err := findTurn(within(t, time.Second), other, "p", ledger.TurnID(fmt.Sprint("t", turns-1)))
		is.NoErr(err)
		texts, all := other.CachedTexts(entry.Chain)
		is.True(all)
		is.Equal(string(texts[0]), fmt.Sprint("text of the turn ", turns-1))
		is.True(other.texts.cached <= other.config.CacheBytes)
		first, _, err := readTurn(within(t, time.Second), other, "t0") // not cached
		is.NoErr(err)
		is.Equal(first, []string{"text of the turn 0"})
	})
}

// TestTextIsReadOnlyAtItsLocation covers unresolved locations, which nodes of older versions
// pass on, and locations of other records.
func TestTextIsReadOnlyAtItsLocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLedger(store.New(), "a")
		own(t, l)
		is.NoErr(keepText(within(t, time.Second), l, "t1", nil, smallText))
		entry, err := findTurn(within(t, time.Second), l, "p", "t1")
		is.NoErr(err)
		right := entry.Chain[0]
		number := l.Partition("p")
		for _, wrong := range []ledger.Location{
			ledger.TextBefore(number, len(smallText)),
			ledger.TextAt(number, right.Offset, len(smallText)+1),
			ledger.TextAt(number, right.Offset+1, len(smallText)), // the index entry
			ledger.TextAt(number, right.Offset+100, len(smallText)),
		} {
			_, err := l.Texts(within(t, time.Second), []ledger.Location{wrong})
			is.True(errors.Is(err, ErrUnavailable))
			var unread *TextError
			is.True(errors.As(err, &unread))
			is.Equal(unread.Location, wrong)
			is.Equal(unread.Partition, l.partitionOf("p").reader.partition)
		}
	})
}

// TestOlderVersionCannotReadIndexText checks that a node of an older version gets an error, and
// does not take the turn for absent, since it reads a partition of the text topic that does not
// exist.
func TestOlderVersionCannotReadIndexText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		own(t, l)
		is.NoErr(keepText(within(t, time.Second), l, "t1", nil, smallText))
		records := log.Records(l.partitionOf("p").reader.partition)
		decoded, err := ledger.Decode(records[len(records)-1])
		is.NoErr(err)
		before := decoded.(ledger.IndexEntry).Chain[0] // the location as an older version sees it
		is.True(int(before.Partition) >= l.Partitions())
		result, err := log.Read(within(t, time.Second), logstore.ReadRequest{
			Partition: logstore.Partition{Topic: "texts", Number: int(before.Partition)}, From: logstore.Offset(before.Offset),
		})
		is.True(err != nil || len(result.Records) == 0) // an older version returns errTextShort, which is ErrUnavailable
	})
}

// persistRun is one run of TestPersistedTurnsAreComplete.
type persistRun struct {
	t     *testing.T
	log   *store.Store
	nodes []*Ledger
	// persisted contains the texts of the chains of acknowledged turns.
	persisted map[ledger.TurnID][]string
	last      ledger.TurnID
	step      int
}

// persist writes a turn that continues the last one, or none.
func (k *persistRun) persist(draw int) {
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
		k.persisted[turn], k.last = append(texts, text), turn
	}
}

// disturb injects the fault that draw selects, if any.
func (k *persistRun) disturb(draw int) {
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

// TestPersistedTurnsAreComplete checks that a node without any state finds each acknowledged
// turn with its texts after store failures, lost responses, crashes and concurrent writers.
func TestPersistedTurnsAreComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draws := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 5, 60).Draw(rt, "draws")
		synctest.Test(t, func(t *testing.T) {
			log := store.New()
			run := &persistRun{t: t, log: log, persisted: map[ledger.TurnID][]string{}, nodes: []*Ledger{newLedger(log, "n0"), newLedger(log, "n1"), newLedger(log, "n2")}}
			own(t, run.nodes[0])
			for step, draw := range draws {
				run.step = step
				run.disturb(draw)
				run.persist(draw)
			}
			log.Fail(store.Fault{})
			time.Sleep(10 * time.Second)
			reader := newLedger(log, "reader")
			for turn, want := range run.persisted {
				texts, _, err := readTurn(within(t, 10*time.Second), reader, turn)
				if err != nil || fmt.Sprint(texts) != fmt.Sprint(want) {
					rt.Fatalf("turn %s: error %v, texts %q, want %q", turn, err, texts, want)
				}
			}
			time.Sleep(time.Minute) // pending calls end
		})
	})
}

// TestFullPartitionIsLoggedOnce checks that the change is logged, rather than each text.
func TestFullPartitionIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	lines := &strings.Builder{}
	f := &reader{logger: slog.New(slog.NewTextHandler(lines, nil)), state: ledger.NewPartition(), largestText: 50}
	f.state.SetTextLimits(ledger.TextLimits{Retain: time.Minute, WindowBytes: 100, TextBytes: 50})
	f.logRoom(0)
	is.Equal(lines.String(), "")
	f.state.NoteText(60, 0)
	f.logRoom(0)
	is.Equal(lines.String(), "") // smaller texts still fit
	f.state.NoteText(40, 30*time.Second)
	f.logRoom(30 * time.Second)
	f.logRoom(31 * time.Second)
	is.Equal(strings.Count(lines.String(), "taken=false"), 1)
	f.logRoom(70 * time.Second) // the first texts have expired
	f.logRoom(71 * time.Second)
	is.Equal(strings.Count(lines.String(), "taken=true"), 1)
}
