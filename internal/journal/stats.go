package journal

import "sync/atomic"

// Stats is what a Manager has done since its start, and what it holds now.
type Stats struct {
	// Owned counts the shards served, LapsedLeases those of them that are not
	// served now because the lease ran out.
	Owned        int
	LapsedLeases int
	// TailRecords and TailBytes are what the owned shards have that the log lacks.
	TailRecords int
	TailBytes   int
	// ReplicaShards and ReplicaBytes are what is held for other owners.
	ReplicaShards int
	ReplicaBytes  int
	// LogDown is true while the log service does not answer.
	LogDown bool
	// Claims counts shards opened after a claim, ClaimsFailed tries that ended
	// otherwise, Replacements claims made to exchange replicas.
	Claims       uint64
	ClaimsFailed uint64
	Replacements uint64
	// HandOvers counts shards handed over, Lost shards taken over by others.
	HandOvers uint64
	Lost      uint64
	// Interims counts shards opened without the log.
	Interims uint64
	// MayLack counts recoveries after all copies that could complete the tail were
	// gone: records that were acknowledged may be missing.
	MayLack uint64
	// Records and RecordBytes count what was enqueued.
	Records     uint64
	RecordBytes uint64
	// LogAppends, LogBytes and Snapshots count what was written to the log.
	LogAppends uint64
	LogBytes   uint64
	Snapshots  uint64
	// Fenced counts messages of former owners refused here as a replica.
	Fenced uint64
}

// counters are the parts of Stats that only grow.
type counters struct {
	claims, claimsFailed, replacements atomic.Uint64
	handOvers, lost, mayLack           atomic.Uint64
	records, recordBytes               atomic.Uint64
	logAppends, logBytes, snapshots    atomic.Uint64
	fenced, interims                   atomic.Uint64
}

// Stats returns a snapshot for metrics.
func (m *Manager) Stats() Stats {
	c := &m.counters
	stats := Stats{
		LogDown:      m.health.isDown(),
		Claims:       c.claims.Load(),
		ClaimsFailed: c.claimsFailed.Load(),
		Replacements: c.replacements.Load(),
		HandOvers:    c.handOvers.Load(),
		Lost:         c.lost.Load(),
		MayLack:      c.mayLack.Load(),
		Records:      c.records.Load(),
		RecordBytes:  c.recordBytes.Load(),
		LogAppends:   c.logAppends.Load(),
		LogBytes:     c.logBytes.Load(),
		Snapshots:    c.snapshots.Load(),
		Fenced:       c.fenced.Load(),
		Interims:     c.interims.Load(),
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
