package gateway

import (
	"context"
	"net/http"
	"time"

	"stepseam.example/stepseam/api"
)

// chatStreamEnd terminates a stream for OpenAI clients.
const chatStreamEnd = "data: [DONE]\n\n"

// streamChat streams the answer as OpenAI chat completion chunks.
func (g *Gateway) streamChat(ctx context.Context, writer http.ResponseWriter, chat *chatCall) {
	stream, ctx, finish := g.beginStream(ctx, writer)
	created := time.Now()
	begun := false
	begin := func() error {
		if begun {
			return nil
		}
		begun = true
		return stream.send("", "", chat.chunk(created, chatDelta{Role: "assistant"}, nil))
	}
	answer, err := g.config.Programs.Call(ctx, chat.call, func(_ int, text string) error {
		if err := begin(); err != nil {
			return err
		}
		g.metrics.tokens.Inc()
		return stream.send("", "", chat.chunk(created, chatDelta{Content: text}, nil))
	})
	finish()
	// Send errors from here on mean that the caller disconnected; they are ignored.
	if err != nil {
		problem := outcomeOf(ctx, err)
		if !stream.isOpen() {
			writeProblem(writer, chatPath, problem)
			return
		}
		_ = stream.send("", "", chatProblem(problem))
		return
	}
	_ = begin()
	_ = stream.send("", "", chat.chunk(created, chatDelta{}, &answer.FinishReason))
	if chat.wantsUsage() {
		_ = stream.send("", "", chat.usageChunk(created, answer.Usage))
	}
	_ = stream.sendText(chatStreamEnd)
}

func (c *chatCall) wantsUsage() bool {
	return c.request.StreamOptions != nil && c.request.StreamOptions.IncludeUsage
}

func (c *chatCall) usageChunk(created time.Time, usage api.Usage) chatChunk {
	chunk := c.chunk(created, chatDelta{}, nil)
	chunk.Choices = []chatChunkChoice{}
	counted := newChatUsage(usage)
	chunk.Usage = &counted
	return chunk
}
