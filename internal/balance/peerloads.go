package balance

import (
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/loads"
)

// peerReport is the last report of another node.
type peerReport struct {
	at     time.Duration
	counts map[loads.ReplicaKey]loads.Load
}

// peerLoads aggregates the load reports of other nodes. The tracker's mutex guards it.
//
// Invariant: sums is the sum of the counts of all nodes, and order contains the arrival of
// each node's last report, oldest first. Arrivals of replaced reports stay in order until
// they expire.
type peerLoads struct {
	nodes map[netip.AddrPort]peerReport
	order []arrival
	sums  map[loads.ReplicaKey]loadSum
	// coverage is the fraction of the other nodes whose reports are included in sums.
	coverage float64
	// at is the time of the last report.
	at time.Duration
}

// arrival is the arrival of a report.
type arrival struct {
	node netip.AddrPort
	at   time.Duration
}

// loadSum is the sum of other nodes' reports on a replica. reporters counts the reporting
// nodes, failing those that report failures.
type loadSum struct {
	inFlight, pendingTokens, failing, reporters int
}

func newPeerLoads() peerLoads {
	return peerLoads{nodes: map[netip.AddrPort]peerReport{}, sums: map[loads.ReplicaKey]loadSum{}, coverage: 1}
}

// set replaces a node's report and drops expired ones. Its cost does not depend on the
// number of nodes.
func (p *peerLoads) set(from netip.AddrPort, counts map[loads.ReplicaKey]loads.Load, coverage float64, now time.Duration) {
	p.coverage, p.at = coverage, now
	p.add(p.nodes[from].counts, -1)
	p.nodes[from] = peerReport{at: now, counts: counts}
	p.order = append(p.order, arrival{node: from, at: now})
	p.add(counts, 1)
	for len(p.order) > 0 && now-p.order[0].at > loads.ReportTTL {
		oldest := p.order[0]
		p.order = p.order[1:]
		if report, found := p.nodes[oldest.node]; found && report.at == oldest.at {
			p.add(report.counts, -1)
			delete(p.nodes, oldest.node)
		}
	}
}

// add adds counts to the sums if direction is 1, or subtracts them if it is -1.
func (p *peerLoads) add(counts map[loads.ReplicaKey]loads.Load, direction int) {
	for key, load := range counts {
		sum := p.sums[key]
		sum.inFlight += direction * load.InFlight
		sum.pendingTokens += direction * load.PendingTokens
		sum.reporters += direction
		if load.Failing {
			sum.failing += direction
		}
		if sum.reporters == 0 {
			delete(p.sums, key)
		} else {
			p.sums[key] = sum
		}
	}
}

// load estimates the load of all other nodes at instance by scaling the current reports up
// to the nodes without one.
func (p *peerLoads) load(instance string, now time.Duration) loads.Load {
	if now-p.at > loads.ReportTTL {
		return loads.Load{}
	}
	sum := p.sums[loads.HashReplica(instance)]
	return loads.Load{
		InFlight: int(float64(sum.inFlight) / p.coverage), PendingTokens: int(float64(sum.pendingTokens) / p.coverage),
		Failing: sum.failing > 0,
	}
}

// OwnLoads returns this node's load at each replica that has any.
func (t *Tracker) OwnLoads(now time.Duration) map[loads.ReplicaKey]loads.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := map[loads.ReplicaKey]loads.Load{}
	for instance, state := range t.replicas {
		if load := state.load(now); load.InFlight > 0 || load.Failing {
			own[loads.HashReplica(instance)] = load
		}
	}
	return own
}

// SetPeerLoad replaces the load reported by another node. coverage is the fraction of the
// other nodes from which reports are received.
func (t *Tracker) SetPeerLoad(from netip.AddrPort, counts map[loads.ReplicaKey]loads.Load, coverage float64, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.peerLoads.set(from, counts, coverage, now)
}
