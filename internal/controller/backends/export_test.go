package backends

import (
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/siteservices"
)

// Reconcile runs one reconciliation.
func (c *Controller) Reconcile(machines []siteservices.Machine) { c.reconcile(machines) }

// Review runs one review.
func (c *Controller) Review() bool { return c.review() }

// Inner returns the configured directory without the observer.
func (c *Controller) Inner() backend.Directory { return c.config.Directory }
