package journal

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
)

// testSite is a site of managers over the in-memory network and log.
type testSite struct {
	net     *network.Network
	log     *logservice.Service
	shards  int
	seed    uint64
	variant variant
	// cleanups stop background goroutines of the site.
	cleanups []func()
	// mutex guards nodes.
	mutex sync.Mutex
	nodes map[identity.NodeName]*testNode
	tune  func(*Config)
}

// testNode is one incarnation of one node.
type testNode struct {
	site     *testSite
	node     identity.Node
	endpoint *network.Endpoint
	manager  *Manager
	members  *blackboard.Cell[membership.View]
	host     *testHost
	stop     context.CancelFunc
	done     chan struct{}
}

func newTestSite(seed uint64, shards int) *testSite {
	site := &testSite{
		net: network.New(seed), log: logservice.New(seed), shards: shards, seed: seed,
		nodes: map[identity.NodeName]*testNode{},
	}
	for _, a := range testZones {
		for _, b := range testZones {
			site.net.SetLatency(a, b, 1500*time.Microsecond)
		}
	}
	return site
}

var testZones = []identity.Zone{"north", "centre", "south"}

// start starts a new incarnation of node n<i>.
func (s *testSite) start(i int) *testNode {
	name := identity.NodeName(fmt.Sprintf("n%d", i))
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
	node := identity.Node{
		Name: name, Zone: testZones[i%len(testZones)], Region: "sierra",
		Incarnation: identity.Incarnation(time.Now().UnixNano()),
		PeerAddress: address, ProbeAddress: address,
	}
	registry := peer.NewRegistry()
	endpoint := s.net.Join(node, registry)
	test := &testNode{
		site: s, node: node, endpoint: endpoint,
		members: blackboard.NewCell(membership.View{}),
		host:    newTestHost(),
		done:    make(chan struct{}),
	}
	var log siteservices.Log = &gatedLog{endpoint: endpoint, log: s.log.ViewFor(string(name))}
	if s.variant.log != nil {
		log = s.variant.log(log)
	}
	var client peer.Client = endpoint
	if s.variant.client != nil {
		client = s.variant.client(client)
	}
	config := Config{
		Self: node, ShardCount: s.shards, Log: log, Peers: client, Members: test.members,
		Host: test.host, Random: rand.NewPCG(s.seed, uint64(node.Incarnation)+uint64(i)),
	}
	if os.Getenv("JOURNAL_TEST_LOG") != "" {
		config.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", string(name))
	}
	if s.tune != nil {
		s.tune(&config)
	}
	test.manager = New(config)
	test.manager.Register(registry)
	endpoint.Serve()
	if s.variant.handle != nil {
		test.manager.local = s.variant.handle(test, test.manager.handle)
		for _, kind := range []peer.Kind{kindAppend, kindRenew, kindPreVote, kindPromise} {
			registry.Handle(kind, test.manager.local)
		}
	}
	if former := s.find(name); former != nil {
		former.kill()
	}
	s.mutex.Lock()
	s.nodes[name] = test
	s.mutex.Unlock()
	s.refresh()
	ctx, cancel := context.WithCancel(context.Background())
	test.stop = cancel
	go func() {
		defer close(test.done)
		_ = test.manager.Run(ctx)
	}()
	return test
}

// refresh updates the membership view of every node.
func (s *testSite) refresh() { s.refreshWith(nil) }

func (s *testSite) refreshWith(status map[identity.NodeName]membership.Status) {
	var members []membership.Member
	for _, node := range s.all() {
		member := membership.Member{Node: node.node, Status: membership.Alive}
		if given, found := status[node.node.Name]; found {
			member.Status = given
		}
		if member.Status != membership.Dead {
			members = append(members, member)
		}
	}
	for _, node := range s.all() {
		node.members.Update(func(view membership.View) membership.View {
			return membership.View{Self: node.node.Reference(), Version: view.Version + 1, Members: members}
		})
	}
}

// kill crashes the node; refresh reports it to the others.
func (n *testNode) kill() {
	n.endpoint.Kill()
	n.stop()
	n.site.mutex.Lock()
	defer n.site.mutex.Unlock()
	if n.site.nodes[n.node.Name] == n {
		delete(n.site.nodes, n.node.Name)
	}
}

func (s *testSite) find(name identity.NodeName) *testNode {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nodes[name]
}

// all returns the running nodes, sorted by name.
func (s *testSite) all() []*testNode {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var nodes []*testNode
	for i := range 16 {
		if node := s.nodes[identity.NodeName(fmt.Sprintf("n%d", i))]; node != nil {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// isolate partitions node from all others, in both directions.
func (s *testSite) isolate(node *testNode) {
	for _, other := range s.all() {
		s.net.Cut(node.node.Name, other.node.Name)
		s.net.Cut(other.node.Name, node.node.Name)
	}
}

// close stops all nodes, so that the synctest bubble can end.
func (s *testSite) close() {
	for _, cleanup := range s.cleanups {
		cleanup()
	}
	for _, node := range s.all() {
		node.endpoint.Thaw()
		node.kill()
		<-node.done
	}
	s.net.Close()
	// Wait for messages in flight to expire.
	time.Sleep(time.Minute)
}

// gatedLog is the log as seen by a process that can be paused or killed.
type gatedLog struct {
	endpoint *network.Endpoint
	log      siteservices.Log
}

func (g *gatedLog) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	if err := g.endpoint.Gate(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", siteservices.ErrUnavailable, err)
	}
	offset, err := g.log.Append(ctx, stream, records)
	if gate := g.endpoint.Gate(context.Background()); gate != nil {
		return 0, fmt.Errorf("%w: %w", siteservices.ErrOutcomeUnknown, gate)
	}
	return offset, err
}

func (g *gatedLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	if err := g.endpoint.Gate(ctx); err != nil {
		return siteservices.ReadResult{}, fmt.Errorf("%w: %w", siteservices.ErrUnavailable, err)
	}
	result, err := g.log.Read(ctx, stream, from, limit, wait)
	if gate := g.endpoint.Gate(context.Background()); gate != nil {
		return siteservices.ReadResult{}, fmt.Errorf("%w: %w", siteservices.ErrOutcomeUnknown, gate)
	}
	return result, err
}

// setMachine is a list of the numbers that were applied.
type setMachine struct {
	mutex sync.Mutex
	order []uint64
}

func (m *setMachine) Apply(record []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.order = append(m.order, binary.BigEndian.Uint64(record))
	return nil
}

func (m *setMachine) Snapshot() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := make([]byte, 0, 8*len(m.order))
	for _, number := range m.order {
		state = binary.BigEndian.AppendUint64(state, number)
	}
	return state, nil
}

func (m *setMachine) Restore(snapshot []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.order = nil
	for ; len(snapshot) > 0; snapshot = snapshot[8:] {
		m.order = append(m.order, binary.BigEndian.Uint64(snapshot))
	}
	return nil
}

func (m *setMachine) numbers() []uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]uint64(nil), m.order...)
}

// openShard is a shard that a host serves.
type openShard struct {
	mutex   sync.Mutex
	shard   Shard
	machine *setMachine
}

// testHost serves sets of numbers.
type testHost struct {
	mutex  sync.Mutex
	shards map[identity.ShardID]*openShard
	opened int
	closed int
}

func newTestHost() *testHost { return &testHost{shards: map[identity.ShardID]*openShard{}} }

func (h *testHost) NewStateMachine(identity.ShardID) StateMachine { return &setMachine{} }

func (h *testHost) ShardOpened(shard Shard, machine StateMachine) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.opened++
	h.shards[shard.ID()] = &openShard{shard: shard, machine: machine.(*setMachine)}
}

func (h *testHost) Checkpoint(shard Shard) {
	open := h.open(shard.ID())
	if open == nil || open.shard != shard {
		return
	}
	open.mutex.Lock()
	defer open.mutex.Unlock()
	_, _ = shard.Enqueue()
}

func (h *testHost) PrepareHandOver(_ context.Context, _ Shard) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed++
}

func (h *testHost) open(id identity.ShardID) *openShard {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.shards[id]
}

// add adds a number as a host does: apply and enqueue under the shard's lock, wait
// outside of it, and check the lease before responding.
func (o *openShard) add(ctx context.Context, number uint64, durable bool) error {
	record := binary.BigEndian.AppendUint64(nil, number)
	o.mutex.Lock()
	if err := o.shard.CheckLease(); err != nil {
		o.mutex.Unlock()
		return err
	}
	_ = o.machine.Apply(record)
	enqueue := o.shard.Enqueue
	if durable {
		enqueue = o.shard.EnqueueDurable
	}
	wait, err := enqueue(record)
	o.mutex.Unlock()
	if err != nil {
		return err
	}
	if err := wait(ctx); err != nil {
		return err
	}
	return o.shard.CheckLease()
}

// addUnchecked is add after its first lease check, for a process that was paused
// there. With careless set it also skips the second check.
func (o *openShard) addUnchecked(ctx context.Context, number uint64, careless bool) error {
	record := binary.BigEndian.AppendUint64(nil, number)
	o.mutex.Lock()
	_ = o.machine.Apply(record)
	wait, err := o.shard.Enqueue(record)
	o.mutex.Unlock()
	if err != nil {
		return err
	}
	if err := wait(ctx); err != nil || careless {
		return err
	}
	return o.shard.CheckLease()
}

// serving returns the node that serves shard id under a valid lease, or nil.
func (s *testSite) serving(id identity.ShardID) *testNode {
	for _, node := range s.all() {
		if node.endpoint.Frozen() {
			continue
		}
		if open := node.host.open(id); open != nil && open.shard.CheckLease() == nil {
			return node
		}
	}
	return nil
}

// awaitServing waits in virtual time until every shard is served.
func (s *testSite) awaitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for id := range identity.ShardID(s.shards) {
		for s.serving(id) == nil {
			if time.Now().After(deadline) {
				return fmt.Errorf("shard %d is not served after %v", id, limit)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}
