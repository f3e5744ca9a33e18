package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"stepseam.example/stepseam/internal/lab/experiment"
)

// comparisonWorkers is the maximum number of concurrent runs.
const comparisonWorkers = 4

// compareCommand runs scheduling policies over one workload in virtual time.
type compareCommand struct {
	Site   string   `arg:"--site" help:"quito or haldane"`
	Load   float64  `arg:"--load" default:"0.9" help:"offered load as a share of capacity"`
	Seed   uint64   `arg:"--seed" default:"1" help:"seed of workload and signals; the same one gives the same figures"`
	Policy []string `arg:"--policy,separate" help:"policy to run, may be repeated; without it the baselines and stepseam"`
	Calm   bool     `arg:"--calm" help:"no lost and no slow engine in the middle of the run"`
	Record string   `arg:"--record" help:"also write the programs to this file, as a trace"`
	Replay string   `arg:"--replay" help:"run the programs of this trace instead, and check its stated outcomes"`
	JSON   string   `arg:"--json" help:"also write the figures to this file, as an array of objects"`
}

func (c *compareCommand) run(ctx context.Context) error {
	trace, base, err := c.workload()
	if err != nil {
		return err
	}
	var options []experiment.Options
	for _, name := range orDefault(c.Policy, experiment.PrimaryStrategies()...) {
		strategy, err := experiment.StrategyByName(name)
		if err != nil {
			return err
		}
		run := base
		run.Strategy = strategy
		options = append(options, run)
	}
	results, err := runAll(ctx, options)
	if err != nil {
		return err
	}
	if err := printResults(results); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeResults(c.JSON, results); err != nil {
			return err
		}
	}
	return checkOutcomes(trace, results)
}

// workload generates the programs, or reads them from a trace.
func (c *compareCommand) workload() (*experiment.Trace, experiment.Options, error) {
	if c.Replay != "" {
		return readTrace(c.Replay)
	}
	site, err := experiment.SiteByName(c.Site)
	if err != nil {
		return nil, experiment.Options{}, err
	}
	if c.Load <= 0 || c.Load > 3 {
		return nil, experiment.Options{}, fmt.Errorf("--load %g: want a share of capacity above 0 and up to 3", c.Load)
	}
	options := experiment.Options{
		Site: site, Load: c.Load, Seed: c.Seed, NoFaults: c.Calm, Programs: experiment.Workload(&site, c.Load, c.Seed),
	}
	trace := &experiment.Trace{
		Site: experiment.TraceSite{
			Name: site.Name, Duration: site.Duration, Warmup: site.Warmup, Load: c.Load, Seed: c.Seed, NoFaults: c.Calm,
		},
		Programs: options.Programs,
	}
	if c.Record != "" {
		err = writeTrace(c.Record, trace)
	}
	return trace, options, err
}

func readTrace(path string) (*experiment.Trace, experiment.Options, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, experiment.Options{}, fmt.Errorf("trace: %w", err)
	}
	defer file.Close()
	trace, err := experiment.ReadTrace(file)
	if err != nil {
		return nil, experiment.Options{}, fmt.Errorf("%s: %w", path, err)
	}
	options, err := trace.Options(experiment.Strategy{})
	return trace, options, err
}

func writeTrace(path string, trace *experiment.Trace) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	out := bufio.NewWriter(file)
	return errors.Join(trace.Write(out), out.Flush(), file.Close())
}

// checkOutcomes compares the results with the outcomes that the trace states for their policies.
func checkOutcomes(trace *experiment.Trace, results []experiment.Result) error {
	var faults []error
	for i := range results {
		for _, outcome := range trace.Outcomes {
			if outcome.Policy == results[i].Policy {
				faults = append(faults, outcome.Check(&results[i]))
			}
		}
	}
	return errors.Join(faults...)
}

// runAll runs experiments with up to comparisonWorkers at once and returns their results in
// the order of options.
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
			r.WastedCacheShare, r.WastedEvictedShare, r.WastedDuplicateShare, r.WastedAfterEndShare,
			r.MeanCacheUse, r.RecomputedTokens, r.Refused, r.AbandonedPrograms, r.Unfinished, r.Completed,
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
