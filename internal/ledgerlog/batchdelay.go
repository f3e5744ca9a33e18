package ledgerlog

import "time"

const (
	// maxMedianWait bounds the median time that a record waits to share a call.
	maxMedianWait = 3 * time.Millisecond
	// maxBatchGap bounds the time between the starts of two calls, and so the wait of any
	// record, at low rates.
	maxBatchGap = 15 * time.Millisecond
	// minBatchGap is the gap at high rates. It keeps the median wait within maxMedianWait, with
	// a margin for arrivals that are not random.
	minBatchGap = 2*maxMedianWait - time.Millisecond
	// intervalShift sets the weight of the newest sample in the mean interval to 1/8.
	intervalShift = 3
)

// batchDelay spaces the calls of one partition so that each call carries the records of several
// turns. A record that arrives after a pause without calls does not wait.
type batchDelay struct {
	// interval is the mean time between two submissions, or one second if unknown.
	interval time.Duration
	// begun is when the last call started, zero before the first.
	begun time.Time
}

// callStarted records that a call with a number of submissions starts now.
func (g *batchDelay) callStarted(submissions int, now time.Time) {
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

// gap returns the minimum time between the starts of two calls. A record that arrives within
// the gap waits for its end and a later one does not wait. With random arrivals the median wait
// stays within maxMedianWait up to a gap of twice that and 3/8 of an interval.
func (g *batchDelay) gap() time.Duration { return min(minBatchGap+g.interval*3/8, maxBatchGap) }

// wait returns how long the next call is delayed from now.
func (g *batchDelay) wait(now time.Time) time.Duration {
	if g.begun.IsZero() {
		return 0
	}
	return max(g.gap()-now.Sub(g.begun), 0)
}
