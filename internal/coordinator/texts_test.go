package coordinator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/logstore"
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

// TestDroppedTextIsReportedForGood guards against callers that are told to try again although the
// log has dropped the history of their turn.
func TestDroppedTextIsReportedForGood(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	_, other := coordinatorOf(nodes, "p")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	location, err := other.service.config.Ledger.WriteText(ctx, []byte("text"))
	is.NoErr(err)
	other.store.Trim(logstore.Partition{Topic: "texts", Number: int(location.Partition)}, logstore.Offset(location.Offset)+1)
	_, err = other.service.Texts(ctx, "p", []ledger.Location{location}, residency.AllowedRegions{})
	is.True(errors.Is(err, ledgerlog.ErrNoSuchTurn))
}

// TestBothAttemptsAreNamed guards against refusals that name the coordinator that did not respond
// and hide why this node could not begin the turn either.
func TestBothAttemptsAreNamed(t *testing.T) {
	is := is.New(t)
	here, there := fmt.Errorf("%w: here", ledgerlog.ErrUnavailable), fmt.Errorf("%w: there", ledgerlog.ErrBudgetReserved)
	for _, err := range []error{preferredError(here, there), preferredError(there, here)} {
		is.True(errors.Is(err, ledgerlog.ErrBudgetReserved) && !errors.Is(err, ledgerlog.ErrUnavailable))
		is.True(strings.Contains(err.Error(), "here") && strings.Contains(err.Error(), "there"))
	}
	is.Equal(preferredError(nil, here), here)
}
