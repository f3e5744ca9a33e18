package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/serving"
)

const goodTable = `kind,name,version,service,model,context_tokens,budget_tokens,max_calls,max_duration,idle_timeout,call_timeout,max_tokens
model,asesor,1,modelos-asesor,,32768,,,,,,
class,applicant,,,asesor,,60000,40,1h,15m,90s,1024
`

// site is a set of nodes that serve the operators' API over an emulated log and network.
type site struct {
	t       *testing.T
	log     *logservice.Service
	network *network.Network
	servers []*httptest.Server
	boards  []*blackboard.Board
	names   []string

	mutex   sync.Mutex
	drained []string
}

// programs is a fake of the site's programs.
type programs map[identity.ProgramID]api.Program

func (p programs) Get(_ context.Context, id identity.ProgramID) (api.Program, error) {
	if found, known := p[id]; known {
		return found, nil
	}
	return api.Program{}, api.NewProblem(api.CodeUnknownProgram, "there is no program %s", id)
}

func (p programs) Cancel(ctx context.Context, id identity.ProgramID) (api.Program, error) {
	found, err := p.Get(ctx, id)
	found.State = api.ProgramCancelled
	return found, err
}

func newSite(t *testing.T, count int) *site {
	s := &site{t: t, log: logservice.New(1), network: network.New(1)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		s.network.Close()
		running.Wait()
	})
	view := membership.View{}
	for i := range count {
		address := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
		view.Members = append(view.Members, membership.Member{Status: membership.Alive, Node: identity.Node{
			Name: identity.NodeName(fmt.Sprintf("quito-%d", i+1)), Zone: "quito-centro", Region: "sierra-norte", Incarnation: 1,
			PeerAddress: netip.AddrPortFrom(address, 7000), ProbeAddress: netip.AddrPortFrom(address, 7001),
		}})
	}
	for _, member := range view.Members {
		controller := s.addNode(member.Node, view)
		running.Go(func() { _ = controller.Run(ctx) })
	}
	return s
}

func (s *site) addNode(self identity.Node, view membership.View) *tables.Controller {
	registry, board := peer.NewRegistry(), blackboard.NewBoard()
	board.Members.Store(view)
	board.Backends.Store("engine-1", blackboard.Backend{
		Name: "engine-1", Role: "engine", Service: "modelos-asesor", Zone: "cumbaya", ReportedAt: time.Now(),
		Report: backend.LoadReport{Running: 3, CacheCapacityTokens: 200, CacheUsedTokens: 100, Models: []string{"asesor"}},
	})
	endpoint := s.network.Join(self, registry)
	controller := tables.New(tables.Config{
		Self: self.Name, Log: s.log.ViewFor(string(self.Name)), Peers: endpoint, Board: board, PublishTimeout: 2 * time.Second,
	})
	controller.Register(registry)
	own := api.Program{
		ID: "p-" + string(self.Name), Tenant: "usfq", Class: "applicant", State: api.ProgramRunning,
		Created: time.Unix(int64(len(s.names)), 0).UTC(), Budget: 60000, Spent: 123, Branches: map[string]uint64{"main": 2}, Owner: string(self.Name),
	}
	handler := operator.New(operator.Config{
		Self: self, ShardCount: 64, Board: board, Peers: endpoint, Tables: controller,
		Programs: programs{"p-quito-1": own}, Registry: prometheus.NewRegistry(),
		OwnPrograms: func() []api.Program { return []api.Program{own} },
		OwnShards:   func() int { return 32 },
		Explain: func(call identity.CallID) (serving.Explanation, bool) {
			return serving.Explanation{Call: call, At: time.Unix(9, 0), Decision: scheduling.Decision{
				Action: scheduling.Run, Backend: "engine-1", Reason: "longest cached prefix",
				Candidates: []scheduling.Candidate{{Backend: "engine-1", Cost: 0.25, Note: "900 of 1000 tokens cached"}},
			}}, call.Program == "p-quito-2" && self.Name == "quito-2"
		},
		Drain: func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.drained = append(s.drained, string(self.Name))
			board.Draining.Store(true)
		},
	}, registry)
	endpoint.Serve()
	server := httptest.NewServer(handler.Handler())
	s.t.Cleanup(server.Close)
	s.servers, s.boards, s.names = append(s.servers, server), append(s.boards, board), append(s.names, string(self.Name))
	return controller
}

// ctl runs stepseamctl against the first node.
func (s *site) ctl(line ...string) (code int, out, errOut string) {
	address := strings.TrimPrefix(s.servers[0].URL, "http://")
	return runLine(append([]string{"--address", address}, line...)...)
}

func runLine(line ...string) (code int, out, errOut string) {
	var output, errors bytes.Buffer
	code = run(context.Background(), line, strings.NewReader(goodTable), &output, &errors)
	return code, output.String(), errors.String()
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "table.csv")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheckPrintsEveryFinding(t *testing.T) {
	is := is.New(t)
	path := writeFile(t, strings.NewReplacer(
		"max_calls", "max_cals", // an unknown column, and a missing one
		"32768", "many",
		"applicant", "", // no name
		"1h", "1 hour",
		"60000", "-1",
	).Replace(goodTable))
	code, out, errOut := runLine("table", "check", path)
	is.Equal(code, exitFindings)
	for _, place := range []string{
		"row 1, column max_cals: unknown column; did you mean max_calls?",
		"row 2, column context_tokens: is \"many\"",
		"row 3, column name: missing",
		"row 3, column max_duration: is \"1 hour\"",
		"row 3, column budget_tokens: is -1",
	} {
		is.True(strings.Contains(out, path+": "+place)) // each finding with its place
	}
	is.True(strings.Contains(errOut, "What to do: Mend the places named"))
	code, out, _ = runLine("-o", "json", "table", "check", path)
	var result checkResult
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(code, exitFindings)
	is.True(!result.Valid && len(result.Findings) >= 5)
	code, out, _ = runLine("table", "check", "-")
	is.Equal(code, exitDone)
	is.Equal(out, "- is valid: 1 model(s), 0 adapter(s), 1 class(es)\n")
}

func TestPublishShowHistoryDiff(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3)
	first := writeFile(t, goodTable)
	second := writeFile(t, strings.Replace(goodTable, "60000", "70000", 1))
	code, out, _ := s.ctl("table", "show")
	is.Equal(code, exitNotFound)
	is.Equal(out, "")
	code, out, errOut := s.ctl("table", "publish", first, "--base", "0", "--author", "marta", "--note", "first", "--wait")
	is.Equal(errOut, "")
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "accepted as version 1 on base 0"))
	is.True(strings.Contains(out, "in force on 3 of 3 node(s)"))
	_, out, _ = s.ctl("table", "diff", second)
	is.True(strings.Contains(out, "changed  class  applicant  budget_tokens  60000  70000"))
	code, _, _ = s.ctl("table", "publish", second, "--base", "current", "--author", "luis", "--wait")
	is.Equal(code, exitDone)
	code, _, errOut = s.ctl("table", "publish", first, "--base", "1", "--author", "ana")
	is.Equal(code, exitConflict)
	is.True(strings.Contains(errOut, "version 2 by luis was accepted on base 1 first"))
	code, _, errOut = s.ctl("table", "publish", first, "--base", "9")
	is.Equal(code, exitConflict)
	is.True(strings.Contains(errOut, "base 9 was never accepted; the newest version is 2"))
	_, out, _ = s.ctl("table", "show", "--csv", "--version", "1")
	is.Equal(out, goodTable) // an older version is read from the log
	_, out, _ = s.ctl("table", "show")
	is.True(strings.Contains(out, "author         luis"))
	_, out, _ = s.ctl("table", "history")
	is.True(strings.Contains(out, "version 1") && strings.Contains(out, "version 2") && strings.Contains(out, "marta"))
	code, _, _ = s.ctl("table", "show", "--version", "7")
	is.Equal(code, exitNotFound)
	code, _, _ = s.ctl("table", "publish", writeFile(t, "kind,name\n"), "--base", "2")
	is.Equal(code, exitFindings)
}

func TestPublishReportsOutcomeWhenLogFails(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	path := writeFile(t, goodTable)
	s.log.SetDown(true)
	code, _, errOut := s.ctl("table", "publish", path, "--base", "0")
	is.Equal(code, exitUnreachable)
	is.True(strings.Contains(errOut, "nothing was published"))
	s.log.SetDown(false)
	s.log.ViewFor("quito-1").SetFaults(logservice.Faults{LoseAfter: 1})
	code, _, errOut = s.ctl("table", "publish", path, "--base", "0", "--id", "mine")
	is.Equal(code, exitUnknown)
	is.True(strings.Contains(errOut, "--id mine finds out"))
	s.log.ViewFor("quito-1").SetFaults(logservice.Faults{})
	code, _, _ = s.ctl("table", "publish", path, "--base", "0", "--id", "mine")
	is.Equal(code, exitDone)
}

// TestPublishWithLostResponseReportsUnknownOutcome publishes through a node that receives the
// request and fails before it responds.
func TestPublishWithLostResponseReportsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	live := strings.TrimPrefix(s.servers[0].URL, "http://")
	dying := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		response, err := http.Post(s.servers[0].URL+r.URL.Path, "application/json", r.Body)
		if err == nil {
			_ = response.Body.Close()
		}
		panic(http.ErrAbortHandler)
	}))
	defer dying.Close()
	path, dead := writeFile(t, goodTable), strings.TrimPrefix(dying.URL, "http://")
	code, _, errOut := runLine("--address", dead, "table", "publish", path, "--base", "0", "--id", "mine")
	is.Equal(code, exitUnknown) // the request was sent and may have taken effect
	is.True(strings.Contains(errOut, "--id mine finds out"))
	code, out, _ := runLine("--address", live, "table", "publish", path, "--base", "0", "--id", "mine")
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "accepted as version 1"))
	changed := writeFile(t, strings.Replace(goodTable, "60000", "70000", 1))
	code, out, _ = runLine("--address", dead, "--address", live, "table", "publish", changed, "--base", "1")
	is.Equal(code, exitDone) // the second node reports the outcome
	is.True(strings.Contains(out, "accepted as version 2"))
	is.Equal(len(s.log.Records("table")), 2)
}

func TestStatusProgramsExplainDrain(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	_, out, _ := s.ctl("status")
	is.True(strings.Contains(out, "2 node(s), 64 of 64 shards owned, 1 back end(s)"))
	is.True(strings.Contains(out, "no table in force"))
	is.True(strings.Contains(out, "engine-1"))
	is.True(strings.Contains(out, "50%"))
	_, out, _ = s.ctl("program", "list")
	is.True(strings.Index(out, "p-quito-2") < strings.Index(out, "p-quito-1")) // the latest first, from both nodes
	_, out, _ = s.ctl("-o", "json", "program", "list", "--limit", "1", "--class", "applicant")
	var list operator.ProgramList
	is.NoErr(json.Unmarshal([]byte(out), &list))
	is.Equal(len(list.Programs), 1)
	is.True(list.Truncated)
	is.Equal(list.Programs[0].Branches, map[string]uint64{"main": 2})
	_, out, _ = s.ctl("program", "list", "--tenant", "nobody")
	is.Equal(strings.Count(out, "\n"), 1)
	_, out, _ = s.ctl("program", "show", "p-quito-1")
	is.True(strings.Contains(out, "60000 tokens: 123 spent, 0 reserved"))
	code, _, errOut := s.ctl("program", "show", "nothing")
	is.Equal(code, exitNotFound)
	is.True(strings.Contains(errOut, "there is no program nothing"))
	_, out, _ = s.ctl("program", "cancel", "p-quito-1")
	is.True(strings.Contains(out, "cancelled"))
	_, out, _ = s.ctl("explain", "p-quito-2", "1") // the decision was made at the other node
	is.True(strings.Contains(out, "longest cached prefix") && strings.Contains(out, "0.250 s"))
	code, _, _ = s.ctl("explain", "p-quito-9", "1")
	is.Equal(code, exitNotFound)
	code, _, _ = s.ctl("drain", "quito-2")
	is.Equal(code, exitDone)
	is.Equal(s.drained, []string{"quito-2"})
	code, _, errOut = s.ctl("drain", "quito-7")
	is.Equal(code, exitNotFound)
	is.True(strings.Contains(errOut, "quito-1 quito-2"))
	s.network.Endpoint("quito-2").Kill()
	_, out, _ = s.ctl("status")
	is.True(strings.Contains(out, "did not answer"))
}

func TestHealthReadinessMetrics(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	status := func(path string) (int, string) {
		response, err := http.Get(s.servers[0].URL + path)
		is.NoErr(err)
		defer response.Body.Close()
		var body bytes.Buffer
		_, err = body.ReadFrom(response.Body)
		is.NoErr(err)
		return response.StatusCode, body.String()
	}
	code, _ := status("/healthz")
	is.Equal(code, http.StatusOK)
	code, body := status("/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "no table in force"))
	_, _, errOut := s.ctl("table", "publish", "-", "--base", "0", "--wait")
	is.Equal(errOut, "")
	code, _ = status("/readyz")
	is.Equal(code, http.StatusOK)
	_, body = status("/metrics")
	is.True(strings.Contains(body, "stepseam_table_version 1"))
	is.True(strings.Contains(body, "go_goroutines"))
	_, body = status("/openapi.json")
	is.True(strings.Contains(body, "publish-table"))
	s.boards[0].Draining.Store(true)
	code, body = status("/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "draining"))
}

func TestUsageAndAddresses(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	closed := httptest.NewServer(http.NotFoundHandler())
	dead := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	for _, line := range [][]string{{}, {"table"}, {"wheel"}, {"-o", "xml", "status"}, {"status"}, {"--address", "quito-1:80", "status"}} {
		code, out, errOut := runLine(line...)
		is.Equal(code, exitUsage)
		is.Equal(out, "")
		is.True(errOut != "")
	}
	code, _, errOut := runLine("--address", dead, "status")
	is.Equal(code, exitUnreachable)
	is.True(strings.Contains(errOut, "What to do: See that a node runs there"))
	live := strings.TrimPrefix(s.servers[0].URL, "http://")
	code, _, _ = runLine("--address", dead, "--address", live, "status") // the next one is tried
	is.Equal(code, exitDone)
	strange := httptest.NewServer(http.NotFoundHandler())
	defer strange.Close()
	code, _, errOut = runLine("--address", strings.TrimPrefix(strange.URL, "http://"), "status")
	is.Equal(code, exitFailed)
	is.True(strings.Contains(errOut, "answered 404"))
}
