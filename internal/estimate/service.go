package estimate

// The priors hold until the first observation of a service. They only put choices
// into an order: what is not cached, or is busy, costs something.
const (
	priorMillisecondsPerToken  = 0.01
	priorMillisecondsPerEvent  = 10.0
	priorEvents                = 10.0
	priorServiceMilliseconds   = 50.0
	priorShareOfPacePerRequest = 0.02
)

// Rates is how fast the replicas of a service usually work.
type Rates struct {
	// FirstMilliseconds is the time to the first event of a prompt that is cached
	// whole, at a replica with nothing to read.
	FirstMilliseconds float64
	// MillisecondsPerToken is the time to read a token that is not cached.
	MillisecondsPerToken float64
	// EventMilliseconds is the time between two events of a stream alone at a replica,
	// EventMillisecondsPerRequest what each further request under way there adds.
	EventMilliseconds, EventMillisecondsPerRequest float64
	// Events is how many events a stream has.
	Events float64
	// ServiceMilliseconds is how long a plain request takes.
	ServiceMilliseconds float64
	// ColdSlowness is how many times longer a replica takes while it is cold; at least 1.
	ColdSlowness float64
}

// Service learns the rates of one service.
type Service struct {
	// reading is the time to the first event by tokens that were to be read.
	reading LinearFit
	// pace is the time between events and others the requests under way beside;
	// sharing is how the former grows with the latter.
	pace, others Mean
	sharing      Slope
	events       Mean
	plain        Mean
	cold         Mean
}

// FirstEvent takes the time in milliseconds to the first event of a stream whose
// replica had tokens to read until then.
func (s *Service) FirstEvent(tokens int, milliseconds float64) {
	s.reading.Observe(float64(tokens), milliseconds)
}

// Pace takes the usual time in milliseconds between two events of a stream that
// shared its replica with other requests.
func (s *Service) Pace(replica *Group, others int, milliseconds float64) {
	s.sharing.Observe(replica, float64(others), milliseconds)
	s.pace.Observe(milliseconds)
	s.others.Observe(float64(others))
}

// Events takes how many events a whole stream had.
func (s *Service) Events(count int) { s.events.Observe(float64(count)) }

// HasFirstEventRates and KnowsPlain tell whether the rates for streams and for plain requests have
// been learned.
func (s *Service) HasFirstEventRates() bool { return s.reading.Known() }

// HasPlainRates is as KnowsFirst.
func (s *Service) HasPlainRates() bool { return s.plain.Known() }

// Plain takes how long a plain request took in milliseconds.
func (s *Service) Plain(milliseconds float64) { s.plain.Observe(milliseconds) }

// mostColdSlowness bounds what one observation of a cold replica tells.
const mostColdSlowness = 20.0

// Cold takes how long a cold replica took for something in milliseconds, and how long a
// warm one was expected to take.
func (s *Service) Cold(milliseconds, expected float64) {
	if expected > 0 {
		s.cold.Observe(min(milliseconds/expected, mostColdSlowness))
	}
}

// Rates returns what is known.
func (s *Service) Rates() Rates {
	rates := Rates{
		MillisecondsPerToken: priorMillisecondsPerToken, EventMilliseconds: priorMillisecondsPerEvent,
		EventMillisecondsPerRequest: priorMillisecondsPerEvent * priorShareOfPacePerRequest,
		Events:                      s.events.Or(priorEvents), ServiceMilliseconds: s.plain.Or(priorServiceMilliseconds),
		ColdSlowness: max(s.cold.Or(1), 1),
	}
	if s.reading.Known() {
		rates.FirstMilliseconds, rates.MillisecondsPerToken = s.reading.Fit()
	}
	if s.pace.Known() {
		rates.EventMillisecondsPerRequest = s.sharing.Value()
		rates.EventMilliseconds = max(s.pace.value-rates.EventMillisecondsPerRequest*s.others.value, 0)
	}
	return rates
}
