package routednode

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/router"
)

// The indexes of the distributed topics; they must be the same on all nodes.
const (
	configurationTopic = iota
	replicasTopic
)

// views maintains the node's view of the configuration and the replicas, from the store and
// from peers.
type views struct {
	adapter Adapter
	// regions maps zones to regions, to validate allowed regions.
	regions residency.ZoneRegions
	router  *router.Router
	fleet   *fleet.Directory
	tracker *balance.Tracker
	// cold limits requests to cold replicas, and is updated with each entry.
	cold        *coldstart.Limiter
	logger      *slog.Logger
	evacuations *evacuations
	// freshness tracks the age of the current configuration.
	freshness *freshness
	// onConfiguration are called after each new configuration.
	onConfiguration []func()
	// listed is set after the replicas have been loaded once.
	listed     atomic.Bool
	unreadable *unreadableRecords

	// operators and replicas are the topics that nodes distribute among each other.
	operators, replicas *sharedTopic

	// mutex guards version and configuration, the current configuration as encoded in the
	// store.
	mutex         sync.Mutex
	version       uint64
	configuration []byte
}

// sharedTopic is a topic that is updated from the store and from peers.
type sharedTopic struct {
	*distribution.Topic
	// mutex serializes the updates.
	mutex sync.Mutex
}

func newSharedTopic(name string) *sharedTopic {
	return &sharedTopic{Topic: distribution.NewTopic(name)}
}

// apply calls update for changes between two positions, unless they were applied already or
// changes before from are missing here.
func (h *sharedTopic) apply(from, next logstore.Offset, update func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	position, known := h.Position()
	if !known || from > position || next < position || from < position && next == position {
		return
	}
	update()
}

// replace calls update for a snapshot from the store.
func (h *sharedTopic) replace(update func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	update()
}

// replaceFromPeer calls update for a peer's snapshot at position next, unless the topic is
// further ahead here and fresh.
func (h *sharedTopic) replaceFromPeer(next logstore.Offset, update func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	position, known := h.Position()
	if age, ageKnown := h.Age(time.Now()); known && next < position && ageKnown && age <= outageAge {
		return
	}
	update()
}

// confirmFromPeer takes over a peer's confirmation of the configuration. The age in the
// response counts from the time of the request. The peer's evacuated zones must have been
// merged before.
func (v *views) confirmFromPeer(response *viewsResponse, requested time.Time) {
	current := v.router.Configuration()
	if response.ConfigurationKnown && current != nil && current.Version >= response.Version {
		v.freshness.confirm(requested.Add(-response.ConfigurationAge))
	}
}
