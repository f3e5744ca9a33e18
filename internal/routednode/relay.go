package routednode

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

const (
	// relayPause is the time between two looks whether the store is silent.
	relayPause = 500 * time.Millisecond
	// relayAfter is how long the store must have been silent before others are asked.
	relayAfter = 1800 * time.Millisecond
	// agingPercent of the lease on the configuration is the age from which on others are
	// asked. A node that the store answers stays below it, see readsInLease.
	agingPercent = 60
	// relayQuestions is how many nodes are asked at once: where the store turns a third
	// of the nodes away, three tries in a lease leave one node in a thousand without.
	relayQuestions = 2
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
	// ReplicasAge is how long ago it heard of the replicas. Builds before package
	// distribution answer with those that they know if it is above what they have; 0 asks
	// for none.
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
	// Version is the configuration in force at the answering node. It was the newest
	// ConfigurationAge ago, if ConfigurationKnown.
	Version            uint64
	ConfigurationKnown bool
	ConfigurationAge   time.Duration
	// Evacuations are the evacuated zones.
	Evacuations evacuation.Snapshot
	// StoreAnswers tells whether the store answers the answering node.
	StoreAnswers bool
	// ReplicasKnown tells that Replicas holds all entries, which were heard
	// ReplicasAge ago. Only builds before package distribution tell them.
	ReplicasKnown bool
	ReplicasAge   time.Duration
	Replicas      []logstore.Item
}

// Kind implements peer.Message.
func (*tellViews) Kind() peer.Kind { return kindTellViews }

// Encode implements peer.Message.
func (m *tellViews) Encode(e *wire.Encoder) {
	e.Blob(m.Configuration)
	e.Uint64(m.Version)
	e.Bool(m.ConfigurationKnown)
	e.Duration(m.ConfigurationAge)
	e.Uint64(m.Evacuations.Position)
	e.Uint32(uint32(len(m.Evacuations.Zones)))
	for zone, age := range m.Evacuations.Zones {
		e.String(zone)
		e.Duration(age)
	}
	e.Bool(m.StoreAnswers)
	e.Bool(m.ReplicasKnown)
	e.Duration(m.ReplicasAge)
	e.Uint32(uint32(len(m.Replicas)))
	for _, item := range m.Replicas {
		e.String(item.Key)
		e.Blob(item.Value)
	}
}

// itemBytes is the least encoded size of an item, zoneBytes that of an evacuated zone.
const (
	itemBytes = 8
	zoneBytes = 12
)

// Decode implements peer.Message.
func (m *tellViews) Decode(d *wire.Decoder) {
	m.Configuration, m.Version, m.ConfigurationKnown, m.ConfigurationAge = d.Blob(), d.Uint64(), d.Bool(), d.Duration()
	m.Evacuations.Position = d.Uint64()
	for range d.Count(zoneBytes) {
		if m.Evacuations.Zones == nil {
			m.Evacuations.Zones = map[string]time.Duration{}
		}
		zone := d.String()
		m.Evacuations.Zones[zone] = d.Duration()
	}
	m.StoreAnswers, m.ReplicasKnown, m.ReplicasAge = d.Bool(), d.Bool(), d.Duration()
	for range d.Count(itemBytes) {
		m.Replicas = append(m.Replicas, logstore.Item{Key: d.String(), Value: d.Blob()})
	}
}

// source is a followed part of the store.
type source interface {
	// Age returns how long ago the store answered last; false if it never did.
	Age() (time.Duration, bool)
}

// relay, once this node knows them, gets configuration and evacuated zones from other nodes while the store says
// nothing to this one. Replicas come by package distribution.
type relay struct {
	views          *views
	configurations source
	peers          peer.Client
	others         func() []netip.AddrPort
	logger         *slog.Logger
	// lease is how old the configuration may be for requests with keys; 0 sets no bound.
	lease time.Duration
	// storeAnswers tells whether the store answers this node, as far as is known.
	storeAnswers func() bool
	// peerAnswered is called when the store answers a peer and not this node.
	peerAnswered func()
	// reads tells whether this node reads the configuration from the store. One that hears
	// of it from others has package distribution ask, see Service.
	reads func() bool
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
	told := &tellViews{StoreAnswers: r.storeAnswers()}
	// The age is read before version and zones: what comes in between is newer.
	told.ConfigurationAge, told.ConfigurationKnown = r.views.freshness.Age()
	told.Evacuations = r.views.evacuations.zones.Snapshot(r.views.evacuations.now())
	if inForce := r.views.router.Configuration(); inForce != nil {
		told.Version = inForce.Version
	}
	if version, encoded := r.views.encodedConfiguration(); version > asked.Version {
		told.Configuration = encoded
	}
	return told, nil
}

// run asks other nodes while the store is silent.
func (r *relay) run(ctx context.Context) {
	ticker := time.NewTicker(relayPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.silent() || r.aging() || !r.storeAnswers() {
				r.ask(ctx)
				continue
			}
			r.views.freshness.askedPeers(true)
		case <-ctx.Done():
			return
		}
	}
}

func (r *relay) silent() bool {
	age, heard := r.configurations.Age()
	return heard && r.reads() && age > relayAfter
}

// aging tells that the configuration will soon be too old for requests with keys.
func (r *relay) aging() bool {
	age, known := r.views.freshness.Age()
	return r.lease > 0 && (!known || age > r.lease*agingPercent/100)
}

// relayed is what a peer has told, and when it was asked.
type relayed struct {
	from  netip.AddrPort
	asked time.Time
	told  *tellViews
	err   error
}

// ask asks some other nodes at once, since the store may refuse them as well.
func (r *relay) ask(ctx context.Context) {
	others := slices.Clone(r.others())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), relayQuestions)]
	version, _ := r.views.encodedConfiguration()
	question := &askViews{Version: version}
	answers := make(chan relayed, len(others))
	for _, other := range others {
		go func() { answers <- r.askOne(ctx, other, question) }()
	}
	answered, served := false, false
	for range others {
		heard := <-answers
		r.take(heard)
		answered = answered || heard.told != nil
		served = served || heard.told != nil && heard.told.StoreAnswers
	}
	r.views.freshness.askedPeers(served || !answered)
	if served && !r.storeAnswers() {
		r.peerAnswered()
	}
}

func (r *relay) askOne(ctx context.Context, other netip.AddrPort, question *askViews) relayed {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	heard := relayed{from: other, asked: time.Now()}
	var answer peer.Message
	answer, heard.err = r.peers.Call(call, other, question, nil)
	heard.told, _ = answer.(*tellViews)
	return heard
}

// take puts what a peer has told in force where it is newer.
func (r *relay) take(heard relayed) {
	told, address := heard.told, heard.from
	if told == nil {
		r.logger.Info("peer could not tell of the store", "peer", address, "error", heard.err)
		return
	}
	r.views.evacuations.adopt(told.Evacuations, heard.asked, "peer "+address.String())
	if len(told.Configuration) > 0 {
		r.views.takeEncoded(told.Configuration, "peer "+address.String())
	}
	r.views.confirmBy(told, heard.asked)
}
