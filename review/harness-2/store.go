package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// logStore is the platform's metadata store, as PROTOCOL.md describes it, kept in memory.
type logStore struct {
	address string
	server  *http.Server
	// retain is how long a log keeps its records. Keyed topics keep the newest record of each key.
	retain time.Duration

	mutex      sync.Mutex
	partitions map[string]*logPartition
	changed    chan struct{}
}

type logRecord struct {
	data []byte
	at   time.Time
}

type logPartition struct {
	records   []logRecord
	first     uint64
	newest    map[string][]byte
	offsets   map[string]uint64
	producers map[string]*logProducer
}

type logProducer struct {
	epoch, next uint64
	begun       bool
	answers     map[uint64][2]uint64
}

const (
	recordBytes   = 262144
	callBytes     = 2097152
	answerRepeats = 5
	lengthBytes   = 4
)

func newLogStore(retain time.Duration) (*logStore, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &logStore{address: listener.Addr().String(), retain: retain, partitions: map[string]*logPartition{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// at returns a partition without the records that are older than retain. The caller holds the mutex.
func (s *logStore) at(topic, part string) *logPartition {
	key := topic + "/" + part
	found := s.partitions[key]
	if found == nil {
		found = &logPartition{newest: map[string][]byte{}, offsets: map[string]uint64{}, producers: map[string]*logProducer{}}
		s.partitions[key] = found
	}
	for len(found.records) > 0 && time.Since(found.records[0].at) > s.retain {
		found.records = found.records[1:]
		found.first++
	}
	return found
}

func isKeyed(topic string) bool { return len(topic) > 6 && topic[:6] == "keyed." }

// put writes the newest record of a key; nil drops the key.
func (s *logStore) put(topic, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.at(topic, "0")
	p.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
	s.wake()
}

func (s *logStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (p *logPartition) add(topic string, record []byte) {
	if isKeyed(topic) && len(record) > int(record[0]) {
		key := string(record[1 : 1+record[0]])
		value := record[1+record[0]:]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = value
			p.offsets[key] = p.end()
		}
	}
	p.records = append(p.records, logRecord{data: record, at: time.Now()})
}

func (p *logPartition) end() uint64 { return p.first + uint64(len(p.records)) }

func writeJSON(writer http.ResponseWriter, status int, document any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(document)
}

func (s *logStore) handleAppend(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	query := request.URL.Query()
	topic := query.Get("topic")
	records, split := splitRecords(body)
	if err != nil || !split || len(body) > callBytes {
		writeJSON(writer, http.StatusBadRequest, map[string]string{"why": "body"})
		return
	}
	if topic == "keyed.servers" {
		writeJSON(writer, http.StatusForbidden, map[string]string{"why": "topic"})
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.at(topic, query.Get("part"))
	if at := query.Get("at"); at != "" && at != strconv.FormatUint(p.end(), 10) {
		writeJSON(writer, http.StatusPreconditionFailed, map[string]uint64{"end": p.end()})
		return
	}
	if name := query.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseUint(query.Get("seq"), 10, 64)
		one := p.producers[name]
		if one == nil {
			one = &logProducer{epoch: epoch, answers: map[uint64][2]uint64{}}
			p.producers[name] = one
		}
		if epoch < one.epoch {
			writeJSON(writer, http.StatusConflict, map[string]any{"why": "fenced", "epoch": one.epoch})
			return
		}
		if epoch > one.epoch {
			*one = logProducer{epoch: epoch, answers: map[uint64][2]uint64{}}
		}
		if answer, repeated := one.answers[sequence]; repeated {
			writeJSON(writer, http.StatusOK, map[string]uint64{"offset": answer[0], "end": answer[1]})
			return
		}
		if one.begun && sequence != one.next {
			writeJSON(writer, http.StatusConflict, map[string]any{"why": "seq", "wanted": one.next})
			return
		}
		if len(records) > 0 {
			one.begun, one.next = true, sequence+1
			one.answers[sequence] = [2]uint64{p.end(), p.end() + uint64(len(records))}
			if sequence >= answerRepeats {
				delete(one.answers, sequence-answerRepeats)
			}
		}
	}
	offset := p.end()
	for _, record := range records {
		p.add(topic, record)
	}
	s.wake()
	writeJSON(writer, http.StatusOK, map[string]uint64{"offset": offset, "end": p.end()})
}

func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || len(body) < lengthBytes+size {
			return nil, false
		}
		records = append(records, body[lengthBytes:lengthBytes+size])
		body = body[lengthBytes+size:]
	}
	return records, true
}

func (s *logStore) handleRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.ParseUint(query.Get("fromRev"), 10, 64)
	limit := 1024
	if given, err := strconv.Atoi(query.Get("max_kb")); err == nil && given > 0 {
		limit = given
	}
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		p := s.at(query.Get("topic"), query.Get("part"))
		changed := s.changed
		if from < p.first {
			first := p.first
			s.mutex.Unlock()
			writeJSON(writer, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		answer := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, p.end()), p.first)
		count := 0
		for offset := from; offset < p.end(); offset++ {
			data := p.records[offset-p.first].data
			if count > 0 && len(answer)+len(data) > limit<<10 {
				break
			}
			answer = append(binary.BigEndian.AppendUint32(answer, uint32(len(data))), data...)
			count++
		}
		s.mutex.Unlock()
		if count > 0 || waitMs == 0 {
			writer.Header().Set("Content-Type", "application/octet-stream")
			writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
			_, _ = writer.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-deadline:
			waitMs = 0
		}
	}
}

func (s *logStore) handleNewest(writer http.ResponseWriter, request *http.Request) {
	const pageItems = 500
	query := request.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.at(query.Get("topic"), query.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(p.newest[key]), "offset": p.offsets[key]})
	}
	writeJSON(writer, http.StatusOK, map[string]any{"items": items, "more": more, "end": p.end()})
}

// describe tells how many records the logs of a topic hold, and from which offset on.
func (s *logStore) describe(topic string, parts int) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := ""
	for part := range parts {
		p := s.at(topic, strconv.Itoa(part))
		if p.end() > 0 {
			text += fmt.Sprintf(" %d:%d-%d", part, p.first, p.end())
		}
	}
	return text
}
