package trace

import (
	"errors"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/api"
)

// OutcomeOf returns the outcome that a caller's answer and error are. Any error
// without a problem is a lost connection.
func OutcomeOf(answer api.Answer, err error) Outcome {
	var problem *api.Problem
	switch {
	case err == nil && answer.Replayed:
		return Outcome{Is: OutcomeReplayed, Digest: digestOf(answer)}
	case err == nil:
		return Outcome{Is: OutcomeAnswered, Digest: digestOf(answer)}
	case !errors.As(err, &problem):
		return Outcome{Is: OutcomeLost}
	case problem.Code == api.CodeOutcomeUnknown:
		return Outcome{Is: OutcomeUnknown}
	}
	return Outcome{Is: OutcomeRefused, Code: problem.Code, NotRun: problem.NotRun}
}

// digestOf is of a model's text. An application's output names the replica that
// ran it, so that it differs from run to run.
func digestOf(answer api.Answer) string {
	if answer.Text == "" {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64String(answer.Text), 16)
}
