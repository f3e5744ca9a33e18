package coordinator

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/residency"
)

// TestUnreadableTextIsNamed guards against refusals that do not tell which text could not be
// read, and by which node.
func TestUnreadableTextIsNamed(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	coordinator, other := coordinatorOf(nodes, "p")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := other.service.Texts(ctx, "p", []ledger.Location{{Partition: 2, Offset: 77, Size: 20}}, residency.AllowedRegions{})
	is.True(errors.Is(err, ledgerlog.ErrUnavailable))
	const place = "text of 20 bytes at offset 77 of partition 2 of texts"
	here, there, both := strings.Cut(err.Error(), "at the coordinator: ")
	is.True(both)
	is.True(strings.Contains(here, place))
	is.True(strings.Contains(there, place) && strings.Contains(there, string(coordinator.identity.Name)))
}
