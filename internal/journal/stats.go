package journal

import "sync/atomic"

// Stats has a Manager's counters since its start, and its current state.
type Stats struct {
	// Owned counts the shards owned; LapsedLeases counts those of them that are not
	// served because the lease expired.
	Owned        int
	LapsedLeases int
	// TailRecords and TailBytes count the records of owned shards that are not in the
	// log.
	TailRecords int
	TailBytes   int
	// ReplicaShards and ReplicaBytes count the tails stored for other owners.
	ReplicaShards int
	ReplicaBytes  int
	// LogDown is true while the log is unavailable.
	LogDown bool
	// Claims counts shards opened after a claim, ClaimsFailed the claims that failed,
	// Replacements the claims that replaced replicas.
	Claims       uint64
	ClaimsFailed uint64
	Replacements uint64
	// HandOvers counts shards handed over, Lost shards taken over by other nodes.
	HandOvers uint64
	Lost      uint64
	// InterimOwnerships counts shards opened without the log.
	InterimOwnerships uint64
	// IncompleteRecoveries counts recoveries from too few replicas: acknowledged records may be
	// missing.
	IncompleteRecoveries uint64
	// Records and RecordBytes count enqueued records.
	Records     uint64
	RecordBytes uint64
	// LogAppends, LogBytes and Snapshots count writes to the log.
	LogAppends uint64
	LogBytes   uint64
	Snapshots  uint64
	// Fenced counts requests of former owners that were rejected as a replica.
	Fenced uint64
}

// counters are the monotonic fields of Stats.
type counters struct {
	claims, claimsFailed, replacements atomic.Uint64
	handOvers, lost, mayLack           atomic.Uint64
	records, recordBytes               atomic.Uint64
	logAppends, logBytes, snapshots    atomic.Uint64
	fenced, interims                   atomic.Uint64
}

// Stats returns the current values for metrics.
func (m *Manager) Stats() Stats {
	c := &m.counters
	stats := Stats{
		LogDown:              m.health.isDown(),
		Claims:               c.claims.Load(),
		ClaimsFailed:         c.claimsFailed.Load(),
		Replacements:         c.replacements.Load(),
		HandOvers:            c.handOvers.Load(),
		Lost:                 c.lost.Load(),
		IncompleteRecoveries: c.mayLack.Load(),
		Records:              c.records.Load(),
		RecordBytes:          c.recordBytes.Load(),
		LogAppends:           c.logAppends.Load(),
		LogBytes:             c.logBytes.Load(),
		Snapshots:            c.snapshots.Load(),
		Fenced:               c.fenced.Load(),
		InterimOwnerships:    c.interims.Load(),
	}
	for _, shard := range m.owned() {
		stats.Owned++
		if shard.CheckLease() != nil {
			stats.LapsedLeases++
		}
		records, bytes := shard.tailSize()
		stats.TailRecords += records
		stats.TailBytes += bytes
	}
	for i := range m.replicas {
		if bytes := m.replicas[i].bytes(); bytes > 0 {
			stats.ReplicaShards++
			stats.ReplicaBytes += bytes
		}
	}
	return stats
}
