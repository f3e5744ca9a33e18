package distribution

import "time"

const (
	// settleTime is how long a node must have been among the readers by its plan, while
	// the members it knows stay about as many, before it takes that up: a node that starts
	// knows few others and few entries, and so takes itself for one of the first, or the
	// site for one so small that all read.
	settleTime = 2 * time.Second
	// growthPercent is by how much the known members may grow meanwhile.
	growthPercent = 10
	// youngTime is how long after its start a seed reads the store whatever the plan says,
	// since the nodes that start with it ask the seeds first.
	youngTime = 12 * time.Second
	// seedPatience is how long a node that knows nothing yet waits for seeds that live: a
	// seed on a slow link takes so long to read 10,000 entries. awayPatience is the same
	// where none is known to live.
	seedPatience = 4 * time.Second
	awayPatience = 400 * time.Millisecond
	// orphanAge times a node's tier, at least one, is how old its knowledge may grow
	// before it reads the store itself: the heads of the zones do at once, of those below
	// them, and of those that don't know their place yet, some. The others hear from them.
	// A change must be in force within seconds, and a reader that is gone must be missed
	// within one.
	orphanAge = 1500 * time.Millisecond
	// interimTime is how long it then reads, at least.
	interimTime = 3 * time.Second
	// volunteers is how many of the nodes that nobody tells anything begin to read within
	// volunteerPause, on average: 90 of any number read at a time, a tenth of what a store
	// of 16,000 calls a second takes.
	volunteers     = 6
	volunteerPause = 200 * time.Millisecond
)

// ReadConditions is what a node knows that decides whether it reads the store.
type ReadConditions struct {
	// Now is a monotonic reading that counts from the node's start.
	Now  time.Duration
	Role Role
	// Members is how many nodes are known, this one among them.
	Members int
	// Alone tells that there is nobody to hear from: no member, no seed.
	Alone bool
	// Seed tells that others know this node as a seed; SeedsLive that another seed is a
	// member that lives.
	Seed, SeedsLive bool
	// Known tells that the topic is known; it is Age old.
	Known bool
	Age   time.Duration
	// Random is a random number in [0,1).
	Random float64
}

// ReadDecider decides whether a node reads a topic from the store. It is not safe for concurrent
// use.
type ReadDecider struct {
	// since is from when on the node has been among the readers by its plan without a
	// pause, and membersThen how many members it knew.
	since       time.Duration
	among       bool
	membersThen int
	// taken tells that it has taken up to read as one of the readers.
	taken bool
	// interimUntil is until when it reads because nobody told it anything fresh.
	interimUntil time.Duration
	// drawn is when it last drew whether to volunteer.
	drawn time.Duration
}

// ShouldRead decides.
func (d *ReadDecider) ShouldRead(s ReadConditions) bool {
	d.noteAmong(s)
	switch {
	case s.Alone, s.Seed && s.Now < youngTime:
		return true
	case s.Now < d.interimUntil:
		return true
	case !s.Known:
		return d.readsUnknown(s)
	case s.Role.Reads && (d.taken || s.Now-d.since >= settleTime):
		d.taken = true
		return true
	case s.Age > orphanAge*time.Duration(max(s.Role.Tier, 1)):
		return d.volunteers(s, s.Role.Tier == 1)
	}
	return false
}

// volunteers decides whether a node that nobody tells anything fresh reads for a while:
// one that must does, of the others as many in volunteerPause as the store bears.
func (d *ReadDecider) volunteers(s ReadConditions, must bool) bool {
	if !must {
		if s.Now-d.drawn < volunteerPause {
			return false
		}
		d.drawn = s.Now
		if s.Random*float64(s.Members) >= volunteers {
			return false
		}
	}
	d.interimUntil = s.Now + interimTime
	return true
}

func (d *ReadDecider) noteAmong(s ReadConditions) {
	grown := s.Members*100 > d.membersThen*(100+growthPercent)
	if s.Role.Reads && d.among && (d.taken || !grown) {
		return
	}
	d.among, d.since, d.membersThen, d.taken = s.Role.Reads, s.Now, s.Members, false
}

// readsUnknown decides for a node that knows nothing of the topic yet.
func (d *ReadDecider) readsUnknown(s ReadConditions) bool {
	patience := awayPatience
	if s.SeedsLive {
		patience = seedPatience
	}
	return s.Now >= patience && d.volunteers(s, false)
}
