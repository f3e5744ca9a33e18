package main

import (
	"context"
	"fmt"
	"io"

	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/table"
)

// tableDiffCommand compares a table file with a version or with another file.
type tableDiffCommand struct {
	File    string        `arg:"positional,required" help:"CSV file, or - for standard input"`
	Against string        `arg:"--against" placeholder:"FILE" help:"an older CSV file; by default the version in force"`
	Version table.Version `arg:"--version" help:"an accepted version instead of the one in force"`
}

// diffResult is the JSON output of table diff.
type diffResult struct {
	// From is the file or version that the file was compared with.
	From    string         `json:"from"`
	To      string         `json:"to"`
	Changes []table.Change `json:"changes"`
}

func (c *tableDiffCommand) run(ctx context.Context, s *session) error {
	newer, _, err := s.parseFile(c.File)
	if err != nil {
		return err
	}
	result := diffResult{To: c.File}
	var older *table.Table
	if c.Against != "" {
		result.From = c.Against
		older, _, err = s.parseFile(c.Against)
	} else {
		older, result.From, err = s.fetchTable(ctx, c.Version)
	}
	if err != nil {
		return err
	}
	result.Changes = append([]table.Change{}, table.Diff(older, newer)...)
	return s.print(result, func(w io.Writer) { result.write(w) })
}

// fetchTable returns an accepted version and its name. Version 0 means the one in force.
func (s *session) fetchTable(ctx context.Context, version table.Version) (*table.Table, string, error) {
	var shown operator.Table
	if err := s.client.get(ctx, versionPath(version), &shown); err != nil {
		return nil, "", err
	}
	parsed, err := table.Parse([]byte(shown.CSV))
	if err != nil {
		return nil, "", fmt.Errorf("version %d: %w", shown.Version.Version, err)
	}
	return parsed, fmt.Sprintf("version %d", shown.Version.Version), nil
}

func (d diffResult) write(w io.Writer) {
	if len(d.Changes) == 0 {
		fmt.Fprintf(w, "no difference between %s and %s\n", d.From, d.To)
		return
	}
	writeRow(w, "CHANGE", "KIND", "NAME", "COLUMN", "OLD", "NEW")
	for _, change := range d.Changes {
		writeRow(w, change.Action, change.Kind, change.Name, change.Column, change.Old, change.New)
	}
}
