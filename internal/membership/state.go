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

// Datagram is one payload to send.
type Datagram struct {
	To      netip.AddrPort
	Payload []byte
}

// State is one node's part of the protocol. It does no I/O and reads no clock:
// the caller hands in the time and what arrived, and sends what is returned. It
// is not safe for concurrent use.
//
// Invariants: of two reports on one member, the one of the later incarnation
// stands, then the one of the higher refutation count, then the graver one. Only
// the member itself raises its refutation count. Hearsay of a death is believed
// only of a suspect; of others it is checked by a probe, so that two sides of a
// healed cut do not bury each other's members.
type State struct {
	config Config
	random *rand.Rand
	self   *record
	// records holds every member known, this node and the dead included.
	records map[identity.NodeName]*record
	// byName holds the same in the order of their names, so that a view needs no sorting.
	byName []*record
	// live counts the records that are not gone.
	live    int
	digests [bucketCount]uint32

	seeds []netip.AddrPort
	// rotation holds all records but this node's in the order of probing, rotated
	// of them probed in this round.
	rotation []*record
	rotated  int
	// suspected counts the suspects.
	suspected int
	// gossip holds the records whose news is still passed on.
	gossip []*record

	// syncing tells that a sync reply is being taken.
	syncing bool

	sequence uint32
	probes   []*probe
	relays   map[uint32]relay
	checks   []*record

	lastSeen      time.Time
	nextProbe     time.Time
	nextReconnect time.Time
	nextSync      time.Time
	differsSince  time.Time
	// syncBrought tells that the last sync brought members that this node did not know.
	syncBrought bool
	// syncLeft is how many bytes of answers to syncs this node may send, as of syncLeftAt.
	syncLeft   float64
	syncLeftAt time.Time
	nextCheck  time.Time

	version    uint64
	infoChange uint64
	superseded identity.Incarnation
	statistics Statistics
	outbox     []Datagram
}

// Statistics counts what a State did.
type Statistics struct {
	Suspicions  uint64
	Refutations uint64
	Deaths      uint64
	Syncs       uint64
	Invalid     uint64
}

// record is what this node holds on one member.
type record struct {
	update
	// suspectUntil is when a suspect counts as dead; accused tells that this node
	// found it silent itself.
	suspectUntil time.Time
	accused      bool
	nextAppeal   time.Time
	diedAt       time.Time
	checkedAt    time.Time
	// rumour is the highest refutation count at which hearsay has the member dead
	// while this node holds it alive; checks tell the member.
	rumour   uint32
	rumoured bool
	// remaining is how often news of it is still passed on.
	remaining int
	queued    bool
	checking  bool
}

// NewState returns the state of a node that knows itself and the seeds.
func NewState(now time.Time, self identity.Node, config Config, seeds []netip.AddrPort, random *rand.Rand) *State {
	s := &State{
		config:  config,
		random:  random,
		records: map[identity.NodeName]*record{},
		relays:  map[uint32]relay{},
		seeds:   slices.Clone(seeds),
		version: 1,
	}
	s.self = &record{update: update{node: self, condition: conditionAlive}}
	s.insert(s.self)
	s.lastSeen, s.nextProbe, s.nextReconnect = now, now, now
	s.differsSince = now.Add(-config.SyncPatience)
	return s
}

// SetSeeds replaces the addresses that are tried while nobody else is known and
// after a cut.
func (s *State) SetSeeds(seeds []netip.AddrPort) { s.seeds = slices.Clone(seeds) }

// SetInfo sets what others get told about this node with every datagram.
func (s *State) SetInfo(tableVersion uint64, figure uint32) {
	if s.self.tableVersion != tableVersion || s.self.figure != figure {
		s.self.tableVersion, s.self.figure = tableVersion, figure
		s.infoChange++
	}
}

// BroadcastInfo is SetInfo for news that others act on: it is passed on like a change of this
// node's condition, so that it does not wait until each has been probed. With everybody, all
// live members are told at once.
func (s *State) BroadcastInfo(tableVersion uint64, figure uint32, everybody bool) []Datagram {
	if s.self.condition.gone() {
		return nil
	}
	s.SetInfo(tableVersion, figure)
	s.change(s.self, func() { s.self.refutation++ })
	if everybody {
		s.pushTo(s.live)
	} else {
		s.push()
	}
	return s.takeOutbox()
}

// AnnounceLeaving tells the others that this node wants no shards any more, and
// returns the first datagrams that say so.
func (s *State) AnnounceLeaving() []Datagram {
	if s.self.condition == conditionAlive {
		s.change(s.self, func() {
			s.self.condition = conditionLeaving
			s.self.refutation++
		})
		s.push()
	}
	return s.takeOutbox()
}

// pushCount is how many members a node tells at once of its own change, beside
// those that it meets by probing.
const pushCount = 6

// push tells some members of this node's own condition without delay.
func (s *State) push() { s.pushTo(pushCount) }

// pushTo tells that many members of this node's own condition.
func (s *State) pushTo(count int) {
	for _, member := range s.sample(count, func(r *record) bool { return !r.condition.gone() }) {
		s.send(member.node.ProbeAddress, member, &datagram{kind: kindNotice})
	}
}

// Leave ends this node's membership and returns the datagrams that say so. The
// state must not be used afterwards.
func (s *State) Leave() []Datagram {
	s.change(s.self, func() {
		s.self.condition = conditionLeft
		s.self.refutation++
	})
	s.push()
	return s.takeOutbox()
}

// Superseded returns the incarnation of a later life of this node's name, if
// one was heard of: then this process is not the node any more.
func (s *State) Superseded() (identity.Incarnation, bool) { return s.superseded, s.superseded != 0 }

// Statistics returns the counts so far.
func (s *State) Statistics() Statistics { return s.statistics }

// Changes returns two counters: version rises with each change of the set, a
// status or an incarnation, info with each change of what rides along.
func (s *State) Changes() (version, info uint64) { return s.version, s.infoChange }

// View returns the members as this node sees them now.
func (s *State) View() View {
	view := View{
		Self:    s.self.node.Reference(),
		Version: s.version,
		Members: make([]Member, 0, s.live),
	}
	for _, known := range s.byName {
		if known.condition.gone() {
			continue
		}
		view.Members = append(view.Members, Member{
			Node:         known.node,
			Status:       known.condition.status(),
			TableVersion: known.tableVersion,
			Load:         known.figure,
		})
	}
	return view
}

// insert adds a record that is not there yet.
func (s *State) insert(added *record) {
	s.records[added.node.Name] = added
	s.byName = slices.Insert(s.byName, s.place(added.node.Name), added)
	s.count(added, 1)
	s.spread(added)
	if s.syncing { // whoever lacks it syncs too; a joining node has no news to tell
		added.remaining = 0
	}
	if added != s.self {
		position := s.random.IntN(len(s.rotation) + 1)
		s.rotation = slices.Insert(s.rotation, position, added)
	}
}

// place returns where a name stands among byName, or would.
func (s *State) place(name identity.NodeName) int {
	place, _ := slices.BinarySearchFunc(s.byName, name, func(r *record, name identity.NodeName) int { return cmp.Compare(r.node.Name, name) })
	return place
}

// change alters a record and keeps counts, digests and gossip in step.
func (s *State) change(known *record, alter func()) {
	s.count(known, -1)
	alter()
	s.count(known, 1)
	s.spread(known)
}

// count takes a record into the live count and the digests, or out of them.
func (s *State) count(known *record, direction int) {
	if !known.condition.gone() {
		s.live += direction
		s.digests[bucketOf(known.node.Name)] ^= known.digest()
	}
	if known.condition == conditionSuspect {
		s.suspected += direction
	}
}

// remove forgets a record.
func (s *State) remove(known *record) {
	s.count(known, -1)
	delete(s.records, known.node.Name)
	place := s.place(known.node.Name)
	s.byName = slices.Delete(s.byName, place, place+1)
	s.rotation = slices.DeleteFunc(s.rotation, func(r *record) bool { return r == known })
	s.gossip = slices.DeleteFunc(s.gossip, func(r *record) bool { return r == known })
	s.checks = slices.DeleteFunc(s.checks, func(r *record) bool { return r == known })
}

// spread has news of the record passed on afresh. This node's own condition
// needs none of it: every datagram carries it.
func (s *State) spread(known *record) {
	s.version++
	known.remaining = s.config.RetransmitFactor * int(math.Ceil(math.Log2(float64(s.live+2))))
	if !known.queued && known != s.self {
		known.queued = true
		s.gossip = append(s.gossip, known)
	}
}

// takeOutbox returns what is to be sent.
func (s *State) takeOutbox() []Datagram {
	sent := s.outbox
	s.outbox = nil
	return sent
}
