package forwarding_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/forwarding"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/serving"
)

const (
	testProgram = identity.ProgramID("p")
	tokenPause  = 100 * time.Millisecond
)

// site is a set of nodes with forwarders on an in-memory network. Tests set the owner of
// the only shard. The accepted calls survive owner changes, like records in the journal.
type site struct {
	network    *network.Network
	forwarders map[identity.NodeName]*forwarding.Forwarder
	endpoints  map[identity.NodeName]*network.Endpoint
	boards     map[identity.NodeName]*blackboard.Board

	mutex sync.Mutex
	owner identity.NodeName
	moved chan struct{}
	// accepted counts the accepted calls by sequence; refuse makes owners reject new
	// calls.
	accepted map[uint64]int
	refuse   bool
	// text returns the token at an index; tests replace it to make answers diverge.
	text func(index int) string
	// deadlines are the deadlines of the calls that arrived at owners.
	deadlines []float64
	// interrupted counts the calls whose caller left.
	interrupted int
}

func tokenText(index int) string { return fmt.Sprintf("t%d ", index) }

func newSite(seed uint64, names ...identity.NodeName) *site {
	s := &site{
		network:    network.New(seed),
		forwarders: map[identity.NodeName]*forwarding.Forwarder{},
		endpoints:  map[identity.NodeName]*network.Endpoint{},
		boards:     map[identity.NodeName]*blackboard.Board{},
		moved:      make(chan struct{}),
		accepted:   map[uint64]int{},
		text:       tokenText,
	}
	var nodes []identity.Node
	for i, name := range names {
		address := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
		nodes = append(nodes, identity.Node{
			Name: name, Zone: identity.Zone(name), Incarnation: 1,
			PeerAddress: netip.AddrPortFrom(address, 1), ProbeAddress: netip.AddrPortFrom(address, 2),
		})
	}
	for _, node := range nodes {
		s.start(node, nodes)
	}
	s.owner = names[len(names)-1]
	return s
}

func (s *site) start(node identity.Node, nodes []identity.Node) {
	registry := peer.NewRegistry()
	endpoint := s.network.Join(node, registry)
	board := blackboard.NewBoard()
	s.boards[node.Name] = board
	s.endpoints[node.Name] = endpoint
	s.forwarders[node.Name] = forwarding.New(forwarding.Config{
		Self: node.Reference(), ShardCount: 1,
		Local: &owner{site: s, name: node.Name}, Client: endpoint, Board: board,
		Ranks:  func(_ identity.ShardID, _ membership.View, n int) []identity.Node { return nodes[:min(n, len(nodes))] },
		Timing: forwarding.Timing{Jitter: -1},
	}, registry)
	endpoint.Serve()
}

// move assigns the shard to a node; an empty name leaves it without an owner.
func (s *site) move(to identity.NodeName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.owner = to
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *site) executions(sequence uint64) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.accepted[sequence]
}

// owner is the serving.Programs of one node.
type owner struct {
	site *site
	name identity.NodeName
}

func (o *owner) check(accepted bool) error {
	o.site.mutex.Lock()
	defer o.site.mutex.Unlock()
	if o.site.owner == o.name {
		return nil
	}
	problem := api.NewProblem(api.CodeNoOwner, "not here").WithNotRun(!accepted)
	return &serving.NotOwnerError{Problem: problem}
}

func (o *owner) program(state api.ProgramState) (api.Program, error) {
	if err := o.check(false); err != nil {
		return api.Program{}, err
	}
	return api.Program{
		ID: string(testProgram), State: state, Owner: string(o.name), Tenant: "tenant", Class: "class",
		Created: time.Now(), Branches: map[string]uint64{"main": 3, "b": 1}, Budget: 10, Spent: 2, Reserved: 1, Calls: 4, Epoch: 7,
	}, nil
}

func (o *owner) Create(_ context.Context, _ serving.CreateRequest) (api.Program, error) {
	return o.program(api.ProgramRunning)
}

func (o *owner) Get(_ context.Context, program identity.ProgramID) (api.Program, error) {
	if program != testProgram && o.check(false) == nil {
		return api.Program{}, api.NewProblem(api.CodeUnknownProgram, "no program %s", program)
	}
	return o.program(api.ProgramRunning)
}

func (o *owner) End(_ context.Context, _ identity.ProgramID) (api.Program, error) {
	return o.program(api.ProgramEnded)
}

func (o *owner) Cancel(_ context.Context, _ identity.ProgramID) (api.Program, error) {
	return o.program(api.ProgramCancelled)
}

func (o *owner) Fetch(ctx context.Context, request serving.FetchRequest, onToken serving.TokenFunc) (api.Answer, error) {
	if err := o.check(false); err != nil {
		return api.Answer{}, err
	}
	return o.stream(ctx, uint64(request.Call.Sequence), request.From, onToken)
}

func (o *owner) Call(ctx context.Context, request serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	if err := o.check(false); err != nil {
		return api.Answer{}, err
	}
	o.site.mutex.Lock()
	o.site.deadlines = append(o.site.deadlines, request.Call.DeadlineSeconds)
	sequence := request.Call.Sequence
	if o.site.refuse && o.site.accepted[sequence] == 0 {
		o.site.mutex.Unlock()
		return api.Answer{}, api.NewProblem(api.CodeOverloaded, "no room").WithRetryAfter(3 * time.Second)
	}
	o.site.accepted[sequence] = 1
	o.site.mutex.Unlock()
	return o.stream(ctx, sequence, request.From, onToken)
}

// tokenCount is the number of tokens of each answer.
const tokenCount = 20

func (o *owner) stream(ctx context.Context, sequence uint64, from int, onToken serving.TokenFunc) (api.Answer, error) {
	whole := ""
	for index := range tokenCount {
		o.site.mutex.Lock()
		moved, text := o.site.moved, o.site.text(index)
		o.site.mutex.Unlock()
		select {
		case <-time.After(tokenPause):
		case <-moved:
		case <-ctx.Done():
			o.site.mutex.Lock()
			o.site.interrupted++
			o.site.mutex.Unlock()
			return api.Answer{}, api.NewProblem(api.CodeInterrupted, "the caller left")
		}
		if err := o.check(true); err != nil {
			return api.Answer{}, err
		}
		whole += text
		if onToken == nil || index < from {
			continue
		}
		if err := onToken(index, text); err != nil {
			return api.Answer{}, api.NewProblem(api.CodeInterrupted, "%s", err)
		}
	}
	return api.Answer{Program: string(testProgram), Sequence: sequence, Text: whole, Backend: string(o.name)}, nil
}
