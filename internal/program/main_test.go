package program_test

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/testseed"
)

// TestMain fixes rapid's seed, so that results are reproducible. Flags on the command
// line take precedence.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.seed": "20260", "rapid.steps": "100", "rapid.nofailfile": "true"})
}

// recorder records the failure of a property that is expected to fail.
type recorder struct {
	*testing.T
	failure strings.Builder
	failed  bool
}

func (r *recorder) Logf(string, ...any) {}

func (r *recorder) Errorf(format string, arguments ...any) {
	r.failed = true
	fmt.Fprintf(&r.failure, format+"\n", arguments...)
}

func (r *recorder) Fatalf(format string, arguments ...any) {
	r.Errorf(format, arguments...)
	r.FailNow()
}

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

func (r *recorder) Fail()        { r.failed = true }
func (r *recorder) Failed() bool { return r.failed }

// findFailure returns rapid's failure message for a property that is expected to
// fail, empty if it did not.
func findFailure(t *testing.T, property func(*rapid.T)) string {
	t.Helper()
	setFlag(t, "rapid.shrinktime", "100ms")
	defer setFlag(t, "rapid.shrinktime", "30s")
	r := &recorder{T: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failure.String()
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
