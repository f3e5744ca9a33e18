// Package testseed fixes the seed of property tests, so that their results are reproducible.
// Only tests use it; scripts/soak runs with other seeds.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests from its TestMain with a fixed seed for rapid and without fail
// files. Flags on the command line take precedence. It does not return.
func Main(m *testing.M) {
	MainWith(m, map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"})
}

// MainWith is like Main, with the given values of flags by name.
func MainWith(m *testing.M, defaults map[string]string) {
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
