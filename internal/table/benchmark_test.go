package table_test

import (
	"fmt"
	"strings"
	"testing"

	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/wire"
)

// largeTable returns a table of 28 models, two adapters for each, and 200 classes.
func largeTable() []byte {
	const models, adapters, classes = 28, 2, 200
	var sheet strings.Builder
	header, _, _ := strings.Cut(validTable, "\n")
	sheet.WriteString(header + "\n")
	for m := range models {
		fmt.Fprintf(&sheet, "model,model-%d,2026-05,pool-%d,,,1,131072,,,,,,\n", m, m%4)
		for a := range adapters {
			fmt.Fprintf(&sheet, "adapter,adapter-%d-%d,3,,model-%d,,,,,,,,,\n", m, a, m)
		}
	}
	for c := range classes {
		fmt.Fprintf(&sheet, "class,class-%d,,,model-%d,,2.5,,600000,110,6h,30m,2m,2048\n", c, c%models)
	}
	return []byte(sheet.String())
}

func BenchmarkParse(b *testing.B) {
	content := largeTable()
	b.SetBytes(int64(len(content)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Parse(content); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply measures applying one published version.
func BenchmarkApply(b *testing.B) {
	content, versions := largeTable(), table.NewVersionLog()
	b.ReportAllocs()
	for b.Loop() {
		record := table.Record{ID: fmt.Sprint(versions.Next()), Base: versions.Version(), Author: "marta", CSV: content}
		if err := versions.Apply(record.Encode()); err != nil {
			b.Fatal(err)
		}
	}
	if versions.Version() == 0 {
		b.Fatal("nothing was accepted")
	}
}

// BenchmarkTransfer measures encoding and decoding a version log for a peer.
func BenchmarkTransfer(b *testing.B) {
	content, versions := largeTable(), table.NewVersionLog()
	for i := range 300 {
		record := table.Record{ID: fmt.Sprintf("%036d", i), Base: versions.Version(), Author: "marta", Note: "more room on deadline night", CSV: content}
		if err := versions.Apply(record.Encode()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		var e wire.Encoder
		versions.Encode(&e)
		size = len(e.Bytes())
		if _, err := table.DecodeVersionLog(wire.NewDecoder(e.Bytes())); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes/message")
}
