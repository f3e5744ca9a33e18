package table_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/wire"
)

// drawStream makes a stream in which publishers race, repeat themselves and
// publish broken tables, and in which foreign bytes stand.
func drawStream(t *rapid.T) [][]byte {
	count := rapid.IntRange(0, 40).Draw(t, "records")
	stream := make([][]byte, 0, count)
	for i := range count {
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0:
			stream = append(stream, []byte("not a record"))
		case 1, 2:
			if len(stream) > 0 {
				stream = append(stream, rapid.SampledFrom(stream).Draw(t, "repeated"))
			}
		default:
			csv := plain
			if rapid.IntRange(0, 3).Draw(t, "broken") == 0 {
				csv = strings.Replace(plain, "class,", "klass,", 1)
			}
			record := table.Record{
				ID: fmt.Sprintf("p%d", i), Author: fmt.Sprintf("author-%d", i), CSV: []byte(csv),
				Base: table.Version(rapid.IntRange(0, 6).Draw(t, "base")),
			}
			stream = append(stream, record.Encode())
		}
	}
	return stream
}

func fold(t interface{ Fatal(...any) }, ledger *table.VersionLog, stream [][]byte) {
	for _, raw := range stream {
		if err := ledger.Apply(raw); err != nil {
			t.Fatal(err)
		}
	}
}

// encoded is a ledger's whole state.
func encoded(ledger *table.VersionLog) []byte {
	var e wire.Encoder
	ledger.Encode(&e)
	return e.Bytes()
}

// TestFirstValidOnTheCurrentBaseWins checks the ledger against the rule written
// out anew: one pass that knows only a version and the ids seen.
func TestFirstValidOnTheCurrentBaseWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		ledger := table.NewVersionLog()
		version, seen, winners := table.Version(0), map[string]bool{}, map[table.Version]string{}
		for _, raw := range stream {
			fold(t, ledger, [][]byte{raw})
			record, err := table.DecodeRecord(raw)
			if err == nil && !seen[record.ID] {
				seen[record.ID] = true
				if record.Base == version && !strings.Contains(string(record.CSV), "klass") {
					version++
					winners[version] = record.ID
				}
			}
			if ledger.Version() != version {
				t.Fatalf("version %d, want %d", ledger.Version(), version)
			}
		}
		for _, entry := range ledger.History() {
			won := entry.Status == table.Accepted
			if won != (winners[entry.Version] == entry.ID) {
				t.Fatalf("%s told %s with version %d, winners %v", entry.ID, entry.Status, entry.Version, winners)
			}
			if winner, found := ledger.AcceptedOn(entry.Base); entry.Status == table.Lost && (!found || winner.Version != entry.Version) {
				t.Fatalf("%s lost to version %d, the winner is %+v", entry.ID, entry.Version, winner)
			}
		}
	})
}

func TestLedgerTakenOverMidwayAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := append([][]byte{table.NewVersionLog().Snapshot()}, drawStream(t)...)
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		direct, first := table.NewVersionLog(), table.NewVersionLog()
		fold(t, direct, stream)
		fold(t, first, stream[:cut])
		second, err := table.DecodeVersionLog(wire.NewDecoder(encoded(first)))
		if err != nil {
			t.Fatal(err)
		}
		fold(t, second, stream[cut:])
		if !bytes.Equal(encoded(second), encoded(direct)) {
			t.Fatalf("taken over: %+v, read: %+v", second, direct)
		}
	})
}

// TestSummaryStandsForWhatIsBeforeIt lets writers that lag put summaries into a
// stream and starts from each of them.
func TestSummaryStandsForWhatIsBeforeIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		last := 0 // a stream only grows, so each summary stands behind the one before
		for range rapid.IntRange(1, 3).Draw(t, "summaries") {
			known := rapid.IntRange(0, len(stream)).Draw(t, "known")
			at := rapid.IntRange(max(known, last), len(stream)).Draw(t, "at")
			last = at + 1
			writer := table.NewVersionLog()
			fold(t, writer, stream[:known])
			stream = slices.Insert(stream, at, writer.Snapshot())
		}
		direct := table.NewVersionLog()
		fold(t, direct, stream)
		summaries := 0
		for offset, raw := range stream {
			started, err := table.DecodeSnapshot(siteservices.Offset(offset), raw)
			if err != nil {
				continue
			}
			summaries++
			fold(t, started, stream[started.Next():])
			if !bytes.Equal(encoded(started), encoded(direct)) {
				t.Fatalf("started from %d: %+v, read: %+v", offset, started, direct)
			}
		}
		if summaries == 0 {
			t.Fatal("no summary was found")
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	ledger := table.NewVersionLog()
	for i := range 400 {
		record := table.Record{ID: fmt.Sprint(i), Base: table.Version(i), CSV: []byte(plain), Note: strings.Repeat("x", 5000)}
		is.NoErr(ledger.Apply(record.Encode()))
	}
	is.Equal(ledger.Version(), table.Version(400))
	is.Equal(len(ledger.History()), 256)
	is.True(len(ledger.History()[0].Note) < 2100)
	again := table.Record{ID: "0", Base: 0, CSV: []byte(plain)}
	is.NoErr(ledger.Apply(again.Encode())) // forgotten, and harmless all the same
	is.Equal(ledger.Version(), table.Version(400))
}

func TestNewerFormatStopsTheFold(t *testing.T) {
	is := is.New(t)
	raw := table.Record{ID: "a", CSV: []byte(plain)}.Encode()
	raw[5]++
	ledger := table.NewVersionLog()
	is.True(errors.Is(ledger.Apply(raw), table.ErrNewerFormat))
	is.Equal(int(ledger.Next()), 0)
}
