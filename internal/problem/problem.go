// Package problem brings api.Problem through huma: as the error that a handler
// returns, and in the place of huma's own errors.
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

// Of returns err's problem. Anything else is a fault of this program.
func Of(err error) *api.Problem {
	var found *api.Problem
	if errors.As(err, &found) {
		return found
	}
	return api.NewProblem(api.CodeInternal, "%s", err)
}

// answer is a problem as huma takes errors.
type answer struct{ *api.Problem }

// GetStatus implements huma.StatusError.
func (a answer) GetStatus() int { return a.Status }

// ContentType implements huma.ContentTypeFilter.
func (a answer) ContentType(string) string { return api.MediaProblem }

// GetHeaders implements huma.HeadersError.
func (a answer) GetHeaders() http.Header {
	headers := http.Header{}
	SetRetryAfter(headers, a.Problem)
	return headers
}

// SetRetryAfter sets the header in whole seconds, rounded up, where a retry helps.
func SetRetryAfter(headers http.Header, problem *api.Problem) {
	if problem.RetryAfter > 0 {
		headers.Set("Retry-After", strconv.Itoa(int(math.Ceil(problem.RetryAfter.Seconds()))))
	}
}

// Answer turns the outcome of a handler into the error that huma answers with.
func Answer(err error) error {
	if err == nil {
		return nil
	}
	return answer{Of(err)}
}

// Transform is a huma.Transformer that turns huma's own errors, all met before
// a handler ran, into problems.
func Transform(_ huma.Context, _ string, body any) (any, error) {
	model, isError := body.(*huma.ErrorModel)
	if !isError {
		return body, nil
	}
	made := api.NewProblem(codeOf(model.Status), "%s", model.Detail).WithNotRun(true)
	made.Status = model.Status
	made.Findings = lo.FilterMap(model.Errors, func(detail *huma.ErrorDetail, _ int) (api.Finding, bool) {
		if detail == nil {
			return api.Finding{}, false
		}
		return FindingOf(detail), true
	})
	return made, nil
}

// FindingOf moves the line and column of broken JSON from the message to the place.
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
