package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	tokensPerEvent = 10
	replicaSlots   = 64
	heartbeat      = 1200 * time.Millisecond
)

// run is one request that a replica has run.
type run struct {
	id, program, previous, body string
	tokens                      int
	at                          time.Time
}

// replica is a server of the streaming service. It answers a turn with as many events as the turn may have.
type replica struct {
	id, address, zone string
	note              func(format string, arguments ...any)

	mutex sync.Mutex
	runs  []run
}

func newReplica(id, zone string, note func(string, ...any)) (*replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, zone: zone, address: listener.Addr().String(), note: note}
	server := &http.Server{Handler: r}
	go func() { _ = server.Serve(listener) }()
	return r, nil
}

// publish keeps the replica's entry in the store.
func (r *replica) publish(store *logStore) {
	for sequence := 1; ; sequence++ {
		store.put("keyed.servers", r.id, fmt.Appendf(nil, `{"service":"screen-llm","address":"%s","zone":"%s","version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"seq":%d}`,
			r.address, r.zone, replicaSlots, sequence))
		time.Sleep(heartbeat)
	}
}

func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/health":
		writer.Header().Set("X-Stepseam-Instance-Id", r.id)
		return
	case request.URL.Path == "/api/report":
		writeJSON(writer, http.StatusOK, map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 211374, "handles": 0})
		return
	}
	id := request.Header.Get("X-Stepseam-Request-Id")
	if expected := request.Header.Get("X-Stepseam-Expect-Instance"); expected != "" && expected != r.id {
		writer.Header().Set("X-Stepseam-Instance-Id", r.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	_, most, _ := strings.Cut(request.Header.Get("X-Stepseam-Token-Count"), ",")
	tokens, _ := strconv.Atoi(most)
	one := run{id: id, program: request.Header.Get("X-Stepseam-Program-Id"), previous: request.Header.Get("X-Stepseam-Previous-Turn"), body: string(body), tokens: tokens, at: time.Now()}
	r.mutex.Lock()
	r.runs = append(r.runs, one)
	r.mutex.Unlock()
	r.note("replica %s runs %s of program %s after %q, body of %d bytes: %.400q", r.id, id, one.program, one.previous, len(one.body), one.body)
	header := writer.Header()
	header.Set("X-Stepseam-Request-Id", id)
	header.Set("X-Stepseam-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
	header.Set("X-Stepseam-Weight-Versions", "1")
	header.Set("Content-Type", "text/event-stream")
	for event := range tokens / tokensPerEvent {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s.%d\n\n", event+1, id, event+1)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// ran returns the runs of a program.
func (r *replica) ran(program string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []run
	for _, one := range r.runs {
		if one.program == program {
			found = append(found, one)
		}
	}
	return found
}
