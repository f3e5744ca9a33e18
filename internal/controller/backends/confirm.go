package backends

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/backend"
)

const (
	// freshFor is how old the last report may be at a dispatch. With the lag of
	// reports added, a back end that left 3 s ago is known to have left.
	freshFor = 2 * time.Second
	// confirmTimeout bounds the report that a dispatch waits for.
	confirmTimeout = 300 * time.Millisecond
)

// confirm makes sure that what is known of a back end is fresh enough for a call
// to be sent there. A back end that gives no report in time is not held back
// here: the call itself will show.
func (c *Controller) confirm(ctx context.Context, address netip.AddrPort) error {
	asked, ask := c.staleTarget(address)
	if ask {
		requestContext, cancel := context.WithTimeout(ctx, confirmTimeout)
		started := time.Now()
		report, err := c.load(requestContext, asked.machine)
		cancel()
		if err != nil {
			return nil
		}
		c.metrics.confirmations.Inc()
		c.afterPoll(asked, report, nil, time.Since(started))
	}
	if c.isLeaving(address) {
		return fmt.Errorf("backends: %s: %w: %w", address, backend.ErrRefused, backend.ErrDraining)
	}
	return nil
}

// staleTarget returns the back end at address, and whether its last report is
// too old. One that has never reported is left alone: it may give no reports.
func (c *Controller) staleTarget(address netip.AddrPort) (target, bool) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, found := c.watched[c.byAddress[address]]
	if !found || known.reported.IsZero() || now.Sub(known.reported) <= freshFor {
		return target{}, false
	}
	return target{name: known.machine.Name, machine: known.machine}, true
}

func (c *Controller) isLeaving(address netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, found := c.watched[c.byAddress[address]]
	return found && known.leaving.at(time.Now(), c.config.LeavingTTL)
}
