package models

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling/modelplacement"
)

// fenceSubject is the key of refused fences in engineState.refused.
const fenceSubject = "fence"

// counterBits is the number of low bits of a fence for the counter of orders
// within an epoch.
const counterBits = 32

// Fence returns the fence of an owner's order. Fences of a later epoch exceed all
// fences of an earlier one.
func Fence(epoch identity.Epoch, counter uint32) uint64 {
	return uint64(epoch)<<counterBits | uint64(counter)
}

// pendingOrder is an order of this node. It is guarded by the controller's mutex.
type pendingOrder struct {
	order  backend.Order
	reason string
	began  time.Time
	// doneAt is when the engine confirmed the order, zero before.
	doneAt time.Time
}

// reflectedIn reports whether report includes the effect of the order, or
// reportTimeout has elapsed since its completion.
func (p *pendingOrder) reflectedIn(now time.Time, report backend.LoadReport) bool {
	return !p.doneAt.IsZero() && (report.Fence >= p.order.Fence || now.Sub(p.doneAt) > reportTimeout)
}

// nextFence returns a fence in this epoch that exceeds all earlier ones.
func (c *Controller) nextFence(epoch identity.Epoch) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counter++
	if c.config.Hooks.Fence != nil {
		return c.config.Hooks.Fence(epoch, c.counter)
	}
	return Fence(epoch, c.counter)
}

// unfenced returns the schedulable engines whose reports do not show the epoch's
// fence yet.
func (c *Controller) unfenced(now time.Time, epoch identity.Epoch, names []string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found []string
	for _, name := range names {
		if state := c.engines[name]; state.schedulable(now) && state.report.Fence < Fence(epoch, 0) {
			found = append(found, name)
		}
	}
	return found
}

// raiseFence raises the fence at the engines, except those with a pending order or
// with an attempt within fenceRetryInterval.
func (c *Controller) raiseFence(ctx context.Context, service string, epoch identity.Epoch, names []string) {
	now := time.Now()
	c.mutex.Lock()
	names = slices.DeleteFunc(names, func(name string) bool {
		state := c.engines[name]
		skip := state.pending != nil || now.Sub(state.fenceSentAt) < fenceRetryInterval
		if !skip {
			state.fenceSentAt = now
		}
		return skip
	})
	c.mutex.Unlock()
	c.forEach(names, func(name string) {
		engine, known := c.client(name)
		if !known {
			return
		}
		order := backend.Order{Kind: backend.OrderFence, Fence: c.nextFence(epoch)}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		if ownedEpoch, err := c.config.OwnedEpoch(Shard(service, c.config.ShardCount)); err != nil || ownedEpoch != epoch {
			return
		}
		err := engine.Order(ctx, order)
		c.metrics.count(order.Kind, err)
		if c.recordFenceAttempt(name, err) || errors.Is(err, backend.ErrRefused) {
			c.markRefused(name, fenceSubject)
		}
		if err != nil {
			c.config.Logger.Warn("engine did not accept the fence", "engine", name, "epoch", epoch, "error", err)
		}
	})
}

// recordFenceAttempt counts failed attempts, as of an engine that does not support
// orders, and reports whether maxFenceAttempts is reached.
func (c *Controller) recordFenceAttempt(engine string, err error) (exhausted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.engines[engine]
	if state == nil || err == nil {
		return false
	}
	state.unansweredFences++
	if state.unansweredFences < maxFenceAttempts {
		return false
	}
	state.unansweredFences = 0
	return true
}

func (c *Controller) markRefused(engine, subject string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state := c.engines[engine]; state != nil {
		state.refused[subject] = time.Now().Add(refusalTTL)
	}
}

// startOrder records an order as pending and executes it in the background.
func (c *Controller) startOrder(ctx context.Context, service string, epoch identity.Epoch, next modelplacement.Order) {
	pending := &pendingOrder{
		order: backend.Order{Kind: next.Kind, Subject: next.Subject, Version: next.Version, Fence: c.nextFence(epoch)},
		began: time.Now(), reason: next.Reason,
	}
	c.mutex.Lock()
	state := c.engines[next.Engine]
	if state == nil || state.pending != nil {
		c.mutex.Unlock()
		return
	}
	state.pending = pending
	c.mutex.Unlock()
	c.config.Logger.Info("sending order to engine", "service", service, "engine", next.Engine, "kind", next.Kind,
		"subject", next.Subject, "version", next.Version, "fence", pending.order.Fence, "reason", next.Reason)
	c.orders.Go(func() { c.executeOrder(ctx, service, epoch, next.Engine, pending) })
}

// executeOrder retries an order with the same fence until its outcome is known,
// this node no longer owns the service, the engine is no longer available, or
// orderTimeout has elapsed.
func (c *Controller) executeOrder(ctx context.Context, service string, epoch identity.Epoch, name string, pending *pendingOrder) {
	logger := c.config.Logger.With("service", service, "engine", name, "kind", pending.order.Kind,
		"subject", pending.order.Subject, "fence", pending.order.Fence)
	for {
		err := c.send(ctx, service, epoch, name, pending.order)
		c.metrics.count(pending.order.Kind, err)
		switch {
		case err == nil:
			c.confirmOrder(name, pending)
			logger.Info("order completed", "took", time.Since(pending.began))
			return
		case errors.Is(err, errNotOwner), errors.Is(err, backend.ErrStaleFence):
			logger.Warn("order abandoned, another node owns the service", "error", err)
			c.dropPending(name, pending)
			return
		case errors.Is(err, backend.ErrRefused):
			logger.Warn("engine refused order", "error", err)
			c.markRefused(name, pending.order.Subject)
			c.dropPending(name, pending)
			return
		}
		if ctx.Err() != nil || time.Since(pending.began) > orderTimeout || !c.isAvailable(name) {
			logger.Warn("order abandoned", "error", err)
			c.dropPending(name, pending)
			return
		}
		logger.Info("retrying order, its outcome is unknown", "error", err)
		select {
		case <-time.After(orderRetryInterval):
		case <-ctx.Done():
		}
	}
}

// errNotOwner is returned if this node no longer owns the service's shard in the
// epoch of the order.
var errNotOwner = errors.New("models: this node does not own the service's shard")

// send checks the lease and immediately sends the order.
func (c *Controller) send(ctx context.Context, service string, epoch identity.Epoch, name string, order backend.Order) error {
	engine, known := c.client(name)
	if !known {
		return backend.ErrNotDelivered
	}
	ownedEpoch, err := c.config.OwnedEpoch(Shard(service, c.config.ShardCount))
	if err != nil {
		return errors.Join(errNotOwner, err)
	}
	// A later epoch may be this node's own, but another node may have acted in
	// between. The next reconciliation makes a new plan.
	if ownedEpoch != epoch {
		return fmt.Errorf("%w in epoch %d, it owns it in epoch %d", errNotOwner, epoch, ownedEpoch)
	}
	return engine.Order(ctx, order)
}

// isAvailable reports whether the engine is known and available.
func (c *Controller) isAvailable(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.engines[name]
	return state != nil && state.available(time.Now())
}

func (c *Controller) dropPending(name string, pending *pendingOrder) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state := c.engines[name]; state != nil && state.pending == pending {
		state.pending = nil
	}
}

// confirmOrder records that the engine completed the order, which stays pending
// until a report reflects it.
func (c *Controller) confirmOrder(name string, pending *pendingOrder) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending.doneAt = time.Now()
	state := c.engines[name]
	if state == nil {
		return
	}
	switch pending.order.Kind {
	case backend.OrderLoadModel:
		state.assumedModels[pending.order.Subject] = pending.order.Version
	case backend.OrderLoadAdapter:
		state.assumedAdapters[pending.order.Subject] = pending.order.Version
	}
}
