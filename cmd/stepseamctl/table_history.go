package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/table"
)

// tableHistoryCommand lists the last publications.
type tableHistoryCommand struct {
	Limit int `arg:"--limit" default:"20" help:"how many of the last ones to show"`
}

// history is the JSON output of table history, oldest first.
type history struct {
	Versions []operator.Version `json:"versions"`
}

func (c *tableHistoryCommand) run(ctx context.Context, s *session) error {
	var shown history
	if err := s.client.get(ctx, "/v1/table/versions", &shown); err != nil {
		return err
	}
	if c.Limit > 0 && len(shown.Versions) > c.Limit {
		shown.Versions = shown.Versions[len(shown.Versions)-c.Limit:]
	}
	return s.print(shown, func(w io.Writer) {
		writeRow(w, "PUBLISHED", "BASE", "OUTCOME", "AUTHOR", "NOTE", "ID")
		for _, version := range shown.Versions {
			writeRow(w, version.Published.Format(time.RFC3339), version.Base, outcomeOf(version), version.Author, version.Note, version.ID)
		}
	})
}

func outcomeOf(version operator.Version) string {
	switch version.Status {
	case table.Accepted:
		return fmt.Sprintf("version %d", version.Version)
	case table.Lost:
		return fmt.Sprintf("lost to version %d", version.Version)
	}
	return "refused"
}
