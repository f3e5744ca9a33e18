package models_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/models"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/weightstore"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

const service = "pool"

// site is a set of engines and of nodes, one of which owns the service's shard.
type site struct {
	engines []*engine.Engine
	// unresponsive, if set, does not answer orders.
	unresponsive *engine.Engine
	weights      *weightstore.Store
	demand       *models.Demand
	stop         context.CancelFunc
	group        sync.WaitGroup

	// mutex guards all below.
	mutex sync.Mutex
	owner int
	epoch identity.Epoch
	nodes []*node
}

// node is a model controller with its board.
type node struct {
	site       *site
	index      int
	board      *blackboard.Board
	controller *models.Controller
	// stalled delays the node's orders after the lease check.
	stalled bool
	// losses is how many responses to loads get lost after the order was received.
	losses int
	// unpolled is how many engines, counted from the last, are on the board without
	// a report.
	unpolled int
}

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(index + 1)}), 7000)
}

// inSite runs test in virtual time with two nodes and one engine per list of models.
func inSite(t *testing.T, loaded [][]string, hooks models.Hooks, test func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		s := &site{weights: weightstore.New(weightstore.DefaultOptions()), demand: models.NewDemand(), stop: stop, epoch: 1}
		for index, names := range loaded {
			built, err := engine.New(engine.DefaultParameters(fmt.Sprintf("engine-%d", index), names...))
			if err != nil {
				t.Fatal(err)
			}
			s.engines = append(s.engines, built)
		}
		for index := range 2 {
			n := &node{site: s, index: index, board: blackboard.NewBoard()}
			n.controller = models.New(models.Config{
				ShardCount: 4, Board: n.board, Directory: n, Weights: s.weights, OwnedEpoch: n.ownedEpoch, Demand: s.demand, Hooks: hooks,
			})
			s.nodes = append(s.nodes, n)
			s.group.Go(func() { n.controller.Run(ctx) })
			s.group.Go(func() { n.poll(ctx) })
		}
		defer s.close()
		test(t, s)
	})
}

// close stops all goroutines of the site.
func (s *site) close() {
	for _, n := range s.nodes {
		s.stall(n, false)
	}
	s.stop()
	for _, one := range s.engines {
		one.SetFaults(engine.Faults{})
		one.Close()
	}
	s.group.Wait()
}

func (n *node) ownedEpoch(identity.ShardID) (identity.Epoch, error) {
	n.site.mutex.Lock()
	defer n.site.mutex.Unlock()
	if n.site.owner != n.index {
		return 0, journal.ErrNotOwner
	}
	return n.site.epoch, nil
}

// poll updates the board from the engines, as the back-end controller does.
func (n *node) poll(ctx context.Context) {
	for ctx.Err() == nil {
		for index, one := range n.site.engines {
			report, err := one.Load(ctx)
			n.board.Backends.Update(one.Name(), func(seen blackboard.Backend, _ bool) (blackboard.Backend, bool) {
				seen.Name, seen.Role, seen.Address, seen.Service = one.Name(), siteservices.RoleEngine, address(index), service
				seen.Zone = identity.Zone(fmt.Sprintf("zone-%d", index%2))
				seen.Health = scheduling.Ejected
				if index >= len(n.site.engines)-n.site.unpolledBy(n) {
					seen.Health = scheduling.Healthy
				} else if err == nil {
					seen.Health, seen.Report, seen.ReportedAt, seen.Leaving = scheduling.Healthy, report, time.Now(), report.Draining
				}
				return seen, true
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// Engine implements backend.Directory.
func (n *node) Engine(at netip.AddrPort) backend.Engine {
	return stallingEngine{Engine: n.site.engines[at.Addr().As4()[3]-1], node: n}
}

// Application implements backend.Directory.
func (n *node) Application(netip.AddrPort) backend.Application { return nil }

type stallingEngine struct {
	backend.Engine
	node *node
}

// Order implements backend.Engine. The order of a stalled node is sent once the
// node resumes, as after a process pause.
func (e stallingEngine) Order(ctx context.Context, order backend.Order) error {
	for e.node.site.isStalled(e.node) {
		time.Sleep(10 * time.Millisecond)
	}
	if silent := e.node.site.unresponsive; silent != nil && e.Engine == backend.Engine(silent) {
		return backend.ErrOutcomeUnknown
	}
	load := order.Kind == backend.OrderLoadModel || order.Kind == backend.OrderLoadAdapter
	if load && e.node.site.loses(e.node) {
		e.node.site.group.Go(func() { _ = e.Engine.Order(ctx, order) })
		time.Sleep(time.Millisecond)
		return backend.ErrOutcomeUnknown
	}
	return e.Engine.Order(ctx, order)
}

// setUnpolled excludes the last count engines from the polls of all nodes.
func (s *site) setUnpolled(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, n := range s.nodes {
		n.unpolled = count
	}
}

func (s *site) unpolledBy(n *node) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return n.unpolled
}

// loses reports whether the next response gets lost, and counts it.
func (s *site) loses(n *node) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n.losses--
	return n.losses >= 0
}

func (s *site) isStalled(n *node) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return n.stalled
}

func (s *site) stall(n *node, stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n.stalled = stalled
}

// callUntil sends sequential calls to the first engine until ended.
func (s *site) callUntil(ended time.Time, caller int) {
	one := s.demand.Count(s.nodes[0]).Engine(address(0))
	for sequence := identity.Sequence(1); time.Now().Before(ended); sequence++ {
		id := identity.CallID{Program: identity.ProgramID(fmt.Sprintf("p-%d", caller)), Branch: identity.MainBranch, Sequence: sequence}
		_, _ = one.Generate(context.Background(), backend.GenerateRequest{
			Stream: identity.StreamID{Call: id, Epoch: 1}, Model: "m", MaxTokens: 64,
			Messages: []backend.Message{{Role: "user", Content: "x"}},
		}, func(backend.Token) error { return nil })
	}
}

// takeOver moves the service's shard to another node in a new epoch.
func (s *site) takeOver(owner int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.owner, s.epoch = owner, s.epoch+1
}

// publish puts a table with these rows in force on all nodes.
func (s *site) publish(rows ...table.Model) {
	next := &table.Table{Models: map[string]table.Model{}, Adapters: map[string]table.Adapter{}}
	for _, row := range rows {
		row.Service, row.Weight = service, 1
		next.Models[row.Name] = row
	}
	s.put(next)
}

func (s *site) put(next *table.Table) {
	for _, n := range s.nodes {
		n.board.Table.Store(next)
	}
}

// loads returns the loads of a subject that engines began, over all engines.
func (s *site) loads(subject string) (begun []backend.Order) {
	for _, one := range s.engines {
		for _, record := range one.Truth().Orders {
			load := record.Order.Kind == backend.OrderLoadModel || record.Order.Kind == backend.OrderLoadAdapter
			if record.Done && load && record.Order.Subject == subject {
				begun = append(begun, record.Order)
			}
		}
	}
	return begun
}

// holders counts the reachable engines that report the model as loaded.
func (s *site) holders(model string) (count int) {
	for _, one := range s.engines {
		report, err := one.Load(context.Background())
		if err != nil {
			continue
		}
		for _, name := range report.Models {
			if name == model {
				count++
			}
		}
	}
	return count
}
