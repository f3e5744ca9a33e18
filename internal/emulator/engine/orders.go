package engine

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/backend"
)

// Order implements backend.Engine. The fence is checked and recorded first, then the load
// takes its time, then the change becomes visible. A repeated order waits for the first
// one and changes nothing.
func (e *Engine) Order(ctx context.Context, order backend.Order) error {
	accepted, err := deliver(ctx, e, func() (acceptance, error) {
		loaded, err := e.acceptOrder(order)
		return acceptance{loaded: loaded, broken: e.broken}, err
	})
	if err != nil {
		return fmt.Errorf("engine %s: order %s %s: %w", e.parameters.Name, order.Kind, order.Subject, err)
	}
	if accepted.loaded == nil {
		return nil
	}
	select {
	case <-accepted.loaded:
		return nil
	case <-accepted.broken:
		return fmt.Errorf("engine %s: order: %w", e.parameters.Name, backend.ErrOutcomeUnknown)
	case <-ctx.Done():
		return fmt.Errorf("engine %s: order: %w: %w", e.parameters.Name, backend.ErrOutcomeUnknown, ctx.Err())
	}
}

// acceptance is an accepted order: loaded is closed once it is done and is nil if it is
// done already.
type acceptance struct {
	loaded <-chan struct{}
	broken <-chan struct{}
}

// orderSubject identifies what an order changes: a model, an adapter or the role.
func orderSubject(order backend.Order) string {
	switch order.Kind {
	case backend.OrderLoadAdapter:
		return "adapter " + order.Subject
	case backend.OrderSetRole:
		return "role"
	case backend.OrderFence:
		return "fence"
	default:
		return "model " + order.Subject
	}
}

// acceptOrder checks the fence and starts the order. The channel is closed when a load is
// done; nil means that there is nothing to wait for.
func (e *Engine) acceptOrder(order backend.Order) (<-chan struct{}, error) {
	record := OrderRecord{Order: order, At: time.Now()}
	defer func() { e.record.order(record) }()
	if order.Fence < e.fence {
		return nil, fmt.Errorf("%w: %d is below %d", backend.ErrStaleFence, order.Fence, e.fence)
	}
	subject := orderSubject(order)
	if e.latest[subject] == order {
		return e.loading[order], nil
	}
	duration, err := e.orderTime(order)
	if err != nil {
		return nil, err
	}
	record.Done = true
	e.fence = order.Fence
	e.latest[subject] = order
	if duration == 0 {
		e.applyOrder(order)
		return nil, nil
	}
	loaded := make(chan struct{})
	e.loading[order] = loaded
	e.noteLoad()
	// The load continues even if the sender of the order stops waiting.
	go e.load(order, duration, e.incarnation, loaded)
	return loaded, nil
}

func (e *Engine) orderTime(order backend.Order) (time.Duration, error) {
	switch order.Kind {
	case backend.OrderLoadModel:
		if version, loaded := e.models[order.Subject]; loaded && version == order.Version {
			return 0, nil
		}
		return e.parameters.Timing.ModelLoadTime, nil
	case backend.OrderLoadAdapter:
		if version, loaded := e.adapters[order.Subject]; loaded && version == order.Version {
			return 0, nil
		}
		return e.parameters.Timing.AdapterLoadTime, nil
	case backend.OrderUnloadModel, backend.OrderSetRole, backend.OrderFence:
		return 0, nil
	default:
		return 0, fmt.Errorf("%w: unknown kind of order %q", backend.ErrRefused, order.Kind)
	}
}

// load waits for a load and applies it, unless a later order for the same subject or a
// restart came first.
func (e *Engine) load(order backend.Order, duration time.Duration, incarnation <-chan struct{}, loaded chan<- struct{}) {
	defer close(loaded)
	if !sleep(incarnation, duration) || !e.awaitThaw(incarnation) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if over(incarnation) {
		return
	}
	delete(e.loading, order)
	e.noteLoad()
	if e.latest[orderSubject(order)] == order {
		e.applyOrder(order)
	}
}

func (e *Engine) applyOrder(order backend.Order) {
	switch order.Kind {
	case backend.OrderLoadModel:
		e.models[order.Subject] = order.Version
	case backend.OrderUnloadModel:
		delete(e.models, order.Subject)
	case backend.OrderLoadAdapter:
		e.adapters[order.Subject] = order.Version
	case backend.OrderSetRole:
		e.role = order.Subject
	case backend.OrderFence: // the fence was recorded with the order
	}
	e.noteNames()
	e.noteLoad()
}

// loadsUnderWay lists the loads in progress, in a fixed order.
func (e *Engine) loadsUnderWay() []backend.Order {
	var orders []backend.Order
	for order := range e.loading {
		if e.latest[orderSubject(order)] == order {
			orders = append(orders, order)
		}
	}
	slices.SortFunc(orders, func(a, b backend.Order) int { return cmp.Compare(a.Fence, b.Fence) })
	return orders
}

// knownVersions copies the versions that orders set.
func knownVersions(loaded map[string]string) map[string]string {
	known := map[string]string{}
	for name, version := range loaded {
		if version != "" {
			known[name] = version
		}
	}
	return known
}
