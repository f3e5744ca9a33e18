package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/wire"
)

const (
	// appendTimeout bounds one call that stores attempts, readTimeout one that reads a page of them.
	appendTimeout = 400 * time.Millisecond
	readTimeout   = time.Second
	// maxAppend is the number of attempts in one call.
	maxAppend = 512
	// removalDelay is how long removals wait for others, since they are not urgent.
	removalDelay = 500 * time.Millisecond
	// minAppendPause and maxAppendPause bound the pause after a call that failed.
	minAppendPause = 50 * time.Millisecond
	maxAppendPause = 500 * time.Millisecond
	// maxLoggedUnreadable bounds the log lines of one read about attempts that are not readable.
	maxLoggedUnreadable = 20
)

// archiveKey is the key of an attempt in the log.
type archiveKey struct {
	content Key
	attempt uint64
}

// String returns the key as the log knows it.
func (k archiveKey) String() string { return fmt.Sprintf("%s/%016x", k.content, k.attempt) }

// archive stores attempts in a keyed partition of a durable log, where they outlive all nodes. The
// newest value of a key is what is known of an attempt; an attempt without a value does not count. It
// is safe for concurrent use.
type archive struct {
	log       logstore.Store
	partition logstore.Partition
	producer  string
	logger    *slog.Logger
	// wake has an element while something waits to be stored.
	wake chan struct{}

	// mutex guards the fields below.
	mutex sync.Mutex
	// pending holds the values that are to be stored.
	pending map[archiveKey]*pendingValue
	// urgent is set if pending contains an attempt that is to be stored.
	urgent bool
	// known holds the attempts that this node knows to be stored, with their states there.
	known map[archiveKey]state
	// failing is set after a call that failed, until one succeeds.
	failing bool
	// epoch is the producer's in the last call. Each call has a higher one, so that one whose
	// response was lost can't take effect after a later one.
	epoch uint64
}

// archivedValue is what is stored of an attempt.
type archivedValue struct {
	state   state
	encoded []byte
	// again is set if it is to be stored though the state is stored already.
	again bool
}

// pendingValue is a value on its way to the log, and the writes that wait for it. It removes an attempt
// if nothing is encoded.
type pendingValue struct {
	archivedValue
	writes []*write
}

// write is some attempts on their way to the log.
type write struct {
	// done is closed once all are stored, or a call has failed.
	done chan struct{}
	// left is the number of attempts that are not stored yet. The archive's mutex guards it, and the
	// closing of done.
	left   int
	closed bool
}

func newArchive(log logstore.Store, partition logstore.Partition, self identity.NodeName, logger *slog.Logger) *archive {
	return &archive{
		log: log, partition: partition, producer: fmt.Sprintf("%s-%016x", self, rand.Uint64()), logger: logger,
		wake: make(chan struct{}, 1), pending: map[archiveKey]*pendingValue{}, known: map[archiveKey]state{},
	}
}

// put starts to store attempts. Values that were not stored in spite of a failed call are kept until
// they are. While calls fail, the write is done at once.
func (a *archive) put(values map[archiveKey]archivedValue) *write {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	made := &write{done: make(chan struct{})}
	for key, value := range values {
		if a.known[key] >= value.state && !value.again {
			continue
		}
		made.left++
		if a.pending[key] == nil {
			a.pending[key] = &pendingValue{}
		}
		if a.pending[key].state <= value.state {
			a.pending[key].archivedValue = value
		}
		a.pending[key].writes = append(a.pending[key].writes, made)
	}
	if made.left > 0 {
		a.urgent = true
		a.signal()
	}
	if made.left == 0 || a.failing {
		made.close()
	}
	return made
}

// remove starts to remove attempts.
func (a *archive) remove(keys []archiveKey) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, key := range keys {
		delete(a.known, key)
		if former := a.pending[key]; former != nil {
			for _, waiting := range former.writes {
				waiting.stored()
			}
		}
		a.pending[key] = &pendingValue{}
	}
	if len(keys) > 0 {
		a.signal()
	}
}

// holds reports whether an attempt is stored, or about to be, as far as this node knows.
func (a *archive) holds(key archiveKey) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, stored := a.known[key]
	waiting := a.pending[key]
	return stored || waiting != nil && waiting.encoded != nil
}

// close requires the archive's mutex.
func (w *write) close() {
	if !w.closed {
		w.closed = true
		close(w.done)
	}
}

// stored counts an attempt that is stored. It requires the archive's mutex.
func (w *write) stored() {
	w.left--
	if w.left == 0 {
		w.close()
	}
}

// storedWrite returns a write of nothing.
func storedWrite() *write {
	made := &write{done: make(chan struct{})}
	made.close()
	return made
}

// isStored reports whether all attempts of a write are stored.
func (a *archive) isStored(w *write) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return w.left == 0
}

// signal requires the mutex.
func (a *archive) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run stores what is put, until ctx ends.
func (a *archive) run(ctx context.Context) {
	pause := minAppendPause
	for {
		select {
		case <-a.wake:
		case <-ctx.Done():
			return
		}
		a.awaitUrgent(ctx)
		err := a.append(ctx)
		if err == nil {
			pause = minAppendPause
			continue
		}
		a.logger.Warn("attempts under which replicas ended not stored", "error", err, "waiting", a.waiting())
		await(ctx, nil, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(2*pause, maxAppendPause)
	}
}

// awaitUrgent returns once an attempt is to be stored, or removalDelay has passed.
func (a *archive) awaitUrgent(ctx context.Context) {
	timer := time.NewTimer(removalDelay)
	defer timer.Stop()
	for {
		a.mutex.Lock()
		urgent := a.urgent
		a.mutex.Unlock()
		if urgent {
			return
		}
		select {
		case <-a.wake:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waiting returns the number of values that are not stored yet.
func (a *archive) waiting() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.pending)
}

// append stores pending values in one call.
func (a *archive) append(ctx context.Context) error {
	a.mutex.Lock()
	batch := map[archiveKey]*pendingValue{}
	for key, value := range a.pending {
		if len(batch) == maxAppend {
			break
		}
		batch[key] = value
		delete(a.pending, key)
	}
	a.urgent = lo.SomeBy(lo.Values(a.pending), func(one *pendingValue) bool { return one.encoded != nil })
	a.epoch++
	request := logstore.AppendRequest{Partition: a.partition, Producer: a.producer, Epoch: a.epoch, AnswerWithin: appendTimeout}
	a.mutex.Unlock()
	if len(batch) == 0 {
		return nil
	}
	for key, value := range batch {
		request.Keys = append(request.Keys, key.String())
		request.Records = append(request.Records, value.encoded)
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := a.log.Append(call, request)
	a.ended(batch, err)
	return err
}

// ended notes the outcome of a call. Values that were not stored wait for the next one.
func (a *archive) ended(batch map[archiveKey]*pendingValue, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failing = err != nil
	for key, value := range batch {
		newer := a.pending[key]
		switch {
		case err == nil:
			if value.encoded != nil && (newer == nil || newer.encoded != nil) {
				a.known[key] = value.state
			}
			for _, waiting := range value.writes {
				waiting.stored()
			}
		case newer == nil:
			a.pending[key] = value
			a.urgent = a.urgent || value.encoded != nil
		default:
			newer.writes = append(newer.writes, value.writes...)
		}
	}
	if err != nil {
		for _, value := range a.pending {
			for _, waiting := range value.writes {
				waiting.close()
			}
		}
	}
	if len(a.pending) > 0 {
		a.signal()
	}
}

// flush returns once all attempts are stored, a call has failed, or ctx ends.
func (a *archive) flush(ctx context.Context) {
	a.mutex.Lock()
	writes := lo.FlatMap(lo.Values(a.pending), func(one *pendingValue, _ int) []*write { return one.writes })
	a.mutex.Unlock()
	for _, one := range writes {
		select {
		case <-one.done:
		case <-ctx.Done():
			return
		}
	}
}

// read returns the records of all stored attempts. Errors: those of the log.
func (a *archive) read(ctx context.Context) ([]record, error) {
	records := map[Key]*record{}
	unreadable := 0
	for after, more := "", true; more; {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := a.log.Newest(call, logstore.NewestRequest{Partition: a.partition, After: after})
		cancel()
		if err != nil {
			return nil, fmt.Errorf("quarantine: read stored attempts: %w", err)
		}
		for _, item := range page.Items {
			stored, key, err := decodeArchived(item)
			if err != nil {
				if unreadable++; unreadable <= maxLoggedUnreadable {
					a.logger.Warn("stored attempt not readable", "key", item.Key, "bytes", len(item.Value), "error", err)
				}
				continue
			}
			if len(item.Value) == 0 {
				continue
			}
			a.mutex.Lock()
			a.known[key] = stored.attempts[0].state
			a.mutex.Unlock()
			if known := records[stored.key]; known != nil {
				stored.attempts = lo.Subset(append(known.attempts, stored.attempts...), -maxAttempts, maxAttempts)
				stored.lifetime = max(known.lifetime, stored.lifetime)
				stored.clientLeft = max(known.clientLeft, stored.clientLeft)
			}
			records[stored.key] = &stored
		}
		after, more = page.Next, page.More
	}
	if unreadable > maxLoggedUnreadable {
		a.logger.Warn("more stored attempts not readable", "unreadable", unreadable)
	}
	return lo.Map(lo.Values(records), func(one *record, _ int) record { return *one }), nil
}

// encodeArchived returns the value of a record's only attempt. Ages are as of now: a reader does not
// know how long ago that was, and keeps the record for its whole lifetime.
func encodeArchived(one *record) []byte {
	encoder := wire.NewEncoder(nil)
	encodeRecords(encoder, []record{*one})
	encoder.Blob(nil) // in which later builds may add fields
	return encoder.Bytes()
}

func decodeArchived(item logstore.Item) (record, archiveKey, error) {
	if len(item.Value) == 0 {
		return record{}, archiveKey{}, nil
	}
	decoder := wire.NewDecoder(item.Value)
	records := decodeRecords(decoder)
	decoder.Blob()
	if err := decoder.Err(); err != nil {
		return record{}, archiveKey{}, fmt.Errorf("quarantine: stored attempt: %w", err)
	}
	if len(records) != 1 || len(records[0].attempts) != 1 || !records[0].valid() {
		return record{}, archiveKey{}, fmt.Errorf("quarantine: stored attempt %q is not valid", item.Key)
	}
	key := archiveKey{content: records[0].key, attempt: records[0].attempts[0].id}
	if !strings.EqualFold(key.String(), item.Key) {
		return record{}, archiveKey{}, fmt.Errorf("quarantine: stored attempt %q is that of %s", item.Key, key)
	}
	return records[0], key, nil
}
