package client_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/client"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/gateway"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/serving"
)

// site is a set of nodes with real gateways, over in-memory connections, in front of one
// owner that records the calls it ran.
type site struct {
	listeners map[string]*pipeListener
	boards    map[string]*blackboard.Board

	mutex sync.Mutex
	// executions counts the calls that ran, by branch, sequence and operation.
	executions map[string]int
	// failures are the errors of the next calls, one each.
	failures []error
	// dropResponses is the number of calls whose connections are closed after they ran.
	dropResponses int
	// cutAfter is the number of tokens after which the next cuts streams are broken.
	cutAfter, cuts int
	resumedFrom    []int
	text           string
	// silent, if not nil, blocks streams until it is closed.
	silent chan struct{}
}

func newSite(t *testing.T, names ...string) *site {
	s := &site{
		listeners: map[string]*pipeListener{}, boards: map[string]*blackboard.Board{},
		executions: map[string]int{}, text: "one two three four five",
	}
	for _, name := range names {
		listener := &pipeListener{sockets: make(chan net.Conn), closed: make(chan struct{})}
		board := blackboard.NewBoard()
		node := gateway.New(gateway.Config{Programs: &owner{s, listener}, Board: board})
		s.listeners[name], s.boards[name] = listener, board
		go func() { _ = node.Serve(listener) }()
		t.Cleanup(func() { _ = node.Close() })
	}
	return s
}

func (s *site) client(t *testing.T, nodes ...string) *client.Client {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return s.listeners[address].dial(ctx)
	}}
	made, err := client.New(client.Options{Nodes: nodes, Transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(made.Close)
	return made
}

// kill closes a node's listener and its connections.
func (s *site) kill(name string) { s.listeners[name].kill() }

// owner serves the calls of one node with the state of the site.
type owner struct {
	*site
	listener *pipeListener
}

func (o *owner) Create(_ context.Context, request serving.CreateRequest) (api.Program, error) {
	return api.Program{ID: string(request.ID), State: api.ProgramRunning}, nil
}

func (o *owner) Get(_ context.Context, id identity.ProgramID) (api.Program, error) {
	return api.Program{ID: string(id), State: api.ProgramRunning}, nil
}

func (o *owner) End(_ context.Context, id identity.ProgramID) (api.Program, error) {
	return api.Program{ID: string(id), State: api.ProgramEnded}, nil
}

func (o *owner) Cancel(_ context.Context, id identity.ProgramID) (api.Program, error) {
	return api.Program{ID: string(id), State: api.ProgramCancelled}, nil
}

func (o *owner) Fetch(ctx context.Context, request serving.FetchRequest, onToken serving.TokenFunc) (api.Answer, error) {
	return o.answer(ctx, uint64(request.Call.Sequence), request.From, onToken)
}

func (o *owner) Call(ctx context.Context, request serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	if err := o.nextFailure(); err != nil {
		return api.Answer{}, err
	}
	o.mutex.Lock()
	key := fmt.Sprint(request.Call.Branch, request.Call.Sequence, request.Call.Operation)
	if o.executions[key] == 0 {
		o.executions[key] = 1 // a repeated sequence joins or replays the call
	}
	drop := o.dropResponses > 0
	if drop {
		o.dropResponses--
	}
	o.mutex.Unlock()
	if drop {
		o.listener.closeConnections()
		<-ctx.Done()
		return api.Answer{}, ctx.Err()
	}
	return o.answer(ctx, request.Call.Sequence, request.From, onToken)
}

func (o *owner) nextFailure() error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.failures) == 0 {
		return nil
	}
	failure := o.failures[0]
	o.failures = o.failures[1:]
	return failure
}

func (o *owner) answer(ctx context.Context, sequence uint64, from int, onToken serving.TokenFunc) (api.Answer, error) {
	o.mutex.Lock()
	text, silent, cutAfter := o.text, o.silent, -1
	o.resumedFrom = append(o.resumedFrom, from)
	if o.cuts > 0 {
		o.cuts--
		cutAfter = o.cutAfter
	}
	o.mutex.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-ctx.Done():
			return api.Answer{}, ctx.Err()
		}
	}
	for index, token := range strings.SplitAfter(text, " ") {
		if onToken == nil || index < from {
			continue
		}
		if index-from == cutAfter {
			o.listener.closeConnections()
			<-ctx.Done()
			return api.Answer{}, ctx.Err()
		}
		if err := onToken(index, token); err != nil {
			return api.Answer{}, err
		}
	}
	return api.Answer{Program: "p", Sequence: sequence, Text: text}, nil
}

// pipeListener accepts in-memory connections that can be broken.
type pipeListener struct {
	sockets chan net.Conn
	once    sync.Once
	closed  chan struct{}

	mutex sync.Mutex
	near  []net.Conn
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
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	select {
	case l.sockets <- far:
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.near = append(l.near, near)
		return near, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) closeConnections() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, socket := range l.near {
		_ = socket.Close()
	}
	l.near = nil
}

func (l *pipeListener) kill() {
	_ = l.Close()
	l.closeConnections()
}

func call(sequence uint64) api.CallRequest {
	return api.CallRequest{Sequence: sequence, Kind: api.CallApplication, Operation: "pay", Unrepeatable: true}
}

func TestRequestsMoveToALiveNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1", "b:1", "c:1")
		c := s.client(t, "a:1", "b:1", "c:1")
		program, err := c.CreateProgram(t.Context(), api.ProgramRequest{Tenant: "t", Class: "c"})
		is.NoErr(err)
		is.True(program.ID != "")
		s.kill("a:1")
		s.kill("c:1")
		start := time.Now()
		for sequence := range uint64(5) {
			_, err = c.Call(t.Context(), program.ID, call(sequence+1))
			is.NoErr(err)
		}
		is.True(time.Since(start) < time.Second)
		ended, err := c.EndProgram(t.Context(), program.ID)
		is.NoErr(err)
		is.Equal(ended.State, api.ProgramEnded)
		s.kill("b:1")
		_, err = c.Call(t.Context(), program.ID, call(9))
		is.True(errors.Is(err, client.ErrUnreachable))
		is.True(client.NotRun(err)) // every dial was refused
	})
}

func TestRetryAfterLostResponseRepeatsTheSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1", "b:1")
		c := s.client(t, "a:1", "b:1")
		s.dropResponses = 3
		answer, err := c.Call(t.Context(), "p", call(1))
		is.NoErr(err)
		is.Equal(answer.Text, s.text)
		is.Equal(s.executions, map[string]int{"main1pay": 1})
	})
}

func TestRejectionAfterLostResponseIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1", "b:1")
		c := s.client(t, "a:1", "b:1")
		s.failures = []error{api.NewProblem(api.CodeBudget, "spent")}
		_, err := c.Call(t.Context(), "p", call(1))
		is.True(client.NotRun(err))
		s.dropResponses = 1
		s.failures = []error{nil, api.NewProblem(api.CodeBudget, "spent")}
		_, err = c.Call(t.Context(), "p", call(1))
		var problem *api.Problem
		is.True(errors.As(err, &problem))
		is.Equal(problem.Code, api.CodeBudget)
		is.True(!client.NotRun(err))
	})
}

func TestRetryAfterIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1", "b:1")
		c := s.client(t, "a:1", "b:1")
		overloaded := api.NewProblem(api.CodeOverloaded, "full").WithRetryAfter(4 * time.Second)
		s.failures = []error{overloaded, overloaded}
		start := time.Now()
		_, err := c.Call(t.Context(), "p", call(1))
		is.NoErr(err)
		is.True(time.Since(start) >= 8*time.Second && time.Since(start) <= 10*time.Second+time.Millisecond)

		s.failures = []error{overloaded}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start = time.Now()
		_, err = c.Call(ctx, "p", call(2))
		is.True(client.NotRun(err))
		is.Equal(time.Since(start), time.Duration(0)) // the retry would start after the deadline: fails at once

		s.failures = []error{api.NewProblem(api.CodeOutcomeUnknown, "sent once").WithRetryAfter(time.Second)}
		_, err = c.Call(t.Context(), "p", call(3))
		is.True(err != nil)
		is.True(!client.NotRun(err))
		is.Equal(s.executions["main3pay"], 0)
	})
}

func TestDrainingNodeIsAvoidedWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1", "b:1")
		c := s.client(t, "a:1", "b:1")
		s.boards["a:1"].Draining.Store(true)
		start := time.Now()
		for sequence := range uint64(4) {
			_, err := c.Call(t.Context(), "p", call(sequence+1))
			is.NoErr(err)
		}
		is.Equal(time.Since(start), time.Duration(0))
	})
}

func TestBrokenStreamsAreResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1", "b:1")
		c := s.client(t, "a:1", "b:1")
		s.cutAfter, s.cuts = 2, 2
		text := ""
		answer, err := c.Stream(t.Context(), "p", call(1), func(index int, token string) error {
			is.Equal(index, strings.Count(text, " "))
			text += token
			return nil
		})
		is.NoErr(err)
		is.Equal(text, s.text)
		is.Equal(answer.Text, s.text)
		is.Equal(s.resumedFrom, []int{0, 2, 4})
		is.Equal(s.executions, map[string]int{"main1pay": 1})

		text = ""
		_, err = c.FetchStream(t.Context(), "p", "main", 1, func(_ int, token string) error {
			text += token
			return nil
		})
		is.NoErr(err)
		is.Equal(text, s.text)
	})
}

func TestRestartedStreamIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1", "b:1")
		c := s.client(t, "a:1", "b:1")
		s.cutAfter, s.cuts = 2, 1
		answer, err := c.Stream(t.Context(), "p", call(1), func(index int, _ string) error {
			if index == 1 {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				s.text = "eins zwei drei vier"
			}
			return nil
		})
		is.True(errors.Is(err, client.ErrStreamRestarted))
		is.Equal(answer.Text, "eins zwei drei vier")
		stop := errors.New("enough")
		_, err = c.Stream(t.Context(), "p", call(2), func(int, string) error { return stop })
		is.Equal(err, stop)
	})
}

func TestStreamsWithCommentsContinueAndSilentOnesTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1")
		c := s.client(t, "a:1")
		s.silent = make(chan struct{})
		time.AfterFunc(10*time.Minute, func() { close(s.silent) })
		_, err := c.Call(t.Context(), "p", call(1))
		is.NoErr(err) // the node's comments kept the stream alive
		is.Equal(len(s.resumedFrom), 1)

		// A node that accepts connections and never responds times out, and the other one is used.
		frozen := &pipeListener{sockets: make(chan net.Conn), closed: make(chan struct{})}
		s.listeners["frozen:1"] = frozen
		go func() {
			for {
				socket, err := frozen.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = socket.Read(make([]byte, 4096)) }()
			}
		}()
		defer frozen.kill()
		for range 4 { // starts with a random node
			c := s.client(t, "frozen:1", "a:1")
			start := time.Now()
			_, err = c.Call(t.Context(), "p", call(2))
			is.NoErr(err)
			is.True(time.Since(start) <= 26*time.Second)
		}
	})
}

func TestBranchKeepsTheSequenceOfAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, "a:1")
		c := s.client(t, "a:1")
		branch := c.Branch("p", "b", 1)
		_, err := branch.Call(t.Context(), call(0), nil)
		is.NoErr(err)
		is.Equal(branch.Next(), uint64(2))

		s.failures = []error{api.NewProblem(api.CodeBudget, "spent")}
		_, err = branch.Call(t.Context(), call(0), nil)
		is.True(client.NotRun(err))
		is.Equal(branch.Next(), uint64(2)) // it did not run, so its sequence is used again

		s.failures = []error{api.NewProblem(api.CodeBackendFailed, "broke")}
		_, err = branch.Call(t.Context(), call(0), nil)
		is.True(err != nil)
		other := call(0)
		other.Operation = "something else"
		_, err = branch.Call(t.Context(), other, nil)
		is.True(errors.Is(err, client.ErrOutcomeOpen))
		_, err = branch.Resolve(t.Context())
		is.NoErr(err)
		_, err = branch.Call(t.Context(), other, func(int, string) error { return nil })
		is.NoErr(err)

		s.failures = []error{api.NewProblem(api.CodeOutcomeUnknown, "sent once")}
		_, err = branch.Call(t.Context(), call(0), nil)
		is.True(err != nil)
		is.Equal(branch.Next(), uint64(5)) // the unknown outcome uses up the sequence
	})
}

func TestOptionsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := client.New(client.Options{})
	is.True(err != nil)
	_, err = client.New(client.Options{Nodes: []string{"127.0.0.1:1", "nonsense"}})
	is.True(strings.Contains(err.Error(), "node 2"))
}
