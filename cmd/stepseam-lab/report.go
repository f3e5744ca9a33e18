package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"stepseam.example/stepseam/internal/lab/experiment"
)

// reportCommand plots latency and wasted cache against load.
type reportCommand struct {
	Site   []string  `arg:"--site,separate" help:"quito or haldane, may be repeated; both without it"`
	Load   []float64 `arg:"--load,separate" help:"load, may be repeated; 0.5, 0.7, 0.9 and 1.1 without it"`
	Seed   []uint64  `arg:"--seed,separate" help:"seed, may be repeated, medians are drawn; 101 without it"`
	Policy []string  `arg:"--policy,separate" help:"policy, may be repeated; the baselines and stepseam without it"`
	From   []string  `arg:"--from,separate" help:"draw the figures of these files of compare --json, and run nothing"`
	Out    string    `arg:"--out" default:"report" help:"directory for the plots and for figures.json"`
}

func (c *reportCommand) run(ctx context.Context) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	results, err := c.results(ctx)
	if err != nil {
		return err
	}
	if err := writeResults(filepath.Join(c.Out, "figures.json"), results); err != nil {
		return err
	}
	paths, err := experiment.Plot(results, c.Out)
	for _, path := range paths {
		fmt.Println(path)
	}
	return err
}

// results reads the results from files, or runs the experiments.
func (c *reportCommand) results(ctx context.Context) ([]experiment.Result, error) {
	if len(c.From) > 0 {
		return readResults(c.From)
	}
	var options []experiment.Options
	for _, siteName := range orDefault(c.Site, "quito", "haldane") {
		site, err := experiment.SiteByName(siteName)
		if err != nil {
			return nil, err
		}
		for _, load := range orDefault(c.Load, 0.5, 0.7, 0.9, 1.1) {
			for _, seed := range orDefault(c.Seed, 101) {
				programs := experiment.Workload(&site, load, seed)
				for _, name := range orDefault(c.Policy, experiment.PrimaryStrategies()...) {
					strategy, err := experiment.StrategyByName(name)
					if err != nil {
						return nil, err
					}
					options = append(options, experiment.Options{
						Site: site, Strategy: strategy, Load: load, Seed: seed, Programs: programs,
					})
				}
			}
		}
	}
	return runAll(ctx, options)
}

func orDefault[T any](given []T, defaults ...T) []T {
	if len(given) > 0 {
		return given
	}
	return defaults
}

// readResults reads the files that compare --json wrote.
func readResults(paths []string) ([]experiment.Result, error) {
	var all []experiment.Result
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("figures: %w", err)
		}
		var results []experiment.Result
		if err := json.Unmarshal(content, &results); err != nil {
			return nil, fmt.Errorf("figures: %s: %w", path, err)
		}
		all = append(all, results...)
	}
	return all, nil
}
