package trace

import (
	"errors"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/api"
)

// OutcomeOf classifies the result of a call. An error that isn't an api.Problem is
// a lost connection.
func OutcomeOf(answer api.Answer, err error) Outcome {
	var problem *api.Problem
	switch {
	case err == nil && answer.Replayed:
		return Outcome{Kind: OutcomeReplayed, Digest: digestOf(answer)}
	case err == nil:
		return Outcome{Kind: OutcomeAnswered, Digest: digestOf(answer)}
	case !errors.As(err, &problem):
		return Outcome{Kind: OutcomeConnectionLost}
	case problem.Code == api.CodeOutcomeUnknown:
		return Outcome{Kind: OutcomeUnknown}
	}
	return Outcome{Kind: OutcomeRefused, Code: problem.Code, NotRun: problem.NotRun}
}

// digestOf hashes a model's text. It is empty for an application's output, which
// contains the name of the replica that ran it and so differs between runs.
func digestOf(answer api.Answer) string {
	if answer.Text == "" {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64String(answer.Text), 16)
}
