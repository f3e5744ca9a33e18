package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	partitions = 12
	routeHost  = "ficu95.example"
	turnPath   = "/lohu930/"
	grace      = 8 * time.Second
)

// site is a small deployment: a store, replicas and nodes as processes.
type site struct {
	root, folder string
	retain       time.Duration
	store        *logStore
	replicas     []*replica
	nodes        []*node
	began        time.Time
	// others are further processes that were started.
	others []*exec.Cmd

	mutex  sync.Mutex
	record *os.File
}

// node is one machine of the site.
type node struct {
	name, zone, ip      string
	front, ready, peers string
	settings, logFile   string
	command             *exec.Cmd
	ended               chan struct{}
	lives               int
	ports               [5]int
}

// note adds a line to the record of the case.
func (s *site) note(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintln(s.record, line)
	fmt.Println(line)
}

// freePorts returns ports that are free at all of the addresses.
func freePorts(count int, ips []string) ([]int, error) {
	var found []int
	for range 500 {
		port := 20000 + rand.IntN(20000)
		if !isFree(port, ips) {
			continue
		}
		found = append(found, port)
		if len(found) == count {
			return found, nil
		}
	}
	return nil, errors.New("no free ports")
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		address := net.JoinHostPort(ip, fmt.Sprint(port))
		stream, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = stream.Close()
		datagrams, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = datagrams.Close()
	}
	return true
}

// newSite starts the store, the replicas and the nodes, and waits until the nodes are ready.
func newSite(root, folder string, record *os.File, nodes int, retain time.Duration) (*site, error) {
	s := &site{root: root, folder: folder, record: record, retain: retain, began: time.Now()}
	var err error
	if s.store, err = newLogStore(retain); err != nil {
		return nil, err
	}
	zones := []string{"lhr-a", "lhr-b", "fsd-a"}
	s.store.put("keyed.op", "config", []byte(configuration(1)))
	for i := range 4 {
		one, err := newReplica(fmt.Sprintf("i-%08x", rand.Uint32()), zones[i%len(zones)], s.note)
		if err != nil {
			return nil, err
		}
		s.replicas = append(s.replicas, one)
		go one.publish(s.store)
	}
	second := 1 + rand.IntN(250)
	var ips []string
	for i := range nodes {
		ips = append(ips, fmt.Sprintf("127.%d.%d.1", second, i+1))
	}
	ports, err := freePorts(5, ips)
	if err != nil {
		return nil, err
	}
	for i, ip := range ips {
		made := &node{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: ip, ports: [5]int(ports)}
		made.front, made.ready, made.peers = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1]), fmt.Sprintf("%s:%d", ip, ports[2])
		made.settings, made.logFile = filepath.Join(folder, made.name+".yaml"), filepath.Join(folder, made.name+".log")
		s.nodes = append(s.nodes, made)
	}
	for _, one := range s.nodes {
		if err := s.start(one); err != nil {
			return nil, err
		}
	}
	return s, s.awaitReady(s.nodes...)
}

func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-hh2b9wu","host":"%s","pathPrefix":"%s","kind":"streaming","timeoutMs":5000,"sloMs":200,"priority":0,"service":"screen-llm","maxAttempts":2,"retain":true,"retainS":60.0,"sticky":true,"resumable":false,"targetGapMs":400}],`+
		`"services":[{"name":"screen-llm","healthPath":"/health","engine":{"slots":%d,"tokensPerEvent":%d,"kvCapacity":211374}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, routeHost, turnPath, replicaSlots, tokensPerEvent)
}

// start starts a node with the command of the deploy file and settings as its template gives them.
func (s *site) start(n *node) error {
	seeds := make([]string, 0, 3)
	for _, one := range s.nodes[:min(3, len(s.nodes))] {
		seeds = append(seeds, `"`+one.peers+`"`)
	}
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "node:\n  name: %q\n  zone: %q\n  region: \"pk-central\"\n", n.name, n.zone)
	text.WriteString("zones: {\"lhr-a\":\"pk-central\",\"lhr-b\":\"pk-central\",\"fsd-a\":\"pk-central\"}\n")
	_, _ = fmt.Fprintf(&text, "addresses:\n  clients: %q\n  readiness: %q\n  peers: %q\n  loads: \"%s:%d\"\n  keepers: \"%s:%d\"\n  metrics: \"%s:%d\"\n",
		n.front, n.ready, n.peers, n.ip, n.ports[3], n.ip, n.ports[4], n.ip, n.ports[4])
	_, _ = fmt.Fprintf(&text, "seeds: [%s]\n", strings.Join(seeds, ","))
	_, _ = fmt.Fprintf(&text, "store:\n  address: %q\n  partitions: %d\n  record_bytes: %d\n  call_bytes: %d\n  reads_per_second: 2000\n  retain_seconds: %g\n", s.store.address, partitions, recordBytes, callBytes, s.retain.Seconds())
	text.WriteString("machine:\n  memory_mebibytes: 144\n  descriptors: 8200\n  processor_share: 0.8\n  cores: 1\n  link_megabits: 1000.0\n")
	_, _ = fmt.Fprintf(&text, "stop:\n  grace: %gs\n", grace.Seconds())
	if err := os.WriteFile(n.settings, text.Bytes(), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/stepseamd", "platform")
	command.Dir = s.root
	command.Env = []string{"STEPSEAM_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	n.lives++
	s.note("node %s is started, life %d", n.name, n.lives)
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// awaitReady waits until nodes are ready twice in a row.
func (s *site) awaitReady(nodes ...*node) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, one := range nodes {
		for ready := 0; ready < 2; {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", one.name)
			}
			ready++
			if !one.isReady() {
				ready = 0
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// terminate sends SIGTERM, SIGKILL after the grace period, and waits for the end.
func (s *site) terminate(n *node) {
	s.note("node %s gets SIGTERM", n.name)
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(grace):
		_ = n.command.Process.Kill()
		<-n.ended
	}
	s.note("node %s has ended", n.name)
}

func (s *site) kill(n *node) {
	s.note("node %s gets SIGKILL", n.name)
	_ = n.command.Process.Kill()
	<-n.ended
}

// close ends all processes that were started.
func (s *site) close() {
	for _, one := range s.nodes {
		if one.command != nil {
			_ = one.command.Process.Kill()
			<-one.ended
		}
	}
	for _, one := range s.others {
		_ = one.Process.Kill()
		_ = one.Wait()
	}
}

// answer is what a client got.
type answer struct {
	status int
	whole  bool
	body   string
	events int
	err    error
}

// turn is one attempt of a program's turn.
type turn struct {
	id, program, session, previous, input string
	budget, most                          int
}

// send sends a turn to a node on a new connection.
func (s *site) send(n *node, t turn) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front+turnPath+"4b", strings.NewReader(t.input))
	if err != nil {
		return answer{err: err}
	}
	request.Host = routeHost
	for name, value := range map[string]string{
		"X-Stepseam-Request-Id": t.id, "X-Stepseam-Program-Id": t.program, "X-Stepseam-Session-Id": t.session,
		"X-Stepseam-Token-Budget": fmt.Sprint(t.budget), "X-Stepseam-Token-Count": fmt.Sprintf("100,%d", t.most),
		"X-Stepseam-Finish-Ms": "60000", "X-Stepseam-Timeout-Ms": "5000", "X-Stepseam-Model": "m",
		"X-Stepseam-Previous-Turn": t.previous,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		s.note("client: turn %s of %s after %q at %s: %v", t.id, t.program, t.previous, n.name, err)
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, whole: err == nil, body: string(body), events: strings.Count(string(body), "id: "), err: err}
	if response.StatusCode != http.StatusOK {
		got.events = 0
	}
	s.note("client: turn %s of %s after %q at %s: %d, whole %v, %d events, %.40q", t.id, t.program, t.previous, n.name, got.status, got.whole, got.events, got.body)
	return got
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// persist sends a turn until it is answered with success, or with a status other than 503, as clients do.
func (s *site) persist(nodes []*node, t turn, until time.Time) (turn, answer) {
	for i := 0; ; i++ {
		t.id = newID()
		got := s.send(nodes[i%len(nodes)], t)
		final := got.status != 0 && got.status != http.StatusServiceUnavailable && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout
		if final || time.Now().After(until) {
			return t, got
		}
		time.Sleep(300 * time.Millisecond)
	}
}
