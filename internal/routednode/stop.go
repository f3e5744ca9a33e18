package routednode

import (
	"context"
	"time"
)

const (
	// acceptPeriod is how long new connections are accepted after a shutdown begins, since
	// senders need time to notice it.
	acceptPeriod = 3 * time.Second
	// exitMargin is how long before the end of the grace period the process exits.
	exitMargin = 400 * time.Millisecond
	// responseMargin is how long before that requests without a response are answered with a status.
	responseMargin = 100 * time.Millisecond
	// minFlushTimeout is the flush's timeout once the deadline has passed.
	minFlushTimeout = 20 * time.Millisecond
	// flushTimeout is the timeout for writing the last settlements.
	flushTimeout = 700 * time.Millisecond
)

// stop shuts the node down gracefully: it reports not ready, serves requests while clients
// may still connect, closes idle connections and waits for the others.
func (n *node) stop(cancelRun context.CancelFunc) {
	began := time.Now()
	grace := n.settings.Load().Stop.Grace
	n.stopping.Store(true)
	n.router.Drain()
	n.coordinator.Close()
	if n.peers != nil {
		n.peers.announceLeaving()
	}
	n.origins.Close()
	n.quarantine.Close()
	n.logger.Info("shutdown requested", "grace", grace.String(), "connections", n.connections.Count())
	deadline := began.Add(grace - exitMargin)
	sleepUntil(began.Add(min(acceptPeriod, grace/2)))
	// New connections are refused from here on; open ones continue.
	closeErr := n.clientListener.Close()
	left := n.awaitConnections(began, deadline.Add(-responseMargin))
	if left > 0 {
		n.router.EndCalls()
		left = n.awaitConnections(began, deadline)
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(flushTimeout, max(time.Until(deadline), minFlushTimeout)))
	defer cancel()
	err := n.ledger.Stop(ctx)
	n.limits.Close(context.Background())
	n.quarantine.HandOver()
	n.logger.Info("stopped", "took_ms", time.Since(began).Milliseconds(), "cut", left, "flush_error", err, "close_error", closeErr)
	cancelRun()
}

// awaitConnections closes idle connections until none is open or the deadline has passed. It returns
// the number of connections that are open.
func (n *node) awaitConnections(began, deadline time.Time) int {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return n.connections.Drain(ctx, began.Add(acceptPeriod+time.Second))
}

func sleepUntil(moment time.Time) { time.Sleep(time.Until(moment)) }
