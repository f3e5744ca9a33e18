package distribution

import "time"

const (
	// settleTime is how long the plan must have made a node a reader, with a stable number
	// of known members, before it starts to read. A node that starts knows few members and
	// entries, and would otherwise take itself for a reader, or the site for one so small
	// that all nodes read.
	settleTime = 2 * time.Second
	// growthPercent is the growth of the known members within which their number counts as
	// stable.
	growthPercent = 10
	// seedStartupTime is how long after its start a seed reads the store regardless of the
	// plan, since nodes that start at the same time query the seeds first.
	seedStartupTime = 12 * time.Second
	// seedTimeout is how long a node without the topic waits for live seeds, which on a
	// slow link need that long to read 10,000 entries. noSeedTimeout applies if no seed is
	// known to be alive.
	seedTimeout   = 4 * time.Second
	noSeedTimeout = 400 * time.Millisecond
	// orphanAge, multiplied by the tier (at least one), is the age of a topic above which a
	// node reads the store itself. The nodes of tier 1 do so at once, of the others a
	// random few; the rest pull from them. It is short because a change must take effect
	// within seconds.
	orphanAge = 1500 * time.Millisecond
	// interimTime is the minimum time for which such a node then reads.
	interimTime = 3 * time.Second
	// volunteers is the expected number of nodes without an up-to-date source that start to
	// read in each volunteerInterval. With interimTime, about 90 of them read at a time,
	// however many there are, which is a tenth of what a store of 16,000 calls a second takes.
	volunteers        = 6
	volunteerInterval = 200 * time.Millisecond
)

// ReadConditions is the input of the decision whether a node reads a topic from the store.
type ReadConditions struct {
	// Now is the time since the node's start.
	Now  time.Duration
	Role Role
	// Members is the number of known nodes, including this one.
	Members int
	// Alone is set if there is no other member and no seed to pull from.
	Alone bool
	// Seed is set if this node is a seed; SeedsLive is set if another seed is a live
	// member.
	Seed, SeedsLive bool
	// Known is set if the node has the topic; Age is the topic's age.
	Known bool
	Age   time.Duration
	// Random is a random number in [0,1).
	Random float64
}

// ReadDecider decides whether a node reads a topic from the store. It is not safe for
// concurrent use.
type ReadDecider struct {
	// since is when the plan made the node a reader, or when its members last grew by more
	// than growthPercent; membersThen is their number at that time.
	since       time.Duration
	planned     bool
	membersThen int
	// reading is set once the node has started to read as one of the readers.
	reading bool
	// interimUntil is the end of the time for which the node reads for lack of a fresh
	// source.
	interimUntil time.Duration
	// lastDraw is when the node last drew a random decision to volunteer.
	lastDraw time.Duration
}

// ShouldRead reports whether the node is to read the topic from the store.
func (d *ReadDecider) ShouldRead(s ReadConditions) bool {
	d.updatePlanned(s)
	switch {
	case s.Alone, s.Seed && s.Now < seedStartupTime:
		return true
	case s.Now < d.interimUntil:
		return true
	case !s.Known:
		return d.readsUnknown(s)
	case s.Role.Reads && (d.reading || s.Now-d.since >= settleTime):
		d.reading = true
		return true
	case s.Age > orphanAge*time.Duration(max(s.Role.Tier, 1)):
		return d.volunteer(s, s.Role.Tier == 1)
	}
	return false
}

// volunteer decides whether a node without a fresh source reads for a while: always if must
// is set, else at random, so that the store can serve those that do.
func (d *ReadDecider) volunteer(s ReadConditions, must bool) bool {
	if !must {
		if s.Now-d.lastDraw < volunteerInterval {
			return false
		}
		d.lastDraw = s.Now
		if s.Random*float64(s.Members) >= volunteers {
			return false
		}
	}
	d.interimUntil = s.Now + interimTime
	return true
}

func (d *ReadDecider) updatePlanned(s ReadConditions) {
	grown := s.Members*100 > d.membersThen*(100+growthPercent)
	if s.Role.Reads && d.planned && (d.reading || !grown) {
		return
	}
	d.planned, d.since, d.membersThen, d.reading = s.Role.Reads, s.Now, s.Members, false
}

// readsUnknown decides for a node that does not have the topic yet.
func (d *ReadDecider) readsUnknown(s ReadConditions) bool {
	timeout := noSeedTimeout
	if s.SeedsLive {
		timeout = seedTimeout
	}
	return s.Now >= timeout && d.volunteer(s, false)
}
