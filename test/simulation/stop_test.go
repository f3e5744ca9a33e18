package simulation

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/journal"
)

// busy is a site's plan with long chains and short pauses, so that calls are always in
// flight.
func busy(seed uint64) plan {
	plan := quito(seed)
	plan.programs, plan.calls, plan.pause = 8, 25, 300*time.Millisecond
	plan.impatient, plan.vanishing = false, false
	return plan
}

// TestPlannedStopBreaksNoRequest stops and restarts every node in turn under load. A
// stopping node rejects new requests as not run; everything else must be answered at the
// first attempt.
func TestPlannedStopBreaksNoRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(t, busy(2))
		defer site.close()
		var records []*programRecord
		var callers sync.WaitGroup
		callers.Go(func() { records = site.workload(t.Context()) })
		time.Sleep(2 * time.Second)
		for index := range site.plan.nodes {
			is.NoErr(site.drainNode(index))
			time.Sleep(time.Second)
			site.startNode(index)
			time.Sleep(time.Second)
		}
		callers.Wait()
		time.Sleep(freeingTime)
		is.Equal(site.check(records), nil)
		for _, record := range records {
			for _, outcome := range record.outcomes {
				is.True(outcome.answer != nil)                          // every call was answered
				is.Equal(outcome.attempts, 1+outcome.refusals[drained]) // no attempt lost its connection
			}
		}
	})
}

// drained is the rejection code of a stopping node.
const drained = api.CodeDraining

// TestLeavingEngineGetsNoNewWork lets an engine announce that it leaves while the
// machine list still shows it as live for ten seconds.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	const bound = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(t, busy(3))
		defer site.close()
		var records []*programRecord
		var callers sync.WaitGroup
		callers.Go(func() { records = site.workload(t.Context()) })
		time.Sleep(3 * time.Second)
		leaving := site.engine(0)
		is.True(len(leaving.Truth().Arrivals) > 0) // it had work before
		leaving.SetDraining(true)
		left := time.Now()
		callers.Wait()
		is.True(time.Since(left) > 2*bound) // work was placed after the bound
		for _, arrival := range leaving.Truth().Arrivals {
			is.True(arrival.Arrived.Before(left.Add(bound))) // no attempt is made there after the bound
			is.True(arrival.Arrived.Before(left) || arrival.Outcome == engine.OutcomeRefused)
		}
		time.Sleep(freeingTime)
		is.Equal(site.check(records), nil)
	})
}

// TestLogOutageForHours makes the log service unavailable for three hours under
// load. Model calls and repeatable calls must continue unaffected; calls that must run at
// most once are rejected at once as not run; in-memory tails stay bounded and are empty
// soon after the log recovers.
func TestLogOutageForHours(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plan := quito(4)
		plan.programs, plan.calls, plan.pause = 6, 30, 8*time.Minute
		plan.impatient, plan.vanishing = false, false
		site := newSite(t, plan)
		defer site.close()
		time.Sleep(5 * time.Second)
		site.Log.SetFaults(logservice.Faults{Down: true})
		began := time.Now()
		outage := make(chan struct{})
		var largest int
		go func() {
			defer close(outage)
			for time.Since(began) < 3*time.Hour {
				time.Sleep(time.Minute)
				largest = max(largest, site.journalStats().TailBytes)
			}
			site.Log.SetFaults(logservice.Faults{})
		}()
		records := site.workload(t.Context())
		is.True(time.Since(began) < 12*time.Hour)
		<-outage
		refused := 0
		for _, record := range records {
			for _, outcome := range record.outcomes {
				if !outcome.request.Unrepeatable {
					is.True(outcome.answer != nil)
					is.Equal(outcome.attempts, 1) // the outage fails no call
					continue
				}
				for code, count := range outcome.refusals {
					is.Equal(code, api.CodeLogUnavailable)
					refused += count
				}
				is.True(!outcome.everAmbiguous) // rejected as not run, without doubt
			}
		}
		is.True(refused > 0)
		t.Logf("the programs took %s", time.Since(began))
		t.Logf("largest total of tails in the outage: %d bytes; %d refusals of unrepeatable calls", largest, refused)
		is.True(largest < tailBound)
		time.Sleep(freeingTime)
		is.Equal(site.journalStats().TailBytes, 0) // the tails drain after the log recovers
		is.Equal(site.check(records), nil)
	})
}

// tailBound is the limit of all owners' tails together: the live state of a few programs
// and one snapshot's worth of records for each shard.
const tailBound = 16 * (256 << 10)

// journalStats adds up the journal statistics of all live nodes.
func (s *site) journalStats() journal.Stats {
	var sum journal.Stats
	for index := range s.plan.nodes {
		if alive := s.incarnation(index); alive != nil {
			stats := alive.Node.Journal().Stats()
			sum.TailBytes += stats.TailBytes
			sum.ReplicaBytes += stats.ReplicaBytes
			sum.Owned += stats.Owned
			sum.IncompleteRecoveries += stats.IncompleteRecoveries
		}
	}
	return sum
}
