package quota

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of older requests.
	decayTime = 30 * time.Second
	// minProgramStarts is the number of program starts that an estimate requires.
	minProgramStarts = 5
)

// programSizeEstimator estimates the number of requests per program of a tenant. It ignores
// periods in which the limit is reached, since programs end early then.
type programSizeEstimator struct {
	// requests and programStarts decay exponentially.
	requests, programStarts float64
	countedAt               time.Duration
	// limitedUntil is the end of the current period in which grants are ignored.
	limitedUntil time.Duration
}

// observe adds the granted tokens minus the returned ones.
func (l *programSizeEstimator) observe(granted, returned Amount, limited bool, span, now time.Duration) {
	decay := math.Exp(-float64(now-l.countedAt) / float64(decayTime))
	l.countedAt = now
	l.requests, l.programStarts = l.requests*decay, l.programStarts*decay
	if limited {
		l.limitedUntil = now + span
	}
	if now < l.limitedUntil {
		return
	}
	l.requests = max(l.requests+float64(granted.Requests-returned.Requests), 0)
	l.programStarts = max(l.programStarts+float64(granted.ProgramStarts-returned.ProgramStarts), 0)
}

// seed initializes the estimator with another node's estimate.
func (l *programSizeEstimator) seed(requestsPerProgram float64) {
	if requestsPerProgram > 0 && l.programStarts < minProgramStarts {
		l.requests, l.programStarts = requestsPerProgram*minProgramStarts, minProgramStarts
	}
}

// requestsPerProgram returns the estimate; 0 if too few programs have started.
func (l *programSizeEstimator) requestsPerProgram() float64 {
	if l.programStarts < minProgramStarts {
		return 0
	}
	return max(l.requests/l.programStarts, 1)
}

func (l *programSizeEstimator) requestsPerProgramOrOne() float64 {
	return max(l.requestsPerProgram(), 1)
}
