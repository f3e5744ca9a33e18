package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// session is what a subcommand works with.
type session struct {
	client *client
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	format string
}

// print writes document as JSON, or has asTable write it for people.
func (s *session) print(document any, asTable func(w io.Writer)) error {
	if s.format == formatJSON {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(document); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		return nil
	}
	writer := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	asTable(writer)
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// cells writes one row of aligned columns.
func cells(w io.Writer, values ...any) {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = fmt.Sprint(value)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// readFile reads a file, or standard input for "-".
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		content, err := io.ReadAll(s.in)
		if err != nil {
			return nil, fmt.Errorf("standard input: %w", err)
		}
		return content, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, &failure{code: exitFailed, reason: err.Error(), advice: "Give the path of a CSV file, or - for standard input."}
	}
	return content, nil
}
