package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/table"
)

// tableShowCommand shows an accepted version of the table.
type tableShowCommand struct {
	Version table.Version `arg:"--version" help:"the version to show; by default the one in force at the node"`
	CSV     bool          `arg:"--csv" help:"only the CSV, as its author wrote it"`
}

func versionPath(version table.Version) string {
	if version == 0 {
		return "/v1/table"
	}
	return fmt.Sprintf("/v1/table/versions/%d", version)
}

func (c *tableShowCommand) run(ctx context.Context, s *session) error {
	var shown operator.Table
	if err := s.client.get(ctx, versionPath(c.Version), &shown); err != nil {
		return err
	}
	if c.CSV {
		_, err := io.WriteString(s.out, shown.CSV)
		return err
	}
	return s.print(shown, func(w io.Writer) {
		writeRow(w, "version", shown.Version.Version)
		writeRow(w, "base", shown.Base)
		writeRow(w, "author", shown.Author)
		writeRow(w, "note", shown.Note)
		writeRow(w, "published", shown.Published.Format(time.RFC3339))
		writeRow(w, "id", shown.ID)
		writeRow(w, "in force here", shown.InForce)
		fmt.Fprintf(w, "\n%s", shown.CSV)
	})
}
