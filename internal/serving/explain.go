package serving

import (
	"sync"

	"stepseam.example/stepseam/internal/identity"
)

// explanations keeps the last decision on each of the most recent calls.
type explanations struct {
	mutex sync.Mutex
	limit int
	// order lists the calls in the order of their first decision.
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

// Explain returns the last decision on a call, and false if this node made none or no
// longer keeps it.
func (o *Owner) Explain(call identity.CallID) (Explanation, bool) {
	o.explained.mutex.Lock()
	defer o.explained.mutex.Unlock()
	found, known := o.explained.last[call]
	return found, known
}
