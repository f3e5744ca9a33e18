package serving

import (
	"sync"

	"stepseam.example/stepseam/internal/identity"
)

// explanations keeps the last decision of each of the last calls.
type explanations struct {
	mutex sync.Mutex
	limit int
	// order holds the calls in the order in which they were first decided.
	order []identity.CallID
	last  map[identity.CallID]Explanation
}

func newExplanations(limit int) *explanations {
	return &explanations{limit: limit, last: map[identity.CallID]Explanation{}}
}

func (e *explanations) add(explanation Explanation) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, known := e.last[explanation.Call]; !known {
		if len(e.order) >= e.limit {
			delete(e.last, e.order[0])
			e.order = e.order[1:]
		}
		e.order = append(e.order, explanation.Call)
	}
	e.last[explanation.Call] = explanation
}

// Explain returns the last decision on a call; false if it was not made here or
// is too long ago.
func (o *Owner) Explain(call identity.CallID) (Explanation, bool) {
	o.explained.mutex.Lock()
	defer o.explained.mutex.Unlock()
	found, known := o.explained.last[call]
	return found, known
}
