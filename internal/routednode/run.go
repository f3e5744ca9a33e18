package routednode

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/asynclog"
	"stepseam.example/stepseam/internal/settings"
)

const (
	// reloadPause is the time between two looks at the settings file, which may
	// change without a signal.
	reloadPause = 2 * time.Second
	// memoryLimitPercent of the allowed memory makes the garbage collector work harder.
	memoryLimitPercent = 70
	// garbagePercent of what is in use may be garbage before it is collected, less than
	// usual: a node holds little, so that its peak is mostly garbage, and memory is scarcer
	// than processor time.
	garbagePercent = 40
)

// Run serves with the settings in file until ctx ends or the process is asked to
// stop, and returns after a planned stop.
func Run(ctx context.Context, file string, adapter Adapter) error {
	output := asynclog.NewWriter(os.Stdout)
	defer output.Close()
	content, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("routednode: settings: %w", err)
	}
	chosen, err := settings.ParseRouted(file, content)
	if err != nil {
		return err
	}
	logger := newLogger(chosen, output)
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(chosen.Machine.MemoryMebibytes) * mebibyte * memoryLimitPercent / 100)
	built, err := do.Invoke[*node](newInjector(adapter, chosen, logger))
	if err != nil {
		return fmt.Errorf("routednode: build: %w", err)
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)

	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if err := built.start(life); err != nil {
		return err
	}
	logger.Info("started", "host", hostname(), "clients", chosen.Addresses.Clients, "store", chosen.Store.Address,
		"partitions", chosen.Store.Partitions, "memory_mebibytes", chosen.Machine.MemoryMebibytes, "grace", chosen.Stop.Grace.String(),
		"key_lease", chosen.Keys.Lease().String(), "limits_way", chosen.Limits.Strategy, "limits_window", chosen.Limits.Window.String(),
		"limits_overage", chosen.Limits.Overage, "limits_slack", chosen.Limits.Slack)
	built.wait(ctx, stops, reloads, &reloader{file: file, content: string(content), node: built})
	built.stop(end)
	return nil
}

func newLogger(chosen settings.Routed, output *asynclog.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(chosen.Logging.Level)); err != nil {
		level = slog.LevelInfo // the settings' check has accepted it; nothing else can come here
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewJSONHandler(output, options)
	if chosen.Logging.Format == "text" {
		handler = slog.NewTextHandler(output, options)
	}
	return slog.New(handler).With("node", chosen.Node.Name, "zone", chosen.Node.Zone)
}

// wait returns once a stop is asked for; meanwhile it reloads the settings.
func (n *node) wait(ctx context.Context, stops, reloads <-chan os.Signal, reload *reloader) {
	ticker := time.NewTicker(reloadPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stops:
			return
		case <-reloads:
			reload.look("signal")
		case <-ticker.C:
			reload.look("file")
		}
	}
}

// reloader reads the settings file again when it has changed.
type reloader struct {
	file string
	// content is the last content seen, good or bad.
	content string
	node    *node
}

func (r *reloader) look(trigger string) {
	content, err := os.ReadFile(r.file)
	if err != nil {
		r.node.logger.Error("settings not reloaded", "trigger", trigger, "error", err)
		return
	}
	if string(content) == r.content {
		return
	}
	r.content = string(content)
	chosen, err := settings.ParseRouted(r.file, content)
	if err != nil {
		r.node.logger.Error("settings not reloaded, the old ones stay", "trigger", trigger, "error", err)
		return
	}
	before := r.node.settings.Load()
	debug.SetMemoryLimit(int64(chosen.Machine.MemoryMebibytes) * mebibyte * memoryLimitPercent / 100)
	restart := chosen.Node != before.Node || chosen.Addresses != before.Addresses || chosen.Store != before.Store
	r.node.settings.Store(&chosen)
	r.node.logger.Info("settings reloaded", "trigger", trigger, "grace", chosen.Stop.Grace.String(), "some_need_a_restart", restart)
}
