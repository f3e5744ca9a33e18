package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"stepseam.example/stepseam/internal/lab/knowledge"
)

// knowledgeCommand compares the nodes' estimates of engines with the state that the logs
// show.
type knowledgeCommand struct {
	File string `arg:"positional,required" help:"log lines of all nodes, merged or one after the other; - is standard input"`
}

func (c *knowledgeCommand) run(context.Context) error {
	input := os.Stdin
	if c.File != "-" {
		opened, err := os.Open(c.File)
		if err != nil {
			return fmt.Errorf("knowledge: %w", err)
		}
		defer func() { _ = opened.Close() }()
		input = opened
	}
	requests, err := knowledge.Parse(input)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "quantity\tchoices\tbelieved 50/95\treal 50/95\terror 50/95\ttoo low")
	for _, row := range knowledge.Measure(requests) {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.0f / %.0f\t%.0f / %.0f\t%.0f / %.0f\t%.0f%%\n", row.Quantity, row.Choices,
			row.Estimated.P50, row.Estimated.P95, row.Actual.P50, row.Actual.P95, row.Error.P50, row.Error.P95,
			100*float64(row.Underestimated)/float64(row.Choices))
	}
	return table.Flush()
}
