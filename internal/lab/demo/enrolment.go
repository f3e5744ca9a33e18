package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/emulator/tools"
)

const (
	subAgentBranch = "course-check"
	// enrolKey is the idempotency key of the enrolment, which must be executed once.
	enrolKey = "applicant-4711/algebra-1"
	// answerTokens bounds the answer of each model call.
	answerTokens = 64

	readOperation  = "read_file"
	enrolOperation = "enrol"
)

func programRequest() api.ProgramRequest {
	return api.ProgramRequest{Tenant: tenantName, Class: className}
}

// enrolment is the program that the demonstration runs, with its caller's state.
type enrolment struct {
	demo *demonstration
	id   string
	// spent is the sum of the token usage in the answers.
	spent int64
}

// enrol runs the program, with successive calls through different nodes.
func (d *demonstration) enrol(ctx context.Context) error {
	created, err := d.clients[0].CreateProgram(ctx, programRequest())
	if err != nil {
		return err
	}
	e := &enrolment{demo: d, id: created.ID}
	d.say("program %s of class %s, shard %d owned by %s, budget %d tokens",
		created.ID, created.Class, created.Shard, created.Owner, created.Budget)
	d.say("%-11s %-22s %-22s %8s %8s  %s", "CALL", "THROUGH", "BACK END", "TIME", "TOKENS", "WHAT")
	began := time.Now()
	if err := e.turns(ctx); err != nil {
		return err
	}
	latency := time.Since(began)
	ended, err := d.clients[1].EndProgram(ctx, e.id)
	if err != nil {
		return err
	}
	d.say("program latency %.3f s, spend %d of %d tokens", latency.Seconds(), ended.Spent, ended.Budget)
	if ended.Spent != e.spent || ended.Reserved != 0 {
		return fmt.Errorf("the program spent %d tokens with %d still reserved, the answers add up to %d", ended.Spent, ended.Reserved, e.spent)
	}
	return e.check(ctx)
}

// turns makes the calls of the program.
func (e *enrolment) turns(ctx context.Context) error {
	if _, err := e.model(ctx, 0, "", 1, "Which documents does applicant 4711 lack?"); err != nil {
		return err
	}
	if err := e.tool(ctx, "transcript"); err != nil {
		return err
	}
	if _, err := e.model(ctx, 1, "", 2, "The transcript has arrived. Which course fits?"); err != nil {
		return err
	}
	file := api.CallRequest{Sequence: 3, Operation: readOperation, Input: json.RawMessage(`{"applicant":4711}`)}
	if _, err := e.application(ctx, 2, file); err != nil {
		return err
	}
	if _, err := e.model(ctx, 1, subAgentBranch, 1, "Does algebra 1 clash with the applicant's course load?"); err != nil {
		return err
	}
	if _, err := e.model(ctx, 2, "", 4, "It does not clash. Shall we enrol the applicant?"); err != nil {
		return err
	}
	return e.enrolOnce(ctx)
}

// enrolOnce makes the unrepeatable call and repeats it through another node, as a
// caller does that lost the response. The second answer must come from the journal.
func (e *enrolment) enrolOnce(ctx context.Context) error {
	call := api.CallRequest{
		Sequence: 5, Operation: enrolOperation, Unrepeatable: true, IdempotencyKey: enrolKey,
		Input: json.RawMessage(`{"applicant":4711,"course":"algebra-1"}`),
	}
	first, err := e.application(ctx, 0, call)
	if err != nil {
		return err
	}
	again, err := e.application(ctx, 1, call)
	if err != nil {
		return err
	}
	if !again.Replayed || !bytes.Equal(again.Output, first.Output) {
		return errors.New("the repeated enrolment did not return the first answer from the journal")
	}
	return nil
}

// model makes a streamed model call through the node at index.
func (e *enrolment) model(ctx context.Context, index int, branch string, sequence uint64, question string) (api.Answer, error) {
	call := api.CallRequest{
		Sequence: sequence, Branch: branch, Kind: api.CallModel, MaxTokens: answerTokens,
		Messages: []api.Message{{Role: "user", Content: question}},
	}
	var streamed bytes.Buffer
	began := time.Now()
	answer, err := e.demo.clients[index].Stream(ctx, e.id, call, func(_ int, text string) error {
		streamed.WriteString(text)
		return nil
	})
	if err != nil {
		return answer, fmt.Errorf("model call %d of branch %q: %w", sequence, branch, err)
	}
	if answer.Text == "" || streamed.String() != answer.Text {
		return answer, fmt.Errorf("model call %d of branch %q: the streamed tokens and the answer differ", sequence, branch)
	}
	e.spent += int64(answer.Usage.PromptTokens + answer.Usage.CompletionTokens)
	e.show(index, call, answer, time.Since(began), question)
	return answer, nil
}

// application makes an application call through the node at index.
func (e *enrolment) application(ctx context.Context, index int, call api.CallRequest) (api.Answer, error) {
	call.Kind, call.Application = api.CallApplication, applicationService
	began := time.Now()
	answer, err := e.demo.clients[index].Call(ctx, e.id, call)
	if err != nil {
		return answer, fmt.Errorf("application call %d: %w", call.Sequence, err)
	}
	if len(answer.Output) == 0 {
		return answer, fmt.Errorf("application call %d: the answer has no output", call.Sequence)
	}
	what := call.Operation
	if call.Unrepeatable {
		what += ", unrepeatable"
	}
	if answer.Replayed {
		what += ", replayed from the journal"
	}
	e.show(index, call, answer, time.Since(began), what)
	return answer, nil
}

// tool makes a tool call of the caller's own, while the program has no call in
// flight.
func (e *enrolment) tool(ctx context.Context, name string) error {
	began := time.Now()
	var result tools.Result
	if err := e.demo.site.Tools.Post(ctx, "/v1/tools/"+name, map[string]int{"applicant": 4711}, &result); err != nil {
		return err
	}
	e.demo.say("%-11s %-22s %-22s %6.0f ms %8s  the caller's tool %s", "(pause)", "-", "tool service", milliseconds(time.Since(began)), "-", name)
	return nil
}

func (e *enrolment) show(index int, call api.CallRequest, answer api.Answer, took time.Duration, what string) {
	branch := "main"
	if call.Branch != "" {
		branch = "sub-agent"
	}
	tokens := "-"
	if call.Kind == api.CallModel {
		tokens = fmt.Sprintf("%d+%d", answer.Usage.PromptTokens, answer.Usage.CompletionTokens)
	}
	e.demo.say("%-11s %-22s %-22s %6.0f ms %8s  %s", fmt.Sprintf("%s/%d", branch, call.Sequence),
		e.demo.site.Nodes[index].Name, answer.Backend, milliseconds(took), tokens, what)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
