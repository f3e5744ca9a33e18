package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// replicaSlot is this node's replica of one shard under its lock.
type replicaSlot struct {
	mutex   sync.Mutex
	replica Replica
}

func (s *replicaSlot) bytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.Bytes()
}

func (s *replicaSlot) holder(now time.Time) (identity.Reference, identity.Epoch, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.Holder(now)
}

// unattended returns the epoch of a tail whose lease ran out.
func (s *replicaSlot) unattended(now time.Time) (identity.Epoch, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.epoch, s.replica.Bytes() > 0 && s.replica.Remaining(now) == 0
}

func (s *replicaSlot) drop(epoch identity.Epoch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replica.Drop(epoch)
}

// Register adds the journal's messages and handlers to registry.
func (m *Manager) Register(registry *peer.Registry) {
	registry.Add(messageMakers...)
	for _, kind := range []peer.Kind{
		kindAppend, kindRenew, kindPreVote, kindPromise, kindHandOver, kindClaimNow, kindRelease,
	} {
		registry.Handle(kind, peer.HandlerFunc(m.handle))
	}
}

// handle answers one request of another node, or of this one.
func (m *Manager) handle(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	switch request := request.(type) {
	case *appendMessage:
		return m.handleAppend(request)
	case *renewMessage:
		return m.handleRenew(request)
	case *preVoteMessage:
		return m.handlePreVote(request)
	case *promiseMessage:
		return m.handlePromise(request, sendPart)
	case *releaseMessage:
		return m.handleRelease(request)
	case *handOverMessage:
		return m.handleHandOver(ctx, request)
	case *claimNowMessage:
		return m.handleClaimNow(request)
	}
	return nil, fmt.Errorf("journal: unexpected message kind %d", request.Kind())
}

// replica returns the slot of shard, with an error for a shard that this site
// does not have.
func (m *Manager) replica(shard identity.ShardID) (*replicaSlot, error) {
	if int(shard) >= len(m.replicas) {
		return nil, fmt.Errorf("journal: shard %d of %d", shard, len(m.replicas))
	}
	return &m.replicas[shard], nil
}

func (m *Manager) handleAppend(request *appendMessage) (peer.Message, error) {
	slot, err := m.replica(request.Shard)
	if err != nil {
		return nil, err
	}
	if request.To != m.config.Self.Reference() {
		return &appendAnswer{Answer: WriteAnswer{Refusal: OtherLife}}, nil
	}
	slot.mutex.Lock()
	answer := slot.replica.Append(request.Write)
	slot.mutex.Unlock()
	if answer.Refusal == Fenced {
		m.counters.fenced.Add(1)
	}
	return &appendAnswer{Answer: answer}, nil
}

func (m *Manager) handleRenew(request *renewMessage) (peer.Message, error) {
	if request.To != m.config.Self.Reference() {
		return &renewAnswer{OtherLife: true}, nil
	}
	answer := &renewAnswer{}
	for _, renewal := range request.Renewals {
		slot, err := m.replica(renewal.Shard)
		if err != nil {
			return nil, err
		}
		slot.mutex.Lock()
		refusal := slot.replica.Renew(time.Now(), request.Owner, renewal, m.config.Lease)
		slot.mutex.Unlock()
		if refusal != Granted {
			m.counters.fenced.Add(1)
			answer.Fenced = append(answer.Fenced, renewal.Shard)
		}
	}
	return answer, nil
}

// formerGrants returns how long a lease that a former life of this node granted
// may still run: that life ended before this one began.
func (m *Manager) formerGrants() time.Duration {
	return max(m.config.Lease.Hold()-time.Since(m.start), 0)
}

func (m *Manager) handlePreVote(request *preVoteMessage) (peer.Message, error) {
	slot, err := m.replica(request.Shard)
	if err != nil {
		return nil, err
	}
	if request.To != m.config.Self.Reference() {
		return &preVoteAnswer{OtherLife: true, Remaining: m.formerGrants()}, nil
	}
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	return &preVoteAnswer{
		Remaining: slot.replica.Remaining(time.Now()),
		Promised:  slot.replica.Promised(),
		Term:      slot.replica.term,
		Armed:     slot.replica.isArmed(),
		Claim:     slot.replica.claim,
	}, nil
}

// promisePartBytes is the size of one piece of a tail.
const promisePartBytes = 256 << 10

func (m *Manager) handlePromise(request *promiseMessage, sendPart func(peer.Message) error) (peer.Message, error) {
	slot, err := m.replica(request.Shard)
	if err != nil {
		return nil, err
	}
	if request.To != m.config.Self.Reference() {
		return &promiseAnswer{Refusal: OtherLife, Remaining: m.formerGrants()}, nil
	}
	slot.mutex.Lock()
	var promise Promise
	if request.Term > 0 {
		promise = slot.replica.PromiseInterim(time.Now(), request.Epoch, request.Term, request.Claimant)
	} else {
		promise = slot.replica.Promise(time.Now(), request.Epoch)
	}
	slot.mutex.Unlock()
	encoder := &wire.Encoder{}
	promise.Tail.encode(encoder)
	for rest := encoder.Bytes(); len(rest) > 0; {
		size := min(len(rest), promisePartBytes)
		if err := sendPart(&promisePart{Bytes: rest[:size]}); err != nil {
			return nil, err
		}
		rest = rest[size:]
	}
	return &promiseAnswer{
		Refusal:   promise.Refusal,
		Promised:  promise.Promised,
		Remaining: promise.Remaining,
		TailEpoch: promise.TailEpoch,
		TailTerm:  promise.TailTerm,
	}, nil
}

func (m *Manager) handleRelease(request *releaseMessage) (peer.Message, error) {
	slot, err := m.replica(request.Shard)
	if err != nil {
		return nil, err
	}
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	if request.Drop {
		slot.replica.Drop(request.Epoch)
	} else {
		slot.replica.Release(request.Owner, request.Epoch)
	}
	return &doneMessage{}, nil
}
