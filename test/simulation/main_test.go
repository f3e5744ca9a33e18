package simulation

import (
	"testing"

	"stepseam.example/stepseam/internal/testseed"
)

// Defaults of the search in CI; a soak overrides them with the same flags.
const (
	checksInCI = "24"
	seedInCI   = "20261202"
)

func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.checks": checksInCI, "rapid.seed": seedInCI, "rapid.nofailfile": "true"})
}
