package program_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

// The size of a very long program: turns with equal numbers of tokens, of which a
// quarter is new prompt and the rest answer.
const (
	historyTurns  = 110
	historyTokens = 170_000
	tokenText     = "word" // a typical token has four bytes
)

// historyRecords returns the journal records of a very long program.
func historyRecords(id identity.ProgramID) [][]byte {
	at := time.Unix(1_000_000, 0)
	records := [][]byte{program.Encode(program.Created{ID: id, Tenant: "tenant", Class: "class", At: at})}
	const answerTokens = historyTokens / historyTurns * 3 / 4
	prompt := strings.Repeat(tokenText, historyTokens/historyTurns-answerTokens)
	text := strings.Repeat(tokenText, answerTokens)
	lengths := []byte(strings.Repeat(string(rune(len(tokenText))), answerTokens))
	for turn := range identity.Sequence(historyTurns) {
		call := identity.CallID{Program: id, Branch: identity.MainBranch, Sequence: turn + 1}
		stream := identity.StreamID{Call: call, Epoch: 1}
		records = append(records,
			program.Encode(program.Intent{
				Request: program.Request{
					ID: call, Kind: api.CallModel, Model: "model", MaxTokens: 2048,
					Messages: []api.Message{{Role: "user", Content: prompt}},
				},
				Attempt: program.Attempt{Stream: stream, Backend: "engine-000", At: at},
			}),
			program.Encode(program.Result{Stream: stream, Answer: program.Answer{
				Text: text, TokenLengths: lengths, FinishReason: "stop", Backend: "engine-000", At: at,
			}}))
	}
	return records
}

// BenchmarkHistory applies the records of a very long program and reports its size in
// memory, in records and in a snapshot.
func BenchmarkHistory(b *testing.B) {
	records := historyRecords("program")
	bytes := 0
	for _, record := range records {
		bytes += len(record)
	}
	var replayed *program.Set
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for b.Loop() {
		replayed = program.NewSet()
		for _, record := range records {
			decoded, err := program.Decode(record)
			if err != nil {
				b.Fatal(err)
			}
			if err := replayed.Apply(decoded); err != nil {
				b.Fatal(err)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	snapshot := replayed.Snapshot()
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B/program")
	b.ReportMetric(float64(bytes), "record-B/program")
	b.ReportMetric(float64(len(snapshot)), "snapshot-B/program")
	runtime.KeepAlive(replayed)
	runtime.KeepAlive(records)
}
