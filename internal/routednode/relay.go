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
	// relayInterval is the time between two checks whether peers must be queried.
	relayInterval = 500 * time.Millisecond
	// relayAfter is the time without a response from the store after which peers are
	// queried.
	relayAfter = 1800 * time.Millisecond
	// agingPercent of the configuration lease is the age above which peers are queried. A
	// node that the store serves stays below it; see readsPerLease.
	agingPercent = 60
	// relayFanout is the number of peers queried concurrently. If the store rejects a third
	// of the nodes, three attempts within a lease leave about one node in a thousand
	// without a served peer.
	relayFanout = 2
	// relayTimeout is the timeout of one request to a peer.
	relayTimeout = 400 * time.Millisecond
)

// The message kinds of the relay.
const (
	kindViewsRequest = peer.KindRangeRelay + 1 + iota
	kindViewsResponse
)

// viewsRequest requests a peer's configuration and evacuated zones.
type viewsRequest struct {
	// Version is the configuration version of the requesting node.
	Version uint64
	// ReplicasAge is the age of the requesting node's replicas. Builds without package
	// distribution respond with their replicas if it exceeds their own age; 0 requests
	// none.
	ReplicasAge time.Duration
}

// Kind implements peer.Message.
func (*viewsRequest) Kind() peer.Kind { return kindViewsRequest }

// Encode implements peer.Message.
func (m *viewsRequest) Encode(e *wire.Encoder) {
	e.Uint64(m.Version)
	e.Duration(m.ReplicasAge)
}

// Decode implements peer.Message.
func (m *viewsRequest) Decode(d *wire.Decoder) { m.Version, m.ReplicasAge = d.Uint64(), d.Duration() }

// viewsResponse responds to viewsRequest with newer data.
type viewsResponse struct {
	// Configuration is the encoded configuration if it is newer than requested, else empty.
	Configuration []byte
	// Version is the current configuration version of the responding node. If
	// ConfigurationKnown is set, it was confirmed to be the newest ConfigurationAge ago.
	Version            uint64
	ConfigurationKnown bool
	ConfigurationAge   time.Duration
	Evacuations        evacuation.Snapshot
	// StoreAvailable reports whether the store is available to the responding node.
	StoreAvailable bool
	// ReplicasKnown is set if Replicas contains all entries, as received ReplicasAge ago.
	// Only builds without package distribution set it.
	ReplicasKnown bool
	ReplicasAge   time.Duration
	Replicas      []logstore.Item
}

// Kind implements peer.Message.
func (*viewsResponse) Kind() peer.Kind { return kindViewsResponse }

// Encode implements peer.Message.
func (m *viewsResponse) Encode(e *wire.Encoder) {
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
	e.Bool(m.StoreAvailable)
	e.Bool(m.ReplicasKnown)
	e.Duration(m.ReplicasAge)
	e.Uint32(uint32(len(m.Replicas)))
	for _, item := range m.Replicas {
		e.String(item.Key)
		e.Blob(item.Value)
	}
}

// minItemBytes and minZoneBytes are the minimum encoded sizes of an item and of an
// evacuated zone.
const (
	minItemBytes = 8
	minZoneBytes = 12
)

// Decode implements peer.Message.
func (m *viewsResponse) Decode(d *wire.Decoder) {
	m.Configuration, m.Version, m.ConfigurationKnown, m.ConfigurationAge = d.Blob(), d.Uint64(), d.Bool(), d.Duration()
	m.Evacuations.Position = d.Uint64()
	for range d.Count(minZoneBytes) {
		if m.Evacuations.Zones == nil {
			m.Evacuations.Zones = map[string]time.Duration{}
		}
		zone := d.String()
		m.Evacuations.Zones[zone] = d.Duration()
	}
	m.StoreAvailable, m.ReplicasKnown, m.ReplicasAge = d.Bool(), d.Bool(), d.Duration()
	for range d.Count(minItemBytes) {
		m.Replicas = append(m.Replicas, logstore.Item{Key: d.String(), Value: d.Blob()})
	}
}

// ager is implemented by watchers of a store topic.
type ager interface {
	// Age returns the time since the last response of the store; false if there was none.
	Age() (time.Duration, bool)
}

// relay gets the configuration and the evacuated zones from peers while the store does not
// respond to this node. Replicas are distributed by package distribution instead.
type relay struct {
	views          *views
	configurations ager
	peers          peer.Client
	others         func() []netip.AddrPort
	logger         *slog.Logger
	// lease is the maximum age of the configuration for authenticating requests; 0 means
	// unlimited.
	lease time.Duration
	// storeAvailable reports whether the store is believed to be available to this node.
	storeAvailable func() bool
	// peerServed is called if the store is available to a peer but not to this node.
	peerServed func()
	// reads reports whether this node reads the operator topic from the store. Nodes that
	// do not read it pull it through package distribution.
	reads func() bool
}

// register registers the message types and the request handler.
func (r *relay) register(registry *peer.Registry) {
	registry.Add(func() peer.Message { return &viewsRequest{} }, func() peer.Message { return &viewsResponse{} })
	registry.Handle(kindViewsRequest, peer.HandlerFunc(r.handleRequest))
}

func (r *relay) handleRequest(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	query, ok := request.(*viewsRequest)
	if !ok {
		return nil, fmt.Errorf("routednode: unexpected %T", request)
	}
	response := &viewsResponse{StoreAvailable: r.storeAvailable()}
	// Read the age before the version and the zones: an update in between makes them newer
	// than the age claims, never older.
	response.ConfigurationAge, response.ConfigurationKnown = r.views.freshness.Age()
	response.Evacuations = r.views.evacuations.zones.Snapshot(r.views.evacuations.now())
	if current := r.views.router.Configuration(); current != nil {
		response.Version = current.Version
	}
	if version, encoded := r.views.encodedConfiguration(); version > query.Version {
		response.Configuration = encoded
	}
	return response, nil
}

// run queries peers while the store is unavailable or the configuration is aging.
func (r *relay) run(ctx context.Context) {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.storeSilent() || r.configurationAging() || !r.storeAvailable() {
				r.queryPeers(ctx)
				continue
			}
			r.views.freshness.setPeersServed(true)
		case <-ctx.Done():
			return
		}
	}
}

func (r *relay) storeSilent() bool {
	age, known := r.configurations.Age()
	return known && r.reads() && age > relayAfter
}

// configurationAging reports whether the configuration will soon be too old to authenticate
// requests.
func (r *relay) configurationAging() bool {
	age, known := r.views.freshness.Age()
	return r.lease > 0 && (!known || age > r.lease*agingPercent/100)
}

// peerResult is the outcome of one request to a peer.
type peerResult struct {
	from      netip.AddrPort
	requested time.Time
	response  *viewsResponse
	err       error
}

// queryPeers queries several random peers concurrently, since the store may reject some of
// them too.
func (r *relay) queryPeers(ctx context.Context) {
	others := slices.Clone(r.others())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), relayFanout)]
	version, _ := r.views.encodedConfiguration()
	request := &viewsRequest{Version: version}
	results := make(chan peerResult, len(others))
	for _, other := range others {
		go func() { results <- r.queryPeer(ctx, other, request) }()
	}
	responded, served := false, false
	for range others {
		result := <-results
		r.applyResult(result)
		responded = responded || result.response != nil
		served = served || result.response != nil && result.response.StoreAvailable
	}
	r.views.freshness.setPeersServed(served || !responded)
	if served && !r.storeAvailable() {
		r.peerServed()
	}
}

func (r *relay) queryPeer(ctx context.Context, other netip.AddrPort, request *viewsRequest) peerResult {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	result := peerResult{from: other, requested: time.Now()}
	var response peer.Message
	response, result.err = r.peers.Call(call, other, request, nil)
	result.response, _ = response.(*viewsResponse)
	return result
}

// applyResult applies a peer's response where it is newer.
func (r *relay) applyResult(result peerResult) {
	response, address := result.response, result.from
	if response == nil {
		r.logger.Info("peer did not respond to a query for configuration", "peer", address, "error", result.err)
		return
	}
	r.views.evacuations.merge(response.Evacuations, result.requested, "peer "+address.String())
	if len(response.Configuration) > 0 {
		r.views.applyEncodedConfiguration(response.Configuration, "peer "+address.String())
	}
	r.views.confirmFromPeer(response, result.requested)
}
