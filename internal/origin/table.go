package origin

import (
	"sync"
	"time"
	"unique"
)

const (
	// maxRecords bounds the records of a node, which take about 3 MB then.
	maxRecords = 1 << 15
	// MaxLifetime bounds the lifetime of a record.
	MaxLifetime = 10 * time.Minute
)

// table holds records. It is safe for concurrent use.
type table struct {
	// mutex guards all fields below.
	mutex   sync.Mutex
	records map[Key]*stored
	// byAge contains the keys of the records, oldest first, each once.
	byAge []Key
	// evicted counts records that were removed before they expired.
	evicted uint64
}

type stored struct {
	origin unique.Handle[Origin]
	// conflicting is set if another origin was recorded for the same key.
	conflicting bool
	expiresAt   time.Duration
}

func newTable() *table { return &table{records: map[Key]*stored{}} }

// put adds a record. now is a monotonic reading.
func (t *table) put(record Record, now time.Duration) {
	expiresAt := now + min(record.Left, MaxLifetime)
	added := unique.Make(record.Origin)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.purge(now)
	if known, found := t.records[record.Key]; found && now < known.expiresAt {
		known.conflicting = known.conflicting || known.origin != added
		known.expiresAt = max(known.expiresAt, expiresAt)
		return
	} else if !found {
		t.byAge = append(t.byAge, record.Key)
	}
	t.records[record.Key] = &stored{origin: added, expiresAt: expiresAt}
	if len(t.records) > maxRecords {
		t.evicted++
		t.removeOldest()
	}
}

// purge removes expired records from the oldest on. The caller must hold the mutex.
func (t *table) purge(now time.Duration) {
	for len(t.byAge) > 0 && now >= t.records[t.byAge[0]].expiresAt {
		t.removeOldest()
	}
}

func (t *table) removeOldest() {
	delete(t.records, t.byAge[0])
	t.byAge = t.byAge[1:]
}

// get returns a record. conflicting reports that the record is of no use.
func (t *table) get(key Key, now time.Duration) (record Record, conflicting, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.records[key]
	if !found || now >= known.expiresAt {
		return Record{}, false, false
	}
	return Record{Key: key, Origin: known.origin.Value(), Left: known.expiresAt - now}, known.conflicting, true
}

// all returns the records that are neither expired nor conflicting.
func (t *table) all(now time.Duration) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	records := make([]Record, 0, len(t.records))
	for key, known := range t.records {
		if now < known.expiresAt && !known.conflicting {
			records = append(records, Record{Key: key, Origin: known.origin.Value(), Left: known.expiresAt - now})
		}
	}
	return records
}

func (t *table) size() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.records)
}

func (t *table) evictions() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.evicted
}
