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

// publisher is what is tested: Controller.Publish or a wrong variant of it.
type publisher func(ctx context.Context, n *node, p tables.Publication) (table.Entry, error)

func publishRight(ctx context.Context, n *node, p tables.Publication) (table.Entry, error) {
	return n.controller.Publish(ctx, p)
}

// site is a whole site in memory: the real controllers over an emulated log and
// network. Everything runs in one synctest bubble.
type site struct {
	t       *testing.T
	random  *rand.Rand
	log     *logservice.Service
	network *network.Network
	publish publisher
	// onStart is run for each new life; wrong variants set it.
	onStart func(n *node)
	// hints tells whether members' versions ride on the membership updates.
	hints bool

	ctx   context.Context
	names []identity.NodeName
	lives sync.WaitGroup

	mutex sync.Mutex
	nodes map[identity.NodeName]*node
	// last is the last version in force under a node name, over its lives.
	last map[identity.NodeName]table.Version
	// forced is the publication that was seen in force as each version.
	forced      map[table.Version]string
	disturbed   time.Time
	violations  []string
	reports     []report
	publication int
}

// node is one life of one node.
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

// report is what one publisher was told.
type report struct {
	publication tables.Publication
	entry       table.Entry
	err         error
}

// gatedLog is the log as a node sees it that can be frozen and killed.
type gatedLog struct {
	endpoint *network.Endpoint
	view     *logservice.View
}

func (g gatedLog) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	if err := g.endpoint.Gate(ctx); err != nil {
		return 0, errors.Join(siteservices.ErrUnavailable, err)
	}
	offset, err := g.view.Append(ctx, stream, records)
	if gateErr := g.endpoint.Gate(context.Background()); gateErr != nil {
		return 0, errors.Join(siteservices.ErrAnswerLost, gateErr)
	}
	return offset, err
}

func (g gatedLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	if err := g.endpoint.Gate(ctx); err != nil {
		return siteservices.ReadResult{}, errors.Join(siteservices.ErrUnavailable, err)
	}
	result, err := g.view.Read(ctx, stream, from, limit, wait)
	if gateErr := g.endpoint.Gate(context.Background()); gateErr != nil {
		return siteservices.ReadResult{}, errors.Join(siteservices.ErrAnswerLost, gateErr)
	}
	return result, err
}

func newSite(t *testing.T, seed uint64, size int) *site {
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), log: logservice.New(seed), network: network.New(seed),
		publish: publishRight, onStart: func(*node) {}, ctx: ctx,
		nodes: map[identity.NodeName]*node{}, last: map[identity.NodeName]table.Version{},
		forced: map[table.Version]string{},
	}
	s.network.SetLatency("a", "a", 1500*time.Microsecond)
	for i := range size {
		s.names = append(s.names, identity.NodeName(fmt.Sprintf("n%d", i)))
	}
	t.Cleanup(func() {
		cancel()
		s.network.Close()
		s.lives.Wait()
		time.Sleep(time.Minute) // lets what is on the network come to its end
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
	n.log = gatedLog{endpoint: n.endpoint, view: s.log.ViewFor(string(name))}
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
	s.lives.Go(func() { _ = n.controller.Run(ctx) })
	s.lives.Go(func() { n.watch(ctx, former, best) })
	s.lives.Go(func() { n.members(ctx) })
	s.onStart(n)
	return n
}

func (s *site) kill(name identity.NodeName) {
	s.mutex.Lock()
	n := s.nodes[name]
	delete(s.nodes, name)
	s.disturbed = time.Now()
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

func (s *site) disturb() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disturbed = time.Now()
}

func (n *node) version() table.Version {
	if current := n.board.Table.Load(); current != nil {
		return current.Version
	}
	return 0
}

// connected tells whether both nodes run and reach each other.
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

// members stands in for the membership controller: it lists connected nodes.
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

// watch checks the versions in force during one life. former is the last one of
// the lives before, best the highest at connected nodes when this one began.
func (n *node) watch(ctx context.Context, former, best table.Version) {
	highest := table.Version(0)
	for {
		current, _, changed := n.board.Table.Watch()
		if current != nil {
			if current.Version < highest {
				n.site.violate("%s went back from version %d to %d", n.self.Name, highest, current.Version)
			}
			if highest == 0 {
				n.checkFirst(former, best, current.Version)
			}
			highest = max(highest, current.Version)
			n.noteInForce(current)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (n *node) noteInForce(current *table.Table) {
	s := n.site
	s.mutex.Lock()
	former, found := s.forced[current.Version]
	s.forced[current.Version] = current.ID
	s.last[n.self.Name] = max(s.last[n.self.Name], current.Version)
	s.mutex.Unlock()
	if found && former != current.ID {
		s.violate("version %d is %s at %s and %s elsewhere", current.Version, current.ID, n.self.Name, former)
	}
}

// checkFirst checks a new life against the former one, where this one could
// know better: nothing was disturbed since it began, and it reaches the log or
// a node that has the former version.
func (n *node) checkFirst(former, best, first table.Version) {
	s := n.site
	s.mutex.Lock()
	quiet := !s.disturbed.After(n.started)
	s.mutex.Unlock()
	view := s.log.ViewFor(string(n.self.Name)).Faults()
	logThere := s.log.Faults() == (logservice.Faults{}) && view == (logservice.Faults{})
	if quiet && (logThere || best >= former) && first < former {
		s.violate("%s went back over a restart from version %d to %d", n.self.Name, former, first)
	}
}

// publishAt publishes on the given base at a node and keeps what it was told.
// The note is what the checker finds the publication by in the log.
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

// truth folds the log itself.
func (s *site) truth() *table.VersionLog {
	ledger := table.NewVersionLog()
	for _, raw := range s.log.Records(table.Stream) {
		if err := ledger.Apply(raw); err != nil {
			s.violate("log: %v", err)
		}
	}
	return ledger
}

// heal undoes all faults and starts all nodes.
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

// checkInForce checks that all running nodes have the truth's version in force.
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
			s.violate("%s has %v in force %s later, not version %d", name, have, within, want.Version)
		}
	}
}

// checkReports holds what publishers were told against the log.
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
	for _, told := range s.reports {
		inForce, won := accepted(told.publication.Note)
		var lost *tables.ConflictError
		var unknown *tables.OutcomeUnknownError
		var base *tables.BaseError
		switch {
		case told.err == nil && (!won || inForce.Version != told.entry.Version):
			s.violate("%s told accepted as version %d, the log has %v", told.publication.Note, told.entry.Version, byNote[told.publication.Note])
		case errors.As(told.err, &lost):
			winner, _ := truth.AcceptedOn(told.publication.Base)
			if won || winner.ID != lost.Winner.ID {
				s.violate("%s told lost to %s, the log has %s", told.publication.Note, lost.Winner.ID, winner.ID)
			}
		case errors.Is(told.err, tables.ErrNotPublished) || errors.As(told.err, &base):
			if len(byNote[told.publication.Note]) > 0 {
				s.violate("%s told not published (%v), the log has %v", told.publication.Note, told.err, byNote[told.publication.Note])
			}
		case told.err != nil && !errors.As(told.err, &unknown):
			s.violate("%s told %v", told.publication.Note, told.err)
		}
	}
}

func (s *site) verdict() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return strings.Join(s.violations, "\n")
}
