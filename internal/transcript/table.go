package transcript

import (
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

const (
	// maxRecords bounds the transcripts of a node.
	maxRecords = 1 << 14
	// maxLifetime bounds the lifetime of a transcript.
	maxLifetime = 10 * time.Minute
	// recordOverhead and eventOverhead are the approximate sizes of a transcript and of an event
	// besides the data.
	recordOverhead = 256
	eventOverhead  = 40
)

// table holds transcripts. It is safe for concurrent use.
//
// A transcript is never removed before it expires, since its promise would be lost with it.
type table struct {
	self     identity.Reference
	maxBytes int

	// mutex guards the fields below.
	mutex   sync.Mutex
	records map[Key]*record
	bytes   int
	// purgedAt is when expired transcripts were last removed.
	purgedAt time.Duration
	refused  uint64
}

// record is a transcript at one of its holders.
type record struct {
	content Content
	holders []identity.Node
	// promised is the highest ballot that was claimed or accepted. No lower one is accepted.
	promised Ballot
	// accepted is the ballot of the writer of events.
	accepted  Ballot
	events    []Event
	bytes     int
	expiresAt time.Duration
}

func newTable(self identity.Reference, maxBytes int) *table {
	return &table{self: self, maxBytes: maxBytes, records: map[Key]*record{}}
}

// holds reports whether this incarnation is one of the holders. An earlier one has lost its
// promises.
func (t *table) holds(holders []identity.Node) bool {
	return slices.ContainsFunc(holders, func(node identity.Node) bool { return node.Reference() == t.self })
}

// get returns the record for a key, and creates it if room is left. The caller must hold the mutex.
func (t *table) get(key Key, content Content, holders []identity.Node, now time.Duration) *record {
	t.purge(now)
	if known, found := t.records[key]; found && now < known.expiresAt {
		return known
	}
	if len(t.records) >= maxRecords || t.bytes+recordOverhead > t.maxBytes {
		t.refused++
		return nil
	}
	t.remove(key)
	made := &record{content: content, holders: holders, bytes: recordOverhead, expiresAt: now}
	t.records[key] = made
	t.bytes += made.bytes
	return made
}

func (t *table) remove(key Key) {
	if known, found := t.records[key]; found {
		t.bytes -= known.bytes
		delete(t.records, key)
	}
}

// purge removes expired records. The caller must hold the mutex.
func (t *table) purge(now time.Duration) {
	const interval = time.Second
	if now-t.purgedAt < interval {
		return
	}
	t.purgedAt = now
	for key, known := range t.records {
		if now >= known.expiresAt {
			t.remove(key)
		}
	}
}

func (r *record) extend(left, now time.Duration) {
	r.expiresAt = max(r.expiresAt, now+min(left, maxLifetime))
}

// append stores events of a writer behind the ones that it has stored before.
func (t *table) append(request *appendRequest, now time.Duration) *appendResponse {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.holds(request.Holders) || request.Left <= 0 {
		return &appendResponse{Status: statusRefused}
	}
	known := t.get(request.Key, request.Content, request.Holders, now)
	if known == nil {
		return &appendResponse{Status: statusRefused}
	}
	if request.Ballot.Compare(known.promised) < 0 {
		return &appendResponse{Status: statusFenced, Promised: known.promised}
	}
	from := int(request.From)
	if request.Ballot != known.accepted {
		if from > 0 {
			return &appendResponse{Status: statusIncomplete}
		}
		t.replace(known, request)
	}
	if from > len(known.events) {
		return &appendResponse{Status: statusIncomplete, Stored: uint32(len(known.events))}
	}
	known.promised = request.Ballot
	known.extend(request.Left, now)
	for _, event := range request.Events[min(len(known.events)-from, len(request.Events)):] {
		size := len(event.Data) + eventOverhead
		if t.bytes+size > t.maxBytes {
			t.refused++
			return &appendResponse{Status: statusRefused, Stored: uint32(len(known.events))}
		}
		known.events = append(known.events, event)
		known.bytes += size
		t.bytes += size
	}
	return &appendResponse{Status: statusStored, Stored: uint32(len(known.events))}
}

// replace empties a record for a writer with a higher ballot.
func (t *table) replace(known *record, request *appendRequest) {
	t.bytes -= known.bytes - recordOverhead
	known.events, known.bytes = nil, recordOverhead
	known.accepted, known.content, known.holders = request.Ballot, request.Content, request.Holders
}

// claim promises to accept no ballot below the claimed one. A claim without holders is answered
// only by nodes that have the transcript.
func (t *table) claim(request *claimRequest, now time.Duration) *claimResponse {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.records[request.Key]
	if !found || now >= known.expiresAt {
		if !t.holds(request.Holders) || request.Left <= 0 {
			return &claimResponse{Status: statusRefused}
		}
		if known = t.get(request.Key, request.Content, request.Holders, now); known == nil {
			return &claimResponse{Status: statusRefused}
		}
	}
	if known.content != request.Content {
		return &claimResponse{Status: statusOtherContent}
	}
	if request.Ballot.Compare(known.promised) < 0 {
		return &claimResponse{Status: statusFenced, Promised: known.promised, Holders: known.holders}
	}
	known.promised = request.Ballot
	known.extend(request.Left, now)
	return &claimResponse{
		Status: statusStored, Promised: known.promised, Accepted: known.accepted,
		Holders: known.holders, Events: slices.Clone(known.events),
	}
}

// size returns the number of transcripts and the bytes that they take.
func (t *table) size() (records, bytes int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.records), t.bytes
}

func (t *table) refusals() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.refused
}
