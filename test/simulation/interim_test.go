package simulation

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
)

const (
	outageLength = time.Hour
	// killInterval is the time from one kill to the next.
	killInterval = 12 * time.Minute
	// maxUnavailability bounds how long a program is unreachable after its owner's death in an
	// outage: failure detection, lease expiry, and fetching the state.
	maxUnavailability = 8 * time.Second
)

// TestOwnerDeathsDuringLogOutage kills owners one after the other during an hour without
// the log service and restarts each a minute later without state. No two of them are
// replicas of one shard, since replica sets do not change while the log is unavailable.
// Programs must continue within seconds of each death; calls that must run at most once
// are rejected as not run.
func TestOwnerDeathsDuringLogOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plan := quito(5)
		plan.nodes, plan.shards, plan.programs, plan.mainRepeatable = 12, 8, 10, true
		plan.calls, plan.pause, plan.impatient = 60, 3*time.Minute, false
		plan.vanishing = false
		site := newSite(t, plan)
		defer site.close()
		time.Sleep(30 * time.Second) // replica sets grow to their full size
		var records []*programRecord
		var callers sync.WaitGroup
		callers.Go(func() { records = site.workload(t.Context()) })
		time.Sleep(10 * time.Second)
		site.Log.SetFaults(logservice.Faults{Down: true})
		began := time.Now()
		victims := site.withoutSharedReplicas()
		is.True(len(victims) >= 3)
		for _, victim := range victims {
			time.Sleep(killInterval)
			owned := site.incarnation(victim).Node.Journal().Owned()
			site.killNode(victim)
			t.Logf("%s died as the owner of %d shards; the slowest of their programs recovered after %s",
				nodeName(victim), len(owned), site.longestUnavailability(t, owned))
			time.Sleep(time.Minute)
			site.startNode(victim)
		}
		time.Sleep(outageLength - time.Since(began))
		site.Log.SetFaults(logservice.Faults{})
		callers.Wait()
		time.Sleep(freeingTime)
		is.Equal(site.journalStats().IncompleteRecoveries, uint64(0))
		is.Equal(site.journalStats().TailBytes, 0)
		is.Equal(site.check(records), nil)
		refused := 0
		for _, record := range records {
			for _, outcome := range record.outcomes {
				refused += outcome.refusals[api.CodeLogUnavailable]
				if !outcome.request.Unrepeatable {
					is.True(outcome.answer != nil) // answered; rejections never name the log
					is.Equal(outcome.refusals[api.CodeLogUnavailable], 0)
					is.True(outcome.took < time.Minute)
				}
			}
		}
		is.True(refused > 0)
		t.Log(summary(records))
	})
}

// withoutSharedReplicas returns nodes that own shards, no two of which are replicas of one shard
// according to the claims in the log.
func (s *site) withoutSharedReplicas() []int {
	var victims []int
	for index := range s.plan.nodes {
		alone := len(s.incarnation(index).Node.Journal().Owned()) > 0
		for shard := range identity.ShardID(s.plan.shards) {
			replicas := s.replicas(shard)
			alone = alone && !(slices.Contains(replicas, nodeName(index)) && slices.ContainsFunc(victims, func(other int) bool {
				return slices.Contains(replicas, nodeName(other))
			}))
		}
		if alone && len(victims) < 4 {
			victims = append(victims, index)
		}
	}
	return victims
}

// replicas returns the replicas of the shard's active claim.
func (s *site) replicas(shard identity.ShardID) []identity.NodeName {
	ledger := journal.NewStreamState(shard, 0)
	for _, raw := range s.Log.Records(journal.StreamName(shard)) {
		ledger.Apply(raw)
	}
	var names []identity.NodeName
	for _, replica := range ledger.Active().Replicas {
		names = append(names, replica.Name)
	}
	return names
}

// longestUnavailability queries the programs of shards until each is reachable again, and
// returns the longest time that one was not.
func (s *site) longestUnavailability(t *testing.T, shards []identity.ShardID) time.Duration {
	t.Helper()
	died := time.Now()
	for index := range s.plan.programs {
		program := identity.ProgramID(fmt.Sprintf("program-%d", index))
		if !slices.Contains(shards, program.Shard(s.plan.shards)) {
			continue
		}
		for !s.answers(program) {
			if time.Since(died) > maxUnavailability {
				t.Errorf("%s is still unreachable %s after its owner's death", program, maxUnavailability)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(died)
}

func (s *site) answers(program identity.ProgramID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for index := range s.plan.nodes {
		if alive := s.incarnation(index); alive != nil {
			_, err := alive.Node.Programs().Get(ctx, program)
			return err == nil
		}
	}
	return false
}
