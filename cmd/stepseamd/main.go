// Command stepseamd is a stepseam node.
//
// With the subcommand platform it serves routed requests on the users' platform and reads
// the settings file that the platform's environment names. Without a subcommand it is a
// node of its own site. It reads its settings from a YAML file and from flags, reports all
// findings before it starts, and stops as planned on SIGTERM or SIGINT, or when an operator
// drains it.
//
// Exit codes: 0 after a planned stop, 1 if serving or stopping failed, 2 if the
// settings have findings.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"stepseam.example/stepseam/internal/node"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/platform"
)

// The exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

// arguments are the command line.
type arguments struct {
	settings.Flags
	Platform *platformCommand `arg:"subcommand:platform" help:"serve routed requests on the users' platform"`
}

// platformCommand has no flags. All settings are in the platform's settings file.
type platformCommand struct{}

func main() {
	var given arguments
	arg.MustParse(&given)
	if given.Platform != nil {
		servePlatform()
		return
	}
	flags := given.Flags
	chosen, err := settings.Load(flags)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if flags.Check {
		fmt.Println("settings are valid")
		return
	}
	logger := newLogger(chosen.Logging)
	if err := run(chosen, logger); err != nil {
		logger.Error("stepseamd ended", "error", err)
		os.Exit(exitFailure)
	}
}

func servePlatform() {
	err := platform.Run(context.Background())
	var findings *settings.FindingsError
	switch {
	case errors.As(err, &findings):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(chosen settings.Settings, logger *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon, err := node.BuildDaemon(node.NewInjector(chosen, logger))
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

// newLogger returns a logger to standard error. The level and the format were checked with
// the settings.
func newLogger(logging settings.Logging) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(logging.Level)); err != nil {
		panic(errors.Join(errors.New("stepseamd: checked log level"), err))
	}
	options := &slog.HandlerOptions{Level: level}
	if logging.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
