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

// Truth is what the replicas of one ledger executed, for checkers.
type Truth struct {
	Executions []Execution `json:"executions"`
	// ByKey counts executions by operation and key, all of them since the start.
	ByKey map[string]int `json:"by_key"`
	// Dropped counts executions that the bound pushed out of the list.
	Dropped int `json:"dropped"`
}

// Ledger counts executions. Its one mutex guards all of it.
type Ledger struct {
	limit int

	mutex      sync.Mutex
	executions []Execution
	counts     map[string]int
	dropped    int
}

// NewLedger returns an empty ledger that lists at most limit executions and
// counts all of them.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: max(limit, 1), counts: map[string]int{}}
}

// CountKey is the key of Truth.ByKey: operation and idempotency key, or the
// call where the request carries no key.
func CountKey(operation, key string, call identity.CallID) string {
	if key == "" {
		return operation + " " + call.String()
	}
	return operation + " " + key
}

// execute records one execution and returns how many of its key there are now.
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

// Truth returns all that was recorded.
func (l *Ledger) Truth() Truth {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	truth := Truth{Executions: slices.Clone(l.executions), ByKey: map[string]int{}, Dropped: l.dropped}
	for key, count := range l.counts {
		truth.ByKey[key] = count
	}
	return truth
}
