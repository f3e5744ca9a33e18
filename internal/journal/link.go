package journal

import (
	"context"
	"errors"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wait"
)

// link is the owner's view of one replica of one shard. The shard's mutex guards
// it.
type link struct {
	node identity.Node
	// match is the index of the last record that the replica confirmed.
	match uint64
	// generation is that of the last full tail that the replica accepted; 0 if it
	// accepted none from this owner.
	generation uint64
	// sending is true while a goroutine sends to the replica.
	sending bool
	// granted is when the latest renewal that the replica granted was sent.
	granted time.Time
	// promised is the epoch that the replica promised to another claim.
	promised identity.Epoch
	// revokedThrough is the highest Renewal.RevokedThrough that the replica confirmed.
	revokedThrough uint64
	// restarted is true if the replica's process restarted and lost its tail.
	restarted bool
}

// errFenced reports that a shard was lost because its replicas promised a higher
// epoch.
var errFenced = errors.New("journal: replicas promised a higher epoch")

// addLinks adds links to the replicas that have none. The caller holds mutex or has
// exclusive access to the shard.
func (s *ownedShard) addLinks(replicas []identity.Node) {
	for _, replica := range replicas {
		if s.links[replica.Reference()] == nil {
			s.links[replica.Reference()] = &link{node: replica}
		}
	}
}

// startSenders starts a sender for each replica that is behind and has none. A
// replica has at most one request in flight; records enqueued meanwhile form the
// next batch, so that batch size follows the load. The caller holds mutex.
func (s *ownedShard) startSenders() {
	for _, link := range s.links {
		if !link.sending && s.isBehind(link) {
			link.sending = true
			s.manager.tasks.Go(func() { s.send(link) })
		}
	}
}

// isBehind reports whether there is something to send. A replica without records
// needs none while the log has them all. The caller holds mutex.
func (s *ownedShard) isBehind(link *link) bool {
	if s.lossReason != nil || link.restarted || link.promised > s.claim.Epoch || s.links[link.node.Reference()] != link {
		return false
	}
	if len(s.tail.Entries) == 0 && !s.tail.Compacted {
		link.match = max(link.match, s.tail.After)
		return false
	}
	return link.generation < s.generation || link.match < s.tail.Last()
}

// Bounds of the backoff after a request to a replica failed.
const (
	minReplicaBackoff = 20 * time.Millisecond
	maxReplicaBackoff = time.Second
)

// send brings one replica up to date and returns.
func (s *ownedShard) send(link *link) {
	for failures := 0; ; {
		s.mutex.Lock()
		if !s.isBehind(link) {
			link.sending = false
			s.mutex.Unlock()
			return
		}
		write, generation := s.nextWrite(link), s.generation
		s.mutex.Unlock()
		answer, err := s.sendWrite(link.node, write)
		if err != nil {
			pause := min(minReplicaBackoff<<min(failures, 10), maxReplicaBackoff)
			failures++
			_ = wait.For(s.ctx, pause/2+s.manager.random.duration(pause/2)) // isBehind checks whether the shard was lost
			continue
		}
		failures = 0
		s.handleWriteResponse(link, write, generation, answer)
	}
}

// nextWrite returns the next request to the replica. The caller holds mutex.
func (s *ownedShard) nextWrite(link *link) Write {
	write := Write{
		Epoch: s.claim.Epoch, TailFrom: s.claim.TailFrom,
		Owner: s.manager.config.Self.Reference(), Logged: s.logged, Term: s.term,
	}
	entries, reaches := s.tail.From(link.match, s.manager.config.BatchBytes)
	if link.generation < s.generation || !reaches {
		write.Full = true
		write.Tail = s.tail
		if s.authorization > 0 {
			write.Authorization, write.Claim = s.authorization, s.claim
		}
		return write
	}
	write.Tail = Tail{After: link.match, Entries: entries}
	return write
}

// minLinkBytesPerSecond is the assumed minimum network throughput; it extends the
// timeout of large writes.
const minLinkBytesPerSecond = 1 << 20

func (s *ownedShard) sendWrite(node identity.Node, write Write) (WriteResponse, error) {
	request := &appendRequest{To: node.Reference(), Shard: s.id, Write: write}
	timeout := s.manager.config.ReplicaTimeout + time.Duration(write.Tail.Bytes()/minLinkBytesPerSecond)*time.Second
	message, err := s.manager.callWithin(s.ctx, timeout, node, request, nil)
	if err != nil {
		return WriteResponse{}, err
	}
	answer, fits := message.(*appendResponse)
	if !fits {
		return WriteResponse{}, errUnexpectedResponse
	}
	return answer.Response, nil
}

// errUnexpectedResponse reports a response of the wrong message type.
var errUnexpectedResponse = errors.New("journal: unexpected response")

func (s *ownedShard) handleWriteResponse(link *link, write Write, generation uint64, answer WriteResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch answer.Status {
	case Fenced:
		// An interim owner has the same epoch and a higher term.
		link.promised = max(answer.Promised, write.Epoch+1)
		// The epoch may have risen since the request was sent.
		if link.promised > s.claim.Epoch {
			s.contested = true
			s.signalWriter()
		}
	case Gap:
		link.generation = 0
	case OtherIncarnation:
		s.markRestarted(link)
	case Granted:
		if write.Full {
			link.generation = generation
		}
		link.match = max(link.match, write.Tail.Last())
		s.advance()
	}
}

// handleRenewalRejected records that a replica rejected a renewal: the log has
// another node's claim, and the writer checks whether that node took the shard over.
func (s *ownedShard) handleRenewalRejected(node identity.Node) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if link := s.links[node.Reference()]; link != nil {
		link.promised = max(link.promised, s.claim.Epoch+1)
	}
	s.contested = true
	s.signalWriter()
}

// markRestarted records that the replica lost its tail in a restart; sweepLoop
// replaces it. The caller holds mutex.
func (s *ownedShard) markRestarted(link *link) {
	if link.restarted {
		return
	}
	link.restarted = true
	link.match, link.granted = 0, time.Time{}
}

// updateLease recomputes the end of the lease. The caller holds mutex.
func (s *ownedShard) updateLease() {
	end := s.leaseEndOf(s.claim.Replicas)
	if s.next != nil && s.next.joint {
		if other := s.leaseEndOf(s.next.replicas); other.Before(end) {
			end = other
		}
	}
	if end.IsZero() {
		s.leaseUntil.Store(0)
		return
	}
	s.leaseUntil.Store(int64(end.Sub(s.manager.start)))
}

func (s *ownedShard) leaseEndOf(replicas []identity.Node) time.Time {
	granted := make([]time.Time, len(replicas))
	for i, replica := range replicas {
		if link := s.links[replica.Reference()]; link != nil {
			granted[i] = link.granted
		}
	}
	return leaseEnd(granted, s.manager.config.Lease)
}

// dropLinks removes the links to replicas that are not in the claim, and makes those
// replicas drop the tail. The caller holds mutex.
func (s *ownedShard) dropLinks() {
	named := map[identity.Reference]bool{}
	for _, replica := range s.claim.Replicas {
		named[replica.Reference()] = true
	}
	for reference, link := range s.links {
		if named[reference] {
			continue
		}
		delete(s.links, reference)
		s.manager.dropReplica(link.node, s.id, s.claim.Epoch)
	}
}

// dropReplica makes a node that is no longer a replica of shard drop its tail. It is
// best effort; the node's collectGarbage covers failures.
func (m *Manager) dropReplica(node identity.Node, shard identity.ShardID, epoch identity.Epoch) {
	m.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(m.running, m.config.ReplicaTimeout)
		defer cancel()
		request := &releaseRequest{Shard: shard, Owner: m.config.Self.Reference(), Drop: true, Epoch: epoch}
		_, _ = m.call(ctx, node, request, nil) // best effort
	})
}
