// Package machines reads the platform's machine list into the blackboard.
//
// The list is a hint and may be stale. While it cannot be read, the last one
// stays on the board: an unavailable platform must not look like a site without
// machines.
package machines

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/siteservices"
)

// Config configures a Controller.
type Config struct {
	List  siteservices.MachineList
	Board *blackboard.Board
	// Interval is the time between two reads.
	Interval time.Duration
	Logger   *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
}

// Controller is the only writer of Board.Machines.
type Controller struct {
	config Config
	// unavailable and findings are used by Run's goroutine only. They record what
	// was logged last, so that an outage is logged once and not at each read.
	unavailable bool
	findings    []api.Finding
	lastRead    prometheus.Gauge
	failures    prometheus.Counter
}

// New returns a controller. Call Run to start it.
func New(config Config) *Controller {
	controller := &Controller{
		config: config,
		lastRead: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "stepseam_machine_list_read_timestamp_seconds",
			Help: "Unix time of the last successful read of the machine list.",
		}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_machine_list_failures_total",
			Help: "Reads of the machine list that failed.",
		}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(controller.lastRead, controller.failures)
	}
	return controller
}

// Run reads the list at each interval until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.config.Interval)
	defer ticker.Stop()
	for {
		c.read(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// read reads the list once and stores it on the board if it has changed.
func (c *Controller) read(ctx context.Context) {
	machines, err := c.config.List.Machines(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.failures.Inc()
		if !c.unavailable {
			c.config.Logger.Warn("machine list is unavailable; using the last one", "error", err)
		}
		c.unavailable = true
		return
	}
	if c.unavailable {
		c.config.Logger.Info("machine list is available again")
	}
	c.unavailable = false
	c.lastRead.SetToCurrentTime()
	valid, findings := Check(machines)
	if len(findings) > 0 && !slices.Equal(findings, c.findings) {
		c.config.Logger.Warn("ignoring invalid rows of the machine list", "findings", findings)
	}
	c.findings = findings
	if !slices.Equal(valid, c.config.Board.Machines.Load()) {
		c.config.Board.Machines.Store(valid)
	}
}

// Check returns the valid rows of a machine list, in order, and the findings about
// the others.
func Check(machines []siteservices.Machine) ([]siteservices.Machine, []api.Finding) {
	valid := make([]siteservices.Machine, 0, len(machines))
	names := make(map[string]bool, len(machines))
	var findings []api.Finding
	for row, machine := range machines {
		place := fmt.Sprintf("machines[%d]", row)
		found := checkRow(place, machine)
		if names[machine.Name] {
			found = append(found, api.Finding{Place: place + ".name", Message: fmt.Sprintf("%q is listed twice", machine.Name)})
		}
		names[machine.Name] = true
		findings = append(findings, found...)
		if len(found) == 0 {
			valid = append(valid, machine)
		}
	}
	return valid, findings
}

func checkRow(place string, machine siteservices.Machine) []api.Finding {
	var findings []api.Finding
	add := func(field, message string) {
		findings = append(findings, api.Finding{Place: place + "." + field, Message: message})
	}
	if machine.Name == "" {
		add("name", "is empty")
	}
	switch machine.Role {
	case siteservices.RoleNode:
		if !machine.ProbeAddress.IsValid() {
			add("probe_address", "is missing, a node needs one")
		}
	case siteservices.RoleEngine, siteservices.RoleApplication:
	default:
		add("role", fmt.Sprintf("%q is none of node, engine and application", machine.Role))
	}
	if machine.State != siteservices.MachineLive && machine.State != siteservices.MachineLeaving {
		add("state", fmt.Sprintf("%q is neither live nor leaving", machine.State))
	}
	if !machine.Address.IsValid() {
		add("address", "is missing")
	}
	return findings
}
