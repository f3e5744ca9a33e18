package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"stepseam.example/stepseam/internal/operator"
)

// explainCommand shows the last scheduling decision on a call.
type explainCommand struct {
	Program  string `arg:"positional,required" help:"the program's id"`
	Sequence uint64 `arg:"positional,required" help:"the call's sequence"`
	Branch   string `arg:"--branch" default:"main" help:"the call's branch"`
}

func (c *explainCommand) run(ctx context.Context, s *session) error {
	query := url.Values{
		"program": {c.Program}, "branch": {c.Branch}, "sequence": {strconv.FormatUint(c.Sequence, 10)},
	}
	var found operator.Explanation
	if err := s.client.get(ctx, "/v1/explain?"+query.Encode(), &found); err != nil {
		return err
	}
	return s.print(found, func(w io.Writer) { writeExplanation(w, found) })
}

func writeExplanation(w io.Writer, found operator.Explanation) {
	writeRow(w, "call", fmt.Sprintf("%s/%s/%d", found.Program, found.Branch, found.Sequence))
	writeRow(w, "decided", fmt.Sprintf("%s at %s, attempt %d", found.At.Format(time.RFC3339Nano), found.Node, found.Attempt))
	writeRow(w, "action", found.Action)
	writeRow(w, "back end", found.Backend)
	writeRow(w, "reason", found.Reason)
	if found.RetryAfterSeconds > 0 {
		writeRow(w, "look again in", fmt.Sprintf("%.3f s", found.RetryAfterSeconds))
	}
	if len(found.Candidates) == 0 {
		return
	}
	fmt.Fprintln(w)
	writeRow(w, "CANDIDATE", "EXPECTED", "NOTE")
	for _, candidate := range found.Candidates {
		writeRow(w, candidate.Backend, fmt.Sprintf("%.3f s", candidate.CostSeconds), candidate.Note)
	}
}
