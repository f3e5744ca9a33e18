package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/gateway"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/serving"
)

// programs is a fake serving.Programs whose calls return a fixed text word by
// word, or a configured failure.
type programs struct {
	pause time.Duration
	// failure is returned by all requests, by calls after failAfter tokens.
	failure   error
	failAfter int

	mutex   sync.Mutex
	created []serving.CreateRequest
	calls   []serving.CallRequest
	fetches []serving.FetchRequest
	acts    []string
	left    int
}

var words = []string{"one ", "two ", "three ", "<four>"}

const wholeText = "one two three <four>"

func (p *programs) act(name string, id identity.ProgramID, state api.ProgramState) (api.Program, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.failure != nil {
		return api.Program{}, p.failure
	}
	p.acts = append(p.acts, name+" "+string(id))
	return api.Program{ID: string(id), State: state, Branches: map[string]uint64{"main": 1}}, nil
}

func (p *programs) Create(_ context.Context, request serving.CreateRequest) (api.Program, error) {
	p.mutex.Lock()
	p.created = append(p.created, request)
	p.mutex.Unlock()
	program, err := p.act("create", request.ID, api.ProgramRunning)
	program.Tenant, program.Class = request.Tenant, request.Class
	return program, err
}

func (p *programs) Get(_ context.Context, id identity.ProgramID) (api.Program, error) {
	return p.act("get", id, api.ProgramRunning)
}

func (p *programs) End(_ context.Context, id identity.ProgramID) (api.Program, error) {
	return p.act("end", id, api.ProgramEnded)
}

func (p *programs) Cancel(_ context.Context, id identity.ProgramID) (api.Program, error) {
	return p.act("cancel", id, api.ProgramCancelled)
}

func (p *programs) Call(ctx context.Context, request serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	p.mutex.Lock()
	p.calls = append(p.calls, request)
	p.mutex.Unlock()
	return p.answer(ctx, request.Call.Sequence, request.From, onToken)
}

func (p *programs) Fetch(ctx context.Context, request serving.FetchRequest, onToken serving.TokenFunc) (api.Answer, error) {
	p.mutex.Lock()
	p.fetches = append(p.fetches, request)
	p.mutex.Unlock()
	return p.answer(ctx, uint64(request.Call.Sequence), request.From, onToken)
}

func (p *programs) answer(ctx context.Context, sequence uint64, from int, onToken serving.TokenFunc) (api.Answer, error) {
	for index, word := range words {
		if p.failure != nil && index >= p.failAfter {
			return api.Answer{}, p.failure
		}
		if p.pause > 0 {
			select {
			case <-time.After(p.pause):
			case <-ctx.Done():
				p.mutex.Lock()
				p.left++
				p.mutex.Unlock()
				return api.Answer{}, api.NewProblem(api.CodeInterrupted, "the caller left")
			}
		}
		if onToken == nil || index < from {
			continue
		}
		if err := onToken(index, word); err != nil {
			return api.Answer{}, api.NewProblem(api.CodeInterrupted, "%s", err)
		}
	}
	return api.Answer{
		Program: "p", Sequence: sequence, Text: wholeText, FinishReason: "stop",
		Usage: api.Usage{PromptTokens: 10, CachedTokens: 4, CompletionTokens: 4},
	}, nil
}

// face is a gateway and an HTTP client over in-memory connections, for use in a
// synctest bubble.
type face struct {
	programs *programs
	gateway  *gateway.Gateway
	board    *blackboard.Board
	listener *pipeListener
	client   *http.Client
}

func newFace(t *testing.T, fake *programs, config gateway.Config) *face {
	f := &face{programs: fake, board: blackboard.NewBoard(), listener: newPipeListener()}
	config.Programs, config.Board = fake, f.board
	config.NewID = func() string { return "new-id" }
	f.gateway = gateway.New(config)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return f.listener.dial(ctx) }}
	f.client = &http.Client{Transport: transport}
	go func() { _ = f.gateway.Serve(f.listener) }()
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = f.gateway.Close()
	})
	return f
}

type pipeListener struct {
	sockets chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{sockets: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case socket := <-l.sockets:
		return socket, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.sockets <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// response is a fully read HTTP response.
type response struct {
	status int
	header http.Header
	body   string
	closes bool
}

func (f *face) do(t *testing.T, method, path, body string, headers ...string) response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://node"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	read, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{status: answer.StatusCode, header: answer.Header, body: string(read), closes: answer.Close}
}

func (r response) problem(t *testing.T) api.Problem {
	t.Helper()
	var problem api.Problem
	if err := json.Unmarshal([]byte(r.body), &problem); err != nil {
		t.Fatalf("%s: %v", r.body, err)
	}
	if r.header.Get("Content-Type") != api.MediaProblem || problem.Status != r.status {
		t.Fatalf("%d %v %s", r.status, r.header, r.body)
	}
	return problem
}

// events returns the events of a stream without comments.
func (r response) events(t *testing.T) []api.Event {
	t.Helper()
	var events []api.Event
	for _, line := range strings.Split(r.body, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		var event api.Event
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		events = append(events, event)
	}
	return events
}

const modelCall = `{"sequence":1,"kind":"model","messages":[{"role":"user","content":"hello"}]}`

func TestPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{})
		created := f.do(t, "POST", "/v1/programs", `{"tenant":"t","class":"c"}`)
		is.Equal(created.status, 200)
		var program api.Program
		is.NoErr(json.Unmarshal([]byte(created.body), &program))
		is.Equal(program.ID, "new-id")
		is.Equal(program.Class, "c")
		is.Equal(f.do(t, "POST", "/v1/programs", `{"tenant":"t","class":"c","id":"mine"}`).status, 200)
		is.Equal(f.do(t, "GET", "/v1/programs/mine", "").status, 200)
		is.Equal(f.do(t, "POST", "/v1/programs/mine/end", "").status, 200)
		is.Equal(f.do(t, "DELETE", "/v1/programs/mine", "").status, 200)
		is.Equal(f.programs.acts, []string{"create new-id", "create mine", "get mine", "end mine", "cancel mine"})

		document := f.do(t, "GET", "/openapi.json", "")
		is.Equal(document.status, 200)
		for _, path := range []string{"/v1/programs/{id}/calls/{sequence}", "/v1/chat/completions", "/v1/programs/{id}/end"} {
			is.True(strings.Contains(document.body, path))
		}
		is.True(strings.Contains(document.body, `"ChatRequest"`))
		missing := f.do(t, "GET", "/v2/nothing", "")
		is.Equal(missing.status, 404)
		is.Equal(missing.problem(t).Code, api.CodeInvalid)
	})
}

func TestCallAnswersAsJSON(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{})
		body := `{"sequence":2,"kind":"application","application":"portal","operation":"enrol","input":{"course":[1,2]},
			"idempotency_key":"k","unrepeatable":true,"deadline_seconds":2.5,"branch":"b"}`
		answer := f.do(t, "POST", "/v1/programs/p/calls", body)
		is.Equal(answer.status, 200)
		var decoded api.Answer
		is.NoErr(json.Unmarshal([]byte(answer.body), &decoded))
		is.Equal(decoded.Text, wholeText)
		call := f.programs.calls[0]
		is.Equal(call.Program, identity.ProgramID("p"))
		is.Equal(string(call.Call.Input), `{"course":[1,2]}`)
		is.Equal(call.Call.Branch, "b")
		is.True(call.Call.Unrepeatable)
		is.Equal(call.Call.DeadlineSeconds, 2.5)

		is.Equal(f.do(t, "GET", "/v1/programs/p/calls/7?branch=x", "").status, 200)
		is.Equal(f.do(t, "GET", "/v1/programs/p/calls/8", "").status, 200)
		is.Equal(f.programs.fetches[0].Call, identity.CallID{Program: "p", Branch: "x", Sequence: 7})
		is.Equal(f.programs.fetches[1].Call.Branch, identity.MainBranch)
	})
}

func TestCallStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{pause: 25 * time.Second}, gateway.Config{})
		asked := strings.Replace(modelCall, `"sequence"`, `"stream":true,"sequence"`, 1)
		answer := f.do(t, "POST", "/v1/programs/p/calls", asked)
		is.Equal(answer.header.Get("Content-Type"), api.MediaEventStream)
		is.True(strings.Contains(answer.body, ": waiting\n\n")) // the keep-alive comment
		is.True(strings.Contains(answer.body, "id: 0\nevent: token\ndata: "))
		events := answer.events(t)
		is.Equal(len(events), len(words)+1)
		for index, word := range words {
			is.Equal(events[index], api.Event{Kind: api.EventToken, Index: index, Text: word})
		}
		is.Equal(events[4].Kind, api.EventAnswer)
		is.Equal(events[4].Answer.Text, wholeText)

		for _, resumed := range []response{
			f.do(t, "POST", "/v1/programs/p/calls", modelCall, "Accept", api.MediaEventStream, "Last-Event-ID", "1"),
			f.do(t, "GET", "/v1/programs/p/calls/1", "", "Last-Event-ID", "1"),
		} {
			events = resumed.events(t)
			is.Equal(len(events), 3)
			is.Equal(events[0].Index, 2)
		}
		for _, id := range []string{"x", "-1", "9223372036854775807"} {
			is.Equal(f.do(t, "GET", "/v1/programs/p/calls/1", "", "Last-Event-ID", id).problem(t).Code, api.CodeInvalid)
		}
		for _, quiet := range []response{
			f.do(t, "GET", "/v1/programs/p/calls/1?stream=true&tokens=false", ""),
			f.do(t, "POST", "/v1/programs/p/calls?tokens=false", asked),
		} {
			is.True(strings.Contains(quiet.body, ": waiting\n\n"))
			is.Equal(len(quiet.events(t)), 1)
		}
	})
}

// TestEveryCode checks the status, not_run and retry delay of every error code in
// each response format.
func TestEveryCode(t *testing.T) {
	for _, code := range api.Codes() {
		t.Run(string(code), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				wanted := api.NewProblem(code, "the detail").WithRetryAfter(1500 * time.Millisecond)
				fake := &programs{failure: fmt.Errorf("at the owner: %w", wanted)}
				f := newFace(t, fake, gateway.Config{})
				for _, answer := range []response{
					f.do(t, "POST", "/v1/programs/p/calls", modelCall),
					f.do(t, "POST", "/v1/programs/p/calls", modelCall, "Accept", api.MediaEventStream),
					f.do(t, "GET", "/v1/programs/p/calls/1", ""),
					f.do(t, "GET", "/v1/programs/p", ""),
					f.do(t, "POST", "/v1/programs", `{"tenant":"t","class":"c"}`),
				} {
					problem := answer.problem(t)
					is.Equal(answer.status, wanted.Status)
					is.Equal(answer.header.Get("Retry-After"), "2")
					is.Equal(problem.Code, code)
					is.Equal(problem.NotRun, wanted.NotRun)
					is.Equal(problem.Detail, "the detail")
					is.Equal(problem.RetryAfterSeconds, 1.5)
				}
				chat := f.do(t, "POST", "/v1/chat/completions", chatBody, api.HeaderProgram, "p", api.HeaderSequence, "2")
				is.Equal(chat.status, wanted.Status)
				is.Equal(chat.header.Get("Retry-After"), "2")
				is.True(strings.Contains(chat.body, fmt.Sprintf(`"code":%q,"not_run":%t`, code, wanted.NotRun)))

				fake.failAfter = 2
				events := f.do(t, "POST", "/v1/programs/p/calls", modelCall, "Accept", api.MediaEventStream).events(t)
				is.Equal(len(events), 3)
				is.Equal(events[2].Problem.Code, code)
				is.Equal(events[2].Index, 2)
			})
		})
	}
}

func TestUnknownErrorIsInternal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{failure: errors.New("surprise")}, gateway.Config{})
		problem := f.do(t, "POST", "/v1/programs/p/calls", modelCall).problem(t)
		is.Equal(problem.Code, api.CodeInternal)
		is.Equal(problem.NotRun, false)
	})
}

func TestMalformedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{})
		broken := f.do(t, "POST", "/v1/programs/p/calls", "{\n  \"sequence\": 1,\n  oops\n}").problem(t)
		is.Equal(broken.Status, 400)
		is.Equal(broken.Code, api.CodeInvalid)
		is.True(broken.NotRun)
		is.Equal(broken.Findings[0].Place, "body line 3, column 3")

		wrong := f.do(t, "POST", "/v1/programs/p/calls", `{"sequence":0,"kind":"dance","messages":[{"role":"user"}],"extra":1}`).problem(t)
		is.Equal(wrong.Status, 422)
		var places []string
		for _, finding := range wrong.Findings {
			places = append(places, finding.Place)
		}
		for _, place := range []string{"body.sequence", "body.kind", "body.extra"} {
			is.True(slices.Contains(places, place)) // all reported together
		}
		is.True(len(places) >= 4)
		is.Equal(f.do(t, "POST", "/v1/programs/p/calls", "").problem(t).Status, 400)
		named := f.do(t, "POST", "/v1/programs", `{"tenant":"t","class":"c","id":"a/b"}`).problem(t)
		is.Equal(named.Findings[0].Place, "body.id")
		is.Equal(f.do(t, "GET", "/v1/programs/p/calls/zero", "").problem(t).Status, 422)
		is.Equal(len(f.programs.calls), 0)
	})
}

func TestOversizedBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{MaxBodyBytes: 1000})
		declared := f.do(t, "POST", "/v1/programs/p/calls", strings.Repeat(" ", 1001))
		is.Equal(declared.problem(t).Code, api.CodeTooLarge)
		is.Equal(declared.status, 413)
		body := modelCall + strings.Repeat(" ", 1000-len(modelCall))
		is.Equal(f.do(t, "POST", "/v1/programs/p/calls", body).status, 200) // just fits

		request, err := http.NewRequestWithContext(t.Context(), "POST", "http://node/v1/programs/p/calls", io.MultiReader(strings.NewReader(body), strings.NewReader("!")))
		is.NoErr(err)
		answer, err := f.client.Do(request) // chunked, so no length is declared
		is.NoErr(err)
		defer func() { _ = answer.Body.Close() }()
		is.Equal(answer.StatusCode, 413)
	})
}

func TestSlowRequestBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{BodyTimeout: 3 * time.Second})
		reader, writer := io.Pipe()
		go func() {
			for range 100 {
				_, _ = writer.Write([]byte("{"))
				// Never at the same instant as the response, which closes the connection.
				time.Sleep(700 * time.Millisecond)
			}
		}()
		defer func() { _ = reader.Close() }()
		request, err := http.NewRequestWithContext(t.Context(), "POST", "http://node/v1/programs/p/calls", reader)
		is.NoErr(err)
		start := time.Now()
		answer, err := f.client.Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		problem := response{status: answer.StatusCode, header: answer.Header, body: string(body)}.problem(t)
		is.Equal(problem.Code, api.CodeSlowSender)
		is.True(problem.NotRun)
		is.Equal(time.Since(start), 3*time.Second)
		// The limit covers only the body, not the answer.
		f.programs.pause = 10 * time.Second
		is.Equal(f.do(t, "POST", "/v1/programs/p/calls", modelCall).status, 200)
		time.Sleep(100 * time.Second) // the slow sender finishes
	})
}

func TestSlowHeadersAndBrokenBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{})
		socket, err := f.listener.dial(t.Context())
		is.NoErr(err)
		start := time.Now()
		_, _ = socket.Write([]byte("POST /v1/pro"))
		_, _ = io.Copy(io.Discard, socket) // until the server gives up
		is.True(time.Since(start) <= 10*time.Second)

		socket, err = f.listener.dial(t.Context())
		is.NoErr(err)
		_, _ = socket.Write([]byte("POST /v1/programs/p/calls HTTP/1.1\r\nHost: node\r\nContent-Length: 500\r\n\r\n{"))
		_ = socket.Close()
		time.Sleep(time.Minute)
		is.Equal(len(f.programs.calls), 0)
	})
}

// A write to a caller that stopped reading without closing its connection must time
// out and end the call's context.
func TestHalfOpenConnectionIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{pause: time.Hour}, gateway.Config{})
		socket, err := f.listener.dial(t.Context())
		is.NoErr(err)
		_, _ = fmt.Fprintf(socket, "POST /v1/programs/p/calls HTTP/1.1\r\nHost: node\r\nAccept: text/event-stream\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(modelCall), modelCall)
		time.Sleep(time.Minute) // nobody reads
		f.programs.mutex.Lock()
		defer f.programs.mutex.Unlock()
		is.Equal(len(f.programs.calls), 1)
		is.Equal(f.programs.left, 1)
	})
}

func TestDisconnectCancelsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{pause: time.Hour}, gateway.Config{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, "POST", "http://node/v1/programs/p/calls", bytes.NewBufferString(modelCall))
		is.NoErr(err)
		_, err = f.client.Do(request)
		is.True(err != nil)
		time.Sleep(time.Second)
		f.programs.mutex.Lock()
		defer f.programs.mutex.Unlock()
		is.Equal(f.programs.left, 1)
	})
}

func TestLateAnswerMissesDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{pause: time.Hour}, gateway.Config{Heartbeat: time.Hour})
		body := strings.Replace(modelCall, `"sequence"`, `"deadline_seconds":3,"sequence"`, 1)
		start := time.Now()
		late := f.do(t, "POST", "/v1/programs/p/calls", body).problem(t)
		is.Equal(late.Code, api.CodeDeadline)
		is.Equal(late.NotRun, false)
		is.Equal(time.Since(start), 5*time.Second) // the deadline plus deadlineGrace
		is.Equal(f.do(t, "GET", "/v1/programs/p/calls/1?deadline_seconds=1&stream=true", "").problem(t).Code, api.CodeDeadline)
	})
}

func TestDrainingFinishesRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{pause: 10 * time.Second}, gateway.Config{})
		running := make(chan response, 1)
		go func() { running <- f.do(t, "POST", "/v1/programs/p/calls", modelCall) }()
		time.Sleep(time.Second)
		f.board.Draining.Store(true)
		refused := f.do(t, "POST", "/v1/programs/p/calls", modelCall)
		is.Equal(refused.problem(t).Code, api.CodeDraining)
		is.True(refused.problem(t).NotRun)
		is.Equal(refused.header.Get("Retry-After"), "1")
		start := time.Now()
		is.NoErr(f.gateway.Shutdown(t.Context()))
		is.True(time.Since(start) > 30*time.Second)
		is.Equal((<-running).status, 200)
		is.Equal(len(f.programs.calls), 1)
	})
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{pause: time.Second}, gateway.Config{MaxInFlight: 1})
		done := make(chan response, 1)
		go func() { done <- f.do(t, "POST", "/v1/programs/p/calls", modelCall) }()
		time.Sleep(time.Millisecond)
		is.Equal(f.do(t, "GET", "/v1/programs/p", "").problem(t).Code, api.CodeOverloaded)
		is.Equal((<-done).status, 200)
		is.Equal(f.do(t, "GET", "/v1/programs/p", "").status, 200)
	})
}
