package scheduling

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject a back end.
	ejectAfter = 2
	// initialCooldown is the duration of the first ejection; it doubles with each
	// failed trial, up to maxCooldown.
	initialCooldown = 2 * time.Second
	maxCooldown     = 30 * time.Second
)

// HealthRecord is this node's health state of one back end. The zero value is
// healthy. It is immutable: Observe and At return a new record.
type HealthRecord struct {
	Health Health
	// Failures counts consecutive failures, Ejections consecutive ejections.
	Failures  int
	Ejections int
	// Until is when an ejection ends and probation begins.
	Until time.Time
}

// At returns the record as of now: an expired ejection becomes probation.
func (r HealthRecord) At(now time.Time) HealthRecord {
	if r.Health == Ejected && !now.Before(r.Until) {
		r.Health = Probation
	}
	return r
}

// Observe returns the record after a call ended at the back end. The caller must
// report only failures of the back end itself, not refusals of a leaving back end
// and not calls cancelled by their callers. During probation one success makes
// the back end healthy and one failure ejects it for twice as long.
func (r HealthRecord) Observe(now time.Time, succeeded bool) HealthRecord {
	r = r.At(now)
	if succeeded {
		if r.Health == Ejected {
			return r // the call began before the ejection
		}
		return HealthRecord{}
	}
	r.Failures++
	if r.Health == Ejected || r.Health == Healthy && r.Failures < ejectAfter {
		return r
	}
	r.Health = Ejected
	r.Until = now.Add(min(initialCooldown<<min(r.Ejections, 8), maxCooldown))
	r.Ejections++
	return r
}
