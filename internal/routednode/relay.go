package routednode

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

const (
	// relayPause is the time between two looks whether the store is silent.
	relayPause = 500 * time.Millisecond
	// relayAfter is how long the store must have been silent before others are asked.
	relayAfter = 1800 * time.Millisecond
	// relayTimeout bounds one question.
	relayTimeout = 400 * time.Millisecond
)

// The kinds of messages of the relay.
const (
	kindAskViews = peer.KindRangeRelay + 1 + iota
	kindTellViews
)

// askViews asks another node for what it knows from the store.
type askViews struct {
	// Version is the configuration that the asking node has.
	Version uint64
	// ReplicasAge is how long ago it heard of the replicas.
	ReplicasAge time.Duration
}

// Kind implements peer.Message.
func (*askViews) Kind() peer.Kind { return kindAskViews }

// Encode implements peer.Message.
func (m *askViews) Encode(e *wire.Encoder) {
	e.Uint64(m.Version)
	e.Duration(m.ReplicasAge)
}

// Decode implements peer.Message.
func (m *askViews) Decode(d *wire.Decoder) { m.Version, m.ReplicasAge = d.Uint64(), d.Duration() }

// tellViews answers askViews with what is newer.
type tellViews struct {
	// Configuration is the newer one as the store holds it, or empty.
	Configuration []byte
	// ReplicasKnown tells that Replicas holds all entries, which were heard
	// ReplicasAge ago.
	ReplicasKnown bool
	ReplicasAge   time.Duration
	Replicas      []logstore.Item
}

// Kind implements peer.Message.
func (*tellViews) Kind() peer.Kind { return kindTellViews }

// Encode implements peer.Message.
func (m *tellViews) Encode(e *wire.Encoder) {
	e.Blob(m.Configuration)
	e.Bool(m.ReplicasKnown)
	e.Duration(m.ReplicasAge)
	e.Uint32(uint32(len(m.Replicas)))
	for _, item := range m.Replicas {
		e.String(item.Key)
		e.Blob(item.Value)
	}
}

// itemBytes is the least encoded size of an item.
const itemBytes = 8

// Decode implements peer.Message.
func (m *tellViews) Decode(d *wire.Decoder) {
	m.Configuration, m.ReplicasKnown, m.ReplicasAge = d.Blob(), d.Bool(), d.Duration()
	for range d.Count(itemBytes) {
		m.Replicas = append(m.Replicas, logstore.Item{Key: d.String(), Value: d.Blob()})
	}
}

// source is a followed part of the store.
type source interface {
	// Age returns how long ago the store answered last; false if it never did.
	Age() (time.Duration, bool)
}

// relay gets configuration and replicas from other nodes while the store says
// nothing to this one.
type relay struct {
	views          *views
	configurations source
	replicas       source
	peers          peer.Client
	others         func() []netip.AddrPort
	logger         *slog.Logger
	// heard is when other nodes' knowledge of the replicas was taken over, and how
	// old it was then.
	heardAt  time.Time
	heardAge time.Duration
}

// register adds the messages and the handler of a node that is asked.
func (r *relay) register(registry *peer.Registry) {
	registry.Add(func() peer.Message { return &askViews{} }, func() peer.Message { return &tellViews{} })
	registry.Handle(kindAskViews, peer.HandlerFunc(r.answer))
}

func (r *relay) answer(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*askViews)
	if !ok {
		return nil, fmt.Errorf("routednode: unexpected %T", request)
	}
	told := &tellViews{}
	if version, encoded := r.views.encodedConfiguration(); version > asked.Version {
		told.Configuration = encoded
	}
	if age, heard := r.replicas.Age(); heard && age < asked.ReplicasAge {
		told.ReplicasKnown, told.ReplicasAge = true, age
		told.Replicas = r.views.encodedReplicas()
	}
	return told, nil
}

// run asks other nodes, one at a time, while the store is silent.
func (r *relay) run(ctx context.Context) {
	ticker := time.NewTicker(relayPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.silent() {
				r.ask(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *relay) silent() bool {
	for _, one := range []source{r.configurations, r.replicas} {
		if age, heard := one.Age(); !heard || age > relayAfter {
			return true
		}
	}
	return false
}

// replicasAge is how old the knowledge of the replicas is, from the store or from
// other nodes.
func (r *relay) replicasAge() time.Duration {
	age, heard := r.replicas.Age()
	if !heard {
		age = time.Hour
	}
	if !r.heardAt.IsZero() {
		age = min(age, time.Since(r.heardAt)+r.heardAge)
	}
	return age
}

func (r *relay) ask(ctx context.Context) {
	others := r.others()
	if len(others) == 0 {
		return
	}
	address := others[rand.IntN(len(others))]
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	version, _ := r.views.encodedConfiguration()
	answer, err := r.peers.Call(call, address, &askViews{Version: version, ReplicasAge: r.replicasAge()}, nil)
	if err != nil {
		r.logger.Info("peer could not tell of the store", "peer", address, "error", err)
		return
	}
	told, ok := answer.(*tellViews)
	if !ok {
		return
	}
	if len(told.Configuration) > 0 {
		r.views.takeEncoded(told.Configuration, "peer "+address.String())
	}
	if told.ReplicasKnown && told.ReplicasAge < r.replicasAge() {
		r.heardAt, r.heardAge = time.Now(), told.ReplicasAge
		r.logger.Info("replicas heard from a peer", "peer", address, "replicas", len(told.Replicas), "age_ms", told.ReplicasAge.Milliseconds())
		r.views.replaceReplicas(told.Replicas)
	}
}
