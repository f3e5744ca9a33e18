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

// replicaSlot is this node's replica of one shard. mutex guards replica.
type replicaSlot struct {
	mutex   sync.Mutex
	replica Replica
}

func (s *replicaSlot) bytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.Bytes()
}

func (s *replicaSlot) leaseHolder(now time.Time) (identity.Reference, identity.Epoch, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.LeaseHolder(now)
}

// lapsedEpoch returns the epoch of the tail, and whether there is a tail whose
// lease has expired.
func (s *replicaSlot) lapsedEpoch(now time.Time) (identity.Epoch, bool) {
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
	registry.Add(messageConstructors...)
	for _, kind := range []peer.Kind{
		kindAppend, kindRenew, kindPreVote, kindPromise, kindHandOver, kindClaimNow, kindRelease,
	} {
		registry.Handle(kind, peer.HandlerFunc(m.handle))
	}
}

// handle serves one request, from another node or from this one.
func (m *Manager) handle(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	switch request := request.(type) {
	case *appendRequest:
		return m.handleAppend(request)
	case *renewRequest:
		return m.handleRenew(request)
	case *preVoteRequest:
		return m.handlePreVote(request)
	case *promiseRequest:
		return m.handlePromise(request, sendPart)
	case *releaseRequest:
		return m.handleRelease(request)
	case *handOverRequest:
		return m.handleHandOver(ctx, request)
	case *claimNowRequest:
		return m.handleClaimNow(request)
	}
	return nil, fmt.Errorf("journal: unexpected message kind %d", request.Kind())
}

// replica returns the slot of shard, or an error if the number is out of range.
func (m *Manager) replica(shard identity.ShardID) (*replicaSlot, error) {
	if int(shard) >= len(m.replicas) {
		return nil, fmt.Errorf("journal: shard %d of %d", shard, len(m.replicas))
	}
	return &m.replicas[shard], nil
}

func (m *Manager) handleAppend(request *appendRequest) (peer.Message, error) {
	slot, err := m.replica(request.Shard)
	if err != nil {
		return nil, err
	}
	if request.To != m.config.Self.Reference() {
		return &appendResponse{Response: WriteResponse{Status: OtherIncarnation}}, nil
	}
	slot.mutex.Lock()
	answer := slot.replica.Append(request.Write)
	slot.mutex.Unlock()
	if answer.Status == Fenced {
		m.counters.fenced.Add(1)
	}
	return &appendResponse{Response: answer}, nil
}

func (m *Manager) handleRenew(request *renewRequest) (peer.Message, error) {
	if request.To != m.config.Self.Reference() {
		return &renewResponse{OtherIncarnation: true}, nil
	}
	answer := &renewResponse{}
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

// formerLeaseRemaining returns how long a lease that an earlier incarnation of this
// node granted may still be valid; that incarnation ended before this one started.
func (m *Manager) formerLeaseRemaining() time.Duration {
	return max(m.config.Lease.ReplicaDuration()-time.Since(m.start), 0)
}

func (m *Manager) handlePreVote(request *preVoteRequest) (peer.Message, error) {
	slot, err := m.replica(request.Shard)
	if err != nil {
		return nil, err
	}
	if request.To != m.config.Self.Reference() {
		return &preVoteResponse{OtherIncarnation: true, Remaining: m.formerLeaseRemaining()}, nil
	}
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	return &preVoteResponse{
		Remaining:  slot.replica.Remaining(time.Now()),
		Promised:   slot.replica.Promised(),
		Term:       slot.replica.term,
		Authorized: slot.replica.authorizesInterim(),
		Claim:      slot.replica.claim,
	}, nil
}

// promisePartBytes is the maximum size of one part of an encoded tail.
const promisePartBytes = 256 << 10

func (m *Manager) handlePromise(request *promiseRequest, sendPart func(peer.Message) error) (peer.Message, error) {
	slot, err := m.replica(request.Shard)
	if err != nil {
		return nil, err
	}
	if request.To != m.config.Self.Reference() {
		return &promiseResponse{Status: OtherIncarnation, Remaining: m.formerLeaseRemaining()}, nil
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
	return &promiseResponse{
		Status:    promise.Status,
		Promised:  promise.Promised,
		Remaining: promise.Remaining,
		TailEpoch: promise.TailEpoch,
		TailTerm:  promise.TailTerm,
	}, nil
}

func (m *Manager) handleRelease(request *releaseRequest) (peer.Message, error) {
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
