package logservice

import "time"

// Faults describes how the service, or one caller's view of it, misbehaves. The
// zero value is a faultless service. Probabilities are between 0 and 1.
type Faults struct {
	// Down refuses everything with platform.ErrUnavailable.
	Down bool `yaml:"down" json:"down"`
	// AppendDelay is the time an append takes: one half passes before its
	// effect, the other half before its answer. The effect does not depend on
	// the caller's patience: an append given up on still lands.
	AppendDelay time.Duration `yaml:"append_delay" json:"append_delay" validate:"gte=0"`
	// ReadDelay is the time a read takes before it is looked up.
	ReadDelay time.Duration `yaml:"read_delay" json:"read_delay" validate:"gte=0"`
	// Refuse is the chance that a request is refused without effect.
	Refuse float64 `yaml:"refuse" json:"refuse" validate:"gte=0,lte=1"`
	// LoseBefore is the chance that an append is lost on its way: it has no
	// effect and the caller is told platform.ErrAnswerLost.
	LoseBefore float64 `yaml:"lose_before" json:"lose_before" validate:"gte=0,lte=1"`
	// LoseAfter is the chance that an answer is lost after the effect. It
	// applies to reads too, which have no effect.
	LoseAfter float64 `yaml:"lose_after" json:"lose_after" validate:"gte=0,lte=1"`
}

// Outcome is what a scripted fault does to one append.
type Outcome int

// The outcomes that a test can line up for coming appends.
const (
	// Succeed lets the append through, whatever the probabilities say.
	Succeed Outcome = iota
	// RefuseAppend refuses it without effect: platform.ErrUnavailable.
	RefuseAppend
	// LoseRequest drops it before its effect: platform.ErrAnswerLost.
	LoseRequest
	// LoseAnswer drops the answer after the effect: platform.ErrAnswerLost.
	LoseAnswer
)

// script lines up outcomes for coming appends, first one first.
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

// SetFaults replaces the faults that all callers meet.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wakeReaders()
}

// Faults returns the faults that all callers meet.
func (s *Service) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetDown switches the outage for all callers.
func (s *Service) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.Down = down
	s.wakeReaders()
}

// Script lines up outcomes for the next appends of any caller. They go before
// the probabilities, and before those lined up for one view.
func (s *Service) Script(outcomes ...Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.script.outcomes = append(s.script.outcomes, outcomes...)
}

// wakeReaders lets long polls look at the faults again. The caller holds mutex.
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

// chance draws with probability. The caller holds mutex.
func (s *Service) chance(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}
