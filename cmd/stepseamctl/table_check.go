package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/table"
)

// tableCheckCommand checks a table file without a node.
type tableCheckCommand struct {
	File string `arg:"positional,required" help:"CSV file, or - for standard input"`
}

// checkResult is the JSON output of table check.
type checkResult struct {
	File     string        `json:"file"`
	Valid    bool          `json:"valid"`
	Models   int           `json:"models"`
	Adapters int           `json:"adapters"`
	Classes  int           `json:"classes"`
	Findings []api.Finding `json:"findings"`
}

func (c *tableCheckCommand) run(_ context.Context, s *session) error {
	content, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	parsed, err := table.Parse(content)
	result := checkResult{File: c.File, Valid: err == nil, Findings: findingsOf(err)}
	if err == nil {
		result.Models, result.Adapters, result.Classes = len(parsed.Models), len(parsed.Adapters), len(parsed.Classes)
	}
	if err := s.print(result, func(w io.Writer) { result.write(w) }); err != nil {
		return err
	}
	if !result.Valid {
		return &failure{
			code: exitFindings, reason: fmt.Sprintf("%s has %d finding(s)", c.File, len(result.Findings)),
			advice: "Mend the places named; rows are counted as the spreadsheet shows them.",
		}
	}
	return nil
}

func (c checkResult) write(w io.Writer) {
	for _, finding := range c.Findings {
		fmt.Fprintf(w, "%s: %s: %s\n", c.File, finding.Place, finding.Message)
	}
	if c.Valid {
		fmt.Fprintf(w, "%s is valid: %d model(s), %d adapter(s), %d class(es)\n", c.File, c.Models, c.Adapters, c.Classes)
	}
}

// findingsOf returns the findings in an error of table.Parse.
func findingsOf(err error) []api.Finding {
	var invalid *table.InvalidError
	if !errors.As(err, &invalid) {
		return []api.Finding{}
	}
	return operator.Findings(invalid)
}

// parseFile reads and parses a table file. All findings are joined in one failure.
func (s *session) parseFile(name string) (*table.Table, []byte, error) {
	content, err := s.readFile(name)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := table.Parse(content)
	if err != nil {
		return nil, nil, &failure{code: exitFindings, reason: fmt.Sprintf("%s: %s", name, err), advice: "Mend the places named; nothing was published."}
	}
	return parsed, content, nil
}
