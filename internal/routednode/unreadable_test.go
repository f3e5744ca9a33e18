package routednode

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Entries of more keys than were remembered, and long errors, filled the log.
func TestUnreadableRecordsLogBoundedLines(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	u := newUnreadableEntries(slog.New(slog.NewJSONHandler(&log, nil)), prometheus.NewRegistry())
	now := time.Unix(1000, 0)
	u.now = func() time.Time { return now }
	const keys, rounds = 3000, 3
	for range rounds {
		for i := range keys {
			u.record(strings.Repeat("\xff", 200)+fmt.Sprint(i), 7, errors.New(strings.Repeat("9", 100_000)))
		}
	}
	is.Equal(strings.Count(log.String(), "\n"), maxUnreadableLines)
	is.True(log.Len() < 64<<10)
	is.Equal(testutil.ToFloat64(u.counter), float64(rounds*keys))
	is.True(len(u.logged) <= maxUnreadableLines)
	is.True(strings.Contains(log.String(), `"bytes":7`))

	log.Reset()
	now = now.Add(unreadableInterval)
	u.record("a", 7, errTest)
	is.True(strings.Contains(log.String(), fmt.Sprintf(`"key":"a","bytes":7,"error":"unreadable","unlogged_before":%d`, rounds*keys-maxUnreadableLines)))
	is.True(testutil.ToFloat64(u.counter) == rounds*keys+1)
}
