package ledgerlog

import (
	"context"

	"stepseam.example/stepseam/internal/ledger"
)

// claim makes this incarnation the partition's owner, in the background. An owner that is alive
// gets time to release first, and more of it if this node is only a substitute coordinator.
func (m *creditManager) claim(substitute bool) {
	timeout := releaseTimeout
	if substitute {
		timeout = substituteReleaseTimeout
	}
	if !m.partition.reader.caughtUp() {
		m.readOwner(substitute)
		return
	}
	owner := m.partition.reader.owner()
	now := m.clock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if owner == m.incarnation || m.claiming || m.claimedAt > 0 && now-m.claimedAt < claimInterval {
		return
	}
	if m.wantedSince == 0 {
		m.wantedSince = now
	}
	if owner != "" && m.members.IsAlive(owner) && now-m.wantedSince < timeout {
		return
	}
	m.releasing, m.wantedSince = false, 0
	m.claimedAt = now
	m.writeOwnership(ledger.OwnershipClaim{Incarnation: m.incarnation}, ledger.OwnerLimit{Incarnation: m.incarnation})
}

// readOwner reads the partition for the first time, in the background, and then claims it.
func (m *creditManager) readOwner(substitute bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.claiming {
		return
	}
	m.claiming = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), firstReadTimeout)
		defer cancel()
		// After a failed read, the next turn tries again.
		err := m.partition.reader.readToEnd(ctx)
		m.mutex.Lock()
		m.claiming = false
		m.mutex.Unlock()
		if err == nil {
			m.claim(substitute)
		}
	}()
}

// release gives up the ownership. All grants of this node are in the log by then.
func (m *creditManager) release() {
	owner := m.partition.reader.owner()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if owner == m.incarnation && !m.claiming {
		m.writeOwnership(ledger.OwnershipRelease{Incarnation: m.incarnation})
	}
}

// stateLimit tells other nodes that this one is the exclusive owner, with the partition's next
// call: once its records do not show that, and again before the store drops its last statement.
func (m *creditManager) stateLimit() {
	if !m.exclusive() || !m.availability.Available(m.partition.appender.partition) {
		return
	}
	clean := m.partition.reader.ownedCleanly()
	now := m.clock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	due := !clean && now-m.statedAt > claimInterval || m.statementInterval > 0 && now-max(m.statedAt, m.claimedAt) > m.statementInterval
	if due {
		m.statedAt = now
		m.partition.submitLater(ledger.Encode(ledger.OwnerLimit{Incarnation: m.incarnation, Exclusive: true}))
	}
}

// writeOwnership writes adjacent records of the ownership and reads the partition up to the
// first, in the background. The caller must hold the mutex.
func (m *creditManager) writeOwnership(records ...ledger.Record) {
	m.claiming = true
	encoded := make([][]byte, 0, len(records))
	for _, one := range records {
		encoded = append(encoded, ledger.Encode(one))
	}
	waiting := m.partition.submitNow(encoded...)
	go func() {
		outcome := <-waiting.outcome
		if outcome.err == nil {
			// A failed read is repeated by the next caller that needs it.
			_ = m.partition.reader.readTo(context.Background(), outcome.first)
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.claiming = false
	}()
}
