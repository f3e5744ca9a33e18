package scale

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/backends"
	"stepseam.example/stepseam/internal/controller/members"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
)

// hollow is one life of a node that has all control code of a real one and
// nobody to serve.
type hollow struct {
	node     identity.Node
	link     Link
	board    *blackboard.Board
	members  *members.Controller
	tables   *tables.Controller
	journal  *journal.Manager
	backends *backends.Controller
	log      *countingLog
	polls    *countingDirectory
	machines []siteservices.Machine
	stop     context.CancelFunc
	loops    sync.WaitGroup
}

// hollowOptions is what all hollow nodes of a run share.
type hollowOptions struct {
	shards   int
	machines []siteservices.Machine
	seeds    []netip.AddrPort
	seed     uint64
}

// newHollow builds one node, which start starts.
func newHollow(fabric Fabric, node identity.Node, log siteservices.Log, options hollowOptions) (*hollow, error) {
	registry := peer.NewRegistry()
	link, err := fabric.Attach(node, registry)
	if err != nil {
		return nil, err
	}
	h := &hollow{
		node: link.Node(), link: link, board: blackboard.NewBoard(),
		log: &countingLog{Log: log}, polls: &countingDirectory{}, machines: options.machines,
	}
	quiet := slog.New(slog.DiscardHandler)
	random := &lockedFloats{random: rand.New(rand.NewPCG(options.seed, uint64(h.node.Incarnation)))}
	h.journal = journal.New(journal.Config{
		Self: h.node, ShardCount: options.shards, Log: h.log, Peers: link.Client(),
		Members: h.board.Members, Host: hollowHost{}, Logger: quiet,
		Random: rand.NewPCG(options.seed, uint64(h.node.Incarnation)),
	})
	h.journal.Register(registry)
	h.members = members.New(members.Config{
		Self: h.node, Board: h.board, Seeds: options.seeds, Conn: link.Packets(), RandomSeed: options.seed,
		OwnedShards: func() int { return len(h.journal.Owned()) }, Logger: quiet,
	})
	h.tables = tables.New(tables.Config{
		Self: h.node.Name, Log: h.log, Peers: link.Client(), Board: h.board, Logger: quiet, Random: random.next,
	})
	h.tables.Register(registry)
	h.backends = backends.New(backends.Config{
		Node: h.node.Name, Board: h.board, Directory: h.polls, Random: random.next, Logger: quiet,
	})
	return h, nil
}

// start begins the node's life.
func (h *hollow) start() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.link.Serve()
	loops := []func(context.Context) error{h.members.Run, h.tables.Run, h.journal.Run}
	if len(h.machines) > 0 {
		loops = append(loops, func(ctx context.Context) error { h.backends.Run(ctx); return nil })
	}
	for _, loop := range loops {
		h.loops.Go(func() { _ = loop(ctx) }) // a killed node's loops end with errors of their sockets
	}
	h.board.Machines.Store(h.machines)
}

// kill ends the node at once: nothing that it does after reaches anybody. Its
// loops end by themselves.
func (h *hollow) kill() {
	h.link.Kill()
	h.stop()
}

// drain is the planned stop.
func (h *hollow) drain(ctx context.Context) error {
	h.board.Draining.Store(true)
	h.members.AnnounceLeaving()
	err := h.journal.Drain(ctx)
	h.stop()
	h.await()
	h.link.Kill()
	if err != nil {
		return fmt.Errorf("scale: drain %s: %w", h.node.Name, err)
	}
	return nil
}

// endLimit bounds the wait for a node's loops; one that hangs must not keep the
// run from its end.
const endLimit = 5 * time.Second

// await waits for the node's loops to end.
func (h *hollow) await() {
	ended := make(chan struct{})
	go func() {
		h.loops.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(endLimit):
	}
}

// tableVersion returns the version in force here.
func (h *hollow) tableVersion() uint64 {
	if current := h.board.Table.Load(); current != nil {
		return uint64(current.Version)
	}
	return 0
}

// hollowHost owns shards of programs that nobody runs.
type hollowHost struct{}

// NewStateMachine implements journal.Host.
func (hollowHost) NewStateMachine(identity.ShardID) journal.StateMachine { return &hollowMachine{} }

// Opened implements journal.Host.
func (hollowHost) Opened(journal.Shard, journal.StateMachine) {}

// Checkpoint implements journal.Host.
func (hollowHost) Checkpoint(shard journal.Shard) { _, _ = shard.Enqueue() }

// Closing implements journal.Host.
func (hollowHost) Closing(context.Context, journal.Shard) {}

// hollowMachine counts records.
type hollowMachine struct{ records uint64 }

// Apply implements journal.StateMachine.
func (m *hollowMachine) Apply([]byte) error {
	m.records++
	return nil
}

// Snapshot implements journal.StateMachine.
func (m *hollowMachine) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(nil, m.records), nil
}

// Restore implements journal.StateMachine.
func (m *hollowMachine) Restore(snapshot []byte) error {
	if len(snapshot) != 8 {
		return fmt.Errorf("scale: snapshot of %d bytes", len(snapshot))
	}
	m.records = binary.BigEndian.Uint64(snapshot)
	return nil
}

// lockedFloats draws from 0 to 1 for several goroutines.
type lockedFloats struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (l *lockedFloats) next() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.random.Float64()
}

// countingLog counts one node's requests to the log service.
type countingLog struct {
	siteservices.Log
	requests, appends, bytes atomic.Int64
}

// Append implements siteservices.Log.
func (c *countingLog) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	c.requests.Add(1)
	c.appends.Add(1)
	c.countBytes(records)
	return c.Log.Append(ctx, stream, records)
}

// Read implements siteservices.Log.
func (c *countingLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	c.requests.Add(1)
	result, err := c.Log.Read(ctx, stream, from, limit, wait)
	c.countBytes(result.Records)
	return result, err
}

func (c *countingLog) countBytes(records [][]byte) {
	for _, record := range records {
		c.bytes.Add(int64(len(record)))
	}
}

// countingDirectory hands out back ends that answer polls at once, and counts
// the polls. They take no work: nobody sends any.
type countingDirectory struct {
	backend.Directory
	polls atomic.Int64
}

// Engine implements backend.Directory.
func (c *countingDirectory) Engine(netip.AddrPort) backend.Engine {
	return hollowEngine{polls: &c.polls}
}

type hollowEngine struct {
	backend.Engine
	polls *atomic.Int64
}

// Load implements backend.Engine.
func (e hollowEngine) Load(context.Context) (backend.LoadReport, error) {
	e.polls.Add(1)
	return backend.LoadReport{CacheCapacityTokens: 1, AsOf: time.Now()}, nil
}
