package router

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

const (
	modelNodes           = 6
	modelVersions        = 3
	replicasPerVersion   = 2
	modelEvents          = 12
	modelEventInterval   = 10 * time.Millisecond
	modelClients         = 16
	modelStreamsByClient = 10
)

// versionModel is nodes in this process, each with a view of its own of the replicas.
type versionModel struct {
	t        *testing.T
	replicas [modelVersions][replicasPerVersion]*replica.Replica

	// mutex guards the fields below, which the schedule changes.
	mutex     sync.Mutex
	nodes     [modelNodes]*modelNode
	published [modelVersions]bool
	cut       map[[2]int]bool
	number    int
	// upFor is for how long nodes that start have been up, with the present versions only. lag bounds how
	// late nodes in touch with the store learn of a change.
	upFor, lag time.Duration
}

// modelNode is one incarnation of a node. stale nodes are cut off from the store, old ones are of a build
// without records of streams.
type modelNode struct {
	index      int
	router     *Router
	server     *httptest.Server
	fleet      *fleet.Directory
	registry   *peer.Registry
	origins    *origin.Service
	stale, old bool
	// confirmed is when the store last confirmed the view.
	confirmed time.Time
	down      atomic.Bool
}

// modelViewAge is the age of a view above which a node does not go by it.
const modelViewAge = 3500 * time.Millisecond

// span implements origin.Versions.
func (n *modelNode) span(m *versionModel, route, service string) fleet.VersionSpan {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if time.Since(n.confirmed) > modelViewAge {
		return fleet.VersionSpan{Confirmed: n.confirmed}
	}
	span := n.router.OnlyVersion(route, service)
	span.Confirmed = n.confirmed
	return span
}

// confirm implements origin.Confirm.
func (n *modelNode) confirm(m *versionModel, since time.Time) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if n.confirmed.Before(since) && n.stale {
		return errStoreAway
	}
	m.update(n)
	return nil
}

// modelPeers are the calls of one node to the others.
type modelPeers struct {
	model *versionModel
	from  *modelNode
}

var errModelDown = fmt.Errorf("%w: down", peer.ErrUnreachable)

// Call implements peer.Client.
func (p modelPeers) Call(ctx context.Context, address netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	index := int(address.Port()) - 1
	p.model.mutex.Lock()
	target, cut := p.model.nodes[index], p.model.cut[[2]int{min(p.from.index, index), max(p.from.index, index)}]
	p.model.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if target.down.Load() || p.from.down.Load() {
		return nil, errModelDown
	}
	if target.old {
		return nil, peer.ErrUnknownKind
	}
	message, err := target.registry.Decode(request.Kind(), encodeModel(request))
	if err != nil {
		return nil, err
	}
	answer, err := target.registry.Handler(message.Kind()).Handle(ctx, message, nil)
	if err != nil {
		return nil, err
	}
	return p.from.registry.Decode(answer.Kind(), encodeModel(answer))
}

func encodeModel(message peer.Message) []byte {
	encoder := wire.NewEncoder(nil)
	message.Encode(encoder)
	return encoder.Bytes()
}

func newVersionModel(t *testing.T) *versionModel {
	m := &versionModel{t: t, cut: map[[2]int]bool{}, published: [modelVersions]bool{true, true, false}}
	m.startAll()
	return m
}

// startAll starts the replicas and the nodes.
func (m *versionModel) startAll() {
	for version := range modelVersions {
		for i := range replicasPerVersion {
			started, err := replica.Start(modelStream(fmt.Sprint("v", version)))
			if err != nil {
				m.t.Fatal(err)
			}
			m.t.Cleanup(started.Close)
			m.replicas[version][i] = started
		}
	}
	for i := range modelNodes {
		m.start(i, false)
	}
}

// modelStream writes the events behind Last-Event-Id, and breaks off at times.
func modelStream(version string) replica.Script {
	return func(e *replica.Exchange) bool {
		last, _ := strconv.Atoi(e.Request.Header.Get("Last-Event-Id"))
		breaksAt := rand.IntN(4 * modelEvents)
		e.Write("%s", streamHeader(e))
		for event := last + 1; event <= modelEvents; event++ {
			e.Write("%s", chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", event, version)))
			if event == breaksAt {
				return false
			}
			time.Sleep(modelEventInterval)
		}
		e.Write("0\r\n\r\n")
		return true
	}
}

// entries returns the published replicas. The caller must hold the mutex.
func (m *versionModel) entries() []fleet.Replica {
	var all []fleet.Replica
	for version, published := range m.published {
		for i := range replicasPerVersion {
			if published {
				all = append(all, fleet.Replica{
					Instance: fmt.Sprintf("v%d-%d", version, i), Service: "s", Zone: "near", State: fleet.StateReady,
					Version: fmt.Sprint("v", version), Address: m.replicas[version][i].Address,
				})
			}
		}
	}
	return all
}

// start starts an incarnation of a node, without records and with the present view.
func (m *versionModel) start(index int, old bool) {
	h := newHarness(m.t)
	now, upFor := h.router.config.Now, m.upFor
	h.router.config.Now = func() time.Duration { return now() + upFor }
	node := &modelNode{index: index, router: h.router, server: h.server, fleet: h.fleet, registry: peer.NewRegistry(), old: old}
	node.origins = origin.New(origin.Config{
		Self: identity.NodeName(fmt.Sprint(index)), Peers: modelPeers{m, node}, Now: h.router.config.Now, Logger: slog.New(slog.DiscardHandler),
	})
	node.origins.SetVersions(func(route, service string) fleet.VersionSpan { return node.span(m, route, service) })
	node.origins.SetConfirm(func(_ context.Context, since time.Time) error { return node.confirm(m, since) })
	node.origins.Register(node.registry)
	node.router.config.Origins = node.origins
	if old {
		node.router.config.Origins = nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	node.fleet.Replace(m.entries(), node.router.Now()-upFor)
	node.confirmed = time.Now()
	m.nodes[index] = node
	m.shareMembers()
}

// shareMembers tells all nodes who is up. The caller must hold the mutex.
func (m *versionModel) shareMembers() {
	var view membership.View
	for i, node := range m.nodes {
		if node != nil && !node.down.Load() {
			view.Members = append(view.Members, membership.Member{Status: membership.Alive, Node: identity.Node{
				Name: identity.NodeName(fmt.Sprint(i)), Zone: identity.Zone(fmt.Sprint(i % 3)),
				PeerAddress: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
			}})
		}
	}
	for _, node := range m.nodes {
		if node != nil {
			node.origins.SetView(view)
		}
	}
}

// publish publishes the replicas of a version or withdraws them. Nodes that are not stale apply
// the changes.
func (m *versionModel) publish(version int, published bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.published[version] = published
	if !slices.Contains(m.published[:], true) {
		m.published[(version+1)%modelVersions] = true
	}
	for _, node := range m.nodes {
		if m.lag == 0 {
			m.update(node)
			continue
		}
		time.AfterFunc(rand.N(m.lag), func() {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.update(node)
		})
	}
}

// update applies the present entries to a node's view. The caller must hold the mutex.
func (m *versionModel) update(node *modelNode) {
	if node.stale {
		return
	}
	node.confirmed = time.Now()
	entries := m.entries()
	var changes []fleet.Change
	for version := range modelVersions {
		for i := range replicasPerVersion {
			change := fleet.Change{Instance: fmt.Sprintf("v%d-%d", version, i)}
			if entry, found := lo.Find(entries, func(one fleet.Replica) bool { return one.Instance == change.Instance }); found {
				change.Replica = &entry
			}
			changes = append(changes, change)
		}
	}
	node.fleet.Apply(changes, node.router.Now())
}

// step changes one thing: a node ends and starts again, two nodes are cut from each other, a node
// is cut from the store, or a version comes or goes.
func (m *versionModel) step(random *rand.Rand) {
	i, j := random.IntN(modelNodes), random.IntN(modelNodes)
	switch random.IntN(5) {
	case 0:
		m.mutex.Lock()
		node := m.nodes[i]
		node.down.Store(true)
		m.mutex.Unlock()
		node.server.CloseClientConnections()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		m.start(i, random.IntN(4) == 0)
	case 1:
		m.mutex.Lock()
		m.cut[[2]int{min(i, j), max(i, j)}] = i != j
		m.mutex.Unlock()
	case 2:
		m.mutex.Lock()
		clear(m.cut)
		m.mutex.Unlock()
	case 3:
		m.mutex.Lock()
		m.nodes[i].stale = !m.nodes[i].stale
		m.update(m.nodes[i])
		m.mutex.Unlock()
	default:
		m.publish(random.IntN(modelVersions), random.IntN(2) == 0)
	}
}

// target returns the address of a node that is up, and of a build with records if resuming.
func (m *versionModel) target(random *rand.Rand, resuming bool) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	up := lo.Filter(m.nodes[:], func(node *modelNode, _ int) bool { return !node.down.Load() && (!resuming || !node.old) })
	if len(up) == 0 {
		return m.nodes[0].server.URL
	}
	return up[random.IntN(len(up))].server.URL
}

// modelOutcome is one stream as its client sees it.
type modelOutcome struct {
	versions       []string
	resumed, whole bool
	// first is the request ID of the attempt that brought the first event, last the last event.
	first string
	last  int
}

// stream receives one stream. If unnamed, some of its resumptions don't name it.
func (m *versionModel) stream(random *rand.Rand, unnamed bool) *modelOutcome {
	return m.streamNamed(random, func() bool { return !unnamed || random.IntN(8) > 0 })
}

// streamNamed receives one stream, of which each resumption names it or not.
func (m *versionModel) streamNamed(random *rand.Rand, isNamed func() bool) *modelOutcome {
	seen := &modelOutcome{}
	for try := 0; try < 4 && !seen.whole; try++ {
		named, leaves := isNamed(), 0
		if try < 2 {
			leaves = seen.last + 1 + random.IntN(2*modelEvents)
		}
		m.attempt(seen, random, named, leaves)
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
	return seen
}

// attempt sends one request. The client's connection breaks after the event leaves.
func (m *versionModel) attempt(seen *modelOutcome, random *rand.Rand, named bool, leaves int) {
	m.mutex.Lock()
	m.number++
	id := fmt.Sprint("m", m.number)
	m.mutex.Unlock()
	request, err := http.NewRequestWithContext(m.t.Context(), http.MethodPost, m.target(random, seen.first != "")+"/resume/x", strings.NewReader("b"))
	if err != nil {
		m.t.Error(err)
		return
	}
	request.Host = "h.example"
	request.Header.Set("Test-Id", id)
	if seen.first != "" {
		seen.resumed = true
		request.Header.Set("Last-Event-Id", strconv.Itoa(seen.last))
	}
	if seen.first != "" && named {
		request.Header.Set("Test-Resumes", seen.first)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(response.Body)
	for seen.last != leaves && lines.Scan() {
		seen.read(lines.Text(), id)
	}
	seen.whole = seen.last == modelEvents
}

// read reads one line of the response to an attempt.
func (o *modelOutcome) read(line, attempt string) {
	name, value, _ := strings.Cut(line, ": ")
	switch name {
	case "id":
		o.last, _ = strconv.Atoi(value)
	case "data":
		o.first = cmp.Or(o.first, attempt)
		if !slices.Contains(o.versions, value) {
			o.versions = append(o.versions, value)
		}
	}
}

// run runs the clients beside the given number of steps per stream.
func (m *versionModel) run(seed uint64, disturbed bool) []*modelOutcome {
	var clients sync.WaitGroup
	outcomes := make([][]*modelOutcome, modelClients)
	done := make(chan struct{})
	for i := range modelClients {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)+10))
			for range modelStreamsByClient {
				outcomes[i] = append(outcomes[i], m.stream(random, disturbed))
			}
		})
	}
	go func() {
		clients.Wait()
		close(done)
	}()
	random := rand.New(rand.NewPCG(seed, 1))
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(time.Duration(random.IntN(40)) * time.Millisecond):
			if disturbed {
				m.step(random)
			}
		}
	}
	return slices.Concat(outcomes...)
}

// Streams of two versions: nodes start and end, are cut from each other and from the store, versions
// come, go and come back, and some nodes are of a build without records, in any order.
func TestModelledStreamsKeepTheirVersion(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			outcomes := newVersionModel(t).run(seed, true)
			for _, one := range outcomes {
				if len(one.versions) > 1 {
					t.Errorf("seed %d: a stream holds events of %v", seed, one.versions)
				}
			}
			resumed := lo.CountBy(outcomes, func(one *modelOutcome) bool { return one.resumed })
			t.Logf("seed %d: %d streams, %d resumed, %d whole", seed, len(outcomes), resumed, lo.CountBy(outcomes, func(one *modelOutcome) bool { return one.whole }))
			if resumed == 0 {
				t.Errorf("seed %d: no stream was resumed", seed)
			}
		})
	}
}

// Where nothing fails but streams, nearly all interrupted ones go on.
func TestModelledStreamsGoOnWithoutFaults(t *testing.T) {
	outcomes := newVersionModel(t).run(1, false)
	resumed := lo.Filter(outcomes, func(one *modelOutcome, _ int) bool { return one.resumed })
	whole := lo.CountBy(resumed, func(one *modelOutcome) bool { return one.whole })
	t.Logf("%d streams, %d resumed, %d of them whole", len(outcomes), len(resumed), whole)
	for _, one := range outcomes {
		if len(one.versions) > 1 {
			t.Errorf("a stream holds events of %v", one.versions)
		}
	}
	if float64(whole) < 0.95*float64(len(resumed)) {
		t.Errorf("%d of %d resumed streams were whole", whole, len(resumed))
	}
}

const (
	modelRounds = 5
	modelUpFor  = 3 * time.Hour
	modelLag    = 200 * time.Millisecond
)

// A stream went on at another version at a node that was out of step while replicas of that version joined:
// cut off from the store, from other nodes, from both, or only late with its view. All nodes had been up for
// hours with one version, or had just started.
func TestModelledStreamsKeepTheirVersionAtNodesOutOfStep(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var outcomes []*modelOutcome
			for round := range uint64(modelRounds) {
				m := &versionModel{t: t, cut: map[[2]int]bool{}, published: [modelVersions]bool{true}, lag: modelLag, upFor: modelUpFor}
				m.startAll()
				m.mutex.Lock()
				m.upFor = 0 // for those that start again
				m.mutex.Unlock()
				outcomes = append(outcomes, m.release(seed, round)...)
			}
			mixed := lo.CountBy(outcomes, func(one *modelOutcome) bool { return len(one.versions) > 1 })
			resumed := lo.Filter(outcomes, func(one *modelOutcome, _ int) bool { return one.resumed })
			t.Logf("seed %d: %d streams, %d resumed, %d of them whole, %d of two versions", seed, len(outcomes), len(resumed),
				lo.CountBy(resumed, func(one *modelOutcome) bool { return one.whole }), mixed)
			if mixed > 0 || len(resumed) == 0 {
				t.Errorf("seed %d: %d of %d streams hold events of two versions", seed, mixed, len(outcomes))
			}
		})
	}
}

// release runs clients, half of whose streams are not named, beside a release and nodes out of step.
func (m *versionModel) release(seed, round uint64) []*modelOutcome {
	random := rand.New(rand.NewPCG(seed, round))
	var clients sync.WaitGroup
	outcomes := make([][]*modelOutcome, modelClients)
	for i := range modelClients {
		clients.Go(func() {
			own := rand.New(rand.NewPCG(seed, 100*round+uint64(i)+10))
			for range modelStreamsByClient / 2 {
				named := own.IntN(2) == 0
				outcomes[i] = append(outcomes[i], m.streamNamed(own, func() bool { return named }))
			}
		})
	}
	pause := func() { time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond) }
	for i := range 2 {
		pause()
		m.mutex.Lock()
		m.nodes[i].stale = random.IntN(4) > 0
		cuts := random.IntN(modelNodes) // from none, some or all others
		for j := range modelNodes {
			m.cut[[2]int{min(i, j), max(i, j)}] = i != j && cuts > 0 && (cuts > 2 || random.IntN(2) == 0)
		}
		m.mutex.Unlock()
	}
	pause()
	m.publish(1, true)
	if random.IntN(2) == 0 {
		pause()
		m.publish(0, false)
	}
	pause()
	m.mutex.Lock()
	node := m.nodes[2]
	node.down.Store(true)
	m.mutex.Unlock()
	node.server.CloseClientConnections()
	m.start(2, false)
	time.Sleep(8 * modelLag)
	m.mutex.Lock()
	clear(m.cut)
	for _, node := range m.nodes {
		node.stale = false
		m.update(node)
	}
	m.mutex.Unlock()
	clients.Wait()
	return slices.Concat(outcomes...)
}

// Where one version serves and all nodes are in touch, nearly all interrupted streams go on, though their
// clients do not name them and nodes learn of changes late.
func TestModelledUnnamedStreamsOfTheOnlyVersionGoOn(t *testing.T) {
	m := &versionModel{t: t, cut: map[[2]int]bool{}, published: [modelVersions]bool{true}, lag: modelLag, upFor: modelUpFor}
	m.startAll()
	var clients sync.WaitGroup
	outcomes := make([][]*modelOutcome, modelClients)
	for i := range modelClients {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for range modelStreamsByClient {
				outcomes[i] = append(outcomes[i], m.streamNamed(random, func() bool { return false }))
			}
		})
	}
	clients.Wait()
	resumed := lo.Filter(slices.Concat(outcomes...), func(one *modelOutcome, _ int) bool { return one.resumed })
	whole := lo.CountBy(resumed, func(one *modelOutcome) bool { return one.whole })
	t.Logf("%d resumed, %d of them whole", len(resumed), whole)
	if float64(whole) < 0.95*float64(len(resumed)) {
		t.Errorf("%d of %d resumed streams were whole", whole, len(resumed))
	}
}
