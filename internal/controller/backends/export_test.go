package backends

import (
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/siteservices"
)

// Reconcile and Review let benchmarks run single steps of Run.
func (c *Controller) Reconcile(machines []siteservices.Machine) { c.reconcile(machines) }

// Review runs one review.
func (c *Controller) Review() bool { return c.review() }

// Inner returns the directory that the controller was given.
func (c *Controller) Inner() backend.Directory { return c.config.Directory }
