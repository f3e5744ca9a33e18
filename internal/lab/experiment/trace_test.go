package experiment

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTracesReplayToTheirStatedOutcomes replays a recorded trace of each site with
// every policy for which it states an outcome.
func TestTracesReplayToTheirStatedOutcomes(t *testing.T) {
	for _, path := range []string{"testdata/quito.jsonl", "testdata/haldane.jsonl"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open(path)
			is.NoErr(err)
			defer file.Close()
			trace, err := ReadTrace(file)
			is.NoErr(err)
			is.True(len(trace.Outcomes) >= 3)
			for i := range trace.Outcomes {
				strategy, err := StrategyByName(trace.Outcomes[i].Policy)
				is.NoErr(err)
				options, err := trace.Options(strategy)
				is.NoErr(err)
				result := Run(options)
				is.NoErr(trace.Outcomes[i].Check(&result))
			}
		})
	}
}

func TestCheckReportsEachViolatedOutcome(t *testing.T) {
	is := is.New(t)
	completed, tokens := 3, int64(10)
	outcome := Outcome{Policy: "stepseam", Completed: &completed, RecomputedAtLeast: &tokens}
	err := outcome.Check(&Result{Completed: 2, RecomputedTokens: 9})
	is.True(err != nil)
	is.Equal(err.Error(), "stepseam: completed is 2, stated 3\nstepseam: recomputed is 9, stated 10")
	is.NoErr(outcome.Check(&Result{Completed: 3, RecomputedTokens: 10}))
}

func TestWrittenTraceReplaysWithSameResult(t *testing.T) {
	is := is.New(t)
	site := short(Quito())
	trace := Trace{
		Site:     TraceSite{Name: "quito", Duration: site.Duration, Seed: 5, Load: 0.3},
		Programs: Workload(&site, 0.3, 5),
	}
	var file bytes.Buffer
	is.NoErr(trace.Write(&file))
	read, err := ReadTrace(&file)
	is.NoErr(err)
	strategy, err := StrategyByName("stepseam")
	is.NoErr(err)
	recorded, err := trace.Options(strategy)
	is.NoErr(err)
	replayed, err := read.Options(strategy)
	is.NoErr(err)
	is.Equal(Run(recorded), Run(replayed))
}

func TestReadTraceReportsAllErrorsWithLines(t *testing.T) {
	is := is.New(t)
	_, err := ReadTrace(strings.NewReader(strings.Join([]string{
		`{"kind":"site","site":"quito","duration_ns":60000000000}`,
		`{"kind":"program","id":"a","class":"nobody","calls":[{"branch":"main","sequence":1,"new_tokens":5,"answer_tokens":5}]}`,
		`{"kind":"program","id":"b","class":"applicant","calls":[{"branch":"main","sequence":1,"new_tokens":5,"answer_tokens":5,"after":[1]}]}`,
		`{"kind":"guess"}`,
		`not json`,
	}, "\n")))
	is.True(errors.Is(err, ErrTrace))
	for _, place := range []string{"line 2: program a: class", "line 3: program b: call 0 waits", `line 4: kind "guess"`, "line 5: "} {
		is.True(strings.Contains(err.Error(), place))
	}
	is.Equal(strings.Count(err.Error(), "line"), 4)
}
