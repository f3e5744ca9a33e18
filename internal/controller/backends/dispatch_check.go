package backends

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/backend"
)

const (
	// maxReportAge is how old the last report may be at a dispatch. Together with
	// the lag of reports it guarantees that no call is sent to a back end that has
	// been leaving for 3 s.
	maxReportAge = 2 * time.Second
	// confirmTimeout bounds the request for a report before a dispatch.
	confirmTimeout = 300 * time.Millisecond
)

// confirm requests a report from a back end whose last one is stale, and returns
// ErrDraining if the back end is leaving. If no report arrives in time the call
// is let through, and its own outcome decides.
func (c *Controller) confirm(ctx context.Context, address netip.AddrPort) error {
	polled, stale := c.staleTarget(address)
	if stale {
		requestContext, cancel := context.WithTimeout(ctx, confirmTimeout)
		started := time.Now()
		report, err := c.load(requestContext, polled.machine)
		cancel()
		if err != nil {
			return nil
		}
		c.metrics.confirmations.Inc()
		c.afterPoll(polled, report, nil, time.Since(started))
	}
	if c.isLeaving(address) {
		return fmt.Errorf("backends: %s: %w: %w", address, backend.ErrRefused, backend.ErrDraining)
	}
	return nil
}

// staleTarget returns the back end at address and true if its last report is
// stale. It returns false for a back end that has never reported, as it may not
// support reports.
func (c *Controller) staleTarget(address netip.AddrPort) (target, bool) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, found := c.states[c.byAddress[address]]
	if !found || state.lastReport.IsZero() || now.Sub(state.lastReport) <= maxReportAge {
		return target{}, false
	}
	return target{name: state.machine.Name, machine: state.machine}, true
}

func (c *Controller) isLeaving(address netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, found := c.states[c.byAddress[address]]
	return found && state.leaving.at(time.Now(), c.config.LeavingTTL)
}
