// Package replay replays the traces in testdata over whole sites of real nodes in virtual
// time and compares the results with the outcomes that the traces expect.
package replay

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/internal/lab/replay"
	"stepseam.example/stepseam/internal/lab/simulated"
	"stepseam.example/stepseam/internal/trace"
)

// traceFiles returns the traces of testdata.
func traceFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	return files
}

func readTrace(t *testing.T, file string) *trace.Trace {
	t.Helper()
	read, err := trace.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

// run replays a trace in its own bubble.
func run(t *testing.T, played *trace.Trace, options replay.Options) *replay.Evidence {
	t.Helper()
	if os.Getenv("STEPSEAM_REPLAY_LOG") != "" {
		options.Logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	var found *replay.Evidence
	synctest.Test(t, func(t *testing.T) {
		var err error
		found, err = replay.Run(t.Context(), played, options)
		time.Sleep(simulated.SettleTime)
		if err != nil {
			t.Fatal(err)
		}
	})
	return found
}

func nameOf(file string) string { return strings.TrimSuffix(filepath.Base(file), ".jsonl") }

// TestTraces replays every trace of testdata. All expected outcomes must occur, and a
// wrong form of each must be detected at its line.
func TestTraces(t *testing.T) {
	t.Parallel()
	for _, file := range traceFiles(t) {
		t.Run(nameOf(file), func(t *testing.T) {
			t.Parallel()
			played := readTrace(t, file)
			found := run(t, played, replay.Options{})
			for _, difference := range replay.Compare(played, found) {
				t.Error(difference)
			}
			compareWrong(t, played, found)
		})
	}
}
