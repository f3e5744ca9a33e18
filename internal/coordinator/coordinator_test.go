package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/wire"
)

const partitions = 4

// node is one node of a cluster that shares a store.
type node struct {
	service   *Service
	transport *peer.Transport
	identity  identity.Node
	// store is this node's view of the shared store.
	store *nodeStore
}

// nodeStore is one node's access to the shared store, which can be made unavailable to that
// node alone.
type nodeStore struct {
	*store.Store
	closed atomic.Bool
	// hang makes appends block until the caller's context ends.
	hang atomic.Bool
	// silent contains the ledger partitions whose reads are not answered.
	silent sync.Map
	// appended and reads count the attempted appends and reads.
	appended, reads atomic.Int32
	// read contains the ledger partitions that were read; textReads counts reads of texts.
	read      sync.Map
	textReads atomic.Int32
}

// answers reports whether the store is available to the node.
func (g *nodeStore) answers() bool { return !g.closed.Load() && !g.hang.Load() }

// fakeAvailability never delays calls and reports the state of a nodeStore.
type fakeAvailability struct{ store *nodeStore }

func (a fakeAvailability) Await(context.Context, logstore.Partition) error { return nil }
func (a fakeAvailability) Available(logstore.Partition) bool               { return a.store.answers() }
func (a fakeAvailability) Recovered() <-chan struct{}                      { return nil }

func (g *nodeStore) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
	g.appended.Add(1)
	if g.closed.Load() {
		return logstore.AppendResult{}, logstore.ErrUnavailable
	}
	if g.hang.Load() {
		<-ctx.Done()
		return logstore.AppendResult{}, logstore.ErrOutcomeUnknown
	}
	return g.Store.Append(ctx, request)
}

func (g *nodeStore) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	g.reads.Add(1)
	if g.closed.Load() {
		return logstore.ReadResult{}, logstore.ErrUnavailable
	}
	if request.Partition.Topic == "texts" {
		g.textReads.Add(1)
	} else if _, silent := g.silent.Load(request.Partition.Number); silent {
		<-ctx.Done()
		return logstore.ReadResult{}, logstore.ErrUnavailable
	}
	g.read.Store(request.Partition.Number, true)
	return g.Store.Read(ctx, request)
}

func startCluster(t *testing.T, count int) []*node { return startClusterWith(t, count, false) }

// startClusterWith starts nodes whose ledgers are informed of the store's availability if
// knowsStore is set.
func startClusterWith(t *testing.T, count int, knowsStore bool) []*node {
	log := store.New()
	var nodes []*node
	for i := range count {
		nodes = append(nodes, startNode(t, log, fmt.Sprintf("n%d", i), knowsStore))
	}
	setViews(nodes, nodes)
	return nodes
}

func startNode(t *testing.T, log *store.Store, name string, knowsStore bool) *node {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := peer.NewRegistry()
	started := &node{transport: peer.NewTransport(registry, peer.Options{Logger: slog.New(slog.DiscardHandler)}), store: &nodeStore{Store: log}}
	started.identity = identity.Node{Name: identity.NodeName(name), Incarnation: 1, PeerAddress: netip.MustParseAddrPort(listener.Addr().String())}
	var knowing ledgerlog.Availability
	if knowsStore {
		knowing = fakeAvailability{started.store}
	}
	started.service = New(Config{
		StoreAvailable: started.store.answers,
		Self:           started.identity.Name, Peers: started.transport, Logger: slog.New(slog.DiscardHandler),
		Ledger: newLedger(started.store, string(IncarnationOf(started.identity.Reference())), knowing),
	})
	started.service.Register(registry)
	go func() { _ = started.transport.Serve(listener) }()
	t.Cleanup(started.transport.Close)
	return started
}

func newLedger(log logstore.Store, producer string, knowing ledgerlog.Availability) *ledgerlog.Ledger {
	return ledgerlog.New(ledgerlog.Config{
		Store: log, Topic: "ledger", TextTopic: "texts", Partitions: partitions, Availability: knowing, Producer: producer,
		RecordBytes: 1 << 16, CallBytes: 1 << 20, CacheBytes: 1, IndexTextBytes: 1 << 16, Logger: slog.New(slog.DiscardHandler),
	})
}

// setViews gives nodes a view with all members.
func setViews(nodes, members []*node) {
	view := membership.View{}
	for _, member := range members {
		view.Members = append(view.Members, membership.Member{Node: member.identity, Status: membership.Alive})
	}
	for _, one := range nodes {
		one.service.SetView(view)
	}
}

func turnOf(program ledger.ProgramID, budget, maxTokens uint32) Request {
	return Request{Program: program, Budgeted: true, Budget: budget, MaxTurnTokens: maxTokens}
}

func mustBegin(t *testing.T, at *node, request Request) *Turn {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	turn, err := at.service.Begin(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	return turn
}

// coordinatorOf returns a program's coordinator and another node.
func coordinatorOf(nodes []*node, program ledger.ProgramID) (*node, *node) {
	var coordinator, other *node
	for _, one := range nodes {
		if one.service.isCoordinator(one.service.config.Ledger.Partition(program)) {
			coordinator = one
		} else {
			other = one
		}
	}
	return coordinator, other
}

func TestAllNodesAgreeOnOneCoordinator(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 5)
	for partition := range partitions {
		coordinators := 0
		for _, one := range nodes {
			if one.service.isCoordinator(partition) {
				coordinators++
			}
		}
		is.Equal(coordinators, 1)
	}
}

func TestTurnsOfAllNodesAreCountedAtCoordinator(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	coordinator, _ := coordinatorOf(nodes, "p")
	for i := range 6 {
		turn := mustBegin(t, nodes[i%3], turnOf("p", 1000, 100))
		is.Equal(turn.Coordinator, coordinator.identity.Name)
		turn.Finish(50)
		time.Sleep(10 * time.Millisecond) // the end is reported in the background
	}
	is.True(coordinator.store.Calls("append") < 6)
	is.Equal(coordinator.store.Calls("read"), 1) // the initial read, which finds the partition's owner
}

func TestBudgetHoldsIfCoordinatorIsUnreachable(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	coordinator, other := coordinatorOf(nodes, "p")
	mustBegin(t, coordinator, turnOf(samePartition(coordinator, "p")(), 200, 100)).Finish(0)
	time.Sleep(100 * time.Millisecond) // the coordinator owns the partition, and so reserves after the first turn has begun
	mustBegin(t, coordinator, turnOf("p", 200, 100)).Finish(100)
	time.Sleep(400 * time.Millisecond) // the reservation is in the log
	coordinator.transport.Close()
	began := time.Now()
	turn := mustBegin(t, other, turnOf("p", 200, 100))
	is.Equal(turn.Coordinator, other.identity.Name)
	is.True(time.Since(began) < time.Second)
	// Other nodes can't know how much of its reservation the coordinator granted. One more turn
	// stays within the budget and one turn; after it the budget is neither granted again nor
	// reported as exhausted.
	mustBegin(t, other, turnOf("p", 200, 100)).Finish(100)
	_, err := other.service.Begin(t.Context(), turnOf("p", 200, 100))
	is.True(errors.Is(err, ledgerlog.ErrBudgetReserved))
}

// lossyClient loses the responses to requests to begin a turn.
type lossyClient struct {
	peer.Client
	lose atomic.Bool
}

func (f *lossyClient) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	answer, err := f.Client.Call(ctx, address, request, onPart)
	if _, begins := request.(*beginRequest); begins && f.lose.Load() {
		return nil, errors.New("response lost")
	}
	return answer, err
}

func TestTurnWhoseBeginningIsLostHoldsNoBudget(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 2)
	coordinator, other := coordinatorOf(nodes, "p")
	path := &lossyClient{Client: other.transport}
	other.service.config.Peers = path
	path.lose.Store(true)
	// The budget has room for one turn, which the coordinator has begun although the caller
	// gave up.
	_, err := other.service.Begin(t.Context(), turnOf("p", 900, 589))
	var spent *ledgerlog.BudgetExhaustedError
	is.True(!errors.As(err, &spent))
	is.True(errors.Is(err, ledgerlog.ErrBudgetReserved))
	path.lose.Store(false)
	time.Sleep(avoidDuration + 100*time.Millisecond)
	turn := mustBegin(t, other, turnOf("p", 900, 589))
	is.Equal(turn.Coordinator, coordinator.identity.Name)
	turn.Finish(589)
}

func TestTurnBeginsLocallyIfCoordinatorHasNoStore(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	coordinator, other := coordinatorOf(nodes, "p")
	coordinator.store.closed.Store(true)
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Coordinator, other.identity.Name)
}

// watchStalls returns a function that returns the longest time for which this process has stalled.
func watchStalls() (stop func() time.Duration) {
	done, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		most, last := time.Duration(0), time.Now()
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				most, last = max(most, time.Since(last)), time.Now()
			case <-done:
				longest <- max(most, time.Since(last))
				return
			}
		}
	}()
	return func() time.Duration {
		close(done)
		return <-longest
	}
}

func TestSlowCoordinatorIsNotAvoided(t *testing.T) {
	is := is.New(t)
	const maxTries = 5
	for try := 1; ; try++ {
		nodes := startCluster(t, 3)
		coordinator, other := coordinatorOf(nodes, "p")
		// The calls for the ownership and the reservation must both fit into the coordinator's
		// time.
		coordinator.store.Fail(store.Fault{Delay: hedgeDelay + 20*time.Millisecond})
		stalled := watchStalls()
		turn := mustBegin(t, other, turnOf("p", 1000, 100))
		// A report of progress comes late if this process stalls.
		if stalled() > (hedgeDelay-progressInterval)/2 && try < maxTries {
			continue
		}
		is.Equal(turn.Coordinator, coordinator.identity.Name)
		is.True(!other.service.isAvoided(coordinator.identity.Name))
		return
	}
}

// TestWorkOfAHomeThatLivesIsNotDoneTwice delays the store for longer than a coordinator may
// stay silent. The caller must wait for a coordinator that reports progress and not read the
// partition itself.
func TestWorkOfAHomeThatLivesIsNotDoneTwice(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	coordinator, other := coordinatorOf(nodes, "p")
	coordinator.store.Fail(store.Fault{Delay: progressTimeout + 3*progressInterval})
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Coordinator, coordinator.identity.Name)
	is.Equal(other.store.appended.Load(), int32(0))
}

func TestCoordinatorWithoutStoreReportsNoProgress(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	coordinator, other := coordinatorOf(nodes, "p")
	coordinator.store.hang.Store(true)
	began := time.Now()
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Coordinator, other.identity.Name)
	is.True(time.Since(began) < progressTimeout)
	is.True(other.service.isAvoided(coordinator.identity.Name))
}

func TestTurnIsPersistedAndFoundThroughCoordinator(t *testing.T) {
	for _, unavailable := range []bool{false, true} {
		is := is.New(t)
		nodes := startCluster(t, 3)
		_, other := coordinatorOf(nodes, "p")
		other.store.closed.Store(unavailable)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		is.NoErr(other.service.PersistTurn(ctx, ledger.IndexEntry{Program: "p", Turn: "t1", Retention: time.Minute}, []byte("one"), residency.AllowedRegions{}))
		turn := mustBegin(t, other, Request{Program: "p", Previous: "t1"})
		is.Equal(len(turn.Chain), 1)
		textReads, err := other.service.Texts(ctx, "p", turn.Chain, residency.AllowedRegions{})
		is.NoErr(err)
		is.Equal(string(textReads[0]), "one")
		is.NoErr(other.service.PersistTurn(ctx, ledger.IndexEntry{Program: "p", Turn: "t2", Chain: turn.Chain, Retention: time.Minute}, []byte("two"), residency.AllowedRegions{}))
		is.Equal(len(mustBegin(t, nodes[0], Request{Program: "p", Previous: "t2"}).Chain), 2)
	}
}

// TestTurnOfAnotherProgramIsSearchedByCoordinators checks that no node reads a partition that
// another one coordinates, whether the turn exists or not.
func TestTurnOfAnotherProgramIsSearchedByCoordinators(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	is.NoErr(nodes[0].service.PersistTurn(ctx, ledger.IndexEntry{Program: "p", Turn: "t1", Retention: time.Minute}, []byte("one"), residency.AllowedRegions{}))
	for _, program := range []ledger.ProgramID{"p", "q", "r", "s", "t", "u"} {
		for _, asking := range nodes {
			is.Equal(len(mustBegin(t, asking, Request{Program: program, Previous: "t1"}).Chain), 1)
			_, err := asking.service.Begin(ctx, Request{Program: program, Previous: "never"})
			is.True(errors.Is(err, ledgerlog.ErrNoSuchTurn))
		}
	}
	for _, one := range nodes {
		one.store.read.Range(func(partition, _ any) bool {
			is.True(one.service.isCoordinator(partition.(int)))
			return true
		})
	}
	unavailable, _ := coordinatorOf(nodes, "p")
	var coordinated []int
	for partition := range partitions {
		if unavailable.service.isCoordinator(partition) {
			coordinated = append(coordinated, partition)
		}
	}
	for _, one := range nodes {
		one.store.read.Clear()
	}
	unavailable.store.closed.Store(true)
	_, err := nodes[0].service.Begin(ctx, Request{Program: "q", Previous: "never too"})
	if errors.Is(err, ledgerlog.ErrNoSuchTurn) { // the proof needs the coordinator's partitions, so other nodes must have read them
		for _, partition := range coordinated {
			is.True(slices.ContainsFunc(nodes, func(one *node) bool {
				_, read := one.store.read.Load(partition)
				return one != unavailable && read
			}))
		}
	} else {
		is.True(errors.Is(err, ledgerlog.ErrUnavailable))
	}
	for _, one := range nodes {
		one.store.closed.Store(true)
	}
	_, err = nodes[0].service.Begin(ctx, Request{Program: "q", Previous: "never three"})
	is.True(errors.Is(err, ledgerlog.ErrUnavailable)) // absence can't be proved without the partitions
}

func TestPersistTurnRetriesUntilContextEnds(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 2)
	coordinator, other := coordinatorOf(nodes, "p")
	coordinator.store.closed.Store(true)
	other.store.closed.Store(true)
	time.AfterFunc(1500*time.Millisecond, func() { other.store.closed.Store(false) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(other.service.PersistTurn(ctx, ledger.IndexEntry{Program: "p", Turn: "t1", Retention: time.Minute}, []byte("one"), residency.AllowedRegions{}))
}

func TestCoordinatorProvesTurnAbsent(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 2)
	_, other := coordinatorOf(nodes, "p")
	_, err := other.service.Begin(t.Context(), Request{Program: "p", Previous: "never"})
	is.True(errors.Is(err, ledgerlog.ErrNoSuchTurn))
}

func TestStoppedCoordinatorReleasesPartitions(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	coordinator, other := coordinatorOf(nodes, "p")
	mustBegin(t, coordinator, turnOf("p", 1000, 100)).Finish(10)
	time.Sleep(100 * time.Millisecond)
	coordinator.service.Close()
	rest := make([]*node, 0, 2)
	for _, one := range nodes {
		if one != coordinator {
			rest = append(rest, one)
		}
	}
	setViews(rest, rest)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	is.NoErr(coordinator.service.config.Ledger.Stop(ctx))
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Charged, uint64(10))
	is.True(turn.Coordinator != coordinator.identity.Name)
}

func TestLivingOwnerIsGivenTimeToRelease(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	const program = "p"
	// The partition moves to this node when it joins.
	added, _ := coordinatorOf(nodes, program)
	before := slices.DeleteFunc(slices.Clone(nodes), func(one *node) bool { return one == added })
	setViews(before, before)
	owner, _ := coordinatorOf(before, program)
	mustBegin(t, owner, turnOf(program, 1000, 100)).Finish(10)
	time.Sleep(100 * time.Millisecond)
	mustBegin(t, added, turnOf(program, 1000, 100)).Finish(10) // the owner has not received the new view yet
	time.Sleep(100 * time.Millisecond)
	setViews(before, nodes)
	// The next turns take the partition over after its owner has released it.
	next := samePartition(added, program)
	ahead := false
	for i := 0; i < 60 && !ahead; i++ {
		time.Sleep(50 * time.Millisecond)
		turn := mustBegin(t, added, turnOf(next(), 1000, 100))
		ahead = turn.Unlogged
		turn.Finish(10)
	}
	is.True(ahead) // only an owner after a clean release makes unlogged grants
}

// samePartition returns a generator of programs in the partition of one.
func samePartition(at *node, one ledger.ProgramID) func() ledger.ProgramID {
	count := 0
	return func() ledger.ProgramID {
		for {
			count++
			id := ledger.ProgramID(fmt.Sprint("s", count))
			if at.service.config.Ledger.Partition(id) == at.service.config.Ledger.Partition(one) {
				return id
			}
		}
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	chain := []ledger.Location{{Partition: 1, Offset: 2, Size: 3}}
	cacheLocation := ledger.CacheLocation{Instance: "i", Tokens: 6}
	registry := peer.NewRegistry()
	(&Service{}).Register(registry)
	for _, message := range []peer.Message{
		&beginRequest{Request: Request{Program: "p", Budgeted: true, Budget: 1, MaxTurnTokens: 2, Previous: "t"}, Grant: 4},
		&beginResponse{Status: statusBudgetExhausted, Charged: 5, Unlogged: true, First: true, Chain: chain, CacheLocation: cacheLocation, Reason: "r"},
		&finishRequest{Program: "p", Grant: 7, Used: 8},
		&persistRequest{Turn: ledger.IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute, CacheLocation: cacheLocation}, Text: []byte("x")},
		&persistAnywhereRequest{persistRequest: persistRequest{Turn: ledger.IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute, CacheLocation: cacheLocation}, Text: []byte("x")}, later: []byte("y")},
		&persistResponse{Status: statusDone, Location: chain[0], Reason: "r"},
		&finishResponse{Status: statusDone, Reason: "r"}, &progress{}, &readRequest{Chain: chain},
		&findRequest{Turn: "t", Partitions: []int{0, 300}}, &findResponse{Status: statusDone, Chain: chain, CacheLocation: cacheLocation, Reason: "r"}, &readResponse{Status: statusDone, Texts: [][]byte{[]byte("x")}},
	} {
		encoder := wire.NewEncoder(nil)
		message.Encode(encoder)
		decoded, err := registry.Decode(message.Kind(), encoder.Bytes())
		is.NoErr(err)
		is.Equal(decoded, message)
	}
}
