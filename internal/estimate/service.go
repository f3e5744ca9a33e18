package estimate

// Priors, used until the first observation of a service. Their magnitudes only have to
// order the replicas: uncached tokens and concurrent requests must have a cost.
const (
	priorMillisecondsPerToken   = 0.01
	priorMillisecondsPerEvent   = 10.0
	priorEvents                 = 10.0
	priorServiceMilliseconds    = 50.0
	priorPaceFractionPerRequest = 0.02
)

// Rates describes the typical speed of a service's replicas.
type Rates struct {
	// FirstMilliseconds is the time to the first event for a fully cached prompt, at a
	// replica without pending tokens.
	FirstMilliseconds float64
	// MillisecondsPerToken is the prefill time per uncached token.
	MillisecondsPerToken float64
	// EventMilliseconds is the time between two events of a stream that has a replica to
	// itself. EventMillisecondsPerRequest is added for each other request in flight there.
	EventMilliseconds, EventMillisecondsPerRequest float64
	// Events is the number of events per stream.
	Events float64
	// ServiceMilliseconds is the duration of a non-streaming request.
	ServiceMilliseconds float64
	// ColdSlowness is the factor by which a replica is slower while cold; at least 1.
	ColdSlowness float64
}

// Service estimates the rates of one service.
type Service struct {
	// firstEvent is the time to the first event as a function of the tokens to prefill.
	firstEvent LinearFit
	// pace is the mean time between events and concurrency the mean number of concurrent
	// requests; paceSlope is the slope of the former over the latter.
	pace, concurrency Mean
	paceSlope         Slope
	events            Mean
	plain             Mean
	cold              Mean
}

// FirstEvent observes the time in milliseconds to the first event of a stream, at a replica
// that had the given number of tokens to prefill until then.
func (s *Service) FirstEvent(tokens int, milliseconds float64) {
	s.firstEvent.Observe(float64(tokens), milliseconds)
}

// Pace observes the typical time in milliseconds between two events of a stream that shared
// its replica with the given number of other requests.
func (s *Service) Pace(replica *Group, others int, milliseconds float64) {
	s.paceSlope.Observe(replica, float64(others), milliseconds)
	s.pace.Observe(milliseconds)
	s.concurrency.Observe(float64(others))
}

// Events observes the number of events of a complete stream.
func (s *Service) Events(count int) { s.events.Observe(float64(count)) }

// HasFirstEventRates reports whether there are observations of first events.
func (s *Service) HasFirstEventRates() bool { return s.firstEvent.Known() }

// HasPlainRates reports whether there are observations of non-streaming requests.
func (s *Service) HasPlainRates() bool { return s.plain.Known() }

// Plain observes the duration of a non-streaming request in milliseconds.
func (s *Service) Plain(milliseconds float64) { s.plain.Observe(milliseconds) }

// maxColdSlowness bounds the slowdown factor of a single observation.
const maxColdSlowness = 20.0

// Cold observes a duration at a cold replica in milliseconds, together with the duration
// expected of a warm one.
func (s *Service) Cold(milliseconds, expected float64) {
	if expected > 0 {
		s.cold.Observe(min(milliseconds/expected, maxColdSlowness))
	}
}

// Rates returns the current estimates, or priors where there are no observations.
func (s *Service) Rates() Rates {
	rates := Rates{
		MillisecondsPerToken: priorMillisecondsPerToken, EventMilliseconds: priorMillisecondsPerEvent,
		EventMillisecondsPerRequest: priorMillisecondsPerEvent * priorPaceFractionPerRequest,
		Events:                      s.events.Or(priorEvents), ServiceMilliseconds: s.plain.Or(priorServiceMilliseconds),
		ColdSlowness: max(s.cold.Or(1), 1),
	}
	if s.firstEvent.Known() {
		rates.FirstMilliseconds, rates.MillisecondsPerToken = s.firstEvent.Fit()
	}
	if s.pace.Known() {
		rates.EventMillisecondsPerRequest = s.paceSlope.Value()
		rates.EventMilliseconds = max(s.pace.value-rates.EventMillisecondsPerRequest*s.concurrency.value, 0)
	}
	return rates
}
