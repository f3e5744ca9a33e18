package origin

import (
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"stepseam.example/stepseam/internal/fleet"
)

// Nothing told whether a stream without a record went on by a view of before or after its break.
func TestStreamsWithoutRecordAreCountedByTheirView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		span := fleet.VersionSpan{Only: true, Version: "v1", Age: time.Second}
		service := New(Config{Self: "n", Now: func() time.Duration { return time.Hour }, Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry()})
		service.SetVersions(func(string, string) fleet.VersionSpan { return span })
		resolve := func(confirmed time.Time) Evidence {
			span.Confirmed = confirmed
			found, err := service.Resolve(t.Context(), Query{Route: "r", Service: "s", Window: time.Minute, Arrived: time.Now()})
			is.True(errors.Is(err, ErrUnknown))
			return found.Evidence
		}
		is.Equal(resolve(time.Time{}), Evidence{Here: time.Second, Window: time.Minute})
		is.Equal(resolve(time.Now().Add(-time.Second)), Evidence{Here: time.Second, Window: time.Minute, ViewKnown: true, ViewAge: time.Second})
		is.Equal(resolve(time.Now()), Evidence{Here: time.Second, Window: time.Minute, ViewKnown: true, Confirmed: true})
		for _, view := range []string{"never", "before", "after"} {
			is.Equal(testutil.ToFloat64(service.metrics.unrecorded.WithLabelValues("unknown", view)), 1.0)
		}
	})
}
