package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	// versionedEvents is the number of events of a stream, versionedPause the time before each.
	versionedEvents = 8
	versionedPause  = 300 * time.Millisecond
	// versionedStreams is the number of streams that clients begin.
	versionedStreams = 40
	// versionedReplicas is the number of replicas. One of them, a share of 0.2, is cut off from the store.
	versionedReplicas = 5
	// maxMixed is the number of streams that may hold events of two versions.
	maxMixed = 2
	// cutTime is how long a replica can't write to the store.
	cutTime = 5 * time.Second
	// returnPause is how long a client waits until it takes up its stream.
	returnPause = 400 * time.Millisecond
	// clientRetries is how often a client takes up its stream.
	clientRetries = 1
	// versionMode starts a versionedReplica.
	versionMode = "serve-version"
)

// serveVersion is the program of a replica process that streams events marked with its version. The version is
// that of its software: neither requests nor answers name it.
func serveVersion(address, instance, version, born string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	fmt.Println("ready", listener.Addr())
	return http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch request.URL.Path {
		case "/health":
			writer.Header().Set("X-Stepseam-Instance-Id", instance)
			return
		case "/api/report":
			started, _ := strconv.ParseInt(born, 10, 64)
			writeJSON(writer, http.StatusOK, map[string]any{"born": started, "busy": false, "seq": 0})
			return
		}
		header := writer.Header()
		header.Set("X-Stepseam-Request-Id", request.Header.Get("X-Stepseam-Request-Id"))
		if request.Header.Get("X-Stepseam-Expect-Instance") != instance {
			header.Set("X-Stepseam-Instance-Id", instance)
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		fmt.Println("runs", request.Header.Get("X-Stepseam-Request-Id"), "after event", last)
		header.Set("X-Stepseam-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
		header.Set("Content-Type", "text/event-stream")
		for event := last + 1; event <= versionedEvents; event++ {
			time.Sleep(versionedPause)
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, version)
			_ = http.NewResponseController(writer).Flush()
		}
	}))
}

// isConnected reports whether the replica that starts again can write its entry at once. The variable CUT=0 sets it.
func isConnected() bool { return os.Getenv("CUT") == "0" }

// versionedReplica is a replica process that may start again under its ID and at its address.
type versionedReplica struct {
	id, address, version string
	born                 int64
	command              *exec.Cmd
	written              time.Time
}

// launch starts the process of a replica.
func (s *site) launch(r *versionedReplica, version string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	r.version, r.born = version, time.Now().UnixMilli()
	r.command = exec.Command(program, versionMode, r.address, r.id, version, fmt.Sprint(r.born))
	output, err := r.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := r.command.Start(); err != nil {
		return err
	}
	s.others = append(s.others, r.command)
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return errors.New("a replica did not start")
	}
	r.address = strings.TrimPrefix(lines.Text(), "ready ")
	s.note("replica %s starts at %s with version %s", r.id, r.address, version)
	go func() {
		for lines.Scan() {
			s.note("replica %s, version %s: %s", r.id, version, lines.Text())
		}
	}()
	return nil
}

// publishUntil writes a replica's entry until stop is closed. It lapses after three heartbeats of silence.
func (s *site) publishUntil(r *versionedReplica, stop <-chan struct{}) {
	const heartbeats = 3
	for sequence := 1; ; sequence++ {
		s.store.put("keyed.servers", r.id, fmt.Appendf(nil, `{"service":"stream-llm","address":%q,"zone":"lhr-a","version":%q,"slots":%d,"state":"ready","coldLeftMs":0,"born":%d,"seq":%d}`, r.address, r.version, replicaSlots, r.born, sequence))
		written := time.Now()
		select {
		case <-time.After(heartbeat):
		case <-stop:
			time.Sleep(time.Until(written.Add(heartbeats * heartbeat)))
			if !isConnected() {
				s.store.put("keyed.servers", r.id, nil)
				s.note("store: the entry of replica %s has lapsed", r.id)
			}
			return
		}
	}
}

func versionedConfiguration() string {
	return fmt.Sprintf(`{"version":7,"routes":[{"name":"r-stream","host":"%s","pathPrefix":"%s","kind":"streaming","timeoutMs":5000,"sloMs":200,"priority":0,"service":"stream-llm","maxAttempts":1,"resumable":true,"targetGapMs":400}],`+
		`"services":[{"name":"stream-llm","healthPath":"/health"}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, routeHost, turnPath)
}

// stream is a client's stream over all its attempts.
type stream struct {
	first    string
	versions []string
	whole    bool
	began    chan struct{}
}

// versioned sends streams to a service of which one replica has an older version. It crashes, and starts again under its ID
// with the newer version while it can't write to the store. No stream may hold events of both versions.
func versioned(s *site, trouble bool) (bool, error) {
	s.store.put("keyed.op", "config", []byte(versionedConfiguration()))
	older := &versionedReplica{id: fmt.Sprintf("i-%08x", rand.Uint32()), address: "127.0.0.1:0"}
	if err := s.launch(older, "v1"); err != nil {
		return false, err
	}
	cut := make(chan struct{})
	go s.publishUntil(older, cut)
	for range versionedReplicas - 1 {
		newer := &versionedReplica{id: fmt.Sprintf("i-%08x", rand.Uint32()), address: "127.0.0.1:0"}
		if err := s.launch(newer, "v2"); err != nil {
			return false, err
		}
		go s.publishUntil(newer, nil)
	}
	time.Sleep(3 * time.Second)
	results := make(chan *stream, versionedStreams)
	for i := range versionedStreams {
		go func() { results <- s.follow(i) }()
	}
	time.Sleep(2*versionedPause + versionedPause/2)
	if trouble {
		s.note("replica %s, 1 of %d, is cut off from the store", older.id, versionedReplicas)
		close(cut)
		_ = older.command.Process.Kill()
		_ = older.command.Wait()
		s.note("replica %s has crashed", older.id)
		again := &versionedReplica{id: older.id, address: older.address}
		if err := s.launch(again, "v2"); err != nil {
			return false, err
		}
		silent := cutTime
		if isConnected() {
			silent = 0
		}
		time.AfterFunc(silent, func() {
			s.note("replica %s reaches the store again", older.id)
			s.publishUntil(again, nil)
		})
	}
	mixed, old := 0, 0
	for range versionedStreams {
		one := <-results
		text := strings.Join(one.versions, " ")
		s.note("client: stream %s, whole %v: %s", one.first, one.whole, text)
		if !trouble && !one.whole {
			return false, errors.New("a stream was not answered without trouble")
		}
		if strings.Contains(text, "v1") {
			old++
			if strings.Contains(text, "v2") {
				mixed++
			}
		}
	}
	s.note("%d of %d streams began at version v1, %d hold events of two versions", old, versionedStreams, mixed)
	if old <= maxMixed {
		return false, errors.New("too few streams began at the older version")
	}
	return mixed > maxMixed, nil
}

// follow begins a stream and takes it up if it breaks off.
func (s *site) follow(index int) *stream {
	made := &stream{first: newID()}
	id := made.first
	for try := 0; try <= clientRetries && !made.whole; try++ {
		if try > 0 {
			time.Sleep(returnPause)
			id = newID()
		}
		n := s.nodes[(index+try)%len(s.nodes)]
		request, err := http.NewRequest(http.MethodPost, "http://"+n.front+turnPath+"4b", strings.NewReader("question"))
		if err != nil {
			return made
		}
		request.Host = routeHost
		request.Header.Set("X-Stepseam-Request-Id", id)
		request.Header.Set("X-Stepseam-Timeout-Ms", "5000")
		if len(made.versions) > 0 {
			request.Header.Set("Last-Event-Id", fmt.Sprint(len(made.versions)))
			request.Header.Set("Resumes", made.first)
		}
		client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
		response, err := client.Do(request)
		if err != nil {
			s.note("client: stream %s as %s at %s after event %d: %v", made.first, id, n.name, len(made.versions), err)
			continue
		}
		before := len(made.versions)
		lines := bufio.NewScanner(response.Body)
		for response.StatusCode == http.StatusOK && lines.Scan() {
			if version, found := strings.CutPrefix(lines.Text(), "data: "); found {
				made.versions = append(made.versions, version)
			}
		}
		made.whole = response.StatusCode == http.StatusOK && lines.Err() == nil
		_ = response.Body.Close()
		s.note("client: stream %s as %s at %s after event %d: %d, %d events, %v", made.first, id, n.name, before, response.StatusCode, len(made.versions)-before, lines.Err())
	}
	return made
}
