package simulation

import (
	"testing"

	"stepseam.example/stepseam/internal/testseed"
)

// The search that CI repeats; a soak sets its own by the same flags.
const (
	checksInCI = "24"
	seedInCI   = "20261202"
)

func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.checks": checksInCI, "rapid.seed": seedInCI, "rapid.nofailfile": "true"})
}
