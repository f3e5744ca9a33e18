// Package logservice emulates the platform's append-only log service.
//
// Its core stores streams in memory and implements siteservices.Log with package time and
// channels alone, so that it runs inside a testing/synctest bubble. Each caller gets its
// own view, so that a test can partition one node from the log while others continue.
// Faults are set by the test or drawn from a seeded source: outage, delay, and requests
// or responses that are lost.
package logservice

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"stepseam.example/stepseam/internal/siteservices"
)

// Bounds of one response to Read, in records and in bytes. A response contains at least
// one record, however large.
const (
	MaxReadRecords = 4096
	MaxReadBytes   = 4 << 20
)

// Counts contains the totals of the service.
type Counts struct {
	// Appends counts the appends that took effect.
	Appends uint64 `json:"appends"`
	// Records counts the records stored by them.
	Records uint64 `json:"records"`
	// Bytes counts the bytes of those records.
	Bytes uint64 `json:"bytes"`
	// Reads counts the reads that were answered.
	Reads uint64 `json:"reads"`
}

// Service is the core of the log service. It implements siteservices.Log for callers
// without a view; ViewFor returns the view of one caller.
type Service struct {
	// mutex guards everything below.
	mutex   sync.Mutex
	streams map[string]*stream
	views   map[string]*View
	random  *rand.Rand
	faults  Faults
	script  script
	counts  Counts
	// changed is closed and replaced whenever faults change, so that long polls notice an
	// outage at once.
	changed chan struct{}
}

// stream is one log stream. Its records are never changed or removed.
type stream struct {
	records [][]byte
	// grown is closed and replaced on every append.
	grown chan struct{}
}

var _ siteservices.Log = (*Service)(nil)

// New returns an empty service whose random faults are determined by seed.
func New(seed uint64) *Service {
	return &Service{
		streams: make(map[string]*stream),
		views:   make(map[string]*View),
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// Counts returns what the service has stored so far.
func (s *Service) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// Streams returns the names of all streams, sorted, regardless of faults.
func (s *Service) Streams() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.streams))
}

// Records returns all records of name regardless of faults, for checkers. The records
// must not be changed.
func (s *Service) Records(name string) [][]byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found := s.streams[name]; found != nil {
		return slices.Clone(found.records)
	}
	return nil
}

// stream returns the stream name and creates it on first use. The caller holds mutex.
func (s *Service) stream(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = &stream{grown: make(chan struct{})}
		s.streams[name] = found
	}
	return found
}

// store appends records to name. The caller holds mutex.
func (s *Service) store(name string, records [][]byte) siteservices.Offset {
	target := s.stream(name)
	first := siteservices.Offset(len(target.records))
	if len(records) == 0 {
		return first
	}
	target.records = append(target.records, records...)
	s.counts.Appends++
	s.counts.Records += uint64(len(records))
	for _, record := range records {
		s.counts.Bytes += uint64(len(record))
	}
	close(target.grown)
	target.grown = make(chan struct{})
	return first
}

// slice returns at most limit records of target from offset from on, within
// MaxReadBytes. The caller holds mutex.
func (target *stream) slice(from siteservices.Offset, limit int) siteservices.ReadResult {
	end := siteservices.Offset(len(target.records))
	result := siteservices.ReadResult{From: from, End: end}
	if limit <= 0 || limit > MaxReadRecords {
		limit = MaxReadRecords
	}
	bytes := 0
	for at := from; at < end && len(result.Records) < limit; at++ {
		record := target.records[at]
		bytes += len(record)
		if bytes > MaxReadBytes && len(result.Records) > 0 {
			break
		}
		result.Records = append(result.Records, record)
	}
	return result
}

func cloneRecords(records [][]byte) [][]byte {
	copied := make([][]byte, len(records))
	for i, record := range records {
		copied[i] = slices.Clone(record)
	}
	return copied
}

func unavailable(place string) error {
	return fmt.Errorf("logservice: %s: %w", place, siteservices.ErrUnavailable)
}

func answerLost(place string) error {
	return fmt.Errorf("logservice: %s: %w", place, siteservices.ErrOutcomeUnknown)
}
