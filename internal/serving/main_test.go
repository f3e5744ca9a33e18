package serving_test

import (
	"testing"

	"stepseam.example/stepseam/internal/testseed"
)

// TestMain fixes the seed, so that a run's verdict does not vary; flags on the
// command line go before.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.seed": "20260", "rapid.nofailfile": "true"})
}
