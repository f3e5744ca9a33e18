package journal

import (
	"context"
	"errors"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wait"
)

// link is what the owner knows of one replica of one shard. The shard's mutex
// guards it.
type link struct {
	node identity.Node
	// match is the last record that the replica is known to hold.
	match uint64
	// generation is that of the whole tail which the replica took last; 0 if it
	// took none in this ownership.
	generation uint64
	// sending is true while a goroutine sends to the replica.
	sending bool
	// granted is when the last renewal was sent that the replica granted.
	granted time.Time
	// fenced is the epoch that the replica has promised to another claim.
	fenced identity.Epoch
	// quiet is the highest Renewal.Quiet that the replica took.
	quiet uint64
	// gone tells that the replica's process restarted: this copy is no more.
	gone bool
}

// errFenced is why a shard is lost whose replicas promised a higher epoch.
var errFenced = errors.New("journal: replicas promised a higher epoch")

// addLinks makes links to the replicas that have none. The caller holds mutex,
// or has the shard for itself.
func (s *ownedShard) addLinks(replicas []identity.Node) {
	for _, replica := range replicas {
		if s.links[replica.Reference()] == nil {
			s.links[replica.Reference()] = &link{node: replica}
		}
	}
}

// kickLinks starts a sender for each replica that lacks something and has none.
// One message is under way to a replica at a time; records that come meanwhile
// gather for the next, so that the size of a group follows the load. The caller
// holds mutex.
func (s *ownedShard) kickLinks() {
	for _, link := range s.links {
		if !link.sending && s.lacks(link) {
			link.sending = true
			s.manager.tasks.Go(func() { s.send(link) })
		}
	}
}

// lacks tells whether there is something to send. A replica that took nothing yet
// needs nothing while the log holds all. The caller holds mutex.
func (s *ownedShard) lacks(link *link) bool {
	if s.gone != nil || link.gone || link.fenced > s.claim.Epoch || s.links[link.node.Reference()] != link {
		return false
	}
	if len(s.tail.Entries) == 0 && !s.tail.Folded {
		link.match = max(link.match, s.tail.After)
		return false
	}
	return link.generation < s.generation || link.match < s.tail.Last()
}

// The bounds of the pause after a replica did not answer.
const (
	replicaPauseShortest = 20 * time.Millisecond
	replicaPauseLongest  = time.Second
)

// send brings one replica up to date and returns.
func (s *ownedShard) send(link *link) {
	for failures := 0; ; {
		s.mutex.Lock()
		if !s.lacks(link) {
			link.sending = false
			s.mutex.Unlock()
			return
		}
		write, generation := s.nextWrite(link), s.generation
		s.mutex.Unlock()
		answer, err := s.sendWrite(link.node, write)
		if err != nil {
			pause := min(replicaPauseShortest<<min(failures, 10), replicaPauseLongest)
			failures++
			_ = wait.For(s.ctx, pause/2+s.manager.random.duration(pause/2)) // lacks looks at the shard's end
			continue
		}
		failures = 0
		s.takeAnswer(link, write, generation, answer)
	}
}

// nextWrite returns what the replica gets next. The caller holds mutex.
func (s *ownedShard) nextWrite(link *link) Write {
	write := Write{
		Epoch: s.claim.Epoch, TailFrom: s.claim.TailFrom,
		Owner: s.manager.config.Self.Reference(), Logged: s.logged, Term: s.term,
	}
	entries, reaches := s.tail.From(link.match, s.manager.config.BatchBytes)
	if link.generation < s.generation || !reaches {
		write.Whole = true
		write.Tail = s.tail
		if s.arming > 0 {
			write.Armed, write.Claim = s.arming, s.claim
		}
		return write
	}
	write.Tail = Tail{After: link.match, Entries: entries}
	return write
}

// slowLinkBytes is what the slowest link carries in a second: a large tail gets
// more time.
const slowLinkBytes = 1 << 20

func (s *ownedShard) sendWrite(node identity.Node, write Write) (WriteAnswer, error) {
	request := &appendMessage{To: node.Reference(), Shard: s.id, Write: write}
	timeout := s.manager.config.ReplicaTimeout + time.Duration(write.Tail.Bytes()/slowLinkBytes)*time.Second
	message, err := s.manager.callWithin(s.ctx, timeout, node, request, nil)
	if err != nil {
		return WriteAnswer{}, err
	}
	answer, fits := message.(*appendAnswer)
	if !fits {
		return WriteAnswer{}, errUnexpectedAnswer
	}
	return answer.Answer, nil
}

// errUnexpectedAnswer tells of an answer of another kind than asked for.
var errUnexpectedAnswer = errors.New("journal: unexpected answer")

func (s *ownedShard) takeAnswer(link *link, write Write, generation uint64, answer WriteAnswer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch answer.Refusal {
	case Fenced:
		// An interim owner has the same epoch and a higher term.
		link.fenced = max(answer.Promised, write.Epoch+1)
		// The epoch may have risen since the message was sent.
		if link.fenced > s.claim.Epoch {
			s.contested = true
			s.kickWriter()
		}
	case Missing:
		link.generation = 0
	case OtherLife:
		s.loseReplica(link)
	case Granted:
		if write.Whole {
			link.generation = generation
		}
		link.match = max(link.match, write.Tail.Last())
		s.advance()
	}
}

// contest takes note that a replica refused to renew: another node's claim stands
// in the log, and the writer looks whether it took the shard over.
func (s *ownedShard) contest(node identity.Node) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if link := s.links[node.Reference()]; link != nil {
		link.fenced = max(link.fenced, s.claim.Epoch+1)
	}
	s.contested = true
	s.kickWriter()
}

// loseReplica takes note that the replica's memory is gone; the sweep exchanges it.
// The caller holds mutex.
func (s *ownedShard) loseReplica(link *link) {
	if link.gone {
		return
	}
	link.gone = true
	link.match, link.granted = 0, time.Time{}
}

// updateLease works out when the lease ends. The caller holds mutex.
func (s *ownedShard) updateLease() {
	end := s.leaseOf(s.claim.Replicas)
	if s.next != nil && s.next.joint {
		if other := s.leaseOf(s.next.replicas); other.Before(end) {
			end = other
		}
	}
	if end.IsZero() {
		s.leaseUntil.Store(0)
		return
	}
	s.leaseUntil.Store(int64(end.Sub(s.manager.start)))
}

func (s *ownedShard) leaseOf(replicas []identity.Node) time.Time {
	granted := make([]time.Time, len(replicas))
	for i, replica := range replicas {
		if link := s.links[replica.Reference()]; link != nil {
			granted[i] = link.granted
		}
	}
	return leaseEnd(granted, s.manager.config.Lease)
}

// dropLinks ends the links to replicas that the claim does not name, and lets
// those replicas forget the tail. The caller holds mutex.
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

// dropReplica lets a node that is not a replica of shard any more forget it, as
// far as it can be reached; sweepLoop covers the rest.
func (m *Manager) dropReplica(node identity.Node, shard identity.ShardID, epoch identity.Epoch) {
	m.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(m.running, m.config.ReplicaTimeout)
		defer cancel()
		request := &releaseMessage{Shard: shard, Owner: m.config.Self.Reference(), Drop: true, Epoch: epoch}
		_, _ = m.call(ctx, node, request, nil) // an unreachable node is swept later
	})
}
