package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// Datagram is a payload to send.
type Datagram struct {
	To      netip.AddrPort
	Payload []byte
}

// State is the state machine of one node. It does no I/O and reads no clock: the caller
// passes the time and received datagrams, and sends the returned ones. It is not safe for
// concurrent use.
//
// Invariants: of two reports on a member, the one with the later incarnation wins, then the
// one with the higher refutation count, then the one with the higher wire status. Only the
// member itself increases its refutation count. An indirect report of a death is accepted
// only for a suspect. For other members it is verified by a probe, so that the sides of a
// healed network partition do not declare each other's members dead.
type State struct {
	config Config
	random *rand.Rand
	self   *record
	// records holds all known members, including this node and dead members.
	records map[identity.NodeName]*record
	// byName holds the same records sorted by name, so that views need no sorting.
	byName []*record
	// live counts the records that are not terminal.
	live    int
	digests [bucketCount]uint32

	seeds []netip.AddrPort
	// rotation holds the records of all other members in probing order. The first
	// rotationIndex of them have been probed in this round.
	rotation      []*record
	rotationIndex int
	// suspectCount counts the suspects.
	suspectCount int
	// gossip holds the records whose updates are still to be transmitted.
	gossip []*record

	// syncing is set while a sync reply is applied.
	syncing bool

	sequence      uint32
	probes        []*probe
	relays        map[uint32]relay
	verifications []*record

	lastRun          time.Time
	nextProbe        time.Time
	nextReconnect    time.Time
	nextSync         time.Time
	viewsDifferSince time.Time
	// syncFoundNew reports whether the last sync returned unknown members.
	syncFoundNew bool
	// syncBudget is the number of bytes of sync replies that may be sent as of
	// syncBudgetAt.
	syncBudget       float64
	syncBudgetAt     time.Time
	nextVerification time.Time

	version     uint64
	infoVersion uint64
	superseded  identity.Incarnation
	statistics  Statistics
	outbox      []Datagram
}

// Statistics counts protocol events.
type Statistics struct {
	Suspicions  uint64
	Refutations uint64
	Deaths      uint64
	Syncs       uint64
	Invalid     uint64
}

// record is this node's information about a member.
type record struct {
	update
	// suspectUntil is when a suspect is declared dead; suspectedLocally is set if this
	// node's own probe failed.
	suspectUntil     time.Time
	suspectedLocally bool
	nextSuspectPing  time.Time
	diedAt           time.Time
	verifiedAt       time.Time
	// reportedDeadAt is the highest refutation count at which the member was indirectly
	// reported dead while this node considers it alive. Probes inform the member of it.
	reportedDeadAt uint32
	reportedDead   bool
	// transmitsLeft is how often the update is still to be transmitted.
	transmitsLeft int
	queued        bool
	verifying     bool
}

// NewState returns the state of a node that knows only itself and the seeds.
func NewState(now time.Time, self identity.Node, config Config, seeds []netip.AddrPort, random *rand.Rand) *State {
	s := &State{
		config:  config,
		random:  random,
		records: map[identity.NodeName]*record{},
		relays:  map[uint32]relay{},
		seeds:   slices.Clone(seeds),
		version: 1,
	}
	s.self = &record{update: update{node: self, wireStatus: wireAlive}}
	s.insert(s.self)
	s.lastRun, s.nextProbe, s.nextReconnect = now, now, now
	s.viewsDifferSince = now.Add(-config.SyncPatience)
	return s
}

// SetSeeds replaces the addresses that are contacted while no other member is known, and
// after a network partition.
func (s *State) SetSeeds(seeds []netip.AddrPort) { s.seeds = slices.Clone(seeds) }

// SetInfo sets the information that this node piggybacks on every datagram.
func (s *State) SetInfo(tableVersion uint64, load uint32) {
	if s.self.tableVersion != tableVersion || s.self.load != load {
		s.self.tableVersion, s.self.load = tableVersion, load
		s.infoVersion++
	}
}

// BroadcastInfo is SetInfo for information that other nodes act on. It is gossiped like a
// change of this node's status, so that it spreads faster than by probes. With toAll, it is
// sent to all live members at once.
func (s *State) BroadcastInfo(tableVersion uint64, load uint32, toAll bool) []Datagram {
	if s.self.wireStatus.terminal() {
		return nil
	}
	s.SetInfo(tableVersion, load)
	s.change(s.self, func() { s.self.refutation++ })
	if toAll {
		s.pushTo(s.live)
	} else {
		s.push()
	}
	return s.takeOutbox()
}

// AnnounceLeaving marks this node as leaving, which means that it takes no more shards, and
// returns the datagrams that announce it.
func (s *State) AnnounceLeaving() []Datagram {
	if s.self.wireStatus == wireAlive {
		s.change(s.self, func() {
			s.self.wireStatus = wireLeaving
			s.self.refutation++
		})
		s.push()
	}
	return s.takeOutbox()
}

// pushCount is the number of members that are notified directly of a change of this node.
const pushCount = 6

// push sends this node's status to some members without delay.
func (s *State) push() { s.pushTo(pushCount) }

// pushTo sends this node's status to up to count members.
func (s *State) pushTo(count int) {
	for _, member := range s.sample(count, func(r *record) bool { return !r.wireStatus.terminal() }) {
		s.send(member.node.ProbeAddress, member, &datagram{kind: kindNotice})
	}
}

// Leave ends this node's membership and returns the datagrams that announce it. The state
// must not be used afterwards.
func (s *State) Leave() []Datagram {
	s.change(s.self, func() {
		s.self.wireStatus = wireLeft
		s.self.refutation++
	})
	s.push()
	return s.takeOutbox()
}

// Superseded returns the latest incarnation of this node if it is later than this one. This
// process must not act as the node any more then.
func (s *State) Superseded() (identity.Incarnation, bool) { return s.superseded, s.superseded != 0 }

// Statistics returns the counters.
func (s *State) Statistics() Statistics { return s.statistics }

// Changes returns two counters. version increases with each change of the set, a status or
// an incarnation; info with each change of the piggybacked information.
func (s *State) Changes() (version, info uint64) { return s.version, s.infoVersion }

// View returns the current view of the members.
func (s *State) View() View {
	view := View{
		Self:    s.self.node.Reference(),
		Version: s.version,
		Members: make([]Member, 0, s.live),
	}
	for _, member := range s.byName {
		if member.wireStatus.terminal() {
			continue
		}
		view.Members = append(view.Members, Member{
			Node:         member.node,
			Status:       member.wireStatus.status(),
			TableVersion: member.tableVersion,
			Load:         member.load,
		})
	}
	return view
}

// insert adds the record of an unknown member.
func (s *State) insert(added *record) {
	s.records[added.node.Name] = added
	s.byName = slices.Insert(s.byName, s.index(added.node.Name), added)
	s.updateCounts(added, 1)
	s.enqueueGossip(added)
	if s.syncing { // not gossiped, since other nodes that miss the member sync too
		added.transmitsLeft = 0
	}
	if added != s.self {
		position := s.random.IntN(len(s.rotation) + 1)
		s.rotation = slices.Insert(s.rotation, position, added)
	}
}

// index returns the position of a name in byName, or where to insert it.
func (s *State) index(name identity.NodeName) int {
	index, _ := slices.BinarySearchFunc(s.byName, name, func(r *record, name identity.NodeName) int { return cmp.Compare(r.node.Name, name) })
	return index
}

// change modifies a record and keeps the counts, digests and gossip consistent.
func (s *State) change(member *record, alter func()) {
	s.updateCounts(member, -1)
	alter()
	s.updateCounts(member, 1)
	s.enqueueGossip(member)
}

// updateCounts adds a record to the counts and digests, or removes it from them.
func (s *State) updateCounts(member *record, direction int) {
	if !member.wireStatus.terminal() {
		s.live += direction
		s.digests[bucketOf(member.node.Name)] ^= member.digest()
	}
	if member.wireStatus == wireSuspect {
		s.suspectCount += direction
	}
}

// remove deletes a record.
func (s *State) remove(member *record) {
	s.updateCounts(member, -1)
	delete(s.records, member.node.Name)
	index := s.index(member.node.Name)
	s.byName = slices.Delete(s.byName, index, index+1)
	s.rotation = slices.DeleteFunc(s.rotation, func(r *record) bool { return r == member })
	s.gossip = slices.DeleteFunc(s.gossip, func(r *record) bool { return r == member })
	s.verifications = slices.DeleteFunc(s.verifications, func(r *record) bool { return r == member })
}

// enqueueGossip schedules a record for gossip. This node's own record is not gossiped,
// since every datagram carries it.
func (s *State) enqueueGossip(member *record) {
	s.version++
	member.transmitsLeft = s.config.RetransmitFactor * int(math.Ceil(math.Log2(float64(s.live+2))))
	if !member.queued && member != s.self {
		member.queued = true
		s.gossip = append(s.gossip, member)
	}
}

// takeOutbox returns and clears the datagrams to send.
func (s *State) takeOutbox() []Datagram {
	sent := s.outbox
	s.outbox = nil
	return sent
}
