package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
)

// problemOf returns err's problem. Anything else is a fault of this program.
func problemOf(err error) *api.Problem {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return api.NewProblem(api.CodeInternal, "%s", err)
}

// outcomeOf is problemOf for a request that the gateway waited for until ctx
// ended. An answer that did not come in time is not a caller that left.
func outcomeOf(ctx context.Context, err error) *api.Problem {
	problem := problemOf(err)
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if !late || (problem.Code != api.CodeInterrupted && problem.Code != api.CodeInternal) {
		return problem
	}
	return api.NewProblem(api.CodeDeadline, "there was no answer in time; fetch it by its sequence: %s", problem.Detail).
		WithNotRun(problem.NotRun).WithRetryAfter(lateRetry)
}

// lateRetry is when callers should come back for an answer that is still made.
const lateRetry = time.Second

// problemError is a problem as huma takes errors.
type problemError struct{ *api.Problem }

// GetStatus implements huma.StatusError.
func (e problemError) GetStatus() int { return e.Status }

// ContentType implements huma.ContentTypeFilter.
func (e problemError) ContentType(string) string { return api.MediaProblem }

// GetHeaders implements huma.HeadersError.
func (e problemError) GetHeaders() http.Header {
	headers := http.Header{}
	setRetryAfter(headers, e.Problem)
	return headers
}

// humaError turns the outcome of a handler into what huma returns.
func humaError(err error) error {
	if err == nil {
		return nil
	}
	return problemError{problemOf(err)}
}

// setRetryAfter sets the header in whole seconds, rounded up.
func setRetryAfter(headers http.Header, problem *api.Problem) {
	if problem.RetryAfter > 0 {
		headers.Set("Retry-After", strconv.Itoa(int(math.Ceil(problem.RetryAfter.Seconds()))))
	}
}

// writeProblem answers with a problem, in the shape that the path's clients know.
func writeProblem(writer http.ResponseWriter, path string, problem *api.Problem) {
	body, media := any(problem), api.MediaProblem
	if path == chatPath {
		body, media = chatProblem(problem), api.MediaJSON
	}
	setRetryAfter(writer.Header(), problem)
	writer.Header().Set("Content-Type", media)
	writer.WriteHeader(problem.Status)
	_ = json.NewEncoder(writer).Encode(body) // a caller that is gone wants no answer
}

// transformErrors turns huma's own errors, all met before a handler ran, into problems.
func transformErrors(_ huma.Context, _ string, body any) (any, error) {
	model, isError := body.(*huma.ErrorModel)
	if !isError {
		return body, nil
	}
	problem := api.NewProblem(codeOfStatus(model.Status), "%s", model.Detail).WithNotRun(true)
	problem.Status = model.Status
	problem.Findings = lo.FilterMap(model.Errors, func(detail *huma.ErrorDetail, _ int) (api.Finding, bool) {
		if detail == nil {
			return api.Finding{}, false
		}
		return finding(detail), true
	})
	return problem, nil
}

func codeOfStatus(status int) api.Code {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return api.CodeTooLarge
	case http.StatusRequestTimeout:
		return api.CodeSlowSender
	case http.StatusInternalServerError:
		return api.CodeInternal
	default:
		return api.CodeInvalid
	}
}

// finding moves the line and column of broken JSON from the message to the place.
func finding(detail *huma.ErrorDetail) api.Finding {
	place, message := detail.Location, detail.Message
	if position, rest, found := strings.Cut(message, ": "); found && strings.HasPrefix(position, "line ") {
		place, message = place+" "+position, rest
	}
	return api.Finding{Place: place, Message: message}
}

// decodeJSON is json.Unmarshal whose errors tell line and column.
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

// unknownPath answers what is no part of the interface.
func unknownPath(writer http.ResponseWriter, request *http.Request) {
	problem := api.NewProblem(api.CodeInvalid, "%s %s is no part of this interface; see /openapi.json",
		request.Method, request.URL.Path)
	problem.Status = http.StatusNotFound
	writeProblem(writer, request.URL.Path, problem)
}
