package aggregator

import (
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/outlier"
)

// outcomeReport reports the outcome of one request at a replica. A lost datagram only means
// that the aggregator decides on fewer outcomes.
type outcomeReport struct {
	key ReplicaKey
	// result is the outcome, baseline the failure rate of the service's replicas as learned
	// by the reporting node.
	result   outlier.Outcome
	baseline float64
	// instance is the replica's name for the log; empty if the request succeeded.
	instance string
}

// EjectionChange is an ejection or reinstatement of a replica.
type EjectionChange struct {
	// Instance is the replica's incarnation ID; empty if no failed request has named it.
	Instance string
	Key      ReplicaKey
	outlier.Transition
}

// observe passes an outcome to the replica's detector and returns the resulting transition.
func (a *Aggregates) observe(report outcomeReport, now time.Duration) EjectionChange {
	shard := a.shard(report.key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	entry := shard.aggregate(report.key, now)
	if report.instance != "" {
		entry.instance = report.instance
	}
	return EjectionChange{Instance: entry.instance, Key: report.key, Transition: entry.detector.Observe(report.result, report.baseline, now)}
}

// grantProbe permits the querying node to probe an ejected replica if a probe is due.
// inFlightElsewhere counts the requests of all other nodes there.
func (a *aggregate) grantProbe(requester netip.AddrPort, inFlightElsewhere int, now time.Duration) outlier.Probe {
	probe := a.detector.Probe(inFlightElsewhere+a.reporters[requester].load.InFlight, now)
	if probe != outlier.NoProbe {
		a.detector.StartProbe(now)
	}
	return probe
}

// Ejected counts the ejected replicas by the kind of failure that caused the ejection.
func (a *Aggregates) Ejected(now time.Duration) map[outlier.Outcome]int {
	counts := map[outlier.Outcome]int{}
	for i := range a.shards {
		shard := &a.shards[i]
		shard.mutex.Lock()
		for _, entry := range shard.byKey {
			if entry.detector.Ejected() && now-entry.updatedAt <= idleTTL {
				counts[entry.detector.Reason()]++
			}
		}
		shard.mutex.Unlock()
	}
	return counts
}

// ReportOutcome sends the outcome of a request to the replica's aggregator. baseline is the
// failure rate of the service's replicas.
func (s *Service) ReportOutcome(replica Replica, result outlier.Outcome, baseline float64) {
	report := outcomeReport{key: loads.HashReplica(replica.Instance), result: result, baseline: baseline}
	if result.Failed() {
		report.instance = replica.Instance
	}
	aggregator, self := s.aggregator(replica)
	if !self {
		s.send(encodeOutcome(report), aggregator)
		return
	}
	s.observe(report)
}

func (s *Service) observe(report outcomeReport) {
	changed := s.aggregates.observe(report, s.config.Now())
	if changed.Change != outlier.Unchanged && s.config.OnEjectionChange != nil {
		s.config.OnEjectionChange(changed)
	}
}

// responseTo returns the response to a query. It includes the ejection state only if a
// replica is ejected and the querying node can decode it.
func responseTo(q query, states []State) response {
	withEjections := q.number&acceptsEjections != 0 && slices.ContainsFunc(states, func(state State) bool { return state.Ejected })
	return response{number: q.number, states: states, withEjections: withEjections}
}
