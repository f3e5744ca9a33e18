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
	// reloadInterval is the time between two checks of the settings file, which may change
	// without a signal.
	reloadInterval = 2 * time.Second
	// memoryLimitPercent of the allowed memory is the garbage collector's soft limit.
	memoryLimitPercent = 70
	// gcPercent is below the runtime's default: the live heap is small, so that most of the
	// peak is garbage, and memory is scarcer than processor time.
	gcPercent = 40
)

// Run serves with the settings in file until ctx is canceled or the process receives
// SIGTERM or SIGINT, and returns after a graceful shutdown.
func Run(ctx context.Context, file string, adapter Adapter) error {
	output := asynclog.NewWriter(os.Stdout)
	defer output.Close()
	content, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("routednode: settings: %w", err)
	}
	cfg, err := settings.ParseRouted(file, content)
	if err != nil {
		return err
	}
	logger := newLogger(cfg, output)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.Machine.MemoryMebibytes) * mebibyte * memoryLimitPercent / 100)
	built, err := do.Invoke[*node](newInjector(adapter, cfg, logger))
	if err != nil {
		return fmt.Errorf("routednode: build: %w", err)
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)

	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := built.start(runCtx); err != nil {
		return err
	}
	logger.Info("started", "host", hostname(), "clients", cfg.Addresses.Clients, "store", cfg.Store.Address,
		"partitions", cfg.Store.Partitions, "memory_mebibytes", cfg.Machine.MemoryMebibytes, "grace", cfg.Stop.Grace.String(),
		"key_lease", cfg.Keys.Lease().String(), "limits_way", cfg.Limits.Strategy, "limits_window", cfg.Limits.Window.String(),
		"limits_overage", cfg.Limits.Overage, "limits_slack", cfg.Limits.Slack)
	built.waitForStop(ctx, stops, reloads, &reloader{file: file, content: string(content), node: built})
	built.stop(cancel)
	return nil
}

func newLogger(cfg settings.Routed, output *asynclog.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(cfg.Logging.Level)); err != nil {
		level = slog.LevelInfo // unreachable: ParseRouted validates the level
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewJSONHandler(output, options)
	if cfg.Logging.Format == "text" {
		handler = slog.NewTextHandler(output, options)
	}
	return slog.New(handler).With("node", cfg.Node.Name, "zone", cfg.Node.Zone)
}

// waitForStop returns when a shutdown is requested; until then it reloads the settings.
func (n *node) waitForStop(ctx context.Context, stops, reloads <-chan os.Signal, reload *reloader) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stops:
			return
		case <-reloads:
			reload.reloadIfChanged("signal")
		case <-ticker.C:
			reload.reloadIfChanged("file")
		}
	}
}

// reloader reloads the settings file when its content changes.
type reloader struct {
	file string
	// content is the last content read, valid or not.
	content string
	node    *node
}

func (r *reloader) reloadIfChanged(trigger string) {
	content, err := os.ReadFile(r.file)
	if err != nil {
		r.node.logger.Error("settings not reloaded", "trigger", trigger, "error", err)
		return
	}
	if string(content) == r.content {
		return
	}
	r.content = string(content)
	cfg, err := settings.ParseRouted(r.file, content)
	if err != nil {
		r.node.logger.Error("settings not reloaded, the old ones stay", "trigger", trigger, "error", err)
		return
	}
	before := r.node.settings.Load()
	debug.SetMemoryLimit(int64(cfg.Machine.MemoryMebibytes) * mebibyte * memoryLimitPercent / 100)
	restart := cfg.Node != before.Node || cfg.Addresses != before.Addresses || cfg.Store != before.Store
	r.node.settings.Store(&cfg)
	r.node.logger.Info("settings reloaded", "trigger", trigger, "grace", cfg.Stop.Grace.String(), "some_need_a_restart", restart)
}
