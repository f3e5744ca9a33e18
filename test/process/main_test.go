// Package process tests the system's invariants over real processes: kills, freezes, cut
// links, log outages and planned stops under load. The checks compare the back ends'
// records with the callers' results.
package process

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/client"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/site"
	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/settings"
)

// programs is the directory of the binaries that TestMain built.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "stepseam-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "process tests:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-o", directory+"/",
		"stepseam.example/stepseam/cmd/"+site.DaemonProgram,
		"stepseam.example/stepseam/cmd/"+site.OperatorProgram,
		"stepseam.example/stepseam/cmd/"+site.LabProgram)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "process tests: build: %v\n%s", err, output)
		return 1
	}
	programs = directory
	for slot := range slotCount {
		slots <- slot
	}
	return m.Run()
}

// Parameters of the site under test.
const (
	modelName          = "agent-8b"
	engineService      = "agentllm"
	applicationService = "javaportal"
	className          = "subscriber"
	shardCount         = 16
	leaseDuration      = 1500 * time.Millisecond
	leaseRenewal       = 300 * time.Millisecond
	// answerTokens and tokenTime give a model call a duration of about a second and a
	// half.
	answerTokens = 60
	tokenTime    = 25 * time.Millisecond
	// operationTime is the duration of an application operation; its effect takes place
	// halfway.
	operationTime = 400 * time.Millisecond
	// testLimit bounds one test; every wait ends well before it.
	testLimit = 150 * time.Second
	// stopPatience bounds a planned stop.
	stopPatience = 30 * time.Second
)

const tableText = `kind,name,version,service,model,context_tokens,budget_tokens,max_calls,max_branches,max_duration,idle_timeout,call_timeout,max_tokens
model,agent-8b,1,agentllm,,32768,,,,,,,
class,subscriber,,,agent-8b,,200000,200,4,1h,30m,60s,512
`

// slots bounds the number of sites that run concurrently.
var slots = make(chan int, slotCount)

const slotCount = 4

// laboratory is a running site with a published table.
type laboratory struct {
	*site.Site
	t      *testing.T
	ctx    context.Context
	client *client.Client
}

// start starts a site of four nodes in four zones, so that replica sets exclude their
// owner's zone, and publishes the table.
func start(t *testing.T, adjust func(*site.Plan)) *laboratory {
	t.Helper()
	t.Parallel()
	slot := <-slots
	t.Cleanup(func() { slots <- slot })
	check := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	t.Cleanup(cancel)
	plan := sitePlan(t.TempDir())
	plan.Slot = slot
	if adjust != nil {
		adjust(&plan)
	}
	running, err := site.Start(ctx, plan)
	check.NoErr(err)
	t.Cleanup(running.Close)
	l := &laboratory{Site: running, t: t, ctx: ctx}
	t.Cleanup(l.showLogs)
	t.Cleanup(l.findCrashes)
	publication := operator.Publication{ID: "first", Author: "test", CSV: tableText}
	check.NoErr(running.PostOperators(ctx, running.Nodes[0], "/v1/table/versions", publication, nil))
	check.NoErr(running.AwaitReady(ctx))
	l.client = l.clientOf(running.Nodes...)
	return l
}

func sitePlan(directory string) site.Plan {
	plan := site.Plan{
		Programs: programs, Directory: directory, Region: "northplains",
		EngineService: engineService, ApplicationService: applicationService,
		MachineListLag: time.Second,
		AdjustSettings: func(s *settings.Settings) {
			s.Shards.Count = shardCount
			s.Shards.LeaseDuration, s.Shards.LeaseRenewal = leaseDuration, leaseRenewal
			s.Journal.DurableTimeout = 2 * time.Second
			s.Logging.Level = "debug"
		},
	}
	for i, zone := range []identity.Zone{"homebarn", "elevhut", "ridgeshelter", "countycage"} {
		plan.Nodes = append(plan.Nodes, site.NodePlan{Name: identity.NodeName("node-" + string(zone)), Zone: zone})
		if i >= 2 {
			continue
		}
		engineParameters := engine.DefaultParameters("engine-"+string(zone), modelName)
		engineParameters.ShortestAnswer, engineParameters.LongestAnswer = answerTokens, answerTokens
		engineParameters.Timing.DecodeBase = tokenTime
		plan.Engines = append(plan.Engines, site.EnginePlan{Zone: zone, Parameters: engineParameters})
		applicationParameters := application.DefaultParameters("portal-" + string(zone))
		for name, operation := range applicationParameters.Operations {
			operation.ShortestLatency, operation.LongestLatency = operationTime, operationTime
			applicationParameters.Operations[name] = operation
		}
		plan.Applications = append(plan.Applications, site.ApplicationPlan{Zone: zone, Parameters: applicationParameters})
	}
	return plan
}

// clientOf returns a client configured with the given nodes.
func (l *laboratory) clientOf(nodes ...*site.Node) *client.Client {
	l.t.Helper()
	return l.clientThrough(nil, nodes...)
}

// clientThrough returns a client that sends its requests through transport.
func (l *laboratory) clientThrough(transport http.RoundTripper, nodes ...*site.Node) *client.Client {
	l.t.Helper()
	return l.newClient(client.Options{Nodes: callersOf(nodes), Patience: testLimit, Transport: transport})
}

// impatientClient returns a client that does not retry early rejections.
func (l *laboratory) impatientClient(nodes ...*site.Node) *client.Client {
	l.t.Helper()
	return l.newClient(client.Options{Nodes: callersOf(nodes), Patience: time.Second})
}

func (l *laboratory) newClient(options client.Options) *client.Client {
	l.t.Helper()
	made, err := client.New(options)
	is.New(l.t).NoErr(err)
	l.t.Cleanup(made.Close)
	return made
}

func callersOf(nodes []*site.Node) []string {
	addresses := []string{}
	for _, node := range nodes {
		addresses = append(addresses, node.Addresses.Callers.String())
	}
	return addresses
}

// lastHost is a transport that records the host of the last request.
type lastHost struct {
	mutex sync.Mutex
	last  string
}

// RoundTrip implements http.RoundTripper.
func (h *lastHost) RoundTrip(request *http.Request) (*http.Response, error) {
	h.mutex.Lock()
	h.last = request.URL.Host
	h.mutex.Unlock()
	return http.DefaultTransport.RoundTrip(request)
}

func (h *lastHost) host() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.last
}

// nodeAt returns the node that serves callers at address.
func (l *laboratory) nodeAt(address string) *site.Node {
	for _, node := range l.Nodes {
		if node.Addresses.Callers.String() == address {
			return node
		}
	}
	return nil
}

// node returns the index of the node called name.
func (l *laboratory) node(name string) int {
	l.t.Helper()
	for index, node := range l.Nodes {
		if string(node.Name) == name {
			return index
		}
	}
	l.t.Fatalf("there is no node %q", name)
	return -1
}

// others returns all nodes except the one at index.
func (l *laboratory) others(index int) []*site.Node {
	var found []*site.Node
	for i, node := range l.Nodes {
		if i != index {
			found = append(found, node)
		}
	}
	return found
}

// findCrashes fails the test if a process crashed by itself, since a takeover by other
// nodes may have masked the crash.
func (l *laboratory) findCrashes() {
	for _, node := range l.Nodes {
		if crash := node.CrashLine(); crash != "" {
			l.t.Errorf("%s crashed: %s", node.Name, crash)
		}
	}
	for _, emulator := range slices.Concat(l.Engines, l.Applications, []*site.Emulator{l.LogService, l.MachineList}) {
		if crash := emulator.CrashLine(); crash != "" {
			l.t.Errorf("%s crashed: %s", emulator.Name(), crash)
		}
	}
}

// showLogs prints the last log output of the nodes if the test failed.
func (l *laboratory) showLogs() {
	if !l.t.Failed() {
		return
	}
	for _, node := range l.Nodes {
		if node.Process != nil {
			l.t.Log(node.LogTail())
		}
	}
}
