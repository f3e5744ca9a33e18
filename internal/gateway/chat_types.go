package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/problem"
)

// chatRequest has the supported fields of an OpenAI chat request. Other fields,
// such as temperature, are accepted and ignored.
type chatRequest struct {
	_                   struct{}      `json:"-" additionalProperties:"true"`
	Model               string        `json:"model" doc:"A model of the table; default takes the model of the program's class."`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens,omitempty"`
	MaxCompletionTokens int           `json:"max_completion_tokens,omitempty"`
	Stream              bool          `json:"stream,omitempty"`
	StreamOptions       *chatOptions  `json:"stream_options,omitempty"`
	Choices             *int          `json:"n,omitempty" doc:"Only 1 is supported."`
}

type chatOptions struct {
	_            struct{} `json:"-" additionalProperties:"true"`
	IncludeUsage bool     `json:"include_usage,omitempty"`
}

type chatMessage struct {
	_       struct{}    `json:"-" additionalProperties:"true"`
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message. In JSON it is a string, or a list of
// parts of type text, which are concatenated.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text *string
	if json.Unmarshal(data, &text) == nil {
		if text != nil {
			*c = chatContent(*text)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content is neither a text nor a list of parts")
	}
	var joined strings.Builder
	for i, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part %d is of type %q; only text is supported", i, part.Type)
		}
		joined.WriteString(part.Text)
	}
	*c = chatContent(joined.String())
	return nil
}

// Schema implements huma.SchemaProvider.
func (c chatContent) Schema(huma.Registry) *huma.Schema {
	return &huma.Schema{Description: "A text, or a list of parts of type text."}
}

// chatRoles maps the roles of OpenAI clients to those of api.Message.
var chatRoles = map[string]string{
	"system": "system", "developer": "system", "user": "user", "assistant": "assistant", "tool": "tool", "function": "tool",
}

// validate returns all validation errors of the request.
func (r *chatRequest) validate() []api.Finding {
	var findings []api.Finding
	add := func(place, format string, arguments ...any) {
		findings = append(findings, api.Finding{Place: place, Message: fmt.Sprintf(format, arguments...)})
	}
	if len(r.Messages) == 0 {
		add("body.messages", "is empty")
	}
	for i, message := range r.Messages {
		if chatRoles[message.Role] == "" {
			add(fmt.Sprintf("body.messages[%d].role", i), "%q is none of system, developer, user, assistant, tool", message.Role)
		}
	}
	if r.Choices != nil && *r.Choices != 1 {
		add("body.n", "%d answers are asked for; only 1 is supported", *r.Choices)
	}
	if r.MaxTokens < 0 {
		add("body.max_tokens", "%d is below 0", r.MaxTokens)
	}
	if r.MaxCompletionTokens < 0 {
		add("body.max_completion_tokens", "%d is below 0", r.MaxCompletionTokens)
	}
	return findings
}

// call converts the request to a call of a program.
func (r *chatRequest) call(sequence uint64, branch string) api.CallRequest {
	call := api.CallRequest{
		Sequence:     sequence,
		Branch:       orDefault(branch, string(identity.MainBranch)),
		Kind:         api.CallModel,
		Model:        r.Model,
		WholeHistory: true,
		MaxTokens:    max(r.MaxTokens, r.MaxCompletionTokens),
		Stream:       r.Stream,
	}
	if r.Model == classModel {
		call.Model = ""
	}
	for _, message := range r.Messages {
		call.Messages = append(call.Messages, api.Message{Role: chatRoles[message.Role], Content: string(message.Content)})
	}
	return call
}

func invalidChatBody(err error) *api.Problem {
	refusal := api.NewProblem(api.CodeInvalid, "the body cannot be read: %s", err)
	refusal.Status = http.StatusBadRequest
	refusal.Findings = []api.Finding{problem.FindingOf(&huma.ErrorDetail{Location: "body", Message: err.Error()})}
	return refusal
}

type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type chatUsage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	PromptDetails    chatDetails `json:"prompt_tokens_details"`
}

type chatDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// chatChunk is one event of a streamed completion.
type chatChunk struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []chatChunkChoice `json:"choices"`
	Usage   *chatUsage        `json:"usage,omitempty"`
}

type chatChunkChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chatFailure is an error in the OpenAI format.
type chatFailure struct {
	Error chatError `json:"error"`
}

type chatError struct {
	Message           string        `json:"message"`
	Type              string        `json:"type"`
	Param             *string       `json:"param"`
	Code              api.Code      `json:"code"`
	NotRun            bool          `json:"not_run"`
	RetryAfterSeconds float64       `json:"retry_after_seconds,omitempty"`
	Findings          []api.Finding `json:"findings,omitempty"`
}

// The error types of the OpenAI format.
const (
	chatInvalid   = "invalid_request_error"
	chatRateLimit = "rate_limit_error"
	chatServer    = "server_error"
)

func chatProblem(problem *api.Problem) chatFailure {
	kind := chatServer
	switch {
	case problem.Status == http.StatusTooManyRequests:
		kind = chatRateLimit
	case problem.Status < http.StatusInternalServerError:
		kind = chatInvalid
	}
	failure := chatError{
		Message: problem.Title + ": " + problem.Detail, Type: kind, Code: problem.Code, NotRun: problem.NotRun,
		RetryAfterSeconds: problem.RetryAfterSeconds, Findings: problem.Findings,
	}
	if len(problem.Findings) > 0 {
		failure.Param = &problem.Findings[0].Place
	}
	return chatFailure{Error: failure}
}

func (c *chatCall) id() string {
	return "chatcmpl-" + c.call.Call.Branch + "-" + string(c.call.Program)
}

func newChatUsage(usage api.Usage) chatUsage {
	return chatUsage{
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		TotalTokens:      usage.PromptTokens + usage.CompletionTokens,
		PromptDetails:    chatDetails{CachedTokens: usage.CachedTokens},
	}
}

func newChatCompletion(chat *chatCall, answer *api.Answer, now time.Time) chatCompletion {
	return chatCompletion{
		ID: chat.id(), Object: "chat.completion", Created: now.Unix(), Model: chat.request.Model,
		Choices: []chatChoice{{
			Message:      chatMessage{Role: "assistant", Content: chatContent(answer.Text)},
			FinishReason: answer.FinishReason,
		}},
		Usage: newChatUsage(answer.Usage),
	}
}

// chunk returns a streamed event with one delta.
func (c *chatCall) chunk(created time.Time, delta chatDelta, finishReason *string) chatChunk {
	return chatChunk{
		ID: c.id(), Object: "chat.completion.chunk", Created: created.Unix(), Model: c.request.Model,
		Choices: []chatChunkChoice{{Delta: delta, FinishReason: finishReason}},
	}
}
