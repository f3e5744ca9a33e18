package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/wire"
)

// headerReserve is the space reserved for the header of a sync reply, whose updates are
// packed first.
const headerReserve = 512

// send adds a datagram to the outbox. Adverse information about the receiver comes first,
// so that the receiver can refute it. Gossip fills the remaining space.
func (s *State) send(to netip.AddrPort, receiver *record, message *datagram) {
	if !to.IsValid() {
		return
	}
	message.digest = s.digest()
	message.sender = s.self.update
	header := wire.NewEncoder(make([]byte, 0, headerReserve))
	message.encodeHeader(header)
	packer := packer{limit: MaxDatagram - len(header.Bytes()) - 2}
	if receiver != nil {
		packer.addRefutable(receiver)
	}
	for i := range message.updates {
		packer.add(&message.updates[i])
	}
	if message.kind != kindSyncReply {
		s.packGossip(&packer)
	}
	header.Uint16(packer.count)
	payload := append(header.Bytes(), packer.packed.Bytes()...)
	s.outbox = append(s.outbox, Datagram{To: to, Payload: payload})
}

// packer collects encoded updates up to its limit in bytes.
type packer struct {
	packed wire.Encoder
	limit  int
	count  uint16
}

// add appends an update and reports whether it fits.
func (p *packer) add(u *update) bool {
	var encoded wire.Encoder
	u.encode(&encoded)
	if len(p.packed.Bytes())+len(encoded.Bytes()) > p.limit {
		return false
	}
	p.packed = *wire.NewEncoder(append(p.packed.Bytes(), encoded.Bytes()...))
	p.count++
	return true
}

// addRefutable adds any adverse information about the receiver.
func (p *packer) addRefutable(receiver *record) {
	if receiver.wireStatus.adverse() {
		p.add(&receiver.update)
		return
	}
	if receiver.reportedDead && receiver.reportedDeadAt >= receiver.refutation {
		adverse := receiver.update
		adverse.wireStatus, adverse.refutation = wireDead, receiver.reportedDeadAt
		p.add(&adverse)
	}
}

// packGossip adds the least transmitted updates, and drops those that have been transmitted
// often enough.
func (s *State) packGossip(p *packer) {
	slices.SortStableFunc(s.gossip, func(a, b *record) int { return cmp.Compare(b.transmitsLeft, a.transmitsLeft) })
	kept := s.gossip[:0]
	full := false
	for _, member := range s.gossip {
		if member.transmitsLeft > 0 && !full && p.add(&member.update) {
			member.transmitsLeft--
		} else if member.transmitsLeft > 0 {
			full = true
		}
		if member.transmitsLeft > 0 {
			kept = append(kept, member)
		} else {
			member.queued = false
		}
	}
	clear(s.gossip[len(kept):])
	s.gossip = kept
}

// syncRetryInterval is the approximate delay of the next sync if there was no reply to the
// last one, or if it contained unknown members, so that more may be missing.
const syncRetryInterval = 300 * time.Millisecond

// recordSync records whether a datagram of a sync reply contained unknown members. The next
// sync follows soon if so, and is postponed otherwise.
func (s *State) recordSync(now time.Time, foundNew bool) {
	switch {
	case foundNew && !s.syncFoundNew:
		s.syncFoundNew = true
		s.nextSync = now.Add(s.syncRetryDelay())
	case !s.syncFoundNew:
		// The reply may have been truncated because of other requests.
		pause := s.config.SyncInterval / 2
		s.nextSync = now.Add(pause + time.Duration(s.random.Int64N(int64(pause)+1)))
	}
}

// syncRetryDelay returns the randomized delay of the next sync.
func (s *State) syncRetryDelay() time.Duration {
	return syncRetryInterval + time.Duration(s.random.Int64N(int64(syncRetryInterval)))
}

// compareViews requests a sync from the sender if views have differed for longer than
// gossip takes.
func (s *State) compareViews(now time.Time, from netip.AddrPort, message *datagram) {
	if message.digest == s.digest() {
		s.viewsDifferSince = time.Time{}
		return
	}
	if s.viewsDifferSince.IsZero() {
		s.viewsDifferSince = now
	}
	sender := s.records[message.sender.node.Name]
	if sender == nil || sender.wireStatus.terminal() || sender.compareGeneration(&message.sender) != 0 {
		return
	}
	if now.Sub(s.viewsDifferSince) < s.config.SyncPatience || now.Before(s.nextSync) {
		return
	}
	s.statistics.Syncs++
	s.nextSync = now.Add(s.syncRetryDelay())
	s.syncFoundNew = false
	s.sequence++
	s.send(from, sender, &datagram{kind: kindSyncRequest, sequence: s.sequence, buckets: s.digests[:]})
}

const (
	// syncBytesPerSecond and syncBurst limit the rate of a node's sync replies, so that
	// they do not saturate its link: a quarter of the slowest links, and at once two whole
	// replies of a thousand members.
	syncBytesPerSecond = 1 << 20
	syncBurst          = 200 << 10
	// minSyncDatagrams are sent regardless of the limit. When many nodes start at once and
	// sync with the same seed, they obtain the rest from members that they learn of.
	minSyncDatagrams = 2
)

// syncDatagramLimit returns the current limit of datagrams in a sync reply.
func (s *State) syncDatagramLimit(now time.Time) int {
	s.syncBudget = min(s.syncBudget+syncBytesPerSecond*now.Sub(s.syncBudgetAt).Seconds(), syncBurst)
	s.syncBudgetAt = now
	return max(int(s.syncBudget)/MaxDatagram, minSyncDatagrams)
}

// handleSyncRequest sends the members of the differing buckets, starting at a random member
// and up to the current limit.
func (s *State) handleSyncRequest(now time.Time, to netip.AddrPort, message *datagram) {
	maxDatagrams := s.syncDatagramLimit(now)
	reply := &datagram{kind: kindSyncReply, sequence: message.sequence}
	size, sent := 0, 0
	flush := func() {
		if len(reply.updates) > 0 {
			s.send(to, nil, reply)
			sent++
			s.syncBudget -= MaxDatagram
		}
		reply = &datagram{kind: kindSyncReply, sequence: message.sequence}
		size = 0
	}
	first := s.random.IntN(len(s.byName))
	for i := range s.byName {
		member := s.byName[(first+i)%len(s.byName)]
		if member == s.self {
			continue
		}
		if sent >= maxDatagrams {
			return
		}
		bucket := bucketOf(member.node.Name)
		if s.digests[bucket] == message.buckets[bucket] {
			continue
		}
		for _, report := range member.reports() {
			var encoded wire.Encoder
			report.encode(&encoded)
			if size+len(encoded.Bytes()) > MaxDatagram-headerReserve {
				flush()
			}
			size += len(encoded.Bytes())
			reply.updates = append(reply.updates, report)
		}
	}
	flush()
}

// reports returns the updates for a node that may not know the member. A suspect is first
// reported as alive, since only that report carries its addresses.
func (r *record) reports() []update {
	if r.wireStatus != wireSuspect {
		return []update{r.update}
	}
	introduction := r.update
	introduction.wireStatus = wireAlive
	return []update{introduction, r.update}
}
