package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"stepseam.example/stepseam/internal/limits"
)

// grantsCommand reads logs, so that it works after the nodes have ended.
type grantsCommand struct {
	Tenant string        `arg:"--tenant,required" help:"name of the tenant"`
	Window time.Duration `arg:"--window" default:"5s" help:"period over which the limit counts requests"`
	Logs   []string      `arg:"positional,required" placeholder:"FILE" help:"logs of nodes in JSON"`
}

// grantsReport is the window of the logs in which most tokens were granted.
type grantsReport struct {
	Tenant string               `json:"tenant"`
	Tokens int                  `json:"tokens"`
	Grants []limits.GrantRecord `json:"grants"`
}

func (c *grantsCommand) run(_ context.Context, s *session) error {
	var records []limits.GrantRecord
	for _, path := range c.Logs {
		found, err := readGrantsOf(path, c.Tenant)
		if err != nil {
			return err
		}
		records = append(records, found...)
	}
	report := grantsReport{Tenant: c.Tenant}
	report.Grants, report.Tokens = limits.WorstGrants(records, c.Window)
	return s.print(report, func(w io.Writer) { writeGrants(w, report, c.Window) })
}

func readGrantsOf(path, tenant string) ([]limits.GrantRecord, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open a log: %w", err)
	}
	found, err := limits.ReadGrants(file, tenant)
	return found, errors.Join(err, file.Close())
}

func writeGrants(w io.Writer, report grantsReport, window time.Duration) {
	fmt.Fprintf(w, "most tokens of tenant %s granted and not returned within %s: %d\n\n", report.Tenant, window, report.Tokens)
	writeRow(w, "PERIOD", "NODE", "ALLOCATOR", "FRACTION", "GRANTED", "RETURNED", "SENT AGAIN")
	for _, grant := range report.Grants {
		allocator, fraction := "-", "-"
		if grant.Allocator != 0 {
			allocator, fraction = fmt.Sprintf("%x", grant.Allocator), fmt.Sprintf("%.2f", grant.Fraction)
		}
		writeRow(w, grant.Began.UTC().Format("15:04:05.000"), grant.Node, allocator, fraction, grant.Granted, grant.Returned, grant.Repeats)
	}
}
