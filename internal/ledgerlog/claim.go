package ledgerlog

import (
	"context"
	"time"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
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
	now := m.clock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	owner := m.partition.reader.owner()
	if owner == m.incarnation && !m.resigned || m.claiming || m.claimedAt > 0 && now-m.claimedAt < claimInterval {
		return
	}
	if m.wantedSince == 0 {
		m.wantedSince = now
	}
	if owner != "" && owner != m.incarnation && m.members.IsAlive(owner) && now-m.wantedSince < timeout {
		return
	}
	m.releasing, m.wantedSince = false, 0
	m.claimedAt = now
	records := []ledger.Record{ledger.OwnershipClaim{Incarnation: m.incarnation}, ledger.OwnerLimit{Incarnation: m.incarnation}}
	if owner == m.incarnation {
		// The release before did not get into the log, as far as known.
		records = append([]ledger.Record{ledger.OwnershipRelease{Incarnation: m.incarnation}}, records...)
	}
	m.unreleased = true
	m.writeOwnership("claim", records, func() { m.resigned = false })
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

// release gives up the ownership, or says after another node's claim that none of this node's grants are
// left to be logged. All of them are in the log by then. The caller must hold the mutex.
func (m *creditManager) release() {
	if (m.unreleased || m.partition.reader.owner() == m.incarnation) && !m.claiming {
		m.resigned = true
		m.writeOwnership("release", []ledger.Record{ledger.OwnershipRelease{Incarnation: m.incarnation}}, func() { m.unreleased = false })
	}
}

// stateLimit tells other nodes that this one is the exclusive owner, with the partition's next
// call: once its records do not show that, and again before the store drops its last statement. The
// caller must hold the mutex.
func (m *creditManager) stateLimit() {
	if !m.exclusive() || !m.availability.Available(m.partition.appender.partition) {
		return
	}
	clean := m.partition.reader.ownedCleanly()
	now := m.clock()
	due := !clean && now-m.statedAt > claimInterval || m.statementInterval > 0 && now-max(m.statedAt, m.claimedAt) > m.statementInterval
	if due {
		m.statedAt = now
		m.partition.submitLater(ledger.Encode(ledger.OwnerLimit{Incarnation: m.incarnation, Exclusive: true}))
	}
}

// writeOwnership writes adjacent records of the ownership and reads the partition up to them, in the
// background. kind is for the log. onRead is called with the mutex once they have been read. The caller
// must hold the mutex.
func (m *creditManager) writeOwnership(kind string, records []ledger.Record, onRead func()) {
	m.claiming = true
	encoded := make([][]byte, 0, len(records))
	for _, one := range records {
		encoded = append(encoded, ledger.Encode(one))
	}
	began := time.Now()
	waiting := m.partition.submitNow(encoded...)
	go func() {
		outcome := <-waiting.outcome
		err := outcome.err
		if err == nil {
			// A failed read is repeated by the next caller that needs it.
			err = m.partition.reader.readTo(context.Background(), outcome.first+logstore.Offset(len(records)-1))
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.claiming = false
		if err == nil {
			onRead()
		}
		m.partition.appender.logger.Info("ownership record answered", "partition", m.partition.appender.partition.Number, "record", kind,
			"offset", outcome.first, "took_ms", time.Since(began).Milliseconds(), "exclusive", m.exclusive(), "error", err)
	}()
}
