package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/client"
)

// conversation is one program from its caller's view: the calls that were answered and
// those with an unknown outcome.
type conversation struct {
	lab     *laboratory
	client  *client.Client
	id      string
	branch  *client.Branch
	answers []api.Answer
	// ran contains the keys of unrepeatable calls that were answered, doubtful those with
	// an unknown outcome, refused those that were rejected as not run.
	ran, doubtful, refused []string
}

// converse creates a program through caller.
func (l *laboratory) converse(caller *client.Client) *conversation {
	l.t.Helper()
	created, err := caller.CreateProgram(l.ctx, api.ProgramRequest{Tenant: "co-op", Class: className})
	is.New(l.t).NoErr(err)
	return &conversation{lab: l, client: caller, id: created.ID, branch: caller.Branch(created.ID, "", 1)}
}

// owner returns the index of the node that owns the program.
func (c *conversation) owner() int {
	c.lab.t.Helper()
	program, err := c.client.Program(c.lab.ctx, c.id)
	is.New(c.lab.t).NoErr(err)
	return c.lab.node(program.Owner)
}

// say makes a streamed model call and checks that the streamed tokens form the answer.
// onToken, if not nil, is called with each token.
func (c *conversation) say(ctx context.Context, text string, onToken func(index int)) error {
	var streamed strings.Builder
	call := api.CallRequest{
		Kind: api.CallModel, MaxTokens: answerTokens,
		Messages: []api.Message{{Role: "user", Content: text}},
	}
	sequence := c.branch.Next()
	answer, err := c.branch.Call(ctx, call, func(index int, token string) error {
		streamed.WriteString(token)
		if onToken != nil {
			onToken(index)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("model call %d of %s: %w", sequence, c.id, err)
	}
	if answer.Text != streamed.String() || answer.Usage.CompletionTokens != answerTokens {
		return fmt.Errorf("model call %d of %s: the answer is incomplete: %d tokens", sequence, c.id, answer.Usage.CompletionTokens)
	}
	c.answers = append(c.answers, answer)
	return nil
}

// act makes an unrepeatable application call with key and records its outcome. A
// rejection as not run and an unknown outcome are no errors here.
func (c *conversation) act(ctx context.Context, key string) error {
	call := api.CallRequest{
		Kind: api.CallApplication, Application: applicationService, Operation: "open_ticket",
		Unrepeatable: true, IdempotencyKey: key, Input: json.RawMessage(`{"silo":7}`),
	}
	answer, err := c.branch.Call(ctx, call, nil)
	var problem *api.Problem
	switch {
	case err == nil:
		c.answers = append(c.answers, answer)
		c.ran = append(c.ran, key)
		return nil
	case client.NotRun(err):
		c.refused = append(c.refused, key)
		return nil
	case errors.As(err, &problem) && problem.Code == api.CodeOutcomeUnknown:
		c.doubtful = append(c.doubtful, key)
		return nil
	}
	return fmt.Errorf("application call of %s with key %s: %w", c.id, key, err)
}

// run makes turns of one model call and one unrepeatable call each.
func (c *conversation) run(ctx context.Context, turns int) error {
	for turn := range turns {
		if err := c.say(ctx, fmt.Sprintf("turn %d of %s", turn, c.id), nil); err != nil {
			return err
		}
		if err := c.act(ctx, fmt.Sprintf("%s/%d", c.id, turn)); err != nil {
			return err
		}
	}
	return nil
}

// load runs programs concurrently until all their turns are done.
type load struct {
	conversations []*conversation
	group         sync.WaitGroup
	mutex         sync.Mutex
	faults        []error
}

// startLoad starts count programs of turns each, spread over all nodes.
func (l *laboratory) startLoad(count, turns int) *load {
	l.t.Helper()
	running := &load{}
	for range count {
		c := l.converse(l.clientOf(l.Nodes...))
		running.conversations = append(running.conversations, c)
		running.group.Go(func() {
			if err := c.run(l.ctx, turns); err != nil {
				running.mutex.Lock()
				defer running.mutex.Unlock()
				running.faults = append(running.faults, err)
			}
		})
	}
	return running
}

// wait waits for the load and returns its errors.
func (r *load) wait() error {
	r.group.Wait()
	return errors.Join(r.faults...)
}
