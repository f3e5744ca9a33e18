package ledgerlog

import "time"

const (
	// medianWait is how long half of the records wait at most for others to go with.
	medianWait = 3 * time.Millisecond
	// longestGather bounds the time between the beginnings of two calls, and so the wait
	// of any record, where few come.
	longestGather = 15 * time.Millisecond
	// sureGap is the gap at which half of the records wait no longer than medianWait however
	// many come, with some room for what is not random.
	sureGap = 2*medianWait - time.Millisecond
	// intervalShift is the weight of the newest sample in the mean interval: 1/8.
	intervalShift = 3
)

// gathering spaces the calls of one partition so that a call takes what several turns have
// to write. It answers many turns a second at one home, each of which ends with a call
// of the store. A record that comes when no call has begun for a while does not wait.
type gathering struct {
	// interval is the mean time between two submissions, a second where none is known.
	interval time.Duration
	// begun is when the last call began, zero before the first.
	begun time.Time
}

// called notes that a call with a number of submissions begins now.
func (g *gathering) called(submissions int, now time.Time) {
	sample := min(now.Sub(g.begun)/time.Duration(max(submissions, 1)), time.Second)
	switch {
	case g.begun.IsZero():
		g.interval = time.Second
	case g.interval == time.Second:
		g.interval = sample
	default:
		g.interval += (sample - g.interval) >> intervalShift
	}
	g.begun = now
}

// gap is the least time between the beginnings of two calls. A record that comes within
// the gap waits for its end, one that comes later for nothing, so that half of them wait
// no longer than medianWait up to a gap of twice that and 3/8 of an interval, where they
// come at random.
func (g *gathering) gap() time.Duration { return min(sureGap+g.interval*3/8, longestGather) }

// wait is how long the next call is to wait from now on.
func (g *gathering) wait(now time.Time) time.Duration {
	if g.begun.IsZero() {
		return 0
	}
	return max(g.gap()-now.Sub(g.begun), 0)
}
