package ledgerlog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
)

func TestLostResponseDelaysTurnBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		log.Fail(store.Fault{LoseAnswers: true})
		time.AfterFunc(50*time.Millisecond, func() { log.Fail(store.Fault{}) })
		began := time.Now()
		_, err := beginTurn(within(t, 10*time.Second), l, "p", 100, 60, false)
		is.NoErr(err)
		is.True(time.Since(began) < 400*time.Millisecond)
		is.Equal(len(log.Records(l.partitionOf("p").reader.partition)), 2) // the reservation and the assumed one
	})
}

// TestSlowAnswerToFirstCallIsAwaited guards against turns that take as long as three calls of a slow
// store, since the responses to the first two are not awaited.
func TestSlowAnswerToFirstCallIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		l := newLedger(log, "a")
		const delay = 580 * time.Millisecond
		log.Fail(store.Fault{Delay: delay})
		began := time.Now()
		_, err := beginTurn(within(t, 10*time.Second), l, "p", 100, 60, false)
		is.NoErr(err)
		is.Equal(time.Since(began), delay)
		time.Sleep(2 * time.Second)                                        // the repeated call ends
		is.Equal(len(log.Records(l.partitionOf("p").reader.partition)), 2) // the reservation and the assumed one
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
