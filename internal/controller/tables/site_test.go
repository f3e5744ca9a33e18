package tables_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

const sheet = `kind,name,version,service,model,context_tokens,budget_tokens,max_calls,max_duration,idle_timeout,call_timeout,max_tokens
model,asesor,1,modelos-asesor,,32768,,,,,,
class,applicant,,,asesor,,60000,%d,1h,15m,90s,1024
`

func sheetOf(number int) []byte { return fmt.Appendf(nil, sheet, number+1) }

// publisher is the function under test: Controller.Publish or a faulty variant.
type publisher func(ctx context.Context, n *node, p tables.Publication) (table.Entry, error)

func publishCorrectly(ctx context.Context, n *node, p tables.Publication) (table.Entry, error) {
	return n.controller.Publish(ctx, p)
}

// site is a complete site in memory: the production controllers over an emulated
// log and network, in one synctest bubble.
type site struct {
	t       *testing.T
	random  *rand.Rand
	log     *logservice.Service
	network *network.Network
	publish publisher
	// onStart is called for each new incarnation; faulty variants set it.
	onStart func(n *node)
	// hints is true if membership updates include the members' table versions.
	hints bool

	ctx        context.Context
	names      []identity.NodeName
	background sync.WaitGroup

	mutex sync.Mutex
	nodes map[identity.NodeName]*node
	// last is the last version in force under a node name, over its incarnations.
	last map[identity.NodeName]table.Version
	// publicationIDs maps versions to the publication that was observed in force.
	publicationIDs map[table.Version]string
	lastFault      time.Time
	violations     []string
	reports        []report
	publication    int
}

// node is one incarnation of a node.
type node struct {
	site       *site
	self       identity.Node
	board      *blackboard.Board
	controller *tables.Controller
	endpoint   *network.Endpoint
	log        siteservices.Log
	cancel     context.CancelFunc
	started    time.Time
}

// report is the result that one publisher received.
type report struct {
	publication tables.Publication
	entry       table.Entry
	err         error
}

// nodeLog is a node's view of the log. Requests and responses are lost while the
// node is paused or killed.
type nodeLog struct {
	endpoint *network.Endpoint
	view     *logservice.View
}

func (l nodeLog) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	if err := l.endpoint.Gate(ctx); err != nil {
		return 0, errors.Join(siteservices.ErrUnavailable, err)
	}
	offset, err := l.view.Append(ctx, stream, records)
	if gateErr := l.endpoint.Gate(context.Background()); gateErr != nil {
		return 0, errors.Join(siteservices.ErrOutcomeUnknown, gateErr)
	}
	return offset, err
}

func (l nodeLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	if err := l.endpoint.Gate(ctx); err != nil {
		return siteservices.ReadResult{}, errors.Join(siteservices.ErrUnavailable, err)
	}
	result, err := l.view.Read(ctx, stream, from, limit, wait)
	if gateErr := l.endpoint.Gate(context.Background()); gateErr != nil {
		return siteservices.ReadResult{}, errors.Join(siteservices.ErrOutcomeUnknown, gateErr)
	}
	return result, err
}

func newSite(t *testing.T, seed uint64, size int) *site {
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), log: logservice.New(seed), network: network.New(seed),
		publish: publishCorrectly, onStart: func(*node) {}, ctx: ctx,
		nodes: map[identity.NodeName]*node{}, last: map[identity.NodeName]table.Version{},
		publicationIDs: map[table.Version]string{},
	}
	s.network.SetLatency("a", "a", 1500*time.Microsecond)
	for i := range size {
		s.names = append(s.names, identity.NodeName(fmt.Sprintf("n%d", i)))
	}
	t.Cleanup(func() {
		cancel()
		s.network.Close()
		s.background.Wait()
		time.Sleep(time.Minute) // lets messages in flight complete
	})
	return s
}

func (s *site) violate(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, arguments...))
}

func (s *site) start(name identity.NodeName) *node {
	var index int
	_, _ = fmt.Sscanf(string(name), "n%d", &index)
	address := netip.AddrFrom4([4]byte{127, 0, byte(1 + index/250), byte(1 + index%250)})
	self := identity.Node{
		Name: name, Zone: "a", Region: "r", Incarnation: identity.Incarnation(time.Now().UnixNano()),
		PeerAddress: netip.AddrPortFrom(address, 7000), ProbeAddress: netip.AddrPortFrom(address, 7001),
	}
	registry := peer.NewRegistry()
	ctx, cancel := context.WithCancel(s.ctx)
	n := &node{site: s, self: self, board: blackboard.NewBoard(), cancel: cancel, started: time.Now()}
	n.endpoint = s.network.Join(self, registry)
	n.log = nodeLog{endpoint: n.endpoint, view: s.log.ViewFor(string(name))}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	var mutex sync.Mutex
	n.controller = tables.New(tables.Config{
		Self: name, Log: n.log, Peers: n.endpoint, Board: n.board,
		Random: func() float64 { mutex.Lock(); defer mutex.Unlock(); return random.Float64() },
	})
	n.controller.Register(registry)
	n.endpoint.Serve()
	s.mutex.Lock()
	s.nodes[name] = n
	former := s.last[name]
	s.mutex.Unlock()
	best := s.bestConnected(n)
	s.background.Go(func() { _ = n.controller.Run(ctx) })
	s.background.Go(func() { n.watch(ctx, former, best) })
	s.background.Go(func() { n.members(ctx) })
	s.onStart(n)
	return n
}

func (s *site) kill(name identity.NodeName) {
	s.mutex.Lock()
	n := s.nodes[name]
	delete(s.nodes, name)
	s.lastFault = time.Now()
	s.mutex.Unlock()
	if n != nil {
		n.endpoint.Kill()
		n.cancel()
	}
}

func (s *site) node(name identity.NodeName) *node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nodes[name]
}

func (s *site) markFault() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastFault = time.Now()
}

func (n *node) version() table.Version {
	if current := n.board.Table.Load(); current != nil {
		return current.Version
	}
	return 0
}

// connected reports whether both nodes run and can reach each other.
func (n *node) connected(other *node) bool {
	return !n.endpoint.Frozen() && !other.endpoint.Frozen() &&
		n.site.network.Reaches(n.self, other.self) && n.site.network.Reaches(other.self, n.self)
}

// bestConnected returns the highest version in force at nodes connected to n.
func (s *site) bestConnected(n *node) table.Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	best := table.Version(0)
	for _, other := range s.nodes {
		if other != n && n.connected(other) {
			best = max(best, other.version())
		}
	}
	return best
}

// members replaces the membership controller: it lists the connected nodes.
func (n *node) members(ctx context.Context) {
	for ctx.Err() == nil {
		view := membership.View{Self: n.self.Reference()}
		for _, name := range n.site.names {
			other := n.site.node(name)
			if other == nil || (other != n && !n.connected(other)) {
				continue
			}
			member := membership.Member{Node: other.self, Status: membership.Alive}
			if n.site.hints {
				member.TableVersion = uint64(other.version())
			}
			view.Members = append(view.Members, member)
		}
		n.board.Members.Store(view)
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// watch checks the versions in force during one incarnation. former is the last
// version of the previous incarnations, best the highest version on connected
// nodes when this incarnation started.
func (n *node) watch(ctx context.Context, former, best table.Version) {
	highest := table.Version(0)
	for {
		current, _, changed := n.board.Table.Watch()
		if current != nil {
			if current.Version < highest {
				n.site.violate("%s decreased from version %d to %d", n.self.Name, highest, current.Version)
			}
			if highest == 0 {
				n.checkFirst(former, best, current.Version)
			}
			highest = max(highest, current.Version)
			n.recordInForce(current)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (n *node) recordInForce(current *table.Table) {
	s := n.site
	s.mutex.Lock()
	former, found := s.publicationIDs[current.Version]
	s.publicationIDs[current.Version] = current.ID
	s.last[n.self.Name] = max(s.last[n.self.Name], current.Version)
	s.mutex.Unlock()
	if found && former != current.ID {
		s.violate("version %d is %s at %s and %s elsewhere", current.Version, current.ID, n.self.Name, former)
	}
}

// checkFirst checks that a new incarnation does not start with an older version
// than the previous one, if it could know better: there was no fault since it
// started, and it reaches the log or a node that has the previous version.
func (n *node) checkFirst(former, best, first table.Version) {
	s := n.site
	s.mutex.Lock()
	noFault := !s.lastFault.After(n.started)
	s.mutex.Unlock()
	view := s.log.ViewFor(string(n.self.Name)).Faults()
	logThere := s.log.Faults() == (logservice.Faults{}) && view == (logservice.Faults{})
	if noFault && (logThere || best >= former) && first < former {
		s.violate("%s decreased over a restart from version %d to %d", n.self.Name, former, first)
	}
}

// publishAt publishes on the given base at a node and records the result. The
// checker identifies the publication in the log by its note.
func (s *site) publishAt(n *node, base table.Version, done *sync.WaitGroup) {
	s.mutex.Lock()
	s.publication++
	number := s.publication
	s.mutex.Unlock()
	wanted := tables.Publication{
		ID: fmt.Sprintf("id-%d", number), Base: base, Author: fmt.Sprintf("author-%d", number),
		Note: fmt.Sprintf("note-%d", number), CSV: sheetOf(number),
	}
	done.Go(func() {
		entry, err := s.publish(s.ctx, n, wanted)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.reports = append(s.reports, report{publication: wanted, entry: entry, err: err})
	})
}

// truth applies the records of the log.
func (s *site) truth() *table.VersionLog {
	ledger := table.NewVersionLog()
	for _, raw := range s.log.Records(table.Stream) {
		if err := ledger.Apply(raw); err != nil {
			s.violate("log: %v", err)
		}
	}
	return ledger
}

// heal removes all faults and starts all nodes.
func (s *site) heal() {
	s.log.SetFaults(logservice.Faults{})
	s.network.SetFaults(network.Faults{})
	s.network.HealAll()
	for _, name := range s.names {
		s.log.ViewFor(string(name)).SetFaults(logservice.Faults{})
		if n := s.node(name); n != nil {
			n.endpoint.Thaw()
			continue
		}
		s.start(name)
	}
}

// checkInForce checks that after within all running nodes have the newest version of
// the log in force.
func (s *site) checkInForce(within time.Duration) {
	time.Sleep(within)
	synctest.Wait()
	want := s.truth().Current()
	for _, name := range s.names {
		n := s.node(name)
		if n == nil || want == nil {
			continue
		}
		if have := n.board.Table.Load(); have == nil || have.Version != want.Version || have.ID != want.ID {
			s.violate("%s has %v in force after %s, want version %d", name, have, within, want.Version)
		}
	}
}

// checkReports checks the results of all publishers against the log.
func (s *site) checkReports() {
	truth := s.truth()
	byNote := map[string][]table.Entry{}
	for _, entry := range truth.History() {
		byNote[entry.Note] = append(byNote[entry.Note], entry)
	}
	accepted := func(note string) (table.Entry, bool) {
		for _, entry := range byNote[note] {
			if entry.Status == table.Accepted {
				return entry, true
			}
		}
		return table.Entry{}, false
	}
	for _, outcome := range s.reports {
		inForce, won := accepted(outcome.publication.Note)
		var lost *tables.ConflictError
		var unknown *tables.OutcomeUnknownError
		var base *tables.BaseError
		switch {
		case outcome.err == nil && (!won || inForce.Version != outcome.entry.Version):
			s.violate("%s was reported as accepted in version %d, the log has %v", outcome.publication.Note, outcome.entry.Version, byNote[outcome.publication.Note])
		case errors.As(outcome.err, &lost):
			winner, _ := truth.AcceptedOn(outcome.publication.Base)
			if won || winner.ID != lost.Winner.ID {
				s.violate("%s was reported as lost to %s, the log has %s", outcome.publication.Note, lost.Winner.ID, winner.ID)
			}
		case errors.Is(outcome.err, tables.ErrNotPublished) || errors.As(outcome.err, &base):
			if len(byNote[outcome.publication.Note]) > 0 {
				s.violate("%s was reported as not published (%v), the log has %v", outcome.publication.Note, outcome.err, byNote[outcome.publication.Note])
			}
		case outcome.err != nil && !errors.As(outcome.err, &unknown):
			s.violate("%s failed with an unexpected error: %v", outcome.publication.Note, outcome.err)
		}
	}
}

func (s *site) verdict() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return strings.Join(s.violations, "\n")
}
