package gateway_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/gateway"
	"stepseam.example/stepseam/internal/table"
)

const chatBody = `{"model":"m","messages":[{"role":"developer","content":"rules"},
	{"role":"user","content":[{"type":"text","text":"hel"},{"type":"text","text":"lo"}]}],"temperature":0.3,"max_completion_tokens":50}`

type completion struct {
	Object  string
	Choices []struct {
		Message      api.Message
		Delta        api.Message
		FinishReason string `json:"finish_reason"`
	}
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		TotalTokens  int `json:"total_tokens"`
	}
}

func TestChatWithoutHeadersIsSingleCallProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{})
		f.board.Table.Store(&table.Table{Version: 1, Classes: map[string]table.Class{"only": {Name: "only"}}})
		answer := f.do(t, "POST", "/v1/chat/completions", chatBody)
		is.Equal(answer.status, 200)
		is.Equal(answer.header.Get(api.HeaderProgram), "new-id")
		var decoded completion
		is.NoErr(json.Unmarshal([]byte(answer.body), &decoded))
		is.Equal(decoded.Object, "chat.completion")
		is.Equal(decoded.Choices[0].Message, api.Message{Role: "assistant", Content: wholeText})
		is.Equal(decoded.Choices[0].FinishReason, "stop")
		is.Equal(decoded.Usage.TotalTokens, 14)
		synctest.Wait()
		is.Equal(f.programs.acts, []string{"create new-id", "end new-id"})
		is.Equal(f.programs.created[0].Class, "only")
		is.Equal(f.programs.created[0].Tenant, "default")
		call := f.programs.calls[0].Call
		is.Equal(call.Messages, []api.Message{{Role: "system", Content: "rules"}, {Role: "user", Content: "hello"}})
		is.Equal(call.MaxTokens, 50)
		is.Equal(call.Sequence, uint64(1))
		is.True(call.WholeHistory)
		is.Equal(call.Model, "m")
	})
}

func TestChatOfAProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{})
		answer := f.do(t, "POST", "/v1/chat/completions", strings.Replace(chatBody, `"m"`, `"default"`, 1),
			api.HeaderProgram, "p", api.HeaderSequence, "1", api.HeaderBranch, "b", api.HeaderTenant, "t", api.HeaderClass, "c")
		is.Equal(answer.status, 200)
		is.Equal(answer.header.Get(api.HeaderSequence), "1")
		is.Equal(f.do(t, "POST", "/v1/chat/completions", chatBody, api.HeaderProgram, "p", api.HeaderSequence, "2").status, 200)
		synctest.Wait()
		is.Equal(f.programs.acts, []string{"create p"}) // created by its first call, and not ended
		is.Equal(f.programs.created[0].Tenant, "t")
		is.Equal(f.programs.calls[0].Call.Model, "")
		is.Equal(f.programs.calls[0].Call.Branch, "b")
		is.Equal(f.programs.calls[1].Call.Sequence, uint64(2))
	})
}

func TestChatStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{})
		body := strings.Replace(chatBody, `"model"`, `"stream":true,"stream_options":{"include_usage":true},"model"`, 1)
		answer := f.do(t, "POST", "/v1/chat/completions", body)
		is.Equal(answer.header.Get("Content-Type"), api.MediaEventStream)
		is.True(strings.HasSuffix(answer.body, "data: [DONE]\n\n"))
		text, finish, total := "", "", 0
		for _, line := range strings.Split(answer.body, "\n") {
			data, found := strings.CutPrefix(line, "data: ")
			if !found || data == "[DONE]" {
				continue
			}
			var chunk completion
			is.NoErr(json.Unmarshal([]byte(data), &chunk))
			is.Equal(chunk.Object, "chat.completion.chunk")
			for _, choice := range chunk.Choices {
				text += choice.Delta.Content
				finish += choice.FinishReason
			}
			if chunk.Usage != nil {
				total = chunk.Usage.TotalTokens
			}
		}
		is.Equal(text, wholeText)
		is.Equal(finish, "stop")
		is.Equal(total, 14)

		synctest.Wait() // the program of the first call is ended by now
		f.programs.failure, f.programs.failAfter = api.NewProblem(api.CodeInterrupted, "cut"), 2
		cut := f.do(t, "POST", "/v1/chat/completions", body, api.HeaderProgram, "p", api.HeaderSequence, "2")
		is.True(strings.Contains(cut.body, `"code":"interrupted","not_run":false`))
		is.True(!strings.Contains(cut.body, "[DONE]")) // a failed stream must not look complete
	})
}

func TestChatReportsAllFindings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{}, gateway.Config{})
		wrong := f.do(t, "POST", "/v1/chat/completions", `{"model":"m","n":2,"max_tokens":-1,"messages":[{"role":"robot","content":"x"}]}`,
			api.HeaderProgram, "p", api.HeaderSequence, "none", api.HeaderBranch, "a branch")
		is.Equal(wrong.status, 422)
		for _, place := range []string{"body.n", "body.max_tokens", "body.messages[0].role", "header Stepseam-Sequence", "header Stepseam-Branch"} {
			is.True(strings.Contains(wrong.body, place))
		}
		is.True(strings.Contains(wrong.body, `"type":"invalid_request_error"`))
		broken := f.do(t, "POST", "/v1/chat/completions", `{"model":}`)
		is.Equal(broken.status, 400)
		is.True(strings.Contains(broken.body, "line 1, column 10"))
		image := f.do(t, "POST", "/v1/chat/completions", `{"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`)
		is.True(strings.Contains(image.body, "only text is supported"))
		is.Equal(f.do(t, "POST", "/v1/chat/completions", chatBody, api.HeaderSequence, "2").status, 422)
		is.Equal(len(f.programs.calls), 0)
	})
}

func TestChatIsCancelledOnDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{pause: time.Hour}, gateway.Config{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, "POST", "http://node/v1/chat/completions", strings.NewReader(chatBody))
		is.NoErr(err)
		_, err = f.client.Do(request)
		is.True(err != nil)
		time.Sleep(time.Second)
		f.programs.mutex.Lock()
		defer f.programs.mutex.Unlock()
		is.Equal(f.programs.acts, []string{"create new-id", "cancel new-id"})
	})
}
