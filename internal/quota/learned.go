package quota

import (
	"math"
	"time"
)

const (
	// learnFor is how fast older requests lose weight when a program's number of
	// requests is learned.
	learnFor = 30 * time.Second
	// learnedBegins is how many programs must have begun for the learned number to count.
	learnedBegins = 5
)

// learned is how many requests a tenant's programs have. It leaves out the time in which
// the limit binds, when programs end early.
type learned struct {
	// requests and begins lose weight with time.
	requests, begins float64
	countedAt        time.Duration
	// boundUntil is until when the limit counts as binding, a span after it did.
	boundUntil time.Duration
}

// count adds what was granted, less what was returned.
func (l *learned) count(granted, returned Amount, binds bool, span, now time.Duration) {
	decay := math.Exp(-float64(now-l.countedAt) / float64(learnFor))
	l.countedAt = now
	l.requests, l.begins = l.requests*decay, l.begins*decay
	if binds {
		l.boundUntil = now + span
	}
	if now < l.boundUntil {
		return
	}
	l.requests = max(l.requests+float64(granted.Requests-returned.Requests), 0)
	l.begins = max(l.begins+float64(granted.ProgramStarts-returned.ProgramStarts), 0)
}

// adopt begins with what another node has learned.
func (l *learned) adopt(perProgram float64) {
	if perProgram > 0 && l.begins < learnedBegins {
		l.requests, l.begins = perProgram*learnedBegins, learnedBegins
	}
}

// perProgram returns the learned number; 0 if not enough programs have begun.
func (l *learned) perProgram() float64 {
	if l.begins < learnedBegins {
		return 0
	}
	return max(l.requests/l.begins, 1)
}

func (l *learned) atLeastOne() float64 { return max(l.perProgram(), 1) }
