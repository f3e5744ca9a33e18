package ledgerlog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
)

// timeFirstTurn returns how long a program's first turn waits to begin, and checks that its
// records are written once.
func timeFirstTurn(t *testing.T, log *store.Store) time.Duration {
	is := is.New(t)
	l := newLedger(log, "a")
	began := time.Now()
	_, err := beginTurn(within(t, 10*time.Second), l, "p", 100, 60, false)
	is.NoErr(err)
	took := time.Since(began)
	time.Sleep(2 * time.Second)                                        // repeated calls end
	is.Equal(len(log.Records(l.partitionOf("p").reader.partition)), 2) // the reservation and the assumed one
	return took
}

func TestLostResponseDelaysTurnBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Fail(store.Fault{LoseAnswers: true})
		time.AfterFunc(50*time.Millisecond, func() { log.Fail(store.Fault{}) })
		is.True(timeFirstTurn(t, log) < 400*time.Millisecond)
	})
}

// TestSlowAnswerToFirstCallIsAwaited guards against turns that take as long as three calls of a slow
// store, since the responses to the first two are not awaited.
func TestSlowAnswerToFirstCallIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		const delay = 580 * time.Millisecond
		log.Fail(store.Fault{Delay: delay})
		is.Equal(timeFirstTurn(t, log), delay)
	})
}

func TestSlowStoreGetsNoRepeatedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		log.Fail(store.Fault{Delay: 300 * time.Millisecond})
		turn := func() int {
			before := log.Calls("append")
			grant, err := beginTurn(within(t, 10*time.Second), l, "p", 1<<20, 60, false)
			is.NoErr(err)
			l.FinishTurn(grant.Program, grant.ID, 60)
			return log.Calls("append") - before
		}
		turn()
		for range 10 {
			is.Equal(turn(), 1) // the first call has measured the response time
		}
	})
}

func TestTimeoutFollowsResponseTimes(t *testing.T) {
	is := is.New(t)
	estimate := &retransmission{}
	is.Equal(estimate.timeout(0), initialTimeout)
	is.Equal(estimate.timeout(9), maxTimeout)
	for range 50 {
		estimate.answered(4 * time.Millisecond)
	}
	is.Equal(estimate.timeout(0), minTimeout)
	is.Equal(estimate.timeout(1), 2*minTimeout)
	for range 50 {
		estimate.answered(400 * time.Millisecond)
	}
	is.True(estimate.timeout(0) >= 400*time.Millisecond)
	is.True(estimate.timeout(0) <= maxTimeout)
}
