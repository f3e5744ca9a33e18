package logservice

import "time"

// Faults are the injected faults of the service or of one caller's view of it. The zero
// value is a service without faults. Probabilities are between 0 and 1.
type Faults struct {
	// Down fails every request with siteservices.ErrUnavailable.
	Down bool `yaml:"down" json:"down"`
	// AppendDelay is the duration of an append: one half passes before its effect, the
	// other half before its response. An append takes effect even if its caller gave up.
	AppendDelay time.Duration `yaml:"append_delay" json:"append_delay" validate:"gte=0"`
	// ReadDelay passes before a read is looked up.
	ReadDelay time.Duration `yaml:"read_delay" json:"read_delay" validate:"gte=0"`
	// Refuse is the probability that a request is rejected without effect.
	Refuse float64 `yaml:"refuse" json:"refuse" validate:"gte=0,lte=1"`
	// LoseBefore is the probability that an append is lost before its effect; the caller
	// gets siteservices.ErrOutcomeUnknown.
	LoseBefore float64 `yaml:"lose_before" json:"lose_before" validate:"gte=0,lte=1"`
	// LoseAfter is the probability that a response is lost after the effect. It applies
	// to reads too, which have no effect.
	LoseAfter float64 `yaml:"lose_after" json:"lose_after" validate:"gte=0,lte=1"`
}

// Outcome is the scripted outcome of one append.
type Outcome int

// The outcomes that a test can script.
const (
	// Succeed lets the append through, regardless of the probabilities.
	Succeed Outcome = iota
	// RefuseAppend rejects it without effect: siteservices.ErrUnavailable.
	RefuseAppend
	// LoseRequest drops it before its effect: siteservices.ErrOutcomeUnknown.
	LoseRequest
	// LoseAnswer drops the response after the effect: siteservices.ErrOutcomeUnknown.
	LoseAnswer
)

// script is a queue of outcomes for coming appends.
type script struct {
	outcomes []Outcome
}

func (s *script) next() (Outcome, bool) {
	if len(s.outcomes) == 0 {
		return Succeed, false
	}
	first := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return first, true
}

// SetFaults replaces the faults that apply to all callers.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wakeReaders()
}

// Faults returns the faults that apply to all callers.
func (s *Service) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetDown starts or ends an outage for all callers.
func (s *Service) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.Down = down
	s.wakeReaders()
}

// Script queues outcomes for the next appends of any caller. They take precedence over
// the probabilities and over outcomes queued for one view.
func (s *Service) Script(outcomes ...Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.script.outcomes = append(s.script.outcomes, outcomes...)
}

// wakeReaders makes long polls check the faults again. The caller holds mutex.
func (s *Service) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// draw decides the outcome of an append through view. The caller holds mutex.
func (s *Service) draw(view *View) Outcome {
	if s.faults.Down || view.faults.Down {
		return RefuseAppend
	}
	if outcome, scripted := s.script.next(); scripted {
		return outcome
	}
	if outcome, scripted := view.script.next(); scripted {
		return outcome
	}
	for _, faults := range []Faults{s.faults, view.faults} {
		switch {
		case s.chance(faults.Refuse):
			return RefuseAppend
		case s.chance(faults.LoseBefore):
			return LoseRequest
		case s.chance(faults.LoseAfter):
			return LoseAnswer
		}
	}
	return Succeed
}

// chance returns true with probability. The caller holds mutex.
func (s *Service) chance(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}
