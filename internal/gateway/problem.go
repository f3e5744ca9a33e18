package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/problem"
)

// outcomeOf converts err to a problem. If the gateway's own deadline in ctx
// expired, an interruption or an internal error is reported as a missed deadline.
func outcomeOf(ctx context.Context, err error) *api.Problem {
	found := problem.FromError(err)
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if !late || (found.Code != api.CodeInterrupted && found.Code != api.CodeInternal) {
		return found
	}
	return api.NewProblem(api.CodeDeadline, "there was no answer in time; fetch it by its sequence: %s", found.Detail).
		WithNotRun(found.NotRun).WithRetryAfter(lateRetry)
}

// lateRetry is the Retry-After for an answer that is still being computed.
const lateRetry = time.Second

// writeProblem responds with a problem, in the OpenAI format for the chat path.
func writeProblem(writer http.ResponseWriter, path string, refusal *api.Problem) {
	body, media := any(refusal), api.MediaProblem
	if path == chatPath {
		body, media = chatProblem(refusal), api.MediaJSON
	}
	problem.SetRetryAfter(writer.Header(), refusal)
	writer.Header().Set("Content-Type", media)
	writer.WriteHeader(refusal.Status)
	_ = json.NewEncoder(writer).Encode(body) // fails only if the caller disconnected
}

// decodeJSON is json.Unmarshal with the line and column in syntax errors.
func decodeJSON(data []byte, into any) error {
	err := json.Unmarshal(data, into)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	before := string(data[:min(int(syntax.Offset), len(data))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndexByte(before, '\n') - 1
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}

// unknownPath responds to requests for paths outside the API.
func unknownPath(writer http.ResponseWriter, request *http.Request) {
	refusal := api.NewProblem(api.CodeInvalid, "%s %s is no part of this interface; see /openapi.json",
		request.Method, request.URL.Path)
	refusal.Status = http.StatusNotFound
	writeProblem(writer, request.URL.Path, refusal)
}
