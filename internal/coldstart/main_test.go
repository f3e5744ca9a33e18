package coldstart

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that the verdict of a run does not vary; a
// flag on the command line still goes first.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
