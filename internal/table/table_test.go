package table_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/testseed"
)

// TestMain sets rapid's seed unless the command line does.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.seed": "1"})
}

const validTable = `kind,name,version,service,model,adapter,weight,context_tokens,budget_tokens,max_calls,max_duration,idle_timeout,call_timeout,max_tokens
model,asesor-8b,2026-05,modelos-asesor,,,,32768,,,,,,
adapter,matricula,3,,asesor-8b,,,,,,,,,
class,applicant,,,asesor-8b,matricula,2.5,,60000,40,1h30m,15m,90s,1024
`

func parse(t *testing.T, text string) *table.Table {
	t.Helper()
	parsed, err := table.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func findings(t *testing.T, text string) []string {
	t.Helper()
	_, err := table.Parse([]byte(text))
	var invalid *table.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("want findings, have %v", err)
	}
	return lo.Map(invalid.Findings, func(f table.Finding, _ int) string { return f.String() })
}

func TestEmptyCellsTakeDefaults(t *testing.T) {
	is := is.New(t)
	parsed := parse(t, validTable)
	is.Equal(parsed.Models["asesor-8b"], table.Model{
		Name: "asesor-8b", Version: "2026-05", Service: "modelos-asesor", Weight: 1, MinReplicas: 1, ContextTokens: 32768,
	})
	is.Equal(parsed.Classes["applicant"], table.Class{
		Name: "applicant", Model: "asesor-8b", Adapter: "matricula", Weight: 2.5, BudgetTokens: 60000, MaxCalls: 40,
		MaxBranches: 1, MaxDuration: 90 * time.Minute, IdleTimeout: 15 * time.Minute, CallTimeout: 90 * time.Second,
		MaxTokens: 1024, TenantShare: 1,
	})
}

func TestParseAcceptsSpreadsheetFormats(t *testing.T) {
	semicolons := strings.ReplaceAll(strings.ReplaceAll(validTable, ",", ";"), "2.5", "2,5")
	quoted := strings.ReplaceAll(validTable, "asesor-8b", `"asesor-8b"`)
	trailing := strings.ReplaceAll(validTable, "\n", ",,\n") + ",,,,,,,,,,,,,,,\n,,,\n\n"
	for name, text := range map[string]string{
		"byte order mark":        "\xef\xbb\xbf" + validTable,
		"CRLF":                   strings.ReplaceAll(validTable, "\n", "\r\n"),
		"CR":                     strings.ReplaceAll(validTable, "\n", "\r"),
		"semicolons":             semicolons,
		"separator line":         "sep=;\r\n" + semicolons,
		"tabs":                   strings.ReplaceAll(validTable, ",", "\t"),
		"quotes":                 quoted,
		"empty rows and columns": trailing,
		"blank lines":            "\n" + strings.ReplaceAll(validTable, "\n", "\n\n"),
		"capitals in the header": strings.Replace(validTable, "kind,name", "Kind, NAME ", 1),
		"all of it":              "\xef\xbb\xbf" + strings.ReplaceAll(strings.ReplaceAll(trailing, ",", ";"), "\n", "\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(parse(t, text), parse(t, validTable))
		})
	}
}

func TestAllFindingsAreReportedWithPlaces(t *testing.T) {
	text := strings.NewReplacer(
		",service,", ",servise,",
		"applicant,,,asesor-8b,matricula,2.5", "applicant,,,asesor-9b,matricula,-2",
		",15m,", ",soon,",
		",60000,", ",,",
	).Replace(validTable)
	is.New(t).Equal(findings(t, text), []string{
		`row 1, column servise: unknown column; did you mean service?`,
		`row 2, column service: missing; want a name`,
		`row 4, column weight: is -2, want a number above 0, at most 1000000`,
		`row 4, column budget_tokens: missing; want a whole number from 1 to 1099511627776`,
		`row 4, column idle_timeout: is "soon", want a duration such as 90s, 15m or 1h30m`,
		`row 4, column model: there is no model asesor-9b; did you mean asesor-8b?`,
		`row 4, column adapter: matricula belongs to model asesor-8b, the class uses asesor-9b`,
	})
}

func TestRowNumbersMatchSpreadsheet(t *testing.T) {
	is := is.New(t)
	rows := strings.Split(validTable, "\n")
	text := rows[0] + "\n\n" + rows[1] + "\n" + `adapter,"two` + "\n" + `lines",1,,asesor-8b` + "\n" + "wheel,x\n" + rows[3] + "\n"
	found := findings(t, text)
	is.Equal(len(found), 3)
	is.True(strings.HasPrefix(found[0], "row 4, column name: ")) // the name with a line break
	is.True(strings.HasPrefix(found[1], "row 5, column kind: "))
	is.True(strings.HasPrefix(found[2], "row 6, column adapter: there is no adapter matricula"))
}

func TestInvalidTables(t *testing.T) {
	for name, c := range map[string]struct{ old, changed, want string }{
		"duplicate":           {"adapter,matricula", "model,asesor-8b", "row 3, column name: model asesor-8b is in row 2 already"},
		"no room for prompts": {",1024", ",32768", "row 4, column max_tokens: is 32768, which leaves no room"},
		"answer over budget":  {",60000,", ",1000,", "row 4, column max_tokens: is 1024, more than budget_tokens"},
		"call over program":   {",1h30m,", ",60s,", "row 4, column call_timeout: is 1m30s, more than max_duration"},
		"foreign column":      {"model,asesor-8b,2026-05,modelos-asesor,,,,32768,", "model,asesor-8b,2026-05,modelos-asesor,,,,32768,7", "row 2, column budget_tokens: is \"7\", but a model has no such column"},
		"unnamed column":      {"90s,1024", "90s,1024,,x", "row 4, column number 16: has \"x\" under no column name"},
		"no class":            {"class,", "adapter,", "table: has no class row"},
		"no name":             {"class,applicant", "class,", "row 4, column name: missing"},
		"formula":             {"class,applicant", "class,=A1", "row 4, column name: is \"=A1\", want letters"},
		"broken quotes":       {"matricula,3", `mat"ricula,3`, "row 3: broken quotes"},
		"not UTF-8":           {"applicant", "ni\xf1o", "table: not UTF-8"},
		"no kind":             {"kind,", "sort,", "row 1, column kind: the column is missing"},
		"separators":          {",60000,", `,"60,000",`, "row 4, column budget_tokens: is \"60,000\", want a whole number without separators"},
	} {
		t.Run(name, func(t *testing.T) {
			found := findings(t, strings.Replace(validTable, c.old, c.changed, 1))
			if !slices.ContainsFunc(found, func(f string) bool { return strings.HasPrefix(f, c.want) }) {
				t.Fatalf("want %q, have %q", c.want, found)
			}
		})
	}
}

func TestParseReturnsTableOrError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SampledFrom([]string{
			"kind", "name", "model", "class", "version", ",", ";", "\n", "\r", "\"", "x", "1", "\xff", " ", "sep=;\n", validTable,
		})).Draw(t, "pieces")
		text := strings.Join(pieces, "")
		parsed, err := table.Parse([]byte(text))
		if (parsed == nil) == (err == nil) {
			t.Fatalf("table %v with error %v", parsed, err)
		}
	})
}

// drawTable returns a random valid table.
func drawTable(t *rapid.T) *table.Table {
	name := rapid.StringMatching(`[a-zñ0-9][a-z0-9._:/-]{0,6}`)
	names := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID[string])
	result := &table.Table{Models: map[string]table.Model{}, Adapters: map[string]table.Adapter{}, Classes: map[string]table.Class{}}
	weight := rapid.Float64Range(1e-9, 1e6)
	for _, n := range names.Draw(t, "models") {
		least := rapid.IntRange(0, 9).Draw(t, "min")
		result.Models[n] = table.Model{
			Name: n, Version: name.Draw(t, "version"), Service: name.Draw(t, "service"), Weight: weight.Draw(t, "weight"),
			MinReplicas: least, MaxReplicas: rapid.SampledFrom([]int{0, least, least + 3}).Draw(t, "max"),
			ContextTokens: rapid.IntRange(5000, 1<<20).Draw(t, "context"),
		}
	}
	models := rapid.SampledFrom(slices.Sorted(maps.Keys(result.Models)))
	for _, n := range names.Draw(t, "adapters") {
		result.Adapters[n] = table.Adapter{Name: n, Model: models.Draw(t, "of"), Version: name.Draw(t, "version"), Weight: weight.Draw(t, "weight")}
	}
	milliseconds := func(label string, least, most time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(least.Milliseconds(), most.Milliseconds()).Draw(t, label)) * time.Millisecond
	}
	for _, n := range names.Draw(t, "classes") {
		c := table.Class{
			Name: n, Model: models.Draw(t, "model"), Weight: weight.Draw(t, "weight"), Priority: rapid.IntRange(-100, 100).Draw(t, "priority"),
			BudgetTokens: rapid.Int64Range(5000, 1<<40).Draw(t, "budget"), MaxCalls: rapid.IntRange(1, 999).Draw(t, "calls"),
			MaxBranches: rapid.IntRange(1, 99).Draw(t, "branches"), MaxDuration: milliseconds("duration", time.Hour, 700*time.Hour),
			IdleTimeout: milliseconds("idle", time.Second, time.Hour), CallTimeout: milliseconds("call", time.Second, time.Hour),
			MaxTokens: rapid.IntRange(1, 4999).Draw(t, "tokens"), MaxConcurrent: rapid.IntRange(0, 99).Draw(t, "concurrent"),
			TenantShare: rapid.Float64Range(0.001, 1).Draw(t, "share"), KeepWarm: milliseconds("warm", 0, time.Hour),
		}
		for _, adapter := range slices.Sorted(maps.Keys(result.Adapters)) {
			if result.Adapters[adapter].Model == c.Model && rapid.Bool().Draw(t, "adapted") {
				c.Adapter = adapter
			}
		}
		result.Classes[n] = c
	}
	return result
}

func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := drawTable(t)
		text := table.Format(original)
		back, err := table.Parse(text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		is.NewRelaxed(t).Equal(back, original)
		if changes := table.Diff(original, back); len(changes) > 0 {
			t.Fatalf("equal tables differ: %v", changes)
		}
	})
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	changed := strings.NewReplacer("adapter,matricula", "adapter,tarde", "matricula,2.5", ",2.5", ",40,", ",41,").Replace(validTable)
	is.Equal(table.Diff(parse(t, validTable), parse(t, changed)), []table.Change{
		{Action: table.RowRemoved, Kind: table.KindAdapter, Name: "matricula"},
		{Action: table.RowAdded, Kind: table.KindAdapter, Name: "tarde"},
		{Action: table.RowChanged, Kind: table.KindClass, Name: "applicant", Column: "adapter", Old: "matricula"},
		{Action: table.RowChanged, Kind: table.KindClass, Name: "applicant", Column: "max_calls", Old: "40", New: "41"},
	})
	is.Equal(len(table.Diff(nil, parse(t, validTable))), 3)
}

func TestColumnsAreDescribed(t *testing.T) {
	for _, column := range table.Columns() {
		if column.Meaning == "" || column.Values == "" || len(column.Kinds) == 0 {
			t.Errorf("column without description: %s", fmt.Sprintf("%+v", column))
		}
	}
}
