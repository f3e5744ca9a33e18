package scheduling

import "time"

const (
	// ejectAfter is how many failures in a row eject a back end.
	ejectAfter = 2
	// firstCooldown is how long a first ejection lasts; each one that follows a
	// failed trial lasts twice as long, up to longestCooldown.
	firstCooldown   = 2 * time.Second
	longestCooldown = 30 * time.Second
)

// HealthRecord is what this node knows of the health of one back end. The zero
// value is a healthy one. It is a value: Observe and At return the next record.
type HealthRecord struct {
	Health Health
	// Failures counts failures in a row, Ejections ejections in a row.
	Failures  int
	Ejections int
	// Until is when an ejection ends and a trial may begin.
	Until time.Time
}

// At returns the record as of now: an ejection that is over becomes probation.
func (r HealthRecord) At(now time.Time) HealthRecord {
	if r.Health == Ejected && !now.Before(r.Until) {
		r.Health = Probation
	}
	return r
}

// Observe returns the record after a call ended at the back end. Only failures
// of the back end count: not a refusal because it is leaving, nor a caller that
// went away. One answer during probation makes it healthy again, one failure
// ejects it for twice as long.
func (r HealthRecord) Observe(now time.Time, succeeded bool) HealthRecord {
	r = r.At(now)
	if succeeded {
		if r.Health == Ejected {
			return r // a call from before the ejection
		}
		return HealthRecord{}
	}
	r.Failures++
	if r.Health == Ejected || r.Health == Healthy && r.Failures < ejectAfter {
		return r
	}
	r.Health = Ejected
	r.Until = now.Add(min(firstCooldown<<min(r.Ejections, 8), longestCooldown))
	r.Ejections++
	return r
}
