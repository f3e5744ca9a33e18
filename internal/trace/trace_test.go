package trace_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/trace"
)

const header = `{"stepseam_trace":1,"name":"n","note":"why","site":{"seed":1,"zones":["a","b"],"nodes":3,"shards":4,` +
	`"engines":[{"name":"e","service":"s","models":["m"]}],"applications":[{"name":"p","service":"portal"}],` +
	`"latency":{"zones":"1ms","backends":"1ms"},"machine_list_lag":"1s","table":[` +
	`"kind,name,version,service,model,context_tokens,budget_tokens,max_calls,max_duration,idle_timeout,call_timeout,max_tokens",` +
	`"model,m,1,s,,1000,,,,,,","class,c,,,m,,100,10,1h,1h,1m,10"]}}`

const creation = `{"at":"1s","event":"create","program":"p1","tenant":"t","class":"c"}`

// findingsOf returns the findings of a trace of these lines.
func findingsOf(t *testing.T, lines ...string) []string {
	t.Helper()
	_, err := trace.Read("t.jsonl", strings.NewReader(strings.Join(lines, "\n")+"\n"))
	var invalid *trace.InvalidError
	if err != nil && !errors.As(err, &invalid) {
		t.Fatal(err)
	}
	if invalid == nil {
		return nil
	}
	found := make([]string, 0, len(invalid.Findings))
	for _, finding := range invalid.Findings {
		found = append(found, finding.String())
	}
	return found
}

func TestValidTraceHasNoFindings(t *testing.T) {
	is.New(t).Equal(findingsOf(t, header, creation), nil)
}

func TestAllSyntaxFindingsAreReportedTogether(t *testing.T) {
	is.New(t).Equal(findingsOf(
		t, header, creation,
		`{"at":"soon","event":"kill","node":"node-0"}`,
		`{"at":"2s","event":"kill"}`,
		`{"at":"2s","event":"explode","node":"node-0"}`,
		`{"at":"2s","event":"engine","name":"e","speed":3,"slow":"much"}`,
		`{"event":"kill","node":"node-0","node":"node-1"}`,
		`{"at":"2s","event":"call","program":"p1","call":{"sequence":-1,"kind":"model","message":"x"},"outcome":{"is":"fine"}}`,
		`not JSON`,
	), []string{
		`t.jsonl:3: at: want a duration such as 1.5s or 10m, have "soon"`,
		`t.jsonl:4: node: is missing`,
		`t.jsonl:5: event: unknown kind "explode"`,
		`t.jsonl:6: speed: unknown field`,
		`t.jsonl:6: slow: want float64, have "much"`,
		`t.jsonl:7: at: is missing`,
		`t.jsonl:7: node: given twice`,
		`t.jsonl:8: call.sequence: want uint64, have -1`,
		`t.jsonl:8: call.message: unknown field`,
		`t.jsonl:9: want one JSON object`,
	})
}

func TestAllSemanticFindingsAreReportedTogether(t *testing.T) {
	is.New(t).Equal(findingsOf(
		t, header, creation,
		`{"at":"2s","event":"kill","node":"node-9"}`,
		`{"at":"2s","event":"engine","name":"p","down":true}`,
		`{"at":"1s","event":"end","program":"p2"}`,
		`{"at":"2s","event":"call","program":"p1","node":"owner:p2","call":{"sequence":1,"kind":"model"},"outcome":{"is":"refused","code":"tired"}}`,
		`{"at":"2s","event":"call","program":"p1","call":{"sequence":1,"kind":"application"},"outcome":{"is":"answered","not_run":true}}`,
		`{"at":"2s","event":"create","program":"p1","tenant":"t","class":"d"}`,
		`{"at":"2s","event":"publish","id":"x","author":"marta","base":1,"table":["kind,name"]}`,
		`{"at":"2s","event":"cut_zone","zone":"c"}`,
	), []string{
		`t.jsonl:3: node: the site has no node "node-9"`,
		`t.jsonl:4: name: the site has no back end "p"`,
		`t.jsonl:5: at: is earlier than the previous event`,
		`t.jsonl:5: program: no earlier line creates "p2"`,
		`t.jsonl:6: node: no earlier line creates "p2"`,
		`t.jsonl:6: call.messages: is missing`,
		`t.jsonl:6: outcome.code: "tired" is not a problem code`,
		`t.jsonl:7: call: an application call needs application and operation`,
		`t.jsonl:7: outcome: code and not_run are allowed for a refusal only`,
		`t.jsonl:8: program: "p1" is created twice`,
		`t.jsonl:8: class: the first table has no class "d"`,
		`t.jsonl:9: outcome: exactly one of outcome and race_of is required`,
		`t.jsonl:9: table: table: has no model row; at least one is needed`,
		`t.jsonl:9: table: table: has no class row; at least one is needed`,
		`t.jsonl:10: zone: the site has no zone "c"`,
	})
}

func TestUnsupportedVersionIsRejected(t *testing.T) {
	is.New(t).Equal(findingsOf(t, strings.Replace(header, `"stepseam_trace":1`, `"stepseam_trace":2`, 1)),
		[]string{"t.jsonl:1: stepseam_trace: unsupported version 2, want 1"})
}

// TestWriteThenReadPreservesTraces round-trips the traces of test/replay.
func TestWriteThenReadPreservesTraces(t *testing.T) {
	files, err := filepath.Glob("../../test/replay/testdata/*.jsonl")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			first, err := trace.ReadFile(file)
			is.NoErr(err)
			var written bytes.Buffer
			is.NoErr(trace.Write(&written, first))
			second, err := trace.Read(first.File, &written)
			is.NoErr(err)
			is.Equal(first, second)
		})
	}
}

// TestDamagedTracesHaveFindings overwrites random bytes of a trace: Read must return
// a trace or an *InvalidError and must not panic.
func TestDamagedTracesHaveFindings(t *testing.T) {
	content, err := os.ReadFile("../../test/replay/testdata/haldane-hung-tool.jsonl")
	is.New(t).NoErr(err)
	rapid.Check(t, func(rt *rapid.T) {
		damaged := bytes.Clone(content)
		for range rapid.IntRange(1, 4).Draw(rt, "damages") {
			damaged[rapid.IntRange(0, len(damaged)-1).Draw(rt, "place")] = rapid.SampledFrom([]byte("{}[]\",:0a\n")).Draw(rt, "byte")
		}
		_, err := trace.Read("t.jsonl", bytes.NewReader(damaged))
		var invalid *trace.InvalidError
		if err != nil && !errors.As(err, &invalid) {
			rt.Fatal(err)
		}
	})
}
