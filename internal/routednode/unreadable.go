package routednode

import (
	"log/slog"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// maxLoggedInstances limits the instances that are remembered as logged.
const maxLoggedInstances = 1024

// unreadableEntries counts replica entries that could not be decoded, and logs each
// instance once. It is safe for concurrent use.
type unreadableEntries struct {
	logger  *slog.Logger
	counter prometheus.Counter

	// mutex guards logged.
	mutex  sync.Mutex
	logged map[string]bool
}

func newUnreadableEntries(logger *slog.Logger, registerer prometheus.Registerer) *unreadableEntries {
	made := &unreadableEntries{
		logger: logger, logged: map[string]bool{},
		counter: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_replica_entries_unreadable_total", Help: "Entries of replicas that name none to use.",
		}),
	}
	registerer.MustRegister(made.counter)
	return made
}

func (u *unreadableEntries) record(instance string, err error) {
	u.counter.Inc()
	u.mutex.Lock()
	known := u.logged[instance]
	if !known && len(u.logged) < maxLoggedInstances {
		u.logged[instance] = true
	}
	u.mutex.Unlock()
	if !known {
		u.logger.Error("cannot decode replica entry", "replica", instance, "error", err)
	}
}
