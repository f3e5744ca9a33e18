package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/lab/scale"
)

// scaleCommand runs hollow nodes to learn what control costs per node.
type scaleCommand struct {
	Nodes    string        `arg:"--nodes" default:"12,48,120,380" help:"sizes of the sites to run, one after the other"`
	Replicas int           `arg:"--replicas" default:"600" help:"back ends that the nodes watch; 0 leaves them out"`
	Shards   int           `arg:"--shards-per-node" default:"4" help:"shards per node; each adds connections, which the limit of open files bounds"`
	Window   time.Duration `arg:"--window" default:"15s" help:"how long quiet and churn are measured each"`
	Events   int           `arg:"--events" default:"3" help:"how many deaths, restarts and table versions are timed each"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of random choices"`
	Limit    time.Duration `arg:"--limit" default:"20m" help:"end with an error after this time"`
	JSON     string        `arg:"--json" help:"also write the figures to this file, as an array of objects"`
	Fit      string        `arg:"--fit" help:"run nothing; print the lines through the figures in this file"`
}

func (c *scaleCommand) run(ctx context.Context) error {
	if c.Fit != "" {
		return printFits(c.Fit)
	}
	sizes, err := parseSizes(c.Nodes)
	if err != nil {
		return err
	}
	if c.Shards < 1 || c.Events < 1 || c.Replicas < 0 || c.Window < time.Second {
		return fmt.Errorf("--shards-per-node and --events must be at least 1, --replicas not negative, --window at least 1s")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	var results []scale.Result
	for _, size := range sizes {
		result, err := scale.Run(ctx, scale.Options{
			Nodes: size, Replicas: c.Replicas, ShardsPerNode: c.Shards, Window: c.Window, Events: c.Events,
			Seed: c.Seed, Fabric: scale.NewLoopback(), Progress: progress(size),
		})
		results = append(results, result)
		if err := errors.Join(err, writeScale(c.JSON, results)); err != nil {
			return err
		}
	}
	if err := scale.PrintResults(os.Stdout, results); err != nil {
		return err
	}
	if len(results) < 2 {
		return nil
	}
	fmt.Println()
	return scale.PrintFits(os.Stdout, results)
}

func progress(size int) func(string) {
	began := time.Now()
	return func(step string) {
		fmt.Fprintf(os.Stderr, "%4d nodes %6.1fs  %s\n", size, time.Since(began).Seconds(), step)
	}
}

// smallestScale leaves nodes to kill beside the seeds in each zone.
const smallestScale = 12

func parseSizes(list string) ([]int, error) {
	var sizes []int
	for _, field := range strings.Split(list, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || size < smallestScale {
			return nil, fmt.Errorf("--nodes: %q is not a number of at least %d", field, smallestScale)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

func printFits(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("--fit: %w", err)
	}
	var results []scale.Result
	if err := json.Unmarshal(content, &results); err != nil {
		return fmt.Errorf("--fit %s: %w", path, err)
	}
	results = slices.DeleteFunc(results, func(r scale.Result) bool { return r.Incomplete != "" })
	if len(results) < 2 {
		return fmt.Errorf("--fit %s: %d whole runs, a line needs two", path, len(results))
	}
	return scale.PrintFits(os.Stdout, results)
}

func writeScale(path string, results []scale.Result) error {
	if path == "" {
		return nil
	}
	content, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	if err := os.WriteFile(path, append(content, '\n'), 0o644); err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	return nil
}
