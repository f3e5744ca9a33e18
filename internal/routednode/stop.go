package routednode

import (
	"context"
	"time"
)

const (
	// settleTime is how long after a stop was asked for new connections may still
	// come, since whoever sends them has to notice first.
	settleTime = 3 * time.Second
	// endMargin is how long before the end of the grace time the process ends.
	endMargin = 400 * time.Millisecond
	// stopPause is the time between two looks at what is still under way.
	stopPause = 20 * time.Millisecond
	// flushTime bounds the writing of the last settlements.
	flushTime = 700 * time.Millisecond
)

// stop ends the node as planned: it is not ready any more, goes on serving while
// connections may still come, closes those that rest and waits for the others.
func (n *node) stop(end context.CancelFunc) {
	began := time.Now()
	grace := n.settings.Load().Stop.Grace
	n.stopping.Store(true)
	n.router.Drain()
	n.homes.Close()
	if n.peers != nil {
		n.peers.announceLeaving()
	}
	n.logger.Info("stop asked for", "grace", grace.String(), "connections", n.connections.Count())
	deadline := began.Add(grace - endMargin)
	sleepUntil(began.Add(min(settleTime, grace/2)))
	// New connections are refused from here on; open ones are not touched.
	closeErr := n.clients.Close()
	left := n.connections.CloseIdle(false)
	for left > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPause)
		left = n.connections.CloseIdle(time.Since(began) > settleTime+time.Second)
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(flushTime, max(time.Until(deadline), stopPause)))
	defer cancel()
	err := n.ledger.Stop(ctx)
	n.logger.Info("stopped", "took_ms", time.Since(began).Milliseconds(), "cut", left, "flush_error", err, "close_error", closeErr)
	end()
}

func sleepUntil(moment time.Time) { time.Sleep(time.Until(moment)) }
