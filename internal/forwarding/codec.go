package forwarding

import (
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/wire"
)

// The minimum encoded sizes of list elements, for wire.Decoder.Count.
const (
	minMessageBytes = 8
	minFindingBytes = 8
)

func encodeCall(e *wire.Encoder, call *api.CallRequest) {
	e.Uint64(call.Sequence)
	e.String(call.Branch)
	e.String(string(call.Kind))
	e.String(call.Model)
	e.Uint32(uint32(len(call.Messages)))
	for _, message := range call.Messages {
		e.String(message.Role)
		e.String(message.Content)
	}
	e.Bool(call.WholeHistory)
	e.Int64(int64(call.MaxTokens))
	e.Bool(call.Stream)
	e.String(call.Application)
	e.String(call.Operation)
	e.Blob(call.Input)
	e.String(call.IdempotencyKey)
	e.Bool(call.Unrepeatable)
	e.Float64(call.DeadlineSeconds)
}

func decodeCall(d *wire.Decoder) api.CallRequest {
	call := api.CallRequest{
		Sequence: d.Uint64(),
		Branch:   d.String(),
		Kind:     api.CallKind(d.String()),
		Model:    d.String(),
	}
	for range d.Count(minMessageBytes) {
		call.Messages = append(call.Messages, api.Message{Role: d.String(), Content: d.String()})
	}
	call.WholeHistory = d.Bool()
	call.MaxTokens = int(d.Int64())
	call.Stream = d.Bool()
	call.Application = d.String()
	call.Operation = d.String()
	call.Input = d.Blob()
	call.IdempotencyKey = d.String()
	call.Unrepeatable = d.Bool()
	call.DeadlineSeconds = d.Float64()
	return call
}

func encodeAnswer(e *wire.Encoder, answer *api.Answer) {
	e.String(answer.Program)
	e.String(answer.Branch)
	e.Uint64(answer.Sequence)
	e.String(answer.Text)
	e.Blob(answer.Output)
	e.String(answer.FinishReason)
	e.Int64(int64(answer.Usage.PromptTokens))
	e.Int64(int64(answer.Usage.CachedTokens))
	e.Int64(int64(answer.Usage.CompletionTokens))
	e.String(answer.Backend)
	e.String(answer.Reason)
	e.Bool(answer.Replayed)
	e.Float64(answer.QueuedSeconds)
	e.Float64(answer.RunSeconds)
}

func decodeAnswer(d *wire.Decoder) api.Answer {
	return api.Answer{
		Program:      d.String(),
		Branch:       d.String(),
		Sequence:     d.Uint64(),
		Text:         d.String(),
		Output:       d.Blob(),
		FinishReason: d.String(),
		Usage: api.Usage{
			PromptTokens:     int(d.Int64()),
			CachedTokens:     int(d.Int64()),
			CompletionTokens: int(d.Int64()),
		},
		Backend:       d.String(),
		Reason:        d.String(),
		Replayed:      d.Bool(),
		QueuedSeconds: d.Float64(),
		RunSeconds:    d.Float64(),
	}
}

func encodeProblem(e *wire.Encoder, problem *api.Problem) {
	e.String(problem.Type)
	e.String(problem.Title)
	e.Uint32(uint32(problem.Status))
	e.String(problem.Detail)
	e.String(string(problem.Code))
	e.Bool(problem.NotRun)
	e.Uint32(uint32(len(problem.Findings)))
	for _, finding := range problem.Findings {
		e.String(finding.Place)
		e.String(finding.Message)
	}
	e.Duration(problem.RetryAfter)
}

func decodeProblem(d *wire.Decoder) *api.Problem {
	problem := &api.Problem{
		Type:   d.String(),
		Title:  d.String(),
		Status: int(d.Uint32()),
		Detail: d.String(),
		Code:   api.Code(d.String()),
		NotRun: d.Bool(),
	}
	for range d.Count(minFindingBytes) {
		problem.Findings = append(problem.Findings, api.Finding{Place: d.String(), Message: d.String()})
	}
	return problem.WithRetryAfter(max(d.Duration(), time.Duration(0)))
}
