// Package store emulates a durable log with partitions, producers and keyed topics in
// memory, with fault injection.
package store

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/logstore"
)

// repeats is how many of a producer's last results are stored for retries.
const repeats = 5

// Fault is an injected fault of the store; the zero value is none.
type Fault struct {
	// Busy rejects every call without effect.
	Busy bool
	// Silent blocks all calls until their contexts end.
	Silent bool
	// LoseAnswers executes writes and loses their responses.
	LoseAnswers bool
	// LateAfter delays the effect of writes whose responses are lost.
	LateAfter time.Duration
	// Delay is added to each call.
	Delay time.Duration
	// Partition limits the fault to the partition of this number in every topic; nil
	// means all.
	Partition *int
}

// Store is a logstore.Store in memory. It is safe for concurrent use.
type Store struct {
	// mutex guards all fields below.
	mutex      sync.Mutex
	partitions map[logstore.Partition]*partition
	fault      Fault
	// changed is closed and replaced at each write.
	changed chan struct{}
	calls   map[string]int
	// pageItems is the number of keys on a page of the newest records.
	pageItems int
	// readsPerSecond bounds the read calls; 0 means no bound. window is the second in
	// which they are counted, reads their count.
	readsPerSecond int
	window         time.Time
	reads          int
	// retain is how long a partition has its records; 0 means for good.
	retain time.Duration
}

const (
	// defaultPageItems is the default number of keys on a page.
	defaultPageItems = 500
	// maxPageBytes bounds the keys and values of a page, unless it has only one.
	maxPageBytes = 1 << 20
	// defaultReadBytes bounds a read that states no bound, unless it has only one record.
	defaultReadBytes = 1 << 20
)

type partition struct {
	records [][]byte
	// written are the times of the records.
	written []time.Time
	// first is the offset of records[0].
	first     logstore.Offset
	newest    map[string][]byte
	producers map[string]*producer
}

type producer struct {
	epoch    uint64
	sequence uint64
	begun    bool
	// answers contains the last results by sequence number.
	answers map[uint64]logstore.AppendResult
}

var _ logstore.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{partitions: map[logstore.Partition]*partition{}, changed: make(chan struct{}), calls: map[string]int{}, pageItems: defaultPageItems}
}

// Fail injects fault into all further calls.
func (s *Store) Fail(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetPage sets the number of keys on a page of the newest records.
func (s *Store) SetPage(items int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pageItems = items
}

// SetRetention makes the store drop records once they are older than retain; 0 keeps them for good.
// Newest values of keys stay.
func (s *Store) SetRetention(retain time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retain = retain
}

// Bytes returns the size of the records of a topic, and that of its newest values with their keys.
func (s *Store) Bytes(topic string) (records, newest int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for place := range s.partitions {
		if place.Topic != topic {
			continue
		}
		kept := s.at(place)
		for _, record := range kept.records {
			records += len(record)
		}
		for key, value := range kept.newest {
			newest += len(key) + len(value)
		}
	}
	return records, newest
}

// LimitReads rejects read calls beyond a number in each second; 0 means no limit.
func (s *Store) LimitReads(perSecond int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readsPerSecond = perSecond
}

// allowed counts a call and reports whether it is within the limit. The caller holds the
// mutex.
func (s *Store) allowed(operation string) bool {
	if s.readsPerSecond == 0 || operation == "append" {
		return true
	}
	if now := time.Now(); now.Sub(s.window) >= time.Second {
		s.window, s.reads = now, 0
	}
	s.reads++
	return s.reads <= s.readsPerSecond
}

// Calls returns how often an operation (append, read, newest) was called.
func (s *Store) Calls(operation string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[operation]
}

// Records returns all retained records of a partition.
func (s *Store) Records(place logstore.Partition) [][]byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.at(place).records)
}

// Keys returns the keys of a partition that have a value, whatever fault is injected.
func (s *Store) Keys(place logstore.Partition) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.at(place).newest))
}

// Put writes the newest value of a key, or removes the key if value is nil.
func (s *Store) Put(place logstore.Partition, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.at(place)
	record := append([]byte{byte(len(key))}, key...)
	kept.add(append(record, value...))
	if value == nil {
		delete(kept.newest, key)
	} else {
		kept.newest[key] = value
	}
	s.wake()
}

// Trim drops the records before an offset.
func (s *Store) Trim(place logstore.Partition, before logstore.Offset) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.at(place)
	for kept.first < before && len(kept.records) > 0 {
		kept.drop()
	}
}

func (p *partition) add(record []byte) {
	p.records, p.written = append(p.records, record), append(p.written, time.Now())
}

// drop drops the oldest record.
func (p *partition) drop() {
	p.records, p.written = p.records[1:], p.written[1:]
	p.first++
}

// at returns a partition without the records that are too old, and creates it on first use. The
// caller holds the mutex.
func (s *Store) at(place logstore.Partition) *partition {
	kept, known := s.partitions[place]
	if !known {
		kept = &partition{newest: map[string][]byte{}, producers: map[string]*producer{}}
		s.partitions[place] = kept
	}
	for s.retain > 0 && len(kept.records) > 0 && time.Since(kept.written[0]) > s.retain {
		kept.drop()
	}
	return kept
}

// wake notifies waiting reads. The caller holds the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin counts a call and applies the faults that occur before any effect.
func (s *Store) begin(ctx context.Context, operation string, place logstore.Partition) (Fault, error) {
	s.mutex.Lock()
	s.calls[operation]++
	fault, allowed := s.fault, s.allowed(operation)
	s.mutex.Unlock()
	if !allowed {
		return fault, fmt.Errorf("%w: too many calls", logstore.ErrUnavailable)
	}
	if fault.Partition != nil && *fault.Partition != place.Number {
		fault = Fault{}
	}
	switch {
	case fault.Busy:
		return fault, fmt.Errorf("%w: busy", logstore.ErrUnavailable)
	case fault.Silent:
		<-ctx.Done()
		return fault, fmt.Errorf("%w: %w", logstore.ErrOutcomeUnknown, ctx.Err())
	case fault.Delay > 0:
		time.Sleep(fault.Delay)
	}
	if ctx.Err() != nil {
		return fault, fmt.Errorf("%w: %w", logstore.ErrOutcomeUnknown, ctx.Err())
	}
	return fault, nil
}

// Append implements logstore.Store.
func (s *Store) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
	fault, err := s.begin(ctx, "append", request.Partition)
	if err != nil {
		return logstore.AppendResult{}, err
	}
	if fault.LoseAnswers {
		if fault.LateAfter > 0 {
			time.AfterFunc(fault.LateAfter, func() { _, _ = s.append(request) })
		} else {
			_, _ = s.append(request)
		}
		<-ctx.Done()
		return logstore.AppendResult{}, fmt.Errorf("%w: %w", logstore.ErrOutcomeUnknown, ctx.Err())
	}
	return s.append(request)
}

func (s *Store) append(request logstore.AppendRequest) (logstore.AppendResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.at(request.Partition)
	first := kept.first + logstore.Offset(len(kept.records))
	if request.At != nil && *request.At != first {
		return logstore.AppendResult{}, &logstore.EndError{End: first}
	}
	answer := logstore.AppendResult{First: first, End: first + logstore.Offset(len(request.Records))}
	if former, repeated, err := kept.sequence(request, answer); repeated || err != nil {
		return former, err
	}
	for number, record := range request.Records {
		if request.Keys != nil {
			key := request.Keys[number]
			if len(record) == 0 {
				delete(kept.newest, key)
			} else {
				kept.newest[key] = record
			}
			record = append(append([]byte{byte(len(key))}, key...), record...)
		}
		kept.add(record)
	}
	s.wake()
	return answer, nil
}

// sequence checks the producer's sequence number of a call and notes its answer. It returns the
// first answer of a call that is repeated.
func (p *partition) sequence(request logstore.AppendRequest, answer logstore.AppendResult) (former logstore.AppendResult, repeated bool, err error) {
	if request.Producer == "" {
		return logstore.AppendResult{}, false, nil
	}
	known, found := p.producers[request.Producer]
	if !found {
		known = &producer{}
		p.producers[request.Producer] = known
	}
	if former, repeated = known.answers[request.Sequence]; repeated && request.Epoch == known.epoch {
		return former, true, nil
	}
	switch {
	case request.Epoch < known.epoch:
		return logstore.AppendResult{}, false, logstore.ErrFenced
	case request.Epoch > known.epoch:
		*known = producer{epoch: request.Epoch, answers: map[uint64]logstore.AppendResult{}}
	case known.begun && request.Sequence != known.sequence+1:
		return logstore.AppendResult{}, false, fmt.Errorf("%w: %d is wanted", logstore.ErrSequence, known.sequence+1)
	}
	known.sequence, known.begun = request.Sequence, true
	if known.answers == nil {
		known.answers = map[uint64]logstore.AppendResult{}
	}
	known.answers[request.Sequence] = answer
	if request.Sequence >= repeats {
		delete(known.answers, request.Sequence-repeats)
	}
	return logstore.AppendResult{}, false, nil
}

// Read implements logstore.Store.
func (s *Store) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	if _, err := s.begin(ctx, "read", request.Partition); err != nil {
		return logstore.ReadResult{}, err
	}
	var timer <-chan time.Time
	if request.Wait > 0 {
		timer = time.After(request.Wait)
	}
	for {
		result, changed, err := s.read(request)
		if err != nil || len(result.Records) > 0 || request.Wait == 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-timer:
			return result, nil
		case <-ctx.Done():
			return logstore.ReadResult{}, fmt.Errorf("%w: %w", logstore.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) read(request logstore.ReadRequest) (logstore.ReadResult, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.at(request.Partition)
	end := kept.first + logstore.Offset(len(kept.records))
	if request.From < kept.first {
		return logstore.ReadResult{}, nil, &logstore.TrimmedError{First: kept.first}
	}
	result := logstore.ReadResult{End: end}
	size := 0
	for offset := request.From; offset < end; offset++ {
		record := kept.records[offset-kept.first]
		if size += len(record); size > cmp.Or(request.MaxBytes, defaultReadBytes) && len(result.Records) > 0 {
			break
		}
		result.Records = append(result.Records, record)
	}
	return result, s.changed, nil
}

// Newest implements logstore.Store.
func (s *Store) Newest(ctx context.Context, request logstore.NewestRequest) (logstore.NewestResult, error) {
	if _, err := s.begin(ctx, "newest", request.Partition); err != nil {
		return logstore.NewestResult{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.at(request.Partition)
	result := logstore.NewestResult{End: kept.first + logstore.Offset(len(kept.records))}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(kept.newest)) {
		if key <= request.After {
			continue
		}
		size += len(key) + len(kept.newest[key])
		if len(result.Items) == s.pageItems || size > maxPageBytes && len(result.Items) > 0 {
			result.More, result.Next = true, result.Items[len(result.Items)-1].Key
			break
		}
		result.Items = append(result.Items, logstore.Item{Key: key, Value: kept.newest[key]})
	}
	return result, nil
}

// Changes implements logstore.Store.
func (s *Store) Changes(ctx context.Context, request logstore.ReadRequest) (logstore.ChangesResult, error) {
	result, err := s.Read(ctx, request)
	if err != nil {
		return logstore.ChangesResult{}, err
	}
	var items []logstore.Item
	for _, record := range result.Records {
		item := logstore.Item{Key: string(record[1 : 1+record[0]])}
		if value := record[1+record[0]:]; len(value) > 0 {
			item.Value = value
		}
		items = append(items, item)
	}
	return logstore.ChangesResult{
		Items: items, Next: min(request.From, result.End) + logstore.Offset(len(result.Records)), End: result.End,
	}, nil
}
