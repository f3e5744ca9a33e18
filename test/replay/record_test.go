package replay

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/replay"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/trace"
)

// TestRecordedRunReplaysToSameOutcomes records the callers of a run, writes and reads
// the recording, and replays it. All outcomes must be the same.
func TestRecordedRunReplaysToSameOutcomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	played := readTrace(t, "testdata/quito-deadline-night.jsonl")
	var recorder *trace.Recorder
	found := run(t, played, replay.Options{Record: func(name identity.NodeName, programs serving.Programs) serving.Programs {
		if recorder == nil { // the first request is the one that the trace sends after a second
			recorder = trace.NewRecorder(time.Now().Add(-time.Second))
		}
		return recorder.Programs(name, programs)
	}})
	is.Equal(replay.Compare(played, found), nil)
	recorded := &trace.Trace{Header: played.Header, Events: recorder.Events()}
	recorded.Header.Name, recorded.Header.Note = "recorded", "What the callers of a recorded run got."

	var file bytes.Buffer
	is.NoErr(trace.Write(&file, recorded))
	read, err := trace.Read("recorded.jsonl", &file)
	is.NoErr(err)
	is.Equal(read.Events, recorded.Events) // the recording survives encoding and decoding

	calls, digests := 0, 0
	for _, event := range read.Events {
		if body, isCall := event.Body.(trace.Call); isCall {
			calls++
			if body.Outcome.Digest != "" {
				digests++
			}
		}
	}
	is.Equal(calls, 18)
	is.Equal(digests, 12) // the recording contains the digests of all model calls' answers
	is.Equal(replay.Compare(read, run(t, read, replay.Options{})), nil)
}
