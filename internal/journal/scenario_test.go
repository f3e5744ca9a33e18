package journal

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/wait"
)

// variant is a deliberate fault in the protocol that a test must detect; the zero
// value is the real protocol.
type variant struct {
	log    func(siteservices.Log) siteservices.Log
	client func(peer.Client) peer.Client
	// handle changes a node's responses as a replica, including those to itself.
	handle func(node *testNode, next peer.HandlerFunc) peer.HandlerFunc
	// noLeaseCheck makes hosts skip the lease check before a response.
	noLeaseCheck bool
	// slowLease is no fault: longer leases make hours of virtual time faster to run.
	slowLease bool
}

// noReadBackLog treats an append whose outcome is unknown as a success.
type noReadBackLog struct {
	siteservices.Log
	mutex sync.Mutex
	ends  map[string]siteservices.Offset
}

func withoutReadBack(log siteservices.Log) siteservices.Log {
	return &noReadBackLog{Log: log, ends: map[string]siteservices.Offset{}}
}

func (b *noReadBackLog) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	offset, err := b.Log.Append(ctx, stream, records)
	if !errors.Is(err, siteservices.ErrOutcomeUnknown) {
		return offset, err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ends[stream], nil
}

func (b *noReadBackLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	result, err := b.Log.Read(ctx, stream, from, limit, wait)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ends[stream] = result.End
	return result, err
}

// acceptAnyIncarnation lets a restarted replica respond on behalf of its former incarnation.
func acceptAnyIncarnation(node *testNode, next peer.HandlerFunc) peer.HandlerFunc {
	return func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		switch request := request.(type) {
		case *promiseRequest:
			request.To = node.node.Reference()
		case *preVoteRequest:
			request.To = node.node.Reference()
		}
		return next(ctx, request, sendPart)
	}
}

// omitTail makes replicas omit the tail from their promise.
func omitTail(_ *testNode, next peer.HandlerFunc) peer.HandlerFunc {
	return func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		message, err := next(ctx, request, sendPart)
		if promise, fits := message.(*promiseResponse); fits {
			promise.TailEpoch = 0
		}
		return message, err
	}
}

// withoutFencing makes replicas accept records and renewals below the promised epoch.
func withoutFencing(node *testNode, next peer.HandlerFunc) peer.HandlerFunc {
	return func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		if request.Kind() == kindAppend || request.Kind() == kindRenew {
			for i := range node.manager.replicas {
				slot := &node.manager.replicas[i]
				slot.mutex.Lock()
				slot.replica.promised = 0
				slot.mutex.Unlock()
			}
		}
		return next(ctx, request, sendPart)
	}
}

// hideLeases makes replicas report no remaining lease.
func hideLeases(_ *testNode, next peer.HandlerFunc) peer.HandlerFunc {
	return func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		message, err := next(ctx, request, sendPart)
		switch message := message.(type) {
		case *promiseResponse:
			message.Remaining = 0
		case *preVoteResponse:
			message.Remaining = 0
		}
		return message, err
	}
}

// preVoteSkipper claims without querying the former replicas or the owner.
type preVoteSkipper struct{ peer.Client }

func skipPreVote(client peer.Client) peer.Client { return preVoteSkipper{client} }

// Call responds to pre-votes and hand-over requests itself.
func (p preVoteSkipper) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	switch request.Kind() {
	case kindPreVote:
		return &preVoteResponse{}, nil
	case kindHandOver:
		return &handOverResponse{Result: notOwner}, nil
	}
	return p.Client.Call(ctx, address, request, onPart)
}

// load continuously adds numbers to one shard on whichever node serves it, and
// records which were acknowledged.
type load struct {
	site  *testSite
	shard identity.ShardID
	// mutex guards acked and count.
	mutex sync.Mutex
	acked []uint64
	// count is how many numbers found no serving node.
	count int
	end   func()
}

const loadInterval = 7 * time.Millisecond

func (s *testSite) load(shard identity.ShardID) *load {
	l := &load{site: s, shard: shard}
	next := uint64(0)
	l.end = s.repeat(loadInterval, func() {
		next++
		l.add(next)
	})
	return l
}

// repeat runs step periodically until the returned function or close is called.
func (s *testSite) repeat(interval time.Duration, step func()) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for wait.For(ctx, interval) == nil {
			step()
		}
	}()
	end = func() {
		cancel()
		<-done
	}
	s.cleanups = append(s.cleanups, end)
	return end
}

func (l *load) add(number uint64) {
	node := l.site.serving(l.shard)
	if node == nil {
		l.mutex.Lock()
		l.count++
		l.mutex.Unlock()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if node.host.open(l.shard).add(ctx, number, false) == nil {
		l.acknowledge(number)
	}
}

func (l *load) acknowledge(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acked = append(l.acked, number)
}

// refused returns how many numbers found no serving node so far.
func (l *load) refused() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.count
}

// replicas returns the replicas of the shard's active claim.
func (s *ownedShard) replicas() []identity.Node { return s.activeClaim().Replicas }

func (s *ownedShard) activeClaim() Claim {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.claim
}

// check stops the load and returns an error if an acknowledged number is missing from
// the state that is served, or a number is in it twice.
func (l *load) check() error {
	l.end()
	// The log lags behind the replicas by the batch delay.
	time.Sleep(time.Second)
	node := l.site.serving(l.shard)
	if node == nil {
		return fmt.Errorf("shard %d is not served", l.shard)
	}
	return checkNumbers(l.acked, node.host.open(l.shard).machine.numbers())
}

func checkNumbers(acked, held []uint64) error {
	count := map[uint64]int{}
	for _, number := range held {
		count[number]++
		if count[number] > 1 {
			return fmt.Errorf("number %d is held twice", number)
		}
	}
	for _, number := range acked {
		if count[number] == 0 {
			return fmt.Errorf("number %d was acknowledged and is lost", number)
		}
	}
	return nil
}

// checkLog returns an error if the state read from the log alone differs from the one
// that is served; the tail must have reached the log.
func (s *testSite) checkLog(id identity.ShardID) error {
	ledger := NewStreamState(id, 0)
	machine := &setMachine{}
	for _, raw := range s.log.Records(StreamName(id)) {
		step := ledger.Apply(raw)
		if step.Restore {
			machine = &setMachine{}
			_ = machine.Restore(step.State)
		}
		for _, entry := range step.Entries {
			_ = machine.Apply(entry)
		}
	}
	node := s.serving(id)
	if node == nil {
		return fmt.Errorf("shard %d is not served", id)
	}
	if served := node.host.open(id).machine.numbers(); !slices.Equal(served, machine.numbers()) {
		return fmt.Errorf("shard %d: %d numbers served, %d in the log", id, len(served), len(machine.numbers()))
	}
	return nil
}

// watchOwners returns a function that stops watching and returns an error if two
// nodes had a valid lease of one shard at the same time.
func (s *testSite) watchOwners() func() error {
	var found error
	end := s.repeat(5*time.Millisecond, func() {
		if err := s.checkOwners(); err != nil && found == nil {
			found = err
		}
	})
	return func() error {
		end()
		return found
	}
}

func (s *testSite) checkOwners() error {
	for id := range identity.ShardID(s.shards) {
		holder := identity.NodeName("")
		for _, node := range s.all() {
			open := node.host.open(id)
			if open == nil || open.shard.CheckLease() != nil {
				continue
			}
			if holder != "" {
				return fmt.Errorf("shard %d: %s and %s hold the lease at once", id, holder, node.node.Name)
			}
			holder = node.node.Name
		}
	}
	return nil
}

// settle removes all faults and waits until all shards are served and in the log.
func (s *testSite) settle() error {
	s.net.HealAll()
	s.log.SetFaults(logservice.Faults{})
	for _, node := range s.all() {
		node.endpoint.Thaw()
	}
	s.refresh()
	if err := s.awaitServing(2 * time.Minute); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	return s.awaitServing(2 * time.Minute)
}

// scenario runs body in a synctest bubble over a site and returns its error.
func scenario(t *testing.T, v variant, nodes int, body func(site *testSite) error) error {
	t.Helper()
	var found error
	synctest.Test(t, func(t *testing.T) {
		site := newTestSite(7, 2)
		site.variant = v
		if v.slowLease {
			site.tune = func(config *Config) {
				config.Lease = LeaseTerms{Duration: 40 * time.Second, Drift: 4 * time.Second}
				config.RenewInterval = 10 * time.Second
			}
		}
		defer site.close()
		for i := range nodes {
			site.start(i)
		}
		// Wait until the replica sets have their full size.
		time.Sleep(10 * time.Second)
		if err := site.awaitServing(time.Minute); err != nil {
			t.Fatal(err)
		}
		found = body(site)
	})
	return found
}

// killWithSlowLog kills the owner while the log lags behind the replicas.
func killWithSlowLog(site *testSite) error {
	site.log.SetFaults(logservice.Faults{AppendDelay: 3 * time.Second})
	load := site.load(0)
	time.Sleep(5 * time.Second)
	site.serving(0).kill()
	site.refresh()
	time.Sleep(20 * time.Second)
	return errors.Join(site.settle(), load.check())
}

// restartReplica restarts one replica that has the tail, partitions the other, and
// kills the owner: only the restarted replica and one that lags behind can respond.
func restartReplica(site *testSite) error {
	owner := site.serving(0)
	replicas := owner.manager.slots[0].load().replicas()
	site.log.SetDown(true)
	site.net.Cut(owner.node.Name, replicas[2].Name)
	load := site.load(0)
	time.Sleep(time.Second)
	site.start(number(replicas[0].Name))
	owner.kill()
	for _, node := range site.all() {
		site.net.Cut(replicas[1].Name, node.node.Name)
	}
	site.log.SetDown(false)
	site.refresh()
	time.Sleep(20 * time.Second)
	return errors.Join(site.settle(), load.check())
}

func number(name identity.NodeName) int {
	var i int
	_, _ = fmt.Sscanf(string(name), "n%d", &i)
	return i
}

// pauseOwner pauses the owner's process past its lease, between its lease check and
// the action that depends on it.
func pauseOwner(site *testSite) error {
	owner := site.serving(0)
	open := owner.host.open(0)
	load := site.load(0)
	time.Sleep(time.Second)
	if err := open.shard.CheckLease(); err != nil {
		return err
	}
	owner.endpoint.Freeze()
	time.Sleep(100 * time.Millisecond)
	site.refreshWith(map[identity.NodeName]membership.Status{owner.node.Name: membership.Dead})
	time.Sleep(10 * time.Second)
	// The resumed process continues after its lease check.
	site.log.SetFaults(logservice.Faults{AppendDelay: time.Second})
	owner.endpoint.Thaw()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	const stale = 1 << 40
	if open.addUnchecked(ctx, stale, site.variant.noLeaseCheck) == nil {
		load.acknowledge(stale)
	}
	return errors.Join(site.settle(), load.check())
}

// partitionOwner partitions the owner from all nodes but not from the log, which is too slow
// to show it other claims before its lease ends.
func partitionOwner(site *testSite) error {
	owners := site.watchOwners()
	owner := site.serving(0)
	load := site.load(0)
	time.Sleep(time.Second)
	site.isolate(owner)
	view := site.log.ViewFor(string(owner.node.Name))
	view.SetFaults(logservice.Faults{AppendDelay: 3 * time.Second})
	site.refreshWith(map[identity.NodeName]membership.Status{owner.node.Name: membership.Dead})
	time.Sleep(20 * time.Second)
	view.SetFaults(logservice.Faults{})
	return errors.Join(site.settle(), load.check(), owners())
}

// partitionClaimant partitions a node from all others but not from the log. In its own
// membership view it is alone and should own every shard: it must not claim them.
func partitionClaimant(site *testSite) error {
	owner := site.serving(0)
	owners := site.watchOwners()
	var claimant *testNode
	for _, node := range site.all() {
		if node != owner {
			claimant = node
		}
	}
	site.isolate(claimant)
	claimant.members.Update(func(view membership.View) membership.View {
		view.Version++
		view.Members = []membership.Member{{Node: claimant.node, Status: membership.Alive}}
		return view
	})
	load := site.load(0)
	time.Sleep(30 * time.Second)
	refused := load.refused()
	claims := site.claimsOf(0, claimant.node)
	err := errors.Join(site.settle(), load.check(), owners())
	if refused > 0 || claims > 0 {
		err = errors.Join(err, fmt.Errorf("%d numbers refused and %d claims made while a node was cut off", refused, claims))
	}
	return err
}

func (s *testSite) claimsOf(id identity.ShardID, node identity.Node) int {
	count := 0
	for _, raw := range s.log.Records(StreamName(id)) {
		record, err := DecodeRecord(raw)
		if err == nil && record.Kind == ClaimRecord && record.Claim.Owner.Name == node.Name {
			count++
		}
	}
	return count
}

// loseLogResponses loses requests to the log and its responses.
func loseLogResponses(site *testSite) error {
	owners := site.watchOwners()
	load := site.load(0)
	site.log.SetFaults(logservice.Faults{LoseBefore: 0.3, LoseAfter: 0.3})
	for range 4 {
		time.Sleep(3 * time.Second)
		if node := site.serving(0); node != nil {
			node.kill()
			site.refresh()
			time.Sleep(5 * time.Second)
			site.start(number(node.node.Name))
		}
	}
	time.Sleep(10 * time.Second)
	return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
}
