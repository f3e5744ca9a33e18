package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// From a window above the limit an operator must find the allocators that granted its tokens,
// in the logs of all nodes.
func TestGrantsNameAllocatorsOfWorstWindow(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	logs := map[string]string{
		"a.log": `{"time":"2026-12-03T12:39:04Z","msg":"granted tokens of a tenant","node":"a","tenant":"acme","allocator":255,"granted":40,"returned":2,"fraction":1,"period_began_ms_ago":1000}
{"time":"2026-12-03T12:50:04Z","msg":"granted tokens of a tenant","node":"a","tenant":"acme","allocator":255,"granted":50,"returned":0,"fraction":1,"period_began_ms_ago":1000}
not JSON
`,
		"b.log": `{"time":"2026-12-03T12:39:05Z","msg":"granted tokens of a tenant","node":"b","tenant":"acme","allocator":18446744073709551615,"granted":60,"returned":0,"fraction":0.5,"period_began_ms_ago":1000}
{"time":"2026-12-03T12:39:05Z","msg":"granted tokens of a tenant","node":"b","tenant":"other","allocator":4096,"granted":900,"returned":0,"fraction":1,"period_began_ms_ago":1000}
{"time":"2026-12-03T12:39:06Z","msg":"sent requests of a tenant again","node":"b","tenant":"acme","repeats":7,"period_began_ms_ago":1000}
`,
	}
	line := []string{"grants", "--tenant", "acme", "--window", "5s"}
	for name, text := range logs {
		path := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		line = append(line, path)
	}
	var out, errOut bytes.Buffer
	is.Equal(run(t.Context(), line, strings.NewReader(""), &out, &errOut), exitDone)
	for _, part := range []string{"within 5s: 98", "12:39:03.000", "ff", "ffffffffffffffff", "0.50", "7"} {
		is.True(strings.Contains(out.String(), part))
	}
	is.True(!strings.Contains(out.String(), "12:50"))
	is.True(!strings.Contains(out.String(), "900"))
}
