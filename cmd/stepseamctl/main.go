// Command stepseamctl is the operators' command-line client. It checks, compares and
// publishes the table, shows the state of the site and its programs, drains nodes, and
// explains scheduling decisions. It connects to the operators' address of any node.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// The exit codes. They are part of the interface for scripts.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitFindings    = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnreachable = 6
	exitNotFound    = 7
	exitWaited      = 8
)

// arguments is the command line.
type arguments struct {
	Address []string      `arg:"--address,separate,env:STEPSEAM_ADDRESS" placeholder:"IP:PORT" help:"operators' address of a node; may be repeated, the next one is tried when one does not answer"`
	Output  string        `arg:"--output,-o" default:"table" help:"table or json"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"how long one request may take"`

	Table      *tableCommand      `arg:"subcommand:table" help:"check, compare, publish and show the table"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show nodes, back ends, shards and the versions in force"`
	Program    *programCommand    `arg:"subcommand:program" help:"show, list and cancel programs"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"begin the planned stop of a node"`
	Tenants    *tenantsCommand    `arg:"subcommand:tenants" help:"show tenants' limits and the age of the configuration, at the metrics' address of a node of a platform"`
	Grants     *grantsCommand     `arg:"subcommand:grants" help:"show from the logs of nodes of a platform which allocators granted most tokens of a tenant within a window"`
	Zones      *zonesCommand      `arg:"subcommand:zones" help:"show zones, those that are evacuated, and cold replicas, at the metrics' address of a node of a platform"`
	Quarantine *quarantineCommand `arg:"subcommand:quarantine" help:"show requests under which replicas of a platform have ended, and let one be sent again, at the metrics' address of a node"`
	Nodes      *nodesCommand      `arg:"subcommand:nodes" help:"show what a node of a platform knows of the store and from whom, and what it does for others, at its metrics' address"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"show why a call went where it went"`
}

// Description is the first paragraph of the help text.
func (arguments) Description() string {
	return "stepseamctl drives a stepseam site through the operators' address of any of its nodes."
}

// Epilogue is the last paragraph of the help text.
func (arguments) Epilogue() string {
	return `Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the table has findings, 4 another version won or ids clash,
5 the outcome is unknown, 6 no node answered, 7 not found, 8 waited in vain.`
}

// command is one subcommand without subcommands of its own.
type command interface {
	run(ctx context.Context, s *session) error
}

// failure is an error with an exit code and advice for the operator.
type failure struct {
	code   int
	reason string
	advice string
	// sent is set if a node that did not respond may have received the request.
	sent bool
}

// Error implements error.
func (f *failure) Error() string { return f.reason }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses the command line, runs the subcommand and returns the exit code.
func run(ctx context.Context, line []string, in io.Reader, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "stepseamctl", Out: errOut}, &parsed)
	if err != nil {
		fmt.Fprintln(errOut, "stepseamctl:", err)
		return exitUsage
	}
	err = parser.Parse(line)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...) //nolint:errcheck // the names are the parser's own
		return exitDone
	}
	chosen, ok := parser.Subcommand().(command)
	if err == nil && !ok {
		err = errors.New("a subcommand is missing; see --help")
	}
	if err == nil && parsed.Output != formatTable && parsed.Output != formatJSON {
		err = fmt.Errorf("--output is %q, want table or json", parsed.Output)
	}
	if err != nil {
		fmt.Fprintln(errOut, "stepseamctl:", err)
		return exitUsage
	}
	s := &session{
		client: newClient(parsed.Address, parsed.Timeout), in: in, out: out, errOut: errOut, format: parsed.Output,
	}
	return report(errOut, chosen.run(ctx, s))
}

// report prints an error with its advice and returns the exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(errOut, "stepseamctl:", err)
	var known *failure
	if !errors.As(err, &known) {
		return exitFailed
	}
	if known.advice != "" {
		fmt.Fprintln(errOut, "What to do:", known.advice)
	}
	return known.code
}
