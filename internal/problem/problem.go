// Package problem adapts api.Problem to huma: as the error that a handler
// returns, and as a replacement of huma's own errors.
package problem

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
)

// FromError returns the problem that err wraps, or an internal error if it wraps none.
func FromError(err error) *api.Problem {
	var found *api.Problem
	if errors.As(err, &found) {
		return found
	}
	return api.NewProblem(api.CodeInternal, "%s", err)
}

// handlerError is a problem as a huma error.
type handlerError struct{ *api.Problem }

// GetStatus implements huma.StatusError.
func (a handlerError) GetStatus() int { return a.Status }

// ContentType implements huma.ContentTypeFilter.
func (a handlerError) ContentType(string) string { return api.MediaProblem }

// GetHeaders implements huma.HeadersError.
func (a handlerError) GetHeaders() http.Header {
	headers := http.Header{}
	SetRetryAfter(headers, a.Problem)
	return headers
}

// SetRetryAfter sets the Retry-After header in whole seconds, rounded up, if the
// problem has a RetryAfter.
func SetRetryAfter(headers http.Header, problem *api.Problem) {
	if problem.RetryAfter > 0 {
		headers.Set("Retry-After", strconv.Itoa(int(math.Ceil(problem.RetryAfter.Seconds()))))
	}
}

// HandlerError converts a handler's error to the error that huma responds with; nil
// stays nil.
func HandlerError(err error) error {
	if err == nil {
		return nil
	}
	return handlerError{FromError(err)}
}

// Transform is a huma.Transformer that converts huma's own errors to problems.
// Such errors occur before a handler runs, so the problems are marked as not run.
func Transform(_ huma.Context, _ string, body any) (any, error) {
	model, isError := body.(*huma.ErrorModel)
	if !isError {
		return body, nil
	}
	converted := api.NewProblem(codeOf(model.Status), "%s", model.Detail).WithNotRun(true)
	converted.Status = model.Status
	converted.Findings = lo.FilterMap(model.Errors, func(detail *huma.ErrorDetail, _ int) (api.Finding, bool) {
		if detail == nil {
			return api.Finding{}, false
		}
		return FindingOf(detail), true
	})
	return converted, nil
}

// FindingOf converts a huma error detail to a finding. The line and column of a
// JSON syntax error move from the message to the place.
func FindingOf(detail *huma.ErrorDetail) api.Finding {
	place, message := detail.Location, detail.Message
	if position, rest, found := strings.Cut(message, ": "); found && strings.HasPrefix(position, "line ") {
		place, message = place+" "+position, rest
	}
	return api.Finding{Place: place, Message: message}
}

func codeOf(status int) api.Code {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return api.CodeTooLarge
	case http.StatusRequestTimeout:
		return api.CodeSlowSender
	case http.StatusInternalServerError:
		return api.CodeInternal
	}
	return api.CodeInvalid
}
