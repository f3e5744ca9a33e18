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

// The topics that nodes hear of from each other, by their numbers.
const (
	configurationTopic = iota
	replicasTopic
)

// views keeps what the node believes of configuration and replicas up to date, as the
// store or other nodes tell it.
type views struct {
	adapter Adapter
	// regions tell where zones lie, to check the homes of data.
	regions residency.ZoneRegions
	router  *router.Router
	fleet   *fleet.Directory
	tracker *balance.Tracker
	// cold is told of each entry, since it tells how long its replica stays cold.
	cold   *coldstart.Limiter
	logger *slog.Logger
	// evacuations keeps the evacuated zones.
	evacuations *evacuations
	// freshness tells how old the configuration in force may be.
	freshness *freshness
	// listed tells that the replicas have been read once.
	listed atomic.Bool
	// unreadable counts and logs entries that name no replica to use.
	unreadable *unreadableEntries

	// operators and replicas are the topics as nodes tell them each other.
	operators, replicas *heldTopic

	// mutex guards all below: the configuration in force as the store holds it.
	mutex         sync.Mutex
	version       uint64
	configuration []byte
}

// heldTopic is a topic of which the store and other nodes may tell at the same time.
type heldTopic struct {
	*distribution.Topic
	// mutex makes them come one at a time.
	mutex sync.Mutex
}

func newHeldTopic(name string) *heldTopic { return &heldTopic{Topic: distribution.NewTopic(name)} }

// change runs take with changes from one position to a later one, unless all of them, or
// some of those before them, are not the next ones here.
func (h *heldTopic) change(from, next logstore.Offset, take func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	position, known := h.Position()
	if !known || from > position || next < position || from < position && next == position {
		return
	}
	take()
}

// replace runs take with the whole of the topic as the store tells it.
func (h *heldTopic) replace(take func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	take()
}

// replaceTold runs take with the whole of the topic up to a position as another node tells
// it, unless more is known here of late.
func (h *heldTopic) replaceTold(next logstore.Offset, take func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	position, known := h.Position()
	if age, aged := h.Age(time.Now()); known && next < position && aged && age <= awayAge {
		return
	}
	take()
}

// confirmBy takes over what a peer knows of the configuration's age. What the peer told of
// evacuated zones must have been adopted before. The peer's answer
// holds for a time after the question was sent, so that its age then counts from asked.
func (v *views) confirmBy(told *tellViews, asked time.Time) {
	inForce := v.router.Configuration()
	if told.ConfigurationKnown && inForce != nil && inForce.Version >= told.Version {
		v.freshness.confirm(asked.Add(-told.ConfigurationAge))
	}
}
