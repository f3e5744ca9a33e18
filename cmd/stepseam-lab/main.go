// Command stepseam-lab runs the components of a laboratory site other than stepseamd: the
// emulators of the platform and of the back ends, a demonstration over real processes, and
// experiments. It is not part of a production site.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// arguments defines the subcommands.
type arguments struct {
	Log         *logCommand         `arg:"subcommand:log" help:"run a log service stand-in"`
	Machines    *machinesCommand    `arg:"subcommand:machines" help:"run a machine list stand-in"`
	Weights     *weightsCommand     `arg:"subcommand:weights" help:"run a weight store stand-in"`
	Tools       *toolsCommand       `arg:"subcommand:tools" help:"run a tool service stand-in"`
	Engine      *engineCommand      `arg:"subcommand:engine" help:"run a model engine stand-in"`
	Application *applicationCommand `arg:"subcommand:application" help:"run an application replica stand-in"`
	Demo        *demoCommand        `arg:"subcommand:demo" help:"run a whole site as processes through an enrolment"`
	Site        *siteCommand        `arg:"subcommand:site" help:"run the demonstration's site until it is interrupted"`
	Compare     *compareCommand     `arg:"subcommand:compare" help:"run scheduling policies over one workload in virtual time"`
	Replay      *replayCommand      `arg:"subcommand:replay" help:"check traces and replay them over an in-memory site"`
	Report      *reportCommand      `arg:"subcommand:report" help:"plot latency and wasted cache against load"`
	Knowledge   *knowledgeCommand   `arg:"subcommand:knowledge" help:"compare what nodes believed of engines with what their logs show"`
}

// Description returns the description for --help.
func (arguments) Description() string {
	return "Stand-ins, demonstration and experiments of a stepseam laboratory site."
}

// command is one subcommand.
type command interface {
	run(ctx context.Context) error
}

func main() {
	var parsed arguments
	parser := arg.MustParse(&parsed)
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := chosen.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stepseam-lab:", err)
		os.Exit(1)
	}
}
