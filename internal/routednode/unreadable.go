package routednode

import (
	"log/slog"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// unreadableInterval is the time in which unreadableRecords logs each key once and at most
	// maxUnreadableLines lines.
	unreadableInterval = time.Minute
	maxUnreadableLines = 20
	// maxLoggedKey and maxLoggedReason bound a key and an error in a log line, in bytes. Errors quote
	// what they are about.
	maxLoggedKey    = 80
	maxLoggedReason = 300
)

// unreadableRecords counts the records of a topic that could not be decoded, and logs them. It is
// safe for concurrent use.
type unreadableRecords struct {
	message string
	logger  *slog.Logger
	counter prometheus.Counter
	now     func() time.Time

	// mutex guards the fields below.
	mutex sync.Mutex
	// began is the start of the interval, in which the keys of logged were logged.
	began  time.Time
	logged map[string]bool
	// unlogged counts the records since the last line.
	unlogged int
}

// newUnreadableRecords returns the records of a topic, which are counted by a metric and logged with
// a message.
func newUnreadableRecords(message string, metric prometheus.CounterOpts, logger *slog.Logger, registerer prometheus.Registerer) *unreadableRecords {
	made := &unreadableRecords{message: message, logger: logger, now: time.Now, logged: map[string]bool{}, counter: prometheus.NewCounter(metric)}
	registerer.MustRegister(made.counter)
	return made
}

func newUnreadableEntries(logger *slog.Logger, registerer prometheus.Registerer) *unreadableRecords {
	return newUnreadableRecords("cannot decode replica entry", prometheus.CounterOpts{
		Name: "stepseam_replica_entries_unreadable_total", Help: "Entries of replicas that name none to use.",
	}, logger, registerer)
}

// record counts a record of size bytes.
func (u *unreadableRecords) record(key string, size int, err error) {
	u.counter.Inc()
	unlogged, due := u.due(key)
	if due {
		u.logger.Error(u.message, "key", shortened(key, maxLoggedKey), "bytes", size, "error", shortened(err.Error(), maxLoggedReason), "unlogged_before", unlogged)
	}
}

// due reports whether a key is to be logged, and the number of records that were not since the last
// line.
func (u *unreadableRecords) due(key string) (unlogged int, due bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if now := u.now(); now.Sub(u.began) >= unreadableInterval {
		u.began = now
		clear(u.logged)
	}
	if u.logged[key] || len(u.logged) >= maxUnreadableLines {
		u.unlogged++
		return 0, false
	}
	u.logged[key] = true
	unlogged, u.unlogged = u.unlogged, 0
	return unlogged, true
}

// shortened returns the beginning of a text, of at most size bytes and a mark that it goes on.
func shortened(text string, size int) string {
	if len(text) <= size {
		return text
	}
	for size > 0 && !utf8.RuneStart(text[size]) {
		size--
	}
	return text[:size] + "..."
}
