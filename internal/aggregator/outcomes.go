package aggregator

import (
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/outlier"
)

// outcome is what became of one node's request at a replica. Datagrams that are lost only
// make the keeper judge by fewer outcomes.
type outcome struct {
	key ReplicaKey
	// became is what it became, usual the share of failures at the service's other replicas
	// as the node has learned it.
	became outlier.Outcome
	usual  float64
	// instance names the replica for the log; empty where it was served.
	instance string
}

// EjectionChange is that a replica was ejected or has returned, and by what.
type EjectionChange struct {
	// Instance is the life of the replica, empty where no failure has named it.
	Instance string
	Key      ReplicaKey
	outlier.Transition
}

// judge counts an outcome and tells what it has changed.
func (b *Aggregates) judge(told outcome, now time.Duration) EjectionChange {
	shard := b.shard(told.key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known := shard.account(told.key, now)
	if told.instance != "" {
		known.instance = told.instance
	}
	return EjectionChange{Instance: known.instance, Key: told.key, Transition: known.outcomes.Observe(told.became, told.usual, now)}
}

// grant gives the asking node the right to probe an ejected replica, if it may be probed.
// elsewhere is what the other nodes have there.
func (a *account) grant(asking netip.AddrPort, elsewhere int, now time.Duration) outlier.Probe {
	right := a.outcomes.Probe(elsewhere+a.reporters[asking].load.InFlight, now)
	if right != outlier.NoProbe {
		a.outcomes.StartProbe(now)
	}
	return right
}

// Ejected counts the ejected replicas by the kind of the failure that ejected them.
func (b *Aggregates) Ejected(now time.Duration) map[outlier.Outcome]int {
	counts := map[outlier.Outcome]int{}
	for i := range b.shards {
		shard := &b.shards[i]
		shard.mutex.Lock()
		for _, known := range shard.accounts {
			if known.outcomes.Ejected() && now-known.touched <= idleLife {
				counts[known.outcomes.Reason()]++
			}
		}
		shard.mutex.Unlock()
	}
	return counts
}

// ReportOutcome tells a replica's keeper what became of a request there. usual is the share of
// failures at the service's other replicas.
func (e *Service) ReportOutcome(replica Replica, became outlier.Outcome, usual float64) {
	told := outcome{key: loads.HashReplica(replica.Instance), became: became, usual: usual}
	if became.Failed() {
		told.instance = replica.Instance
	}
	keeper, self := e.keeper(replica)
	if !self {
		e.send(encodeOutcome(told), keeper)
		return
	}
	e.judge(told)
}

func (e *Service) judge(told outcome) {
	changed := e.book.judge(told, e.config.Now())
	if changed.Change != outlier.Unchanged && e.config.OnEjectionChange != nil {
		e.config.OnEjectionChange(changed)
	}
}

// answerTo returns the answer to a question: one that tells of ejected replicas only to nodes
// that read it.
func answerTo(asked question, states []State) answer {
	judged := asked.number&readsJudged != 0 && slices.ContainsFunc(states, func(state State) bool { return state.Ejected })
	return answer{number: asked.number, states: states, judged: judged}
}
