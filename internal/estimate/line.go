// Package estimate learns how fast replicas work from what a node observes of its
// own requests: a service's rate of reading prompts, the pace of its streams by how
// many requests share a replica, and how long plain requests take. No rate of any
// deployment stands here; what an estimate says before its first observation is
// named as its prior. The package is pure; its types are not safe for concurrent use.
package estimate

import "math"

const (
	// memory is about how many observations an estimate rests on; older ones fade.
	memory = 48.0
	// delayedWeight is the weight of an observation above the line, against one
	// below it: what a node can't see of a replica's load only ever delays.
	delayedWeight = 0.3
	// outlierFactor bounds an observation to this multiple of what was expected,
	// once settled observations speak for that.
	outlierFactor = 4.0
	settled       = 8.0
	// baseDoubt is how many observations of a line through zero are held against a
	// base, so that the slope is known from the first observation on.
	baseDoubt = 1.0
	// largest bounds what is taken in, so that sums of squares stay finite.
	largest = 1e7
)

// LinearFit is a fit of y = base + slope*x that forgets, for x and y of at least 0.
// Invariant: neither base nor slope is negative or not a number.
type LinearFit struct {
	weight, x, y, xx, xy float64
}

// Observe takes one observation. One that is negative or not a number is left out.
func (l *LinearFit) Observe(x, y float64) {
	if !usable(x) || !usable(y) {
		return
	}
	x, y = min(x, largest), min(y, largest)
	weight := 1.0
	if l.weight > 0 {
		expected := l.Predict(x)
		if y > expected {
			weight = delayedWeight
		}
		if l.weight >= settled && expected > 0 {
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

// Known tells whether anything has been observed.
func (l *LinearFit) Known() bool { return l.weight > 0 }

// Fit returns the line; it is zero while nothing has been observed.
func (l *LinearFit) Fit() (base, slope float64) {
	if l.weight == 0 {
		return 0, 0
	}
	if l.xx == 0 {
		return l.y / l.weight, 0
	}
	doubted := l.weight + baseDoubt
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

// Predict returns what the line says of x.
func (l *LinearFit) Predict(x float64) float64 {
	base, slope := l.Fit()
	return base + slope*x
}

// Group is what a Slope knows of one group of observations, such as those of one
// replica: their usual x and y.
type Group struct{ x, y Mean }

// Slope is how much y grows with x within groups that differ in their usual y, such as
// replicas of different speeds, of which the slower ones also have more to do: only
// what an observation differs from its group's usual counts. It is never negative.
type Slope struct{ xx, xy float64 }

// slopeDoubt is how much variance of x is held against a slope.
const slopeDoubt = 2.0

// Observe takes one observation of a group. One that is negative or not a number is
// left out.
func (s *Slope) Observe(group *Group, x, y float64) {
	if !usable(x) || !usable(y) {
		return
	}
	if group.x.weight > 0 {
		usual := group.y.value
		x, y := min(x, largest)-group.x.value, min(y, largest)-usual
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

// slopeMemory times memory is how many observations a slope rests on: differences are
// small against the noise.
const slopeMemory = 4.0

// Value returns the slope.
func (s *Slope) Value() float64 {
	slope := s.xy / (s.xx + slopeDoubt)
	if !usable(slope) {
		return 0
	}
	return slope
}

// Mean is an average that forgets, robust against outliers as a Line is.
type Mean struct {
	value, weight float64
}

// Observe takes one observation. One that is negative or not a number is left out.
func (m *Mean) Observe(value float64) {
	if !usable(value) {
		return
	}
	value = min(value, largest)
	if m.weight >= settled && m.value > 0 {
		value = min(value, outlierFactor*m.value)
	}
	m.weight = min(m.weight+1, memory)
	m.value += (value - m.value) / m.weight
}

// Known tells whether anything has been observed.
func (m *Mean) Known() bool { return m.weight > 0 }

// Or returns the average, or prior while nothing has been observed.
func (m *Mean) Or(prior float64) float64 {
	if m.weight == 0 {
		return prior
	}
	return m.value
}

func usable(value float64) bool { return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value) }
