// Package estimate estimates the speed of replicas from a node's observations of its own
// requests: the prefill rate of a service, the time between events of its streams as a
// function of the number of concurrent requests, and the duration of non-streaming
// requests. Before the first observation an estimate returns a prior. The package performs
// no I/O; its types are not safe for concurrent use.
package estimate

import "math"

const (
	// memory is the approximate number of recent observations that an estimate reflects.
	memory = 48.0
	// aboveFitWeight is the weight of an observation above the line, where one below it has
	// weight 1. Load that a node cannot see only ever delays responses.
	aboveFitWeight = 0.3
	// outlierFactor times the expected value bounds an observation once the estimate has a
	// weight of at least minWeightForBounds.
	outlierFactor      = 4.0
	minWeightForBounds = 8.0
	// baseRegularization is the weight of a regularization term that pulls the base
	// towards 0, so that a single observation already determines the slope.
	baseRegularization = 1.0
	// maxObservation bounds observations, so that sums of squares stay finite.
	maxObservation = 1e7
)

// LinearFit is an exponentially weighted linear regression y = base + slope*x for
// non-negative x and y. Invariant: base and slope are finite and not negative.
type LinearFit struct {
	weight, x, y, xx, xy float64
}

// Observe adds an observation. Values that are negative, infinite or NaN are ignored.
func (l *LinearFit) Observe(x, y float64) {
	if !usable(x) || !usable(y) {
		return
	}
	x, y = min(x, maxObservation), min(y, maxObservation)
	weight := 1.0
	if l.weight > 0 {
		expected := l.Predict(x)
		if y > expected {
			weight = aboveFitWeight
		}
		if l.weight >= minWeightForBounds && expected > 0 {
			y = min(y, outlierFactor*expected)
		}
	}
	const kept = 1 - 1/memory
	l.weight = l.weight*kept + weight
	l.x = l.x*kept + weight*x
	l.y = l.y*kept + weight*y
	l.xx = l.xx*kept + weight*x*x
	l.xy = l.xy*kept + weight*x*y
}

// Known reports whether there is any observation.
func (l *LinearFit) Known() bool { return l.weight > 0 }

// Fit returns the coefficients; they are 0 without observations.
func (l *LinearFit) Fit() (base, slope float64) {
	if l.weight == 0 {
		return 0, 0
	}
	if l.xx == 0 {
		return l.y / l.weight, 0
	}
	doubted := l.weight + baseRegularization
	determinant := doubted*l.xx - l.x*l.x
	slope = (doubted*l.xy - l.x*l.y) / determinant
	base = (l.y*l.xx - l.x*l.xy) / determinant
	switch {
	case !usable(slope):
		return l.y / l.weight, 0
	case !usable(base):
		return 0, l.xy / l.xx
	}
	return base, slope
}

// Predict returns the value of the fitted line at x.
func (l *LinearFit) Predict(x float64) float64 {
	base, slope := l.Fit()
	return base + slope*x
}

// Group holds the means of x and y for one group of a Slope's observations, such as those
// of one replica.
type Group struct{ x, y Mean }

// Slope estimates the slope of y over x within groups that have different means, such as
// replicas of different speeds. Only an observation's deviation from the means of its
// group counts, so that a correlation between the groups' means does not bias the slope.
// It is never negative.
type Slope struct{ xx, xy float64 }

// slopeRegularization is added to the variance of x, which pulls the slope towards 0.
const slopeRegularization = 2.0

// Observe adds an observation of a group. Values that are negative, infinite or NaN are
// ignored.
func (s *Slope) Observe(group *Group, x, y float64) {
	if !usable(x) || !usable(y) {
		return
	}
	if group.x.weight > 0 {
		usual := group.y.value
		x, y := min(x, maxObservation)-group.x.value, min(y, maxObservation)-usual
		if usual > 0 {
			y = min(y, outlierFactor*usual)
		}
		const kept = 1 - 1/(slopeMemory*memory)
		s.xx = s.xx*kept + x*x
		s.xy = s.xy*kept + x*y
	}
	group.x.Observe(x)
	group.y.Observe(y)
}

// slopeMemory times memory is the approximate number of observations that a slope
// reflects. It needs more of them, since deviations within a group are small compared to
// the noise.
const slopeMemory = 4.0

// Value returns the slope, 0 without observations.
func (s *Slope) Value() float64 {
	slope := s.xy / (s.xx + slopeRegularization)
	if !usable(slope) {
		return 0
	}
	return slope
}

// Mean is an exponential moving average that bounds outliers like LinearFit.
type Mean struct {
	value, weight float64
}

// Observe adds an observation. Values that are negative, infinite or NaN are ignored.
func (m *Mean) Observe(value float64) {
	if !usable(value) {
		return
	}
	value = min(value, maxObservation)
	if m.weight >= minWeightForBounds && m.value > 0 {
		value = min(value, outlierFactor*m.value)
	}
	m.weight = min(m.weight+1, memory)
	m.value += (value - m.value) / m.weight
}

// Known reports whether there is any observation.
func (m *Mean) Known() bool { return m.weight > 0 }

// Or returns the average, or prior if there are no observations.
func (m *Mean) Or(prior float64) float64 {
	if m.weight == 0 {
		return prior
	}
	return m.value
}

func usable(value float64) bool { return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value) }
