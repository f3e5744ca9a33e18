package application

import (
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// Execution is one execution of one operation.
type Execution struct {
	Operation string            `json:"operation"`
	Effect    Effect            `json:"effect"`
	Key       string            `json:"key,omitempty"`
	Stream    identity.StreamID `json:"stream"`
	Replica   string            `json:"replica"`
	At        time.Time         `json:"at"`
}

// Truth lists what the replicas that share one ledger executed, for checkers.
type Truth struct {
	Executions []Execution `json:"executions"`
	// ByKey counts all executions since the start by operation and key.
	ByKey map[string]int `json:"by_key"`
	// Dropped counts executions that were removed from the list to keep it within its
	// limit.
	Dropped int `json:"dropped"`
}

// Ledger counts executions. Its mutex guards all fields.
type Ledger struct {
	limit int

	mutex      sync.Mutex
	executions []Execution
	counts     map[string]int
	dropped    int
}

// NewLedger returns an empty ledger that counts all executions and lists the last ones,
// limit at most.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: max(limit, 1), counts: map[string]int{}}
}

// CountKey returns the key of Truth.ByKey: operation and idempotency key, or the call if
// the request has no key.
func CountKey(operation, key string, call identity.CallID) string {
	if key == "" {
		return operation + " " + call.String()
	}
	return operation + " " + key
}

// execute records one execution and returns the number of executions with its key.
func (l *Ledger) execute(replica string, request backend.InvokeRequest, effect Effect) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.executions) >= l.limit {
		half := (len(l.executions) + 1) / 2
		l.executions = slices.Delete(l.executions, 0, half)
		l.dropped += half
	}
	l.executions = append(l.executions, Execution{
		Operation: request.Operation, Effect: effect, Key: request.IdempotencyKey,
		Stream: request.Stream, Replica: replica, At: time.Now(),
	})
	key := CountKey(request.Operation, request.IdempotencyKey, request.Stream.Call)
	l.counts[key]++
	return l.counts[key]
}

// Executions returns how often operation ran with key.
func (l *Ledger) Executions(operation, key string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counts[CountKey(operation, key, identity.CallID{})]
}

// Truth returns everything that was recorded.
func (l *Ledger) Truth() Truth {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	truth := Truth{Executions: slices.Clone(l.executions), ByKey: map[string]int{}, Dropped: l.dropped}
	for key, count := range l.counts {
		truth.ByKey[key] = count
	}
	return truth
}
