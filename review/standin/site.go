package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"stepseam.example/stepseam/internal/emulator/store"
)

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// site is a small deployment on loopback addresses: a store and replicas in this process, nodes
// as processes of their own.
type site struct {
	log       *store.Store
	storeAt   string
	folder    string
	port      int
	memoryMiB int
	nodes     []*node
	record    *os.File
	began     time.Time

	mutex sync.Mutex
	runs  []run
}

// node is one machine of the platform with its process.
type node struct {
	site     *site
	number   int
	name     string
	zone     string
	settings string

	mutex   sync.Mutex
	process *os.Process
	ended   chan struct{}
	starts  int
}

const zones = 3

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number%zones) }

// newSite starts the store. Each run has loopback addresses of its own.
func newSite(recordFile string, memoryMiB int) *site {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNot)
	}
	record, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNot)
	}
	made := &site{log: store.New(), folder: folder, record: record, memoryMiB: memoryMiB, began: time.Now()}
	made.port = made.freePorts()
	listener, err := net.Listen("tcp4", made.ip(200)+":0")
	if err != nil {
		made.fail("store: %v", err)
	}
	made.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, storeServer{made.log}) }()
	return made
}

// ip returns a loopback address of this process.
func (s *site) ip(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, number)
}

// portCount is how many consecutive ports a node uses.
const portCount = 5

// freePorts returns the first of consecutive ports that are free on the nodes' addresses.
func (s *site) freePorts() int {
	for port := 21000; port < 29000; port += 10 {
		free := true
		for i := range portCount {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", s.ip(1), port+i))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return port
		}
	}
	s.fail("no free ports")
	return 0
}

func (n *node) ip() string      { return n.site.ip(1 + n.number) }
func (n *node) clients() string { return fmt.Sprintf("%s:%d", n.ip(), n.site.port) }
func (n *node) ready() string   { return fmt.Sprintf("%s:%d", n.ip(), n.site.port+1) }
func (n *node) control() string { return fmt.Sprintf("%s:%d", n.ip(), n.site.port+2) }

// settingsText is deploy/settings.yaml.tmpl with its gaps filled.
func (n *node) settingsText(seeds []string) string {
	return fmt.Sprintf(`node:
  name: "%s"
  zone: "%s"
  region: "region"
zones: {"zone-0":"region","zone-1":"region","zone-2":"region"}
addresses:
  clients: "%s"
  readiness: "%s"
  peers: "%s"
  loads: "%s:%d"
  keepers: "%s:%d"
  metrics: "%s:%d"
seeds: [%s]
store:
  address: "%s"
  partitions: 12
  record_bytes: 262144
  call_bytes: 2097152
  reads_per_second: 2000
  retain_seconds: 300
machine:
  memory_mebibytes: %d
  descriptors: 8200
  processor_share: 0.8
  cores: 1
  link_megabits: 1000
stop:
  grace: 8s
`, n.name, n.zone, n.clients(), n.ready(), n.control(), n.ip(), n.site.port+3, n.ip(), n.site.port+4, n.ip(), n.site.port+4,
		strings.Join(seeds, ","), n.site.storeAt, n.site.memoryMiB)
}

// startNodes starts nodes in three zones and waits until all are ready.
func (s *site) startNodes(count int) {
	var seeds []string
	for number := range count {
		made := &node{site: s, number: number, name: fmt.Sprintf("front-%s-%d", zoneName(number), number), zone: zoneName(number)}
		s.nodes = append(s.nodes, made)
		if number < 3 {
			seeds = append(seeds, `"`+made.control()+`"`)
		}
	}
	for _, made := range s.nodes {
		made.settings = filepath.Join(s.folder, made.name+".yaml")
		if err := os.WriteFile(made.settings, []byte(made.settingsText(seeds)), 0o600); err != nil {
			s.fail("settings: %v", err)
		}
		made.start()
	}
	for _, made := range s.nodes {
		if !made.awaitReady(15 * time.Second) {
			s.fail("%s did not become ready", made.name)
		}
	}
}

// start starts the program as the deploy file does.
func (n *node) start() {
	output, err := os.OpenFile(filepath.Join(n.site.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.site.fail("log: %v", err)
	}
	command := exec.Command("target/stepseamd", "platform")
	command.Env = []string{"STEPSEAM_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		n.site.fail("start: %v", err)
	}
	ended := make(chan struct{})
	n.mutex.Lock()
	n.process, n.ended = command.Process, ended
	n.starts++
	n.mutex.Unlock()
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.mutex.Lock()
	process, ended := n.process, n.ended
	n.mutex.Unlock()
	if process != nil {
		_ = process.Signal(syscall.SIGKILL)
		<-ended
	}
}

func (n *node) awaitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready()+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *site) noteRun(one run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs = append(s.runs, one)
	s.write("run      %s at %s path=%s previous=%q last-event-id=%q body=%d bytes", one.id, one.replica, one.path, one.previous, one.lastEvent, len(one.body))
}

// note writes a line to the record.
func (s *site) note(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(format, values...)
}

// write requires the mutex.
func (s *site) write(format string, values ...any) {
	var line bytes.Buffer
	_, _ = fmt.Fprintf(&line, "%8.3f s  ", time.Since(s.began).Seconds())
	_, _ = fmt.Fprintf(&line, format, values...)
	line.WriteByte('\n')
	_, _ = s.record.Write(line.Bytes())
}

// end stops all processes and exits.
func (s *site) end(code int) {
	for _, one := range s.nodes {
		one.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs in", s.folder)
	}
	_ = s.record.Close()
	os.Exit(code)
}

// fail ends a case that could not run.
func (s *site) fail(format string, values ...any) {
	message := fmt.Sprintf(format, values...)
	s.note("could not run: %s", message)
	fmt.Fprintln(os.Stderr, "could not run:", message)
	s.end(exitCouldNot)
}
