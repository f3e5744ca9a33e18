package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/guardedstore"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
)

// chainRun is one run of TestAcknowledgedChainsAreReadable.
type chainRun struct {
	random *rand.Rand
	log    *store.Store
	// calm makes the store and the network answer every call. Reads take readTime then.
	calm     atomic.Bool
	readTime atomic.Int64
	// started counts the nodes.
	started int
	turns   sync.WaitGroup

	// mutex guards the fields below and random.
	mutex sync.Mutex
	nodes []*chainNode
	// acknowledged contains the texts of the chains of acknowledged turns.
	acknowledged map[ledger.TurnID][]string
	names        []ledger.TurnID
	failure      string
}

// draw returns a random number below limit.
func (r *chainRun) draw(limit int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.IntN(limit)
}

func (r *chainRun) fail(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failure == "" {
		r.failure = fmt.Sprintf(format, arguments...)
	}
}

// chainNode is a node with its access to the store and to other nodes.
type chainNode struct {
	logstore.Store
	run      *chainRun
	service  *Service
	registry *peer.Registry
	identity identity.Node
	// ended is set once the node has lost power.
	ended atomic.Bool
}

// Append implements logstore.Store. Calls are refused, lost before or after their effect, or
// take effect late. Those of an ended node are not sent.
func (n *chainNode) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
	if n.ended.Load() {
		return logstore.AppendResult{First: 1 << 40}, nil
	}
	late := time.Duration(n.run.draw(3000)) * time.Millisecond
	what := n.run.draw(10)
	switch {
	case n.run.calm.Load() || what > 4:
		return n.Store.Append(ctx, request)
	case what == 0:
		return logstore.AppendResult{}, logstore.ErrUnavailable
	case what == 1:
		time.AfterFunc(late, func() { _, _ = n.Store.Append(context.Background(), request) })
	case what == 2:
		_, _ = n.Store.Append(ctx, request)
	case what == 3:
		time.Sleep(late / 10)
		return n.Store.Append(ctx, request)
	}
	<-ctx.Done()
	return logstore.AppendResult{}, logstore.ErrOutcomeUnknown
}

// Read implements logstore.Store. Calls are refused, slow or not answered.
func (n *chainNode) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	what, slow := n.run.draw(10), time.Duration(n.run.draw(300))*time.Millisecond
	switch {
	case n.ended.Load() || !n.run.calm.Load() && what == 0:
		return logstore.ReadResult{}, logstore.ErrUnavailable
	case n.run.calm.Load():
		time.Sleep(time.Duration(n.run.readTime.Load()))
	case what > 3:
	case what == 1:
		<-ctx.Done()
		return logstore.ReadResult{}, logstore.ErrUnavailable
	default:
		time.Sleep(slow)
	}
	return n.Store.Read(ctx, request)
}

// Call implements peer.Client without a network.
func (n *chainNode) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	target := n.run.node(int(address.Port()))
	if target.identity.PeerAddress != address || target.ended.Load() || !n.run.calm.Load() && n.run.draw(20) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response, err := target.registry.Handler(request.Kind()).Handle(ctx, request, func(part peer.Message) error {
		if onPart == nil || target.ended.Load() {
			return nil
		}
		return onPart(part)
	})
	if target.ended.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return response, err
}

// start starts a new incarnation of the node at a place.
func (r *chainRun) start(place int) {
	r.started++
	n := &chainNode{Store: r.log, run: r, registry: peer.NewRegistry()}
	n.identity = identity.Node{
		Name: identity.NodeName(fmt.Sprint("n", place)), Incarnation: identity.Incarnation(r.started),
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(r.started >> 8), byte(r.started)}), uint16(place)),
	}
	quiet := slog.New(slog.DiscardHandler)
	guarded := guardedstore.New(guardedstore.Config{Store: n, Logger: quiet})
	n.service = New(Config{
		Self: n.identity.Name, Peers: n, StoreAvailable: guarded.NodeAvailable, Logger: quiet,
		Ledger: ledgerlog.New(ledgerlog.Config{
			Store: guarded, Availability: guarded, Topic: "ledger", TextTopic: "texts", Partitions: partitions, Retain: time.Hour,
			Producer: string(IncarnationOf(n.identity.Reference())), RecordBytes: 40, CallBytes: 100, CacheBytes: r.draw(400), IndexTextBytes: 4 << 10, Logger: quiet,
		}),
	})
	n.service.Register(n.registry)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.nodes[place] != nil {
		r.nodes[place].ended.Store(true)
	}
	r.nodes[place] = n
}

// node returns the present node at a place.
func (r *chainRun) node(place int) *chainNode {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.nodes[place]
}

// setViews gives all nodes a view with all of them.
func (r *chainRun) setViews() {
	view := membership.View{}
	for _, one := range r.nodes {
		view.Members = append(view.Members, membership.Member{Node: one.identity, Status: membership.Alive})
	}
	for _, one := range r.nodes {
		one.service.SetView(view)
	}
}

// loseAll makes all nodes lose power and starts new ones.
func (r *chainRun) loseAll() {
	for place := range r.nodes {
		r.start(place)
	}
	r.setViews()
}

// previous returns an acknowledged turn and the texts of its chain, or no turn.
func (r *chainRun) previous() (ledger.TurnID, []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.names) == 0 || r.random.IntN(5) == 0 {
		return "", nil
	}
	turn := r.names[len(r.names)-1-r.random.IntN(min(len(r.names), 6))]
	return turn, r.acknowledged[turn]
}

// history returns the chain of a turn and its texts.
func (n *chainNode) history(ctx context.Context, program ledger.ProgramID, turn ledger.TurnID) (chain []ledger.Location, texts []string, err error) {
	begun, err := n.service.Begin(ctx, Request{Program: program, Previous: turn})
	if err != nil {
		return nil, nil, err
	}
	found, err := n.service.Texts(ctx, program, begun.Chain, residency.AllowedRegions{})
	for _, text := range found {
		texts = append(texts, string(text))
	}
	return begun.Chain, texts, err
}

// turn runs one turn at a random node. Turns may fail, but not with a wrong history.
func (r *chainRun) turn(name ledger.TurnID) {
	n := r.node(r.draw(len(r.nodes)))
	program := ledger.ProgramID(fmt.Sprint("p", r.draw(6)))
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	previous, want := r.previous()
	var chain []ledger.Location
	if previous != "" {
		found, texts, err := n.history(ctx, program, previous)
		switch {
		case errors.Is(err, ledgerlog.ErrNoSuchTurn):
			r.fail("acknowledged turn %s is absent: %v", previous, err)
		case err == nil && fmt.Sprint(texts) != fmt.Sprint(want):
			r.fail("turn %s has the texts %q, want %q", previous, texts, want)
		}
		if err != nil {
			return
		}
		chain = found
	}
	text := strings.Repeat(string(name)+".", r.draw(60))
	entry := ledger.IndexEntry{Program: program, Turn: name, Chain: chain, Retention: time.Hour}
	if n.service.PersistTurn(ctx, entry, []byte(text), residency.AllowedRegions{}) == nil && !n.ended.Load() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.acknowledged[name] = append(want[:len(want):len(want)], text)
		r.names = append(r.names, name)
	}
}

// step makes the move that draw selects.
func (r *chainRun) step(number, draw int) {
	switch draw % 24 {
	case 0:
		r.start(draw / 24 % len(r.nodes))
		r.setViews()
	case 1:
		r.loseAll()
	case 2, 3:
		r.calm.Store(draw/24%2 == 0)
	default:
		for i := range 1 + draw/24%4 {
			r.turns.Go(func() { r.turn(ledger.TurnID(fmt.Sprintf("t%d-%d", number, i))) })
		}
	}
	time.Sleep(time.Duration(draw/100%500) * time.Millisecond)
}

// check reads all acknowledged turns at new nodes with a store that answers, in the tries that a
// client has.
func (r *chainRun) check() {
	const tries, pause, limit = 12, 400 * time.Millisecond, 1300 * time.Millisecond
	for turn, want := range r.acknowledged {
		var err error
		for range tries {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			var texts []string
			if _, texts, err = r.nodes[r.draw(len(r.nodes))].history(ctx, "another", turn); err == nil && fmt.Sprint(texts) != fmt.Sprint(want) {
				r.fail("after the loss turn %s has the texts %q, want %q", turn, texts, want)
			}
			cancel()
			if err == nil {
				break
			}
			time.Sleep(pause)
		}
		if err != nil {
			r.fail("after the loss turn %s can't be read: %v", turn, err)
		}
	}
}

// play runs the moves and returns the first failure.
func (r *chainRun) play(draws []int) string {
	for place := range r.nodes {
		r.start(place)
	}
	r.setViews()
	time.Sleep(singleNodeDelay)
	for number, draw := range draws {
		r.step(number, draw)
	}
	r.loseAll() // turns are in progress
	r.turns.Wait()
	r.calm.Store(true)
	r.readTime.Store(int64(r.draw(150)) * int64(time.Millisecond))
	r.loseAll()
	r.check()
	for _, one := range r.nodes {
		one.ended.Store(true)
	}
	time.Sleep(time.Minute) // pending calls end
	return r.failure
}

// TestAcknowledgedChainsAreReadable guards against turns that were acknowledged and that no node
// can read after all nodes were lost, whatever became of appends and reads before.
func TestAcknowledgedChainsAreReadable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		draws := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 5, 40).Draw(rt, "draws")
		failure := ""
		synctest.Test(t, func(*testing.T) {
			run := &chainRun{
				random: rand.New(rand.NewPCG(seed, 0)), log: store.New(), nodes: make([]*chainNode, 4), acknowledged: map[ledger.TurnID][]string{},
			}
			failure = run.play(draws)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
