package transcript

import (
	"testing"

	"stepseam.example/stepseam/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
