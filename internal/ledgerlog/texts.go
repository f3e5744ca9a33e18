package ledgerlog

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/semaphore"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

// textStore writes the texts of turns to the log, reads them by location and caches the newest.
type textStore struct {
	config         Config
	metrics        *metrics
	pacer          *pacer
	retransmission *retransmission
	// readBytes bounds the bytes of texts that are read at a time to readLimit.
	readBytes *semaphore.Weighted
	readLimit int64

	// mutex guards the fields below.
	mutex sync.Mutex
	// partition is the one that texts are written to; it changes when it is unavailable.
	partition int
	appenders map[int]*appender
	cache     map[ledger.Location][]byte
	// reading contains the reads in progress.
	reading map[ledger.Location]*textRead
	// order lists the cached locations, oldest first.
	order  []ledger.Location
	cached int
	// dropped has the oldest offset of each partition that has dropped records, as last heard.
	dropped map[logstore.Partition]logstore.Offset
	// archives returns the archives that may have the texts of a chain, most likely ones first. It is
	// set before the first read.
	archives func(chain []ledger.Location) []*archive
}

func newTextStore(config Config, counters *metrics, callPacer *pacer, retransmits *retransmission) *textStore {
	readLimit := int64(max(config.CacheBytes, minReadBytes))
	return &textStore{
		readBytes: semaphore.NewWeighted(readLimit), readLimit: readLimit,
		config: config, metrics: counters, pacer: callPacer, retransmission: retransmits,
		cache: map[ledger.Location][]byte{}, reading: map[ledger.Location]*textRead{}, dropped: map[logstore.Partition]logstore.Offset{}, appenders: map[int]*appender{},
		partition: int(xxhash.Sum64String(config.Producer) % uint64(max(config.Partitions, 1))),
	}
}

// firstAvailable returns the first available partition, as far as known, starting at from. It
// returns from if there is none.
func (t *textStore) firstAvailable(from int) int {
	for i := range t.config.Partitions {
		number := (from + i) % t.config.Partitions
		if t.config.Availability.Available(logstore.Partition{Topic: t.config.TextTopic, Number: number}) {
			return number
		}
	}
	return from
}

// writer returns the partition that texts are written to, and its appender.
func (t *textStore) writer() (int, *appender) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.partition = t.firstAvailable(t.partition)
	target, known := t.appenders[t.partition]
	if !known {
		target = &appender{
			store: t.config.Store, availability: t.config.Availability, partition: logstore.Partition{Topic: t.config.TextTopic, Number: t.partition},
			producer: t.config.Producer, callBytes: t.config.CallBytes, logger: t.config.Logger, metrics: t.metrics,
			pacer: t.pacer, retransmission: t.retransmission, epoch: 1,
		}
		t.appenders[t.partition] = target
	}
	return t.partition, target
}

// avoidPartition switches to another partition unless that has already happened.
func (t *textStore) avoidPartition(partition int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.partition == partition {
		t.partition = (partition + 1) % t.config.Partitions
	}
}

// write appends a text as one record, or as several if it exceeds the maximum record size.
func (t *textStore) write(ctx context.Context, text []byte) (ledger.Location, error) {
	records := slices.Collect(slices.Chunk(text, t.config.RecordBytes))
	if len(records) == 0 {
		records = [][]byte{{}}
	}
	for {
		partition, target := t.writer()
		within, cancel := context.WithTimeout(ctx, partitionTimeout)
		offset, err := target.append(within, records)
		cancel()
		if err == nil {
			location := ledger.Location{Partition: uint16(partition), Offset: uint64(offset), Size: uint32(len(text))}
			t.cacheText(location, text)
			return location, nil
		}
		if ctx.Err() != nil {
			return ledger.Location{}, err
		}
		t.avoidPartition(partition)
	}
}

func (t *textStore) cachedText(location ledger.Location) ([]byte, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	text, found := t.cache[location]
	return text, found
}

func (t *textStore) cacheText(location ledger.Location, text []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.cache[location]; known {
		return
	}
	t.cache[location] = text
	t.order = append(t.order, location)
	t.cached += len(text)
	for t.cached > t.config.CacheBytes && len(t.order) > 0 {
		t.cached -= len(t.cache[t.order[0]])
		delete(t.cache, t.order[0])
		t.order = t.order[1:]
	}
}
