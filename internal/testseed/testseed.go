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
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
