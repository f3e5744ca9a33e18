package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"stepseam.example/stepseam/internal/lab/experiment"
)

// comparisonWorkers bounds how many runs go on at once.
const comparisonWorkers = 4

// compareCommand runs policies over one workload in virtual time.
type compareCommand struct {
	Site   string   `arg:"--site,required" help:"quito or haldane"`
	Load   float64  `arg:"--load" default:"0.9" help:"offered load as a share of capacity"`
	Seed   uint64   `arg:"--seed" default:"1" help:"seed of workload and signals; the same one gives the same figures"`
	Policy []string `arg:"--policy,separate" help:"policy to run, may be repeated; without it the baselines and stepseam"`
	Calm   bool     `arg:"--calm" help:"no lost and no slow engine in the middle of the run"`
	JSON   string   `arg:"--json" help:"also write the figures to this file, as an array of objects"`
}

func (c *compareCommand) run(ctx context.Context) error {
	site, err := experiment.SiteByName(c.Site)
	if err != nil {
		return err
	}
	if c.Load <= 0 || c.Load > 3 {
		return fmt.Errorf("--load %g: want a share of capacity above 0 and up to 3", c.Load)
	}
	names := c.Policy
	if len(names) == 0 {
		names = experiment.PrimaryStrategies()
	}
	var options []experiment.Options
	programs := experiment.Workload(&site, c.Load, c.Seed)
	for _, name := range names {
		strategy, err := experiment.StrategyByName(name)
		if err != nil {
			return err
		}
		options = append(options, experiment.Options{
			Site: site, Strategy: strategy, Load: c.Load, Seed: c.Seed, Programs: programs, Calm: c.Calm,
		})
	}
	results, err := runAll(ctx, options)
	if err != nil {
		return err
	}
	if err := printResults(results); err != nil {
		return err
	}
	if c.JSON == "" {
		return nil
	}
	return writeResults(c.JSON, results)
}

// runAll runs experiments, a few at once, and returns their results in order.
func runAll(ctx context.Context, options []experiment.Options) ([]experiment.Result, error) {
	results := make([]experiment.Result, len(options))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(min(comparisonWorkers, runtime.GOMAXPROCS(0)))
	for i := range options {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			results[i] = experiment.Run(options[i])
			return nil
		})
	}
	return results, group.Wait()
}

func printResults(results []experiment.Result) error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := []string{
		"policy", "p50 s", "p95 s", "p99 s", "bound p95", "admitted p95", "wasted", "evicted", "duplicate", "gone",
		"held", "recomputed", "refused", "gave up", "unfinished", "completed", "worst tenant", "stalled",
	}
	fmt.Fprintln(out, strings.Join(header, "\t")+"\t")
	for i := range results {
		r := &results[i]
		fmt.Fprintf(out, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.4f\t\n",
			r.Policy, r.LatencyP50, r.LatencyP95, r.LatencyP99, r.LowerBoundP95, r.AdmittedP95,
			r.WastedCacheShare, r.WastedEvictedShare, r.WastedDuplicateShare, r.WastedGoneShare,
			r.MeanHeld, r.RecomputedTokens, r.Refused, r.GaveUp, r.Unfinished, r.Completed,
			r.WorstTenantSlowdown, r.StalledShare)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "policy\tclass\tturns\tp50 s\tp95 s\tp99 s\tbound p95\t")
	for i := range results {
		for _, class := range results[i].Classes {
			fmt.Fprintf(out, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", results[i].Policy,
				class.Class, class.Turns, class.P50, class.P95, class.P99, class.LowerBoundP95)
		}
	}
	return out.Flush()
}

func writeResults(path string, results []experiment.Result) error {
	content, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	if err := os.WriteFile(path, append(content, '\n'), 0o644); err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	return nil
}
