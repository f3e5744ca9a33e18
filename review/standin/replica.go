package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/logstore"
)

const heartbeat = 1200 * time.Millisecond

// replica is a sound replica of one service: it runs what names it, echoes the request's ID and
// stamps its answers.
type replica struct {
	profile
	site    *site
	id      string
	address string
	zone    string

	mutex   sync.Mutex
	running int
	queued  int
	free    *sync.Cond
}

// profile is what a replica does.
type profile struct {
	service string
	slots   int
	// work is how long a plain request takes.
	work time.Duration
	// events and gap describe the streams; no events means plain answers.
	events int
	gap    time.Duration
}

// run is a request that a replica has begun to work on.
type run struct {
	id, replica, path, previous, lastEvent, body string
}

// startReplica starts a replica with a new ID at a new address.
func (s *site) startReplica(number int, of profile) *replica {
	listener, err := net.Listen("tcp4", s.ip(100+number)+":0")
	if err != nil {
		s.fail("replica: %v", err)
	}
	started := &replica{
		profile: of, site: s, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: listener.Addr().String(),
		zone: zoneName(number),
	}
	started.free = sync.NewCond(&started.mutex)
	go func() { _ = http.Serve(listener, started) }()
	go started.renewEntry()
	return started
}

// renewEntry writes the replica's entry to the store at each heartbeat.
func (r *replica) renewEntry() {
	for sequence := 1; ; sequence++ {
		r.site.log.Put(logstore.Partition{Topic: "keyed.servers"}, r.id, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"seq":%d}`,
			r.service, r.address, r.zone, r.slots, sequence))
		time.Sleep(heartbeat)
	}
}

var _ http.Handler = (*replica)(nil)

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	id := request.Header.Get("X-Stepseam-Request-Id")
	header.Set("X-Stepseam-Request-Id", id)
	header.Set("X-Stepseam-Instance-Id", r.id)
	expected := request.Header.Get("X-Stepseam-Expect-Instance")
	switch {
	case request.URL.Path == "/health":
		return
	case expected != "" && expected != r.id:
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		header.Set("X-Stepseam-Not-Run", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if !r.enter() {
		header.Set("X-Stepseam-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	r.site.noteRun(run{
		id: id, replica: r.id, path: request.URL.Path, previous: request.Header.Get("X-Stepseam-Previous-Turn"),
		lastEvent: request.Header.Get("Last-Event-Id"), body: string(body),
	})
	header.Set("X-Stepseam-Server-Stamp", "3e1b.07."+r.id)
	if r.events == 0 {
		time.Sleep(r.work)
		_, _ = io.WriteString(writer, strings.Repeat("a", 800))
		return
	}
	r.stream(writer, request, body)
}

// eventData is the data of one event of the answer to a body.
func eventData(body string, number int) string {
	sum := sha256.Sum256([]byte(body))
	return fmt.Sprintf("piece %d of %s", number, hex.EncodeToString(sum[:4]))
}

func (r *replica) stream(writer http.ResponseWriter, request *http.Request, body []byte) {
	first := 0
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := first; number < r.events; number++ {
		select {
		case <-time.After(r.gap):
		case <-request.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, eventData(string(body), number))
		_ = http.NewResponseController(writer).Flush()
	}
}

// queueLength is how many requests wait for a slot at most.
const queueLength = 48

func (r *replica) enter() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.queued >= queueLength {
		return false
	}
	r.queued++
	for r.running >= r.slots {
		r.free.Wait()
	}
	r.queued--
	r.running++
	return true
}

func (r *replica) leave() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
	r.free.Signal()
}

// publishConfiguration writes the operator's configuration to the store.
func publishConfiguration(log *store.Store, document string) {
	log.Put(logstore.Partition{Topic: "keyed.op"}, "config", []byte(document))
}
