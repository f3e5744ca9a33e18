package ledgerlog

import (
	"context"
	"fmt"
	"math/rand/v2"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

// reserveMore reserves more tokens for a credit, in the background. The caller must hold the
// mutex.
func (m *creditManager) reserveMore(entry *creditEntry, request TurnRequest, ample bool) {
	next := entry.credit.NextReservation(ledger.AttemptID(rand.Uint64()), request.MaxTurnTokens, true, ample)
	m.settle(entry.credit.Corrections())
	m.reserve(entry, entry.assumed, next, request.Repeated)
}

// reserve writes a reservation directly after assumed ones and applies its verdict, in the
// background. repeated is TurnRequest.Repeated. The caller must hold the mutex.
func (m *creditManager) reserve(entry *creditEntry, assumed []ledger.Reservation, record ledger.Reservation, repeated bool) {
	call := &pendingReservation{done: make(chan struct{})}
	entry.pending = call
	waiting := m.submitReservation(assumed, record)
	go m.decide(entry, call, record, waiting, repeated)
}

// decide waits for the verdict on a reservation and applies it. If it was refused although tokens
// are charged for nothing, these are settled and the reservation is written once more.
func (m *creditManager) decide(entry *creditEntry, call *pendingReservation, record ledger.Reservation, waiting *submission, repeated bool) {
	for corrected := false; ; corrected = true {
		verdict, err := m.awaitVerdict(record.Attempt, waiting)
		if err == nil && verdict.Uncertain {
			err = m.partition.reader.incompleteError()
		}
		m.mutex.Lock()
		if err == nil {
			entry.assumed = nil
			call.granted = m.applyVerdict(entry.credit, verdict, repeated)
			entry.refillRefused = !call.granted
		} else {
			entry.credit.Fail(record.Attempt)
			m.partition.appender.logger.Warn("reservation failed", "partition", m.partition.appender.partition.Number, "program", record.Program,
				"tokens", record.WantedTokens, "unrecorded", entry.credit.Unrecorded(), "error", err)
		}
		if err != nil || corrected || !entry.credit.MisledByAssumption() {
			call.err, entry.pending = err, nil
			close(call.done)
			m.mutex.Unlock()
			return
		}
		record.Attempt = ledger.AttemptID(rand.Uint64())
		m.settle(entry.credit.Corrections())
		waiting = m.submitReservation(nil, record)
		m.mutex.Unlock()
		m.partition.flush()
	}
}

// submitReservation writes a reservation, directly after assumed ones, with the partition's
// next call.
func (m *creditManager) submitReservation(assumed []ledger.Reservation, record ledger.Reservation) *submission {
	m.partition.reader.expectVerdict(record.Attempt)
	encoded := make([][]byte, 0, len(assumed)+1)
	for _, one := range assumed {
		encoded = append(encoded, ledger.Encode(one))
	}
	return m.partition.submitLater(append(encoded, ledger.Encode(record))...)
}

// applyVerdict applies a verdict and reports whether the reservation may be used. A turn that
// another node may have begun does not use the margin beyond the budget as long as the
// reservation there may be returned.
func (m *creditManager) applyVerdict(credit *ledger.Credit, verdict ledger.Verdict, repeated bool) bool {
	returns := m.returnsSoon
	if repeated {
		returns = m.maySettle
	}
	if credit.Yields(verdict, returns) {
		credit.GiveUp(verdict)
		m.settle(credit.Corrections())
		return false
	}
	failed := credit.Uncertain()
	credit.ApplyVerdict(verdict, m.maySettle)
	if failed && verdict.Granted > 0 {
		m.settle(credit.Corrections()) // what failed is charged in addition until then
	}
	credit.CountLost(m.members.IsAlive)
	return verdict.Granted > 0
}

// awaitVerdict waits until a reservation is in the log, without a timeout, and returns its
// verdict.
func (m *creditManager) awaitVerdict(attempt ledger.AttemptID, waiting *submission) (ledger.Verdict, error) {
	outcome := <-waiting.outcome
	if outcome.err != nil {
		m.partition.reader.verdict(attempt)
		return ledger.Verdict{}, outcome.err
	}
	for {
		recovered := m.availability.Recovered()
		err := m.partition.reader.readTo(context.Background(), outcome.first+logstore.Offset(len(waiting.records)-1))
		if verdict, known := m.partition.reader.verdict(attempt); known {
			return verdict, nil
		}
		if err == nil {
			return ledger.Verdict{}, fmt.Errorf("%w: the verdict was passed over", ErrUnavailable)
		}
		m.partition.reader.expectVerdict(attempt)
		sleepUntilRecovered(recovered, maxRetryPause)
	}
}
