// Package demo runs the demonstration: a complete site of real processes on one
// machine, an enrolment program through its nodes, the publication of a changed
// table and the graceful shutdown of every node. It verifies the requests that the
// back ends received as well as the answers.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"stepseam.example/stepseam/client"
	"stepseam.example/stepseam/internal/lab/site"
	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/table"
)

// Options configure the demonstration.
type Options struct {
	// Programs is the directory of the executables.
	Programs string
	// Output receives the report of the steps.
	Output io.Writer
	// KeepFiles keeps settings and logs, which are always kept after a failure.
	KeepFiles bool
	// KeepRunning starts the site, publishes its first table and leaves the site running
	// until the context is cancelled. The enrolment is not run.
	KeepRunning bool
}

const (
	// runTimeout bounds the whole demonstration.
	runTimeout = 50 * time.Second
	// stopTimeout bounds the graceful shutdown of one node.
	stopTimeout = 15 * time.Second
	// retryTimeout bounds a client's attempts of one request.
	retryTimeout = 20 * time.Second
)

// demonstration is one run of the demonstration.
type demonstration struct {
	options   Options
	directory string
	site      *site.Site
	// clients has one client per node, which sends to that node only.
	clients []*client.Client
}

// Run runs the demonstration and returns the first failed step or check.
func Run(ctx context.Context, options Options) error {
	if !options.KeepRunning {
		limited, cancel := context.WithTimeout(ctx, runTimeout)
		defer cancel()
		ctx = limited
	}
	directory, err := os.MkdirTemp("", "stepseam-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d := &demonstration{options: options, directory: directory}
	err = d.run(ctx)
	if err != nil || options.KeepFiles {
		d.say("settings and logs are in %s", directory)
	} else {
		_ = os.RemoveAll(directory)
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

func (d *demonstration) say(format string, arguments ...any) {
	fmt.Fprintf(d.options.Output, format+"\n", arguments...)
}

// step is a titled step of the demonstration.
type step struct {
	title string
	run   func(context.Context) error
}

func (d *demonstration) run(ctx context.Context) error {
	defer func() {
		if d.site != nil {
			d.site.Close()
		}
	}()
	steps := []step{
		{"Start the platform, the back ends and the nodes", d.start},
		{"Publish the first table", d.publishFirst},
		{"Run an enrolment program", d.enrol},
		{"Publish a changed table", d.publishChanged},
		{"Stop every node as planned", d.stop},
	}
	if d.options.KeepRunning {
		steps = []step{steps[0], steps[1], {"Leave the site to you", d.keepRunning}, steps[len(steps)-1]}
	}
	began := time.Now()
	for _, step := range steps {
		d.say("\n== %s (%.1f s)", step.title, time.Since(began).Seconds())
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", strings.ToLower(step.title), err)
		}
	}
	d.say("\nAll steps were as they should be, in %.1f s.", time.Since(began).Seconds())
	return nil
}

// keepRunning reports the addresses of the nodes and waits until the context is cancelled.
func (d *demonstration) keepRunning(ctx context.Context) error {
	for _, node := range d.site.Nodes {
		d.say("%s: callers at %s, operators at %s", node.Name, node.CallersURL(), node.OperatorsURL())
	}
	d.say("class %s, model %s, application %s; the table is in %s", className, modelName, applicationService, d.directory)
	d.say("Interrupt (Ctrl-C) stops the site.")
	<-ctx.Done()
	return nil
}

func (d *demonstration) start(ctx context.Context) error {
	programs, err := filepath.Abs(d.options.Programs)
	if err != nil {
		return err
	}
	started, err := site.Start(ctx, sitePlan(programs, d.directory))
	if err != nil {
		return err
	}
	d.site = started
	for _, service := range []*site.Emulator{started.LogService, started.MachineList, started.WeightStore, started.Tools} {
		d.say("%-22s process %-8d %s", service.Name(), service.ID(), service.Address)
	}
	for _, backend := range append(append([]*site.Emulator{}, started.Engines...), started.Applications...) {
		d.say("%-22s process %-8d %s", backend.Name(), backend.ID(), backend.Address)
	}
	for _, node := range started.Nodes {
		d.say("%-22s process %-8d %s in zone %s", node.Name, node.ID(), node.Addresses.Callers, node.Zone)
		caller, err := client.New(client.Options{Nodes: []string{node.Addresses.Callers.String()}, Patience: retryTimeout})
		if err != nil {
			return err
		}
		d.clients = append(d.clients, caller)
	}
	return nil
}

// operate runs stepseamctl against all nodes and reports its output.
func (d *demonstration) operate(ctx context.Context, arguments ...string) error {
	line := []string{}
	for _, node := range d.site.Nodes {
		line = append(line, "--address", node.Addresses.Operators.String())
	}
	program := filepath.Join(d.options.Programs, site.OperatorProgram)
	command := exec.CommandContext(ctx, program, append(line, arguments...)...)
	output, err := command.CombinedOutput()
	d.say("$ %s %s", site.OperatorProgram, strings.Join(arguments, " "))
	for _, text := range strings.Split(strings.TrimRight(string(output), "\n"), "\n") {
		d.say("  %s", text)
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", site.OperatorProgram, arguments[0], err)
	}
	return nil
}

func (d *demonstration) publishFirst(ctx context.Context) error {
	if err := d.publish(ctx, "table-1.csv", firstBudget, 0); err != nil {
		return err
	}
	return d.site.AwaitReady(ctx)
}

// publish publishes the table with budget as the successor of base and checks that
// it is in force on every node.
func (d *demonstration) publish(ctx context.Context, file, budget string, base table.Version) error {
	path, err := writeTable(d.directory, file, budget)
	if err != nil {
		return err
	}
	if err := d.operate(ctx, "table", "check", path); err != nil {
		return err
	}
	err = d.operate(ctx, "table", "publish", "--base", fmt.Sprint(base), "--author", "marta", "--wait", path)
	if err != nil {
		return err
	}
	for _, node := range d.site.Nodes {
		var shown operator.Table
		if err := d.site.GetOperators(ctx, node, "/v1/table", &shown); err != nil {
			return err
		}
		if shown.InForce != base+1 || !strings.Contains(shown.CSV, budget) {
			return fmt.Errorf("%s has version %d in force, want %d with a budget of %s", node.Name, shown.InForce, base+1, budget)
		}
		d.say("%s says: version %d is in force", node.Name, shown.InForce)
	}
	return nil
}

// publishChanged publishes a second version and checks, with a new program through
// each node, that its budget applies.
func (d *demonstration) publishChanged(ctx context.Context) error {
	if err := d.publish(ctx, "table-2.csv", changedBudget, 1); err != nil {
		return err
	}
	for i, caller := range d.clients {
		program, err := caller.CreateProgram(ctx, programRequest())
		if err != nil {
			return err
		}
		if fmt.Sprint(program.Budget) != changedBudget {
			return fmt.Errorf("a new program through %s has a budget of %d, want %s", d.site.Nodes[i].Name, program.Budget, changedBudget)
		}
		if _, err := caller.EndProgram(ctx, program.ID); err != nil {
			return err
		}
		d.say("a new program through %s may spend %d tokens", d.site.Nodes[i].Name, program.Budget)
	}
	return d.operate(ctx, "status")
}

func (d *demonstration) stop(context.Context) error {
	for _, node := range d.site.Nodes {
		began := time.Now()
		if err := node.Stop(stopTimeout); err != nil {
			return err
		}
		d.say("%s stopped in %.1f s", node.Name, time.Since(began).Seconds())
	}
	return nil
}
