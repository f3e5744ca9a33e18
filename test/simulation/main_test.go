package simulation

import (
	"flag"
	"os"
	"testing"
)

// The search that CI repeats; a soak sets its own by the same flags.
const (
	checksInCI = "24"
	seedInCI   = "20261202"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": checksInCI, "rapid.seed": seedInCI, "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value) // both names are rapid's own flags
		}
	}
	os.Exit(m.Run())
}
