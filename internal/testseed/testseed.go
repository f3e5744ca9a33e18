// Package testseed fixes the seed of property tests, so that the verdict of a run does not
// vary. Only tests use it; scripts/soak searches with other seeds.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests, as its TestMain, with rapid's seed fixed and without files of
// failures. A flag on the command line goes first. It does not return.
func Main(m *testing.M) {
	MainWith(m, map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"})
}

// MainWith is Main with values of rapid's flags, by their names, instead of its own.
func MainWith(m *testing.M, defaults map[string]string) {
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
