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
	"strings"
	"syscall"
	"time"
)

const (
	plainPath = "/puxa403/"
	// reuseAfter is how long an address stays unused after the end of its replica.
	reuseAfter = 2 * time.Second
	// answerTime is how long a replica takes for its answer: the first half of the body is sent at once, the
	// second after this time.
	answerTime = 1200 * time.Millisecond
	// plainTimeout is the timeout of the route and of its clients.
	plainTimeout = 6 * time.Second
)

// wholeBody is the body of the replica's answer to a request.
func wholeBody(id string) string {
	return "receipt of " + id + strings.Repeat(".", 400) + "first half;" + strings.Repeat(".", 400) + "second half, end of receipt " + id
}

// serveReplica is the program of a replica process: a plain service whose answers have no length and end with
// their connection.
func serveReplica(address, instance string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	fmt.Println("ready", listener.Addr())
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveConnection(connection, instance)
	}
}

func serveConnection(connection net.Conn, instance string) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Stepseam-Request-Id")
		if request.Header.Get("X-Stepseam-Expect-Instance") != instance {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nX-Stepseam-Instance-Id: %s\r\nX-Stepseam-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", instance, id)
			continue
		}
		fmt.Println("runs", id)
		if strings.HasPrefix(request.URL.Path, turnPath) {
			streamEvents(connection, id)
			return
		}
		body := wholeBody(id)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Stepseam-Request-Id: %s\r\nX-Stepseam-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nConnection: close\r\n\r\n%s", id, body[:len(body)/2])
		time.Sleep(answerTime)
		_, _ = io.WriteString(connection, body[len(body)/2:])
		return
	}
}

const (
	// streamEventCount is the number of events of a stream, and streamPause the time before each.
	streamEventCount = 5
	streamPause      = 250 * time.Millisecond
)

// streamEvents answers a turn with a stream that ends with its connection.
func streamEvents(connection net.Conn, id string) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Stepseam-Request-Id: %s\r\nX-Stepseam-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id)
	for event := range streamEventCount {
		time.Sleep(streamPause)
		_, _ = fmt.Fprintf(connection, "id: %d\ndata: %s.%d\n\n", event+1, id, event+1)
	}
}

// replicaProcess is a replica in a process of its own.
type replicaProcess struct {
	id, service, address, zone string
	command                    *exec.Cmd
	lines                      *bufio.Scanner
	stop                       chan struct{}
}

// startReplica starts a replica process and publishes its entry until the process is killed.
func (s *site) startReplica(service, address, zone string) (*replicaProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	made := &replicaProcess{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, stop: make(chan struct{})}
	made.command = exec.Command(program, "serve", address, made.id)
	output, err := made.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := made.command.Start(); err != nil {
		return nil, err
	}
	s.others = append(s.others, made.command)
	made.lines = bufio.NewScanner(output)
	line := made.awaitLine("ready ")
	if line == "" {
		return nil, errors.New("a replica did not start")
	}
	made.address = line
	s.note("replica %s of service %s is started at %s", made.id, service, made.address)
	go made.publish(s.store)
	return made, nil
}

// awaitLine returns the rest of the next line of the process that begins with a prefix.
func (r *replicaProcess) awaitLine(prefix string) string {
	for r.lines.Scan() {
		if rest, found := strings.CutPrefix(r.lines.Text(), prefix); found {
			return rest
		}
	}
	return ""
}

func (r *replicaProcess) publish(store *logStore) {
	const heartbeats = 3
	for sequence := 1; ; sequence++ {
		store.put("keyed.servers", r.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":%d}`, r.service, r.address, r.zone, sequence))
		select {
		case <-time.After(heartbeat):
		case <-r.stop:
			time.Sleep(heartbeats * heartbeat)
			store.put("keyed.servers", r.id, nil)
			return
		}
	}
}

// crash kills a replica process; its entry lapses.
func (s *site) crash(r *replicaProcess) {
	_ = r.command.Process.Kill()
	_ = r.command.Wait()
	close(r.stop)
	s.note("replica %s is killed", r.id)
}

func plainConfiguration() string {
	return fmt.Sprintf(`{"version":5,"routes":[{"name":"r-plain","host":"%s","pathPrefix":"%s","kind":"unsafe","timeoutMs":%d,"sloMs":1200,"priority":2,"service":"landlord-api","maxAttempts":1},`+
		`{"name":"r-other","host":"%s","pathPrefix":"/pule252/","kind":"unsafe","timeoutMs":%d,"sloMs":1200,"priority":2,"service":"otherservice","maxAttempts":1}],`+
		`"services":[{"name":"landlord-api","healthPath":"/health"},{"name":"otherservice","healthPath":"/health"}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, routeHost, plainPath, plainTimeout.Milliseconds(), routeHost, plainTimeout.Milliseconds())
}

// replaceWhileFrozen stops a node, kills a replica, starts one of another service at its address, and lets the
// node go on.
func (s *site) replaceWhileFrozen(n *node, served *replicaProcess) error {
	s.note("node %s gets SIGSTOP", n.name)
	_ = n.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond)
	s.crash(served)
	time.Sleep(reuseAfter + 300*time.Millisecond)
	if _, err := s.startReplica("otherservice", served.address, "lhr-a"); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	s.note("node %s gets SIGCONT", n.name)
	_ = n.command.Process.Signal(syscall.SIGCONT)
	return nil
}

// atOnceRequests is the number of requests that are under way when the disruption begins.
const atOnceRequests = 3

// truncated sends requests whose replica is killed in the middle of its answers, while the node that passed them
// on stands still, and whose address goes to another service. No client must get a part of the answer that looks
// whole.
func truncated(s *site, trouble bool) (bool, error) {
	s.store.put("keyed.op", "config", []byte(plainConfiguration()))
	served, err := s.startReplica("landlord-api", "127.0.0.1:0", "lhr-a")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	n := s.nodes[0]
	type result struct {
		id  string
		got plainAnswer
	}
	results := make(chan result, atOnceRequests)
	for range atOnceRequests {
		id := newID()
		go func() { results <- result{id, s.sendPlain(n, id)} }()
		s.note("replica %s runs %s", served.id, served.awaitLine("runs "))
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := s.replaceWhileFrozen(n, served); err != nil {
			return false, err
		}
	}
	broken := false
	for range atOnceRequests {
		one := <-results
		whole := one.got.body == wholeBody(one.id)
		s.note("client: %s: status %d, %d bytes of %d, connection ended with %v", one.id, one.got.status, len(one.got.body), len(wholeBody(one.id)), one.got.end)
		if !trouble && (one.got.status != http.StatusOK || !whole) {
			return false, errors.New("a request was not answered without trouble")
		}
		broken = broken || one.got.status == http.StatusOK && one.got.end == nil && !whole
	}
	return broken, nil
}

// shortened sends turns whose replica is killed in the middle of its streams, while the node that passed them on
// stands still, and whose address goes to another service. No stream must look complete.
func shortened(s *site, trouble bool) (bool, error) {
	s.store.put("keyed.op", "config", []byte(strings.Replace(strings.Replace(configuration(6), "screen-llm", "stream-llm", 2), `"services":[`, `"services":[{"name":"otherservice","healthPath":"/health"},`, 1)))
	served, err := s.startReplica("stream-llm", "127.0.0.1:0", "lhr-a")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	n := s.nodes[0]
	type result struct {
		id  string
		got answer
	}
	results := make(chan result, atOnceRequests)
	for range atOnceRequests {
		made := turn{id: newID(), program: newID(), session: "77d20b", input: "input.", budget: 100000, most: streamEventCount * tokensPerEvent}
		go func() { results <- result{made.id, s.send(n, made)} }()
		s.note("replica %s runs %s", served.id, served.awaitLine("runs "))
	}
	time.Sleep(2*streamPause + streamPause/2)
	if trouble {
		if err := s.replaceWhileFrozen(n, served); err != nil {
			return false, err
		}
	}
	broken := false
	for range atOnceRequests {
		one := <-results
		s.note("client: %s: status %d, %d events of %d, complete %v", one.id, one.got.status, one.got.events, streamEventCount, one.got.whole)
		if !trouble && (!one.got.whole || one.got.events != streamEventCount) {
			return false, errors.New("a turn was not answered without trouble")
		}
		broken = broken || one.got.status == http.StatusOK && one.got.whole && one.got.events < streamEventCount
	}
	return broken, nil
}

// plainAnswer is what a client got; end is nil if the answer looks whole.
type plainAnswer struct {
	status int
	body   string
	end    error
}

// newPlainRequest returns a request of the plain service's route.
func newPlainRequest(n *node, id string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front+plainPath+"2f", strings.NewReader("payment"))
	if err != nil {
		return nil, err
	}
	request.Host = routeHost
	request.Header.Set("X-Stepseam-Request-Id", id)
	request.Header.Set("X-Stepseam-Timeout-Ms", fmt.Sprint(plainTimeout.Milliseconds()))
	return request, nil
}

func (s *site) sendPlain(n *node, id string) plainAnswer {
	request, err := newPlainRequest(n, id)
	if err != nil {
		return plainAnswer{end: err}
	}
	s.note("client: %s is sent to %s", id, n.name)
	client := http.Client{Timeout: plainTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return plainAnswer{end: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return plainAnswer{status: response.StatusCode, body: string(body), end: err}
}
