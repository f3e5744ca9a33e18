package engine

import (
	"slices"
	"strconv"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// Outcome states how a stream ended at the engine.
type Outcome string

// The outcomes of streams.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeRefused   Outcome = "refused"
	// OutcomeLost is a stream that a restart of the engine ended.
	OutcomeLost Outcome = "lost"
)

// Digest is a message digest that JSON carries without loss of precision.
type Digest uint64

// MarshalText writes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(d), 16), nil
}

// UnmarshalText reads hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	*d = Digest(value)
	return err
}

// Arrival is one stream that reached the engine, accepted or rejected.
type Arrival struct {
	Number uint64            `json:"number"`
	Stream identity.StreamID `json:"stream"`
	Model  string            `json:"model"`
	// Digest covers all messages, Messages has one digest per message in order: a later
	// call of the same branch must begin with the same ones.
	Digest       Digest    `json:"digest"`
	Messages     []Digest  `json:"messages"`
	Priority     int       `json:"priority"`
	PromptTokens int       `json:"prompt_tokens"`
	CachedTokens int       `json:"cached_tokens"`
	Tokens       int       `json:"tokens"`
	Arrived      time.Time `json:"arrived"`
	// Started is when the stream entered the batch, zero if it never did.
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	Outcome Outcome   `json:"outcome"`
	Reason  string    `json:"reason,omitempty"`
}

// MemorySample is the memory in use at one time.
type MemorySample struct {
	At       time.Time `json:"at"`
	Tokens   int       `json:"tokens"`
	Programs int       `json:"programs"`
}

// Truth is the engine's own record of its work, for checkers. It survives restarts of the
// engine and is not visible to stepseam.
type Truth struct {
	Name     string               `json:"name"`
	Arrivals []Arrival            `json:"arrivals"`
	Memory   []MemorySample       `json:"memory"`
	Held     []backend.HeldPrefix `json:"held"`
	Orders   []OrderRecord        `json:"orders"`
	// Dropped counts entries that were removed to keep the lists within their limits.
	Dropped int `json:"dropped"`
	// Tokens and RecomputedTokens count generated and prefilled tokens.
	Tokens          int `json:"tokens"`
	PrefilledTokens int `json:"prefilled_tokens"`
	EvictedTokens   int `json:"evicted_tokens"`
	Restarts        int `json:"restarts"`
}

// OrderRecord is one order that the engine received.
type OrderRecord struct {
	Order backend.Order `json:"order"`
	At    time.Time     `json:"at"`
	// Done is false if the fence was stale or the order was a repeat.
	Done bool `json:"done"`
}

// recorder bounds the size of the record. The engine's mutex guards it.
type recorder struct {
	limit    int
	arrivals []*Arrival
	memory   []MemorySample
	orders   []OrderRecord
	totals   Truth
}

func (r *recorder) arrive(arrival *Arrival) {
	r.arrivals = appendBounded(r.arrivals, arrival, r.limit, &r.totals.Dropped)
}

func (r *recorder) order(record OrderRecord) {
	r.orders = appendBounded(r.orders, record, r.limit, &r.totals.Dropped)
}

func (r *recorder) sample(sample MemorySample) {
	if last := len(r.memory) - 1; last >= 0 {
		same := r.memory[last].Tokens == sample.Tokens && r.memory[last].Programs == sample.Programs
		if same {
			return
		}
		if r.memory[last].At.Equal(sample.At) {
			r.memory[last] = sample
			return
		}
	}
	r.memory = appendBounded(r.memory, sample, r.limit, &r.totals.Dropped)
}

// appendBounded drops the oldest half when the limit is reached, so that the amortized
// cost per entry stays constant.
func appendBounded[T any](list []T, value T, limit int, dropped *int) []T {
	if len(list) >= limit {
		half := (len(list) + 1) / 2
		*dropped += half
		list = append(list[:0], list[half:]...)
	}
	return append(list, value)
}

func (r *recorder) truth(name string, held []backend.HeldPrefix) Truth {
	truth := r.totals
	truth.Name = name
	truth.Held = held
	truth.Memory = slices.Clone(r.memory)
	truth.Orders = slices.Clone(r.orders)
	truth.Arrivals = make([]Arrival, 0, len(r.arrivals))
	for _, arrival := range r.arrivals {
		truth.Arrivals = append(truth.Arrivals, *arrival)
	}
	return truth
}
