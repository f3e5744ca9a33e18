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

// variant is a deliberate fault of the protocol that a test must catch; the zero
// value is the real protocol.
type variant struct {
	log    func(siteservices.Log) siteservices.Log
	client func(peer.Client) peer.Client
	// handle changes what a node answers as a replica, also to itself.
	handle func(node *testNode, next peer.HandlerFunc) peer.HandlerFunc
	// noLeaseCheck lets hosts act without a look at the lease.
	noLeaseCheck bool
	// slowLease is no fault: longer leases, so that hours of virtual time are short.
	slowLease bool
}

// blindLog takes an answer that got lost for success, without reading back.
type blindLog struct {
	siteservices.Log
	mutex sync.Mutex
	ends  map[string]siteservices.Offset
}

func blind(log siteservices.Log) siteservices.Log {
	return &blindLog{Log: log, ends: map[string]siteservices.Offset{}}
}

func (b *blindLog) Append(ctx context.Context, stream string, records [][]byte) (siteservices.Offset, error) {
	offset, err := b.Log.Append(ctx, stream, records)
	if !errors.Is(err, siteservices.ErrOutcomeUnknown) {
		return offset, err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ends[stream], nil
}

func (b *blindLog) Read(ctx context.Context, stream string, from siteservices.Offset, limit int, wait time.Duration) (siteservices.ReadResult, error) {
	result, err := b.Log.Read(ctx, stream, from, limit, wait)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ends[stream] = result.End
	return result, err
}

// anyLife lets a restarted replica answer in the name of its former life.
func anyLife(node *testNode, next peer.HandlerFunc) peer.HandlerFunc {
	return func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		switch request := request.(type) {
		case *promiseMessage:
			request.To = node.node.Reference()
		case *preVoteMessage:
			request.To = node.node.Reference()
		}
		return next(ctx, request, sendPart)
	}
}

// forgetful lets replicas send no tail with their promise.
func forgetful(_ *testNode, next peer.HandlerFunc) peer.HandlerFunc {
	return func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		message, err := next(ctx, request, sendPart)
		if promise, fits := message.(*promiseAnswer); fits {
			promise.TailEpoch = 0
		}
		return message, err
	}
}

// unfenced lets replicas take records and renewals below the promised epoch.
func unfenced(node *testNode, next peer.HandlerFunc) peer.HandlerFunc {
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

// impatient lets replicas keep quiet about leases that they granted.
func impatient(_ *testNode, next peer.HandlerFunc) peer.HandlerFunc {
	return func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		message, err := next(ctx, request, sendPart)
		switch message := message.(type) {
		case *promiseAnswer:
			message.Remaining = 0
		case *preVoteAnswer:
			message.Remaining = 0
		}
		return message, err
	}
}

// preVoteSkipper claims without a question to the former replicas or the owner.
type preVoteSkipper struct{ peer.Client }

func skipPreVote(client peer.Client) peer.Client { return preVoteSkipper{client} }

// Call answers pre-votes itself.
func (p preVoteSkipper) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	switch request.Kind() {
	case kindPreVote:
		return &preVoteAnswer{}, nil
	case kindHandOver:
		return &handOverAnswer{Result: notOwner}, nil
	}
	return p.Client.Call(ctx, address, request, onPart)
}

// load keeps adding numbers to one shard, wherever it is served, and remembers
// which ones it was told are held.
type load struct {
	site  *testSite
	shard identity.ShardID
	// mutex guards acked and count.
	mutex sync.Mutex
	acked []uint64
	// count is of the numbers that no node took.
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

// repeat runs step again and again until the returned function or the site's end.
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

// refused returns how many numbers no node took so far.
func (l *load) refused() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.count
}

// replicas returns the replicas of the shard's standing claim.
func (s *ownedShard) replicas() []identity.Node { return s.standing().Replicas }

func (s *ownedShard) standing() Claim {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.claim
}

// check ends the load and returns an error if the state that is served in the end
// lacks a number that was acknowledged, or holds one twice.
func (l *load) check() error {
	l.end()
	// The log lags behind the replicas by the time in which records gather.
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

// checkLog returns an error if the log alone, folded from its start, gives
// another state than node serves; the tail must have reached the log.
func (s *testSite) checkLog(id identity.ShardID) error {
	ledger := NewLedger(id, 0)
	machine := &setMachine{}
	for _, raw := range s.log.Records(StreamName(id)) {
		step := ledger.Apply(raw)
		if step.Restored {
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

// watchOwners returns a function that ends the watch and tells whether two nodes
// held a running lease of one shard at the same moment.
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

// settle heals everything and waits until all is served and in the log.
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

// scenario runs body in a bubble over a site of nodes and returns what it found.
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
		// Let the replica sets grow to their full size.
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

// restartReplica restarts one replica that holds the tail, cuts off the other one
// that does, and kills the owner: of three replicas the newcomer and one that
// lags behind can answer.
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

// freezeOwner stops the owner's process past its lease, between its look at the
// lease and what it does then.
func freezeOwner(site *testSite) error {
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
	// Awake again, it goes on where it was: past the check.
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

// cutOwner cuts the owner off from all nodes but not from the log, which answers
// it too slowly to tell it of other claims before its lease ends.
func cutOwner(site *testSite) error {
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

// cutClaimant cuts a node off from all others but not from the log. By its own
// view it is alone and so wants every shard: it must leave them alone.
func cutClaimant(site *testSite) error {
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

// loseAnswers loses answers of the log, before and after the effect.
func loseAnswers(site *testSite) error {
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
