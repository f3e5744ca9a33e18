package holders

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

const (
	// noticeTimeout bounds one notice, beside the round trips to the holder. Without an answer it is
	// sent again after each resendInterval, maxCalls times in all.
	noticeTimeout  = 300 * time.Millisecond
	resendInterval = 60 * time.Millisecond
	maxCalls       = 3
	// A record that all nodes are told is sent again, after a pause, to those that have not stored it:
	// as long as they are members, retellCount times at most.
	retellPause = 100 * time.Millisecond
	retellCount = 15
	// maxBatch is the number of records in one notice, and maxQueue that of records that wait
	// for one holder.
	maxBatch = 256
	maxQueue = 4096
	// EnoughCopies is the number of holders that must have stored a record, or all other nodes
	// of a smaller site; with fewer the record is distributed again each RedistributeInterval.
	// More than half of the first holders have it then.
	EnoughCopies = Copies/2 + 1
	// RedistributeInterval is the time between two distributions of a record that too few holders
	// have stored.
	RedistributeInterval = 500 * time.Millisecond
	// maxUnconfirmed bounds the records to distribute again.
	maxUnconfirmed = 4096
)

// Dated is a record with the time since its distribution started.
type Dated[R any] struct {
	Record R
	Age    time.Duration
}

// Config configures a Distributor. Peers is nil if there are no other nodes.
type Config[R any] struct {
	Self  identity.NodeName
	Peers peer.Client
	// RoundTrip returns the round trip time to a zone; nil counts as zero.
	RoundTrip func(zone identity.Zone) time.Duration
	// Now returns a monotonic reading.
	Now func() time.Duration
	// Key returns a record's key.
	Key func(record R) Key
	// Notice returns the message that copies records to a holder.
	Notice func(records []Dated[R]) peer.Message
	// Stored reports whether a holder's response says that it has stored the records.
	Stored func(response peer.Message) bool
	// Current returns a record as it is known now, and false if it is of no use any more.
	Current func(record R) (R, bool)
	// Leaving reports whether members that stop are told as well, and hold records if too few others
	// can.
	Leaving bool
	// OnNotice is called with the outcome of each notice.
	OnNotice func(notice Notice)
	// OnEnded is called with each distribution to holders or to all nodes that has ended; it may
	// be nil.
	OnEnded func(ended *Distribution[R])
}

// ErrNotStored means that a node has answered that it did not store the records of a notice.
var ErrNotStored = errors.New("holders: the node did not store the records")

// Notice tells how one copy of some records to a holder ended.
type Notice struct {
	Holder identity.NodeName
	// Records is the number of records.
	Records int
	// Err is nil if the holder has stored them. It wraps ErrNotStored or the error of the call.
	Err error
}

// Distributor copies records to their holders. It is safe for concurrent use.
type Distributor[R any] struct {
	config  Config[R]
	members atomic.Pointer[Members]

	// mutex guards the fields below.
	mutex   sync.Mutex
	senders map[identity.NodeName]*sender[R]
	// unconfirmed holds the records that too few holders have stored.
	unconfirmed map[Key]R
}

// NewDistributor returns a distributor without members.
func NewDistributor[R any](config Config[R]) *Distributor[R] {
	made := &Distributor[R]{config: config, senders: map[identity.NodeName]*sender[R]{}, unconfirmed: map[Key]R{}}
	made.SetView(membership.View{})
	return made
}

// SetView updates the members.
func (d *Distributor[R]) SetView(view membership.View) { d.members.Store(MembersOf(view)) }

// Members returns the members of the last view.
func (d *Distributor[R]) Members() *Members { return d.members.Load() }

// Distribution is one record on its way to its holders.
type Distribution[R any] struct {
	record    R
	startedAt time.Duration
	// candidates are the possible holders by rank. The first of them are sent the record at
	// once, each further one after a failure; next is the first that was not.
	candidates []identity.Node
	next       atomic.Int32
	// open counts the notices without an outcome, stored those that succeeded.
	open, stored atomic.Int32
	// done is closed once all notices have an outcome, enough once enoughCount nodes have stored
	// the record, or done is closed.
	done, enough chan struct{}
	enoughCount  int
	enoughOnce   sync.Once
	// repeats is set if the record is distributed again should too few nodes have stored it.
	repeats bool
	// retells is how often the record is sent again to a node that has not stored it.
	retells int
}

// Done returns a channel that is closed once all notices have an outcome.
func (o *Distribution[R]) Done() <-chan struct{} { return o.done }

// Enough returns a channel that is closed once enough nodes have stored the record, or all notices
// have an outcome.
func (o *Distribution[R]) Enough() <-chan struct{} { return o.enough }

func (o *Distribution[R]) closeEnough() { o.enoughOnce.Do(func() { close(o.enough) }) }

// Stored returns the number of holders that have stored the record.
func (o *Distribution[R]) Stored() int { return int(o.stored.Load()) }

// sender sends the records for one holder, several in a notice while an earlier one is under
// way. The distributor's mutex guards it.
type sender[R any] struct {
	queue []*Distribution[R]
}

// holders returns the nodes that may store a record, by rank.
func (d *Distributor[R]) holders(key Key) []identity.Node {
	if d.config.Peers == nil {
		return nil
	}
	members := d.members.Load()
	ranked := members.Reachable.Rank(key, d.config.Self, Queried, CopiesPerZone)
	if d.config.Leaving && len(ranked) < Copies {
		ranked = lo.Uniq(append(ranked, members.All.Rank(key, d.config.Self, Queried, CopiesPerZone)...))
	}
	return ranked
}

// RoundTrip returns the round trip time to a zone.
func (d *Distributor[R]) RoundTrip(zone identity.Zone) time.Duration {
	if d.config.RoundTrip == nil {
		return 0
	}
	return d.config.RoundTrip(zone)
}

// Distribute starts to copy a record to its holders. It does not block.
func (d *Distributor[R]) Distribute(record R) *Distribution[R] {
	candidates := d.holders(d.config.Key(record))
	return d.distribute(&Distribution[R]{record: record, candidates: candidates, repeats: true, enoughCount: EnoughCopies}, Copies)
}

// Broadcast starts to copy a record to all other nodes. Enough of them have stored it once enough
// nodes have. It does not block.
func (d *Distributor[R]) Broadcast(record R, enough int) *Distribution[R] {
	nodes := d.members.Load().Reachable.nodes
	if d.config.Leaving {
		nodes = d.members.Load().All.nodes
	}
	var others []identity.Node
	if d.config.Peers != nil {
		others = lo.Reject(nodes, func(node identity.Node, _ int) bool { return node.Name == d.config.Self })
	}
	return d.distribute(&Distribution[R]{record: record, candidates: others, repeats: true, enoughCount: enough, retells: retellCount}, len(others))
}

// SendTo starts to copy a record to one other node. It does not block.
func (d *Distributor[R]) SendTo(record R, node identity.Node) {
	d.distribute(&Distribution[R]{record: record, candidates: []identity.Node{node}}, 1)
}

// distribute starts to copy a record to the first count candidates.
func (d *Distributor[R]) distribute(one *Distribution[R], count int) *Distribution[R] {
	one.startedAt, one.done, one.enough = d.config.Now(), make(chan struct{}), make(chan struct{})
	first := one.candidates[:min(count, len(one.candidates))]
	one.next.Store(int32(len(first)))
	one.open.Store(int32(len(first)))
	for _, holder := range first {
		d.enqueue(holder, one)
	}
	if len(first) == 0 {
		d.ended(one)
	}
	return one
}

// enqueue adds a record to a holder's queue and starts its sender if there is none.
func (d *Distributor[R]) enqueue(holder identity.Node, one *Distribution[R]) {
	if !d.tryEnqueue(holder, one) {
		d.failed(one)
	}
}

// tryEnqueue returns false if the holder's queue is full.
func (d *Distributor[R]) tryEnqueue(holder identity.Node, one *Distribution[R]) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	existing, running := d.senders[holder.Name]
	if !running {
		d.senders[holder.Name] = &sender[R]{queue: []*Distribution[R]{one}}
		go d.send(holder)
		return true
	}
	if len(existing.queue) >= maxQueue {
		return false
	}
	existing.queue = append(existing.queue, one)
	return true
}

// send sends the queued records of a holder until there are none.
func (d *Distributor[R]) send(holder identity.Node) {
	for {
		d.mutex.Lock()
		queue := d.senders[holder.Name].queue
		if len(queue) == 0 {
			delete(d.senders, holder.Name)
			d.mutex.Unlock()
			return
		}
		batch := queue[:min(len(queue), maxBatch)]
		d.senders[holder.Name].queue = queue[len(batch):]
		d.mutex.Unlock()
		err := d.sendBatch(holder, batch)
		stored := err == nil
		d.config.OnNotice(Notice{Holder: holder.Name, Records: len(batch), Err: err})
		for _, one := range batch {
			if stored {
				if one.stored.Add(1) == int32(one.enoughCount) {
					one.closeEnough()
				}
				d.settled(one)
			} else {
				if !errors.Is(err, peer.ErrUnknownKind) {
					d.retellLater(holder, one)
				}
				d.failed(one)
			}
		}
	}
}

// sendBatch sends a notice, and sends it again while there is no answer: either may be lost.
func (d *Distributor[R]) sendBatch(holder identity.Node, batch []*Distribution[R]) error {
	roundTrips := 2 * d.RoundTrip(holder.Zone)
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout+roundTrips)
	defer cancel()
	outcomes := make(chan error, maxCalls)
	calls := 0
	call := func() {
		calls++
		message := d.newNotice(batch)
		go func() { outcomes <- d.call(ctx, holder, message) }()
	}
	call()
	ticker := time.NewTicker(resendInterval + roundTrips)
	defer ticker.Stop()
	for ended := 0; ; {
		select {
		case err := <-outcomes:
			if ended++; err == nil || ended == calls {
				return err
			}
		case <-ticker.C:
			if calls < maxCalls {
				call()
			}
		}
	}
}

func (d *Distributor[R]) newNotice(batch []*Distribution[R]) peer.Message {
	now := d.config.Now()
	return d.config.Notice(lo.Map(batch, func(one *Distribution[R], _ int) Dated[R] {
		return Dated[R]{Record: one.record, Age: now - one.startedAt}
	}))
}

func (d *Distributor[R]) call(ctx context.Context, holder identity.Node, notice peer.Message) error {
	answer, err := d.config.Peers.Call(ctx, holder.PeerAddress, notice, nil)
	switch {
	case err != nil:
		return fmt.Errorf("holders: notice: %w", err)
	case !d.config.Stored(answer):
		return ErrNotStored
	}
	return nil
}

// retellLater sends a record that all nodes are told again to one that has not stored it.
func (d *Distributor[R]) retellLater(holder identity.Node, one *Distribution[R]) {
	if one.retells == 0 {
		return
	}
	time.AfterFunc(retellPause, func() {
		current, found := d.config.Current(one.record)
		member := lo.ContainsBy(d.members.Load().All.nodes, func(node identity.Node) bool {
			return node.Name == holder.Name && node.Incarnation == holder.Incarnation
		})
		if found && member {
			d.distribute(&Distribution[R]{record: current, candidates: []identity.Node{holder}, retells: one.retells - 1}, 1)
		}
	})
}

// failed sends a record to the next holder in rank.
func (d *Distributor[R]) failed(one *Distribution[R]) {
	if next := int(one.next.Add(1)) - 1; next < len(one.candidates) {
		d.enqueue(one.candidates[next], one)
		return
	}
	d.settled(one)
}

// settled counts the outcome of a record at one of its holders.
func (d *Distributor[R]) settled(one *Distribution[R]) {
	if one.open.Add(-1) == 0 {
		d.ended(one)
	}
}

// ended keeps a record that too few holders have stored, to distribute it again.
func (d *Distributor[R]) ended(one *Distribution[R]) {
	defer close(one.done)
	defer one.closeEnough()
	if d.config.OnEnded != nil && one.repeats {
		d.config.OnEnded(one)
	}
	stored := one.Stored()
	if d.config.Peers == nil || !one.repeats || stored >= EnoughCopies {
		return
	}
	// A node that knows no others has just started, or is cut off.
	key := d.config.Key(one.record)
	if stored >= max(len(d.holders(key)), 1) {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.unconfirmed) < maxUnconfirmed {
		d.unconfirmed[key] = one.record
	}
}

// Run distributes records again that too few holders have stored, until ctx ends.
func (d *Distributor[R]) Run(ctx context.Context) {
	ticker := time.NewTicker(RedistributeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.redistribute()
		case <-ctx.Done():
			return
		}
	}
}

func (d *Distributor[R]) redistribute() {
	d.mutex.Lock()
	again := slices.Collect(maps.Values(d.unconfirmed))
	clear(d.unconfirmed)
	d.mutex.Unlock()
	for _, record := range again {
		if current, found := d.config.Current(record); found && len(d.members.Load().All.nodes) > 1 {
			d.Distribute(current)
		}
	}
}
