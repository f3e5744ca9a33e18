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
	// store is this node's own way to the log.
	store *gate
}

// gate is a way to the store that can be closed for one node.
type gate struct {
	*store.Store
	closed atomic.Bool
	// hang makes appends wait for the caller's end.
	hang atomic.Bool
	// appended counts the appends on it, asked the reads, answered or not.
	appended, asked atomic.Int32
	// read holds the partitions of the ledger that were read on it, texts counts the reads
	// of turns' texts.
	read  sync.Map
	texts atomic.Int32
}

// answers tells whether the store answers the node.
func (g *gate) answers() bool { return !g.closed.Load() && !g.hang.Load() }

// answeringGate lets all calls out and tells whether the store answers the node.
type answeringGate struct{ store *gate }

func (a answeringGate) Await(context.Context, logstore.Partition) error { return nil }
func (a answeringGate) Available(logstore.Partition) bool               { return a.store.answers() }
func (a answeringGate) Recovered() <-chan struct{}                      { return nil }

func (g *gate) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
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

func (g *gate) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	g.asked.Add(1)
	if g.closed.Load() {
		return logstore.ReadResult{}, logstore.ErrUnavailable
	}
	if request.Partition.Topic == "texts" {
		g.texts.Add(1)
	}
	g.read.Store(request.Partition.Number, true)
	return g.Store.Read(ctx, request)
}

func startCluster(t *testing.T, count int) []*node { return startClusterThat(t, count, false) }

// startClusterThat starts nodes whose ledgers know whether the store answers them, or not.
func startClusterThat(t *testing.T, count int, knows bool) []*node {
	log := store.New()
	var nodes []*node
	for i := range count {
		nodes = append(nodes, startNode(t, log, fmt.Sprintf("n%d", i), knows))
	}
	show(nodes, nodes)
	return nodes
}

func startNode(t *testing.T, log *store.Store, name string, knows bool) *node {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := peer.NewRegistry()
	made := &node{transport: peer.NewTransport(registry, peer.Options{Logger: slog.New(slog.DiscardHandler)}), store: &gate{Store: log}}
	made.identity = identity.Node{Name: identity.NodeName(name), Incarnation: 1, PeerAddress: netip.MustParseAddrPort(listener.Addr().String())}
	var knowing ledgerlog.Availability
	if knows {
		knowing = answeringGate{made.store}
	}
	made.service = New(Config{
		StoreAvailable: made.store.answers,
		Self:           made.identity.Name, Peers: made.transport, Logger: slog.New(slog.DiscardHandler),
		Ledger: ledgerlog.New(ledgerlog.Config{
			Store: made.store, Topic: "ledger", TextTopic: "texts", Partitions: partitions,
			Availability: knowing,
			Producer:     string(IncarnationOf(made.identity.Reference())), RecordBytes: 1 << 16, CallBytes: 1 << 20, CacheBytes: 1, IndexTextBytes: 1 << 16,
			Logger: slog.New(slog.DiscardHandler),
		}),
	})
	made.service.Register(registry)
	go func() { _ = made.transport.Serve(listener) }()
	t.Cleanup(made.transport.Close)
	return made
}

// show gives some nodes a view of all of members.
func show(nodes, members []*node) {
	view := membership.View{}
	for _, member := range members {
		view.Members = append(view.Members, membership.Member{Node: member.identity, Status: membership.Alive})
	}
	for _, one := range nodes {
		one.service.SetView(view)
	}
}

func turnOf(program ledger.ProgramID, budget, most uint32) Request {
	return Request{Program: program, Budgeted: true, Budget: budget, MaxTurnTokens: most}
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

// homeOf returns the node that is at home, and one that isn't.
func homeOf(nodes []*node, program ledger.ProgramID) (*node, *node) {
	var home, other *node
	for _, one := range nodes {
		if one.service.isHome(one.service.config.Ledger.Partition(program)) {
			home = one
		} else {
			other = one
		}
	}
	return home, other
}

func TestAllNodesAgreeOnOneHome(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 5)
	for partition := range partitions {
		homes := 0
		for _, one := range nodes {
			if one.service.isHome(partition) {
				homes++
			}
		}
		is.Equal(homes, 1)
	}
}

func TestTurnsFromEveryNodeAreCountedAtTheHome(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	home, _ := homeOf(nodes, "p")
	for i := range 6 {
		turn := mustBegin(t, nodes[i%3], turnOf("p", 1000, 100))
		is.Equal(turn.Coordinator, home.identity.Name)
		turn.Finish(50)
		time.Sleep(10 * time.Millisecond) // the end is told in the background
	}
	is.True(home.store.Calls("append") < 6)
	is.Equal(home.store.Calls("read"), 1) // the first look, which tells who owns the partition
}

func TestBudgetHoldsWhereTheHomeIsGone(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	home, other := homeOf(nodes, "p")
	mustBegin(t, home, turnOf(samePartition(home, "p")(), 200, 100)).Finish(0)
	time.Sleep(100 * time.Millisecond) // the home owns the partition, and so reserves behind the first turn
	mustBegin(t, home, turnOf("p", 200, 100)).Finish(100)
	time.Sleep(400 * time.Millisecond) // its reservation stands in the log
	home.transport.Close()
	began := time.Now()
	turn := mustBegin(t, other, turnOf("p", 200, 100))
	is.Equal(turn.Coordinator, other.identity.Name)
	is.True(time.Since(began) < time.Second)
	// What the home had reserved can't be told from what it handed out. One turn more is
	// within what the program may be handed in all; after it the budget is neither handed
	// out again nor called spent.
	mustBegin(t, other, turnOf("p", 200, 100)).Finish(100)
	_, err := other.service.Begin(t.Context(), turnOf("p", 200, 100))
	is.True(errors.Is(err, ledgerlog.ErrBudgetReserved))
}

// forgetful is a way to other nodes that loses answers to the beginning of turns.
type forgetful struct {
	peer.Client
	lose atomic.Bool
}

func (f *forgetful) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	answer, err := f.Client.Call(ctx, address, request, onPart)
	if _, begins := request.(*begin); begins && f.lose.Load() {
		return nil, errors.New("answer lost")
	}
	return answer, err
}

func TestTurnWhoseBeginningIsLostHoldsNoBudget(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 2)
	home, other := homeOf(nodes, "p")
	way := &forgetful{Client: other.transport}
	other.service.config.Peers = way
	way.lose.Store(true)
	// The budget holds one turn, which the home has begun by now for nobody.
	_, err := other.service.Begin(t.Context(), turnOf("p", 900, 589))
	var spent *ledgerlog.BudgetExhaustedError
	is.True(!errors.As(err, &spent))
	is.True(errors.Is(err, ledgerlog.ErrBudgetReserved))
	way.lose.Store(false)
	time.Sleep(avoidFor + 100*time.Millisecond)
	turn := mustBegin(t, other, turnOf("p", 900, 589))
	is.Equal(turn.Coordinator, home.identity.Name)
	turn.Finish(589)
}

func TestHomeWithoutTheStoreIsHelpedOut(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	home, other := homeOf(nodes, "p")
	home.store.closed.Store(true)
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Coordinator, other.identity.Name)
}

func TestHomeThatWaitsForTheStoreIsWaitedFor(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	home, other := homeOf(nodes, "p")
	// Two calls, for the ownership and the reservation, must fit into the home's time.
	home.store.Fail(store.Fault{Delay: hedgeAfter + 20*time.Millisecond})
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Coordinator, home.identity.Name)
	is.True(!other.service.avoided(home.identity.Name))
}

// TestWorkOfAHomeThatLivesIsNotDoneTwice lets the store take longer than a home may be
// silent: the asking node, which would have to read the partition too, waits.
func TestWorkOfAHomeThatLivesIsNotDoneTwice(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	home, other := homeOf(nodes, "p")
	home.store.Fail(store.Fault{Delay: patientAfter + 3*workingAfter})
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Coordinator, home.identity.Name)
	is.Equal(other.store.appended.Load(), int32(0))
}

func TestHomeThatTheStoreDoesNotAnswerSaysNothing(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	home, other := homeOf(nodes, "p")
	home.store.hang.Store(true)
	began := time.Now()
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Coordinator, other.identity.Name)
	is.True(time.Since(began) < patientAfter)
	is.True(other.service.avoided(home.identity.Name))
}

func TestTurnIsKeptAndFoundThroughTheHome(t *testing.T) {
	for _, cut := range []bool{false, true} {
		is := is.New(t)
		nodes := startCluster(t, 3)
		_, other := homeOf(nodes, "p")
		other.store.closed.Store(cut)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		is.NoErr(other.service.PersistTurn(ctx, ledger.IndexEntry{Program: "p", Turn: "t1", Retention: time.Minute}, []byte("one"), residency.AllowedRegions{}))
		turn := mustBegin(t, other, Request{Program: "p", Previous: "t1"})
		is.Equal(len(turn.Chain), 1)
		texts, err := other.service.Texts(ctx, "p", turn.Chain, residency.AllowedRegions{})
		is.NoErr(err)
		is.Equal(string(texts[0]), "one")
		is.NoErr(other.service.PersistTurn(ctx, ledger.IndexEntry{Program: "p", Turn: "t2", Chain: turn.Chain, Retention: time.Minute}, []byte("two"), residency.AllowedRegions{}))
		is.Equal(len(mustBegin(t, nodes[0], Request{Program: "p", Previous: "t2"}).Chain), 2)
	}
}

// TestTurnOfAnotherProgramIsLookedForByTheHomes: nobody reads a partition that is at home
// elsewhere, whether the turn is found or proved absent.
func TestTurnOfAnotherProgramIsLookedForByTheHomes(t *testing.T) {
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
			is.True(one.service.isHome(partition.(int)))
			return true
		})
	}
	cut, _ := homeOf(nodes, "p")
	var kept []int
	for partition := range partitions {
		if cut.service.isHome(partition) {
			kept = append(kept, partition)
		}
	}
	for _, one := range nodes {
		one.store.read.Clear()
	}
	cut.store.closed.Store(true)
	_, err := nodes[0].service.Begin(ctx, Request{Program: "q", Previous: "never too"})
	if errors.Is(err, ledgerlog.ErrNoSuchTurn) { // the proof needs that home's partitions, so others have read them since
		for _, partition := range kept {
			is.True(slices.ContainsFunc(nodes, func(one *node) bool {
				_, read := one.store.read.Load(partition)
				return one != cut && read
			}))
		}
	} else {
		is.True(errors.Is(err, ledgerlog.ErrUnavailable))
	}
	for _, one := range nodes {
		one.store.closed.Store(true)
	}
	_, err = nodes[0].service.Begin(ctx, Request{Program: "q", Previous: "never three"})
	is.True(errors.Is(err, ledgerlog.ErrUnavailable)) // no proof without any partition
}

func TestTurnIsTriedToBeKeptAsLongAsTheClientWaits(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 2)
	home, other := homeOf(nodes, "p")
	home.store.closed.Store(true)
	other.store.closed.Store(true)
	time.AfterFunc(1500*time.Millisecond, func() { other.store.closed.Store(false) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(other.service.PersistTurn(ctx, ledger.IndexEntry{Program: "p", Turn: "t1", Retention: time.Minute}, []byte("one"), residency.AllowedRegions{}))
}

func TestUnknownTurnIsProvedAbsentByTheHome(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 2)
	_, other := homeOf(nodes, "p")
	_, err := other.service.Begin(t.Context(), Request{Program: "p", Previous: "never"})
	is.True(errors.Is(err, ledgerlog.ErrNoSuchTurn))
}

func TestLeavingHomeGivesItsPartitionsUp(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	home, other := homeOf(nodes, "p")
	mustBegin(t, home, turnOf("p", 1000, 100)).Finish(10)
	time.Sleep(100 * time.Millisecond)
	home.service.Close()
	rest := make([]*node, 0, 2)
	for _, one := range nodes {
		if one != home {
			rest = append(rest, one)
		}
	}
	show(rest, rest)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	is.NoErr(home.service.config.Ledger.Stop(ctx))
	turn := mustBegin(t, other, turnOf("p", 1000, 100))
	is.Equal(turn.Charged, uint64(10))
	is.True(turn.Coordinator != home.identity.Name)
}

func TestLivingOwnerIsGivenTimeToRelease(t *testing.T) {
	is := is.New(t)
	nodes := startCluster(t, 3)
	const program = "p"
	// The partition moves to this node when that is added.
	added, _ := homeOf(nodes, program)
	before := slices.DeleteFunc(slices.Clone(nodes), func(one *node) bool { return one == added })
	show(before, before)
	owner, _ := homeOf(before, program)
	mustBegin(t, owner, turnOf(program, 1000, 100)).Finish(10)
	time.Sleep(100 * time.Millisecond)
	mustBegin(t, added, turnOf(program, 1000, 100)).Finish(10) // the owner has not heard of it yet
	time.Sleep(100 * time.Millisecond)
	show(before, nodes)
	// The next turns take the partition over, and find it released.
	next := samePartition(added, program)
	ahead := false
	for i := 0; i < 60 && !ahead; i++ {
		time.Sleep(50 * time.Millisecond)
		turn := mustBegin(t, added, turnOf(next(), 1000, 100))
		ahead = turn.Unlogged
		turn.Finish(10)
	}
	is.True(ahead) // only an owner after a clean end hands out tokens ahead of the log
}

// samePartition returns programs of the partition of one.
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

func TestMessagesSurviveEncoding(t *testing.T) {
	is := is.New(t)
	chain := []ledger.Location{{Partition: 1, Offset: 2, Size: 3}}
	resident := ledger.CacheLocation{Instance: "i", Tokens: 6}
	registry := peer.NewRegistry()
	(&Service{}).Register(registry)
	for _, message := range []peer.Message{
		&begin{Request: Request{Program: "p", Budgeted: true, Budget: 1, MaxTurnTokens: 2, Previous: "t"}, Grant: 4},
		&begun{Status: statusSpent, Charged: 5, Ahead: true, First: true, Chain: chain, Resident: resident, Reason: "r"},
		&finish{Program: "p", Grant: 7, Used: 8},
		&keep{Turn: ledger.IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute, CacheLocation: resident}, Text: []byte("x")},
		&keepAnywhere{keep: keep{Turn: ledger.IndexEntry{Program: "p", Turn: "t", Chain: chain, Retention: time.Minute, CacheLocation: resident}, Text: []byte("x")}, later: []byte("y")},
		&kept{Status: statusDone, Location: chain[0], Reason: "r"},
		&done{Status: statusDone, Reason: "r"}, &working{}, &read{Chain: chain},
		&find{Turn: "t", Partitions: []int{0, 300}}, &foundTurn{Status: statusDone, Chain: chain, Resident: resident, Reason: "r"}, &texts{Status: statusDone, Texts: [][]byte{[]byte("x")}},
	} {
		encoder := wire.NewEncoder(nil)
		message.Encode(encoder)
		decoded, err := registry.Decode(message.Kind(), encoder.Bytes())
		is.NoErr(err)
		is.Equal(decoded, message)
	}
}
