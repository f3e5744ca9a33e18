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

// drawStream returns a random stream with concurrent, duplicate and invalid
// publications and with bytes that are not records.
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
			csv := validTable
			if rapid.IntRange(0, 3).Draw(t, "broken") == 0 {
				csv = strings.Replace(validTable, "class,", "klass,", 1)
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

func apply(t interface{ Fatal(...any) }, versions *table.VersionLog, stream [][]byte) {
	for _, raw := range stream {
		if err := versions.Apply(raw); err != nil {
			t.Fatal(err)
		}
	}
}

// encode returns the encoded state of a version log.
func encode(versions *table.VersionLog) []byte {
	var e wire.Encoder
	versions.Encode(&e)
	return e.Bytes()
}

// TestFirstValidPublicationOnCurrentBaseIsAccepted compares the version log with a
// simple model of the rule.
func TestFirstValidPublicationOnCurrentBaseIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		versions := table.NewVersionLog()
		version, seen, winners := table.Version(0), map[string]bool{}, map[table.Version]string{}
		for _, raw := range stream {
			apply(t, versions, [][]byte{raw})
			record, err := table.DecodeRecord(raw)
			if err == nil && !seen[record.ID] {
				seen[record.ID] = true
				if record.Base == version && !strings.Contains(string(record.CSV), "klass") {
					version++
					winners[version] = record.ID
				}
			}
			if versions.Version() != version {
				t.Fatalf("version %d, want %d", versions.Version(), version)
			}
		}
		for _, entry := range versions.History() {
			won := entry.Status == table.Accepted
			if won != (winners[entry.Version] == entry.ID) {
				t.Fatalf("%s has status %s with version %d, accepted are %v", entry.ID, entry.Status, entry.Version, winners)
			}
			if winner, found := versions.AcceptedOn(entry.Base); entry.Status == table.Lost && (!found || winner.Version != entry.Version) {
				t.Fatalf("%s lost to version %d, accepted on its base is %+v", entry.ID, entry.Version, winner)
			}
		}
	})
}

func TestDecodedVersionLogContinuesIdentically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := append([][]byte{table.NewVersionLog().Snapshot()}, drawStream(t)...)
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		direct, first := table.NewVersionLog(), table.NewVersionLog()
		apply(t, direct, stream)
		apply(t, first, stream[:cut])
		second, err := table.DecodeVersionLog(wire.NewDecoder(encode(first)))
		if err != nil {
			t.Fatal(err)
		}
		apply(t, second, stream[cut:])
		if !bytes.Equal(encode(second), encode(direct)) {
			t.Fatalf("decoded: %+v, read: %+v", second, direct)
		}
	})
}

// TestSnapshotReplacesEarlierRecords starts from each of several snapshots, whose writers
// had applied only a part of the stream before them.
func TestSnapshotReplacesEarlierRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		last := 0 // the stream is append-only, so each snapshot follows the previous one
		for range rapid.IntRange(1, 3).Draw(t, "summaries") {
			known := rapid.IntRange(0, len(stream)).Draw(t, "known")
			at := rapid.IntRange(max(known, last), len(stream)).Draw(t, "at")
			last = at + 1
			writer := table.NewVersionLog()
			apply(t, writer, stream[:known])
			stream = slices.Insert(stream, at, writer.Snapshot())
		}
		direct := table.NewVersionLog()
		apply(t, direct, stream)
		snapshots := 0
		for offset, raw := range stream {
			started, err := table.DecodeSnapshot(siteservices.Offset(offset), raw)
			if err != nil {
				continue
			}
			snapshots++
			apply(t, started, stream[started.Next():])
			if !bytes.Equal(encode(started), encode(direct)) {
				t.Fatalf("started from %d: %+v, read: %+v", offset, started, direct)
			}
		}
		if snapshots == 0 {
			t.Fatal("no snapshot was found")
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	versions := table.NewVersionLog()
	for i := range 400 {
		record := table.Record{ID: fmt.Sprint(i), Base: table.Version(i), CSV: []byte(validTable), Note: strings.Repeat("x", 5000)}
		is.NoErr(versions.Apply(record.Encode()))
	}
	is.Equal(versions.Version(), table.Version(400))
	is.Equal(len(versions.History()), 256)
	is.True(len(versions.History()[0].Note) < 2100)
	again := table.Record{ID: "0", Base: 0, CSV: []byte(validTable)}
	is.NoErr(versions.Apply(again.Encode())) // no longer in the history, and still not accepted
	is.Equal(versions.Version(), table.Version(400))
}

func TestNewerFormatIsNotApplied(t *testing.T) {
	is := is.New(t)
	raw := table.Record{ID: "a", CSV: []byte(validTable)}.Encode()
	raw[5]++
	versions := table.NewVersionLog()
	is.True(errors.Is(versions.Apply(raw), table.ErrNewerFormat))
	is.Equal(int(versions.Next()), 0)
}
