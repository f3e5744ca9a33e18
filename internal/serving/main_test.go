package serving_test

import (
	"testing"

	"stepseam.example/stepseam/internal/testseed"
)

// TestMain fixes the seed, so that results are reproducible; flags on the command line
// take precedence.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.seed": "20260", "rapid.nofailfile": "true"})
}
