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

// fenceSubject keys refusals of the fence itself.
const fenceSubject = "fence"

// counterBits is the part of a fence that counts one epoch's orders.
const counterBits = 32

// Fence returns the fence of an owner's order: a later epoch is above all
// orders of an earlier one.
func Fence(epoch identity.Epoch, counter uint32) uint64 {
	return uint64(epoch)<<counterBits | uint64(counter)
}

// pendingOrder is an order of this node, guarded by the controller's mutex.
type pendingOrder struct {
	order  backend.Order
	reason string
	began  time.Time
	// doneAt is when the engine confirmed it, zero before.
	doneAt time.Time
}

// settled tells that report is no older than the order's effect.
func (p *pendingOrder) settled(now time.Time, report backend.LoadReport) bool {
	return !p.doneAt.IsZero() && (report.Fence >= p.order.Fence || now.Sub(p.doneAt) > reportLimit)
}

// nextFence returns a fence of this epoch above all before it.
func (c *Controller) nextFence(epoch identity.Epoch) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counter++
	if c.config.Hooks.Fence != nil {
		return c.config.Hooks.Fence(epoch, c.counter)
	}
	return Fence(epoch, c.counter)
}

// unfenced are the usable engines whose reports do not show the epoch's fence yet.
func (c *Controller) unfenced(now time.Time, epoch identity.Epoch, names []string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found []string
	for _, name := range names {
		if state := c.engines[name]; state.usable(now) && state.report.Fence < Fence(epoch, 0) {
			found = append(found, name)
		}
	}
	return found
}

// fence raises the fence at engines that were not asked just now.
func (c *Controller) fence(ctx context.Context, service string, epoch identity.Epoch, names []string) {
	now := time.Now()
	c.mutex.Lock()
	names = slices.DeleteFunc(names, func(name string) bool {
		state := c.engines[name]
		asked := state.pending != nil || now.Sub(state.fencedAt) < fenceRetry
		if !asked {
			state.fencedAt = now
		}
		return asked
	})
	c.mutex.Unlock()
	c.each(names, func(name string) {
		engine, known := c.client(name)
		if !known {
			return
		}
		order := backend.Order{Kind: backend.OrderFence, Fence: c.nextFence(epoch)}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		if held, err := c.config.OwnedEpoch(Shard(service, c.config.ShardCount)); err != nil || held != epoch {
			return
		}
		err := engine.Order(ctx, order)
		c.metrics.count(order.Kind, err)
		if c.noteFence(name, err) || errors.Is(err, backend.ErrRefused) {
			c.refuse(name, fenceSubject)
		}
		if err != nil {
			c.config.Logger.Warn("an engine did not take the fence", "engine", name, "epoch", epoch, "error", err)
		}
	})
}

// noteFence counts the tries that an engine left without an answer, as one that
// knows no orders does, and tells that it should be passed over.
func (c *Controller) noteFence(engine string, err error) (passOver bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.engines[engine]
	if state == nil || err == nil {
		return false
	}
	state.fenceFailures++
	if state.fenceFailures < fenceTries {
		return false
	}
	state.fenceFailures = 0
	return true
}

func (c *Controller) refuse(engine, subject string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state := c.engines[engine]; state != nil {
		state.refused[subject] = time.Now().Add(refusedFor)
	}
}

// begin sends one order and follows it in the background.
func (c *Controller) begin(ctx context.Context, service string, epoch identity.Epoch, next modelplacement.Order) {
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
	c.config.Logger.Info("order", "service", service, "engine", next.Engine, "kind", next.Kind,
		"subject", next.Subject, "version", next.Version, "fence", pending.order.Fence, "reason", next.Reason)
	c.orders.Go(func() { c.carryOut(ctx, service, epoch, next.Engine, pending) })
}

// carryOut repeats an order with the same fence until its outcome is known, the
// service is another node's, or the engine counts no more.
func (c *Controller) carryOut(ctx context.Context, service string, epoch identity.Epoch, name string, pending *pendingOrder) {
	logger := c.config.Logger.With("service", service, "engine", name, "kind", pending.order.Kind,
		"subject", pending.order.Subject, "fence", pending.order.Fence)
	for {
		err := c.send(ctx, service, epoch, name, pending.order)
		c.metrics.count(pending.order.Kind, err)
		switch {
		case err == nil:
			c.confirm(name, pending)
			logger.Info("order done", "took", time.Since(pending.began))
			return
		case errors.Is(err, errNotHeld), errors.Is(err, backend.ErrStaleFence):
			logger.Warn("order given up, another owner acts", "error", err)
			c.drop(name, pending)
			return
		case errors.Is(err, backend.ErrRefused):
			logger.Warn("order refused", "error", err)
			c.refuse(name, pending.order.Subject)
			c.drop(name, pending)
			return
		}
		if ctx.Err() != nil || time.Since(pending.began) > orderLimit || !c.counts(name) {
			logger.Warn("order given up", "error", err)
			c.drop(name, pending)
			return
		}
		logger.Info("order is repeated, its answer did not come", "error", err)
		select {
		case <-time.After(orderRetry):
		case <-ctx.Done():
		}
	}
}

// errNotHeld tells that this node does not act for the service any more.
var errNotHeld = errors.New("models: the service's shard is not held")

// send checks the lease and sends the order, with nothing in between.
func (c *Controller) send(ctx context.Context, service string, epoch identity.Epoch, name string, order backend.Order) error {
	engine, known := c.client(name)
	if !known {
		return backend.ErrNotDelivered
	}
	held, err := c.config.OwnedEpoch(Shard(service, c.config.ShardCount))
	if err != nil {
		return errors.Join(errNotHeld, err)
	}
	// An epoch above the order's may be this node's own, after another one acted:
	// the next look makes a plan of it.
	if held != epoch {
		return fmt.Errorf("%w in epoch %d but in %d", errNotHeld, epoch, held)
	}
	return engine.Order(ctx, order)
}

// counts tells that the engine's replicas count still.
func (c *Controller) counts(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.engines[name]
	return state != nil && state.counted(time.Now())
}

func (c *Controller) drop(name string, pending *pendingOrder) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state := c.engines[name]; state != nil && state.pending == pending {
		state.pending = nil
	}
}

// confirm keeps the order as pending until a report shows it.
func (c *Controller) confirm(name string, pending *pendingOrder) {
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
