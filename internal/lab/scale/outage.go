package scale

import (
	"context"
	"errors"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wait"
)

// lostZone is killed whole; lostRegion is cut off. Neither holds a seed.
const (
	lostZone   = zoneCount - 1
	lostRegion = identity.Region("region-2")
)

func (r *run) zoneLoss(ctx context.Context) error {
	outage := &r.result.Zone
	before := r.cluster.totals()
	began := time.Now()
	for i := range r.cluster.nodes {
		if zoneOf(i) == lostZone && i >= seedCount {
			outage.LeastMoves += 2 * len(r.cluster.nodes[i].journal.Owned())
			outage.Nodes++
			r.cluster.kill(i)
		}
	}
	if err := r.cluster.await(ctx, "takeover of a zone", settleLimit, r.cluster.settled); err != nil {
		return err
	}
	outage.Served = time.Since(began).Seconds()
	began = time.Now()
	for i := range r.cluster.nodes {
		if r.cluster.nodes[i] == nil {
			if err := r.cluster.start(i); err != nil {
				return err
			}
		}
	}
	err := r.cluster.await(ctx, "return of a zone", settleLimit, r.cluster.settled)
	outage.Settled = time.Since(began).Seconds()
	outage.fill(before, r.cluster.totals(), r.options.Nodes)
	return err
}

// shortestCut is long enough for each side to bury the other.
const shortestCut = 20 * time.Second

// errCutLeaks tells that the cut region learned of the table all the same.
var errCutLeaks = errors.New("scale: the table got over the cut")

func (o *Outage) fill(before, after totals, nodes int) {
	o.Claims, o.Replacements = after.claims-before.claims, after.replacements-before.replacements
	o.Usage = usageBetween(before, after, nodes)
}

func (r *run) regionCut(ctx context.Context) error {
	outage := &r.result.Region
	before := r.cluster.totals()
	var reachable []*hollow
	for _, node := range r.cluster.running() {
		if node.node.Region == lostRegion {
			outage.Nodes++
		} else {
			reachable = append(reachable, node)
		}
	}
	r.cluster.cutOff(lostRegion)
	version, err := r.cluster.publish(ctx, r.cluster.nodes[0], r.newestTable())
	if err == nil {
		err = wait.For(ctx, max(r.options.Window, shortestCut))
	}
	if err == nil {
		err = r.cluster.await(ctx, "the table beside the cut", settleLimit, func() bool { return inForce(reachable, version) })
	}
	if err == nil && inForce(r.cluster.running(), version) {
		err = errCutLeaks
	}
	deaths := r.cluster.totals().deaths
	r.cluster.heal(lostRegion)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := r.cluster.await(ctx, "the table after the cut", settleLimit, func() bool {
		return inForce(r.cluster.running(), version)
	}); err != nil {
		return err
	}
	outage.TableInForce = time.Since(began).Seconds()
	err = r.cluster.await(ctx, "the return of a region", settleLimit, r.cluster.settled)
	outage.Settled = time.Since(began).Seconds()
	after := r.cluster.totals()
	outage.FalseDeaths = after.deaths - deaths
	outage.fill(before, after, r.options.Nodes)
	return err
}
