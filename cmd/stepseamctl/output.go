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

// session holds the client and the streams of a subcommand.
type session struct {
	client *client
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	format string
}

// print writes document as JSON, or calls writeTable for the table format.
func (s *session) print(document any, writeTable func(w io.Writer)) error {
	if s.format == formatJSON {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(document); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		return nil
	}
	writer := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	writeTable(writer)
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// writeRow writes one tab-separated row, with a dash for each empty value.
func writeRow(w io.Writer, values ...any) {
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
