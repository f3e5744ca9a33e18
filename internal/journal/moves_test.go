package journal

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// TestLogOutage keeps the log unavailable for three hours: appends continue, the tail
// stays small, durable appends fail at once, and everything reaches the log after.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{slowLease: true}, 6, func(site *testSite) error {
		is := is.New(t)
		site.log.SetDown(true)
		owner := site.serving(0)
		open := owner.host.open(0)
		epoch := open.shard.Epoch()
		var acked []uint64
		const records, step = 10_800, time.Second
		largest := 0
		for number := range uint64(records) {
			is.NoErr(open.add(context.Background(), number, false))
			acked = append(acked, number)
			time.Sleep(step)
			largest = max(largest, owner.manager.Stats().TailBytes)
		}
		is.Equal(open.shard.Epoch(), epoch)
		is.True(owner.manager.Stats().LogDown)
		state, err := open.machine.Snapshot()
		is.NoErr(err)
		// Records of 8 bytes make a state of the same size here.
		is.True(largest < 2*len(state)+DefaultSnapshotBytes)

		began := time.Now()
		err = open.add(context.Background(), records, true)
		is.True(errors.Is(err, ErrNotLogged))
		is.Equal(time.Since(began), time.Duration(0))

		site.log.SetDown(false)
		time.Sleep(5 * time.Second)
		is.NoErr(open.add(context.Background(), records+1, true))
		is.NoErr(site.checkLog(0))
		return checkNumbers(acked, open.machine.numbers())
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestOutageThenKill kills the owner in an outage that is long enough for the tail to
// be compacted: the next owner starts from the compacted tail without delay.
func TestOutageThenKill(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		site.log.SetDown(true)
		open := site.serving(0).host.open(0)
		var acked []uint64
		for number := range uint64(20_000) {
			if err := open.add(context.Background(), number, false); err != nil {
				return err
			}
			acked = append(acked, number)
		}
		shard := site.serving(0).manager.slots[0].load()
		shard.mutex.Lock()
		folded := shard.tail.Compacted
		shard.mutex.Unlock()
		if !folded {
			return errors.New("the tail was not folded")
		}
		time.Sleep(5 * time.Second) // the replicas receive a full state
		site.serving(0).kill()
		site.refresh()
		if _, err := site.takeover(nil); err != nil {
			return err
		}
		if err := checkNumbers(acked, site.serving(0).host.open(0).machine.numbers()); err != nil {
			return err
		}
		if err := site.settle(); err != nil {
			return err
		}
		return errors.Join(checkNumbers(acked, site.serving(0).host.open(0).machine.numbers()), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestPlannedStop drains the owner under load: no acknowledged number is lost, no
// takeover waits for a lease, and no replica stays on the drained node.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		owners := site.watchOwners()
		load := site.load(0)
		time.Sleep(time.Second)
		owner := site.serving(0)
		site.refreshWith(map[identity.NodeName]membership.Status{owner.node.Name: membership.Leaving})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		refused := load.refused()
		is.NoErr(owner.manager.Drain(ctx))
		is.Equal(len(owner.manager.Owned()), 0)
		is.True(owner.manager.Stats().HandOvers > 0)
		is.Equal(owner.manager.Stats().ReplicaBytes, 0)
		time.Sleep(200 * time.Millisecond)
		next := site.serving(0)
		is.True(next != nil && next != owner)
		owner.kill()
		site.refresh()
		time.Sleep(5 * time.Second)
		// The gap is a few requests to the log, less than a lease.
		is.True(time.Duration(load.refused()-refused)*loadInterval < 200*time.Millisecond)
		return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestReplicaReplaced kills a replica: the owner replaces it without interruption.
func TestReplicaReplaced(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		owners := site.watchOwners()
		load := site.load(0)
		owner := site.serving(0)
		shard := owner.manager.slots[0].load()
		epoch, refused := shard.Epoch(), load.refused()
		lost := shard.replicas()[0]
		site.find(lost.Name).kill()
		site.refresh()
		time.Sleep(10 * time.Second)
		is.True(shard.Epoch() > epoch)
		is.True(!containsIncarnation(shard.replicas(), lost))
		is.Equal(len(shard.replicas()), 3)
		is.Equal(load.refused(), refused)
		// The new replica set must be sufficient: kill the owner and an old replica.
		site.find(shard.replicas()[0].Name).kill()
		owner.kill()
		site.refresh()
		time.Sleep(10 * time.Second)
		return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestReplicasSpreadAgainAfterZoneRecovers restarts all nodes of a zone: replicas
// that shared zones during its outage must be spread again.
func TestReplicasSpreadAgainAfterZoneRecovers(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		owners := site.watchOwners()
		load := site.load(0)
		owner := site.serving(0)
		shard := owner.manager.slots[0].load()
		lost := shard.replicas()[0]
		var killed []int
		for index, node := range site.all() {
			if node.node.Zone == lost.Zone && node != owner {
				killed = append(killed, index)
			}
		}
		for _, index := range killed {
			site.find(name(index)).kill()
		}
		site.refresh()
		time.Sleep(10 * time.Second)
		is.Equal(zoneCount(shard.replicas()), len(testZones)-1) // replicas share the remaining zones
		for _, index := range killed {
			site.start(index)
		}
		site.refresh()
		time.Sleep(10 * time.Second)
		is.Equal(zoneCount(site.serving(0).manager.slots[0].load().replicas()), len(testZones))
		return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestLeaseRecoversAfterPartition partitions the owner past its lease during an
// outage of the log: no node can claim, so it serves again in the same epoch.
func TestLeaseRecoversAfterPartition(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		site.log.SetDown(true)
		load := site.load(0)
		time.Sleep(time.Second)
		owner := site.serving(0)
		epoch := owner.host.open(0).shard.Epoch()
		site.isolate(owner)
		time.Sleep(10 * time.Second)
		is.True(errors.Is(owner.host.open(0).shard.CheckLease(), ErrLeaseExpired))
		site.net.HealAll()
		time.Sleep(3 * time.Second)
		is.Equal(site.serving(0), owner)
		is.Equal(owner.host.open(0).shard.Epoch(), epoch)
		return errors.Join(site.settle(), load.check(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestTwoClaimants lets two nodes claim the same shard after its owner's death.
func TestTwoClaimants(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		owners := site.watchOwners()
		load := site.load(0)
		time.Sleep(time.Second)
		site.serving(0).kill()
		// Their membership views disagree: each lacks the other.
		site.refresh()
		var rivals []*testNode
		for _, node := range site.all() {
			if len(rivals) < 2 {
				rivals = append(rivals, node)
			}
		}
		for i, rival := range rivals {
			view := rival.members.Load()
			var members []membership.Member
			for _, member := range view.Members {
				if member.Node.Name != rivals[1-i].node.Name {
					members = append(members, member)
				}
			}
			rival.members.Store(membership.View{Self: view.Self, Version: view.Version + 1, Members: members})
		}
		time.Sleep(20 * time.Second)
		return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestSmallSites runs sites where the owner is also a replica through the death and
// restart of a node.
func TestSmallSites(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{2, 3} {
		err := scenario(t, variant{}, nodes, func(site *testSite) error {
			owners := site.watchOwners()
			load := site.load(0)
			time.Sleep(time.Second)
			owner := site.serving(0)
			owner.kill()
			site.refresh()
			time.Sleep(20 * time.Second)
			if nodes == 3 && site.serving(0) == nil {
				return errors.New("two of three nodes do not serve")
			}
			site.start(number(owner.node.Name))
			time.Sleep(10 * time.Second)
			return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
		})
		if err != nil {
			t.Fatalf("%d nodes: %v", nodes, err)
		}
	}
}

// TestLogUnavailableDuringHandOver makes the log unavailable during a planned stop:
// the shard must be served through the outage and handed over after it.
func TestLogUnavailableDuringHandOver(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		owners := site.watchOwners()
		load := site.load(0)
		owner := site.serving(0)
		site.log.SetFaults(logservice.Faults{AppendDelay: time.Second})
		time.Sleep(3 * time.Second)
		site.refreshWith(map[identity.NodeName]membership.Status{owner.node.Name: membership.Leaving})
		drained := make(chan error, 1)
		go func() { drained <- owner.manager.Drain(context.Background()) }()
		time.Sleep(300 * time.Millisecond)
		site.log.SetDown(true)
		time.Sleep(time.Minute)
		is.Equal(site.serving(0), owner)
		refused := load.refused()
		time.Sleep(time.Minute)
		is.Equal(load.refused(), refused)
		site.log.SetFaults(logservice.Faults{})
		is.NoErr(<-drained)
		owner.kill()
		return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestClaimantDiesBeforeActivation leaves a claim in the log, and one replica's
// promise to it, of a node that died: the owner must claim above it.
func TestClaimantDiesBeforeActivation(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		load := site.load(0)
		time.Sleep(time.Second)
		owner := site.serving(0)
		shard := owner.manager.slots[0].load()
		claim := shard.activeClaim()
		// With nothing to write, the owner detects the claim only through the replica.
		load.end()
		time.Sleep(time.Second)
		refused, epoch := load.refused(), claim.Epoch+1
		claim.Epoch, claim.TailFrom, claim.Owner = epoch, epoch, identity.Node{Name: "gone", Incarnation: 1}
		record := Record{Kind: ClaimRecord, ID: RecordID{1}, Epoch: epoch, Claim: claim}
		_, err := site.log.Append(context.Background(), StreamName(0), [][]byte{record.Encode()})
		is.NoErr(err)
		replica := &site.find(claim.Replicas[0].Name).manager.replicas[0]
		replica.mutex.Lock()
		replica.replica.Promise(time.Now(), epoch)
		replica.mutex.Unlock()
		time.Sleep(10 * time.Second)
		is.Equal(site.serving(0), owner)
		is.Equal(shard.Epoch(), epoch+1)
		is.Equal(load.refused(), refused)
		is.NoErr(owner.host.open(0).add(context.Background(), 1<<40, false))
		load.acknowledge(1 << 40)
		return errors.Join(site.settle(), load.check(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestDurableOutcomes checks each outcome of a wait for the log.
func TestDurableOutcomes(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		open := site.serving(0).host.open(0)
		// An append whose response is lost is read back.
		site.log.Script(logservice.LoseAnswer)
		is.NoErr(open.add(context.Background(), 1, true))
		// A lost request is retried.
		site.log.Script(logservice.LoseRequest)
		is.NoErr(open.add(context.Background(), 2, true))
		// If the log does not respond, the outcome is unknown after a bounded wait.
		site.log.SetFaults(logservice.Faults{AppendDelay: time.Minute})
		began := time.Now()
		is.True(errors.Is(open.add(context.Background(), 3, true), ErrOutcomeUnknown))
		is.Equal(time.Since(began), DefaultDurableWait)
		// The record may still be written; the next owner then reads it.
		site.log.SetFaults(logservice.Faults{})
		time.Sleep(2 * time.Minute)
		site.serving(0).kill()
		site.refresh()
		is.NoErr(site.settle())
		is.Equal(site.serving(0).host.open(0).machine.numbers(), []uint64{1, 2, 3})
		return site.checkLog(0)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestRecoveryReadsFromLastSnapshot checks that a reader starts at the last snapshot,
// not at the beginning of the stream.
func TestRecoveryReadsFromLastSnapshot(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		node := site.serving(0)
		open := node.host.open(0)
		for number := range uint64(12_000) {
			is.NoErr(open.add(context.Background(), number, false))
		}
		time.Sleep(time.Second)
		var entries, restored int
		stream, err := node.manager.openStream(context.Background(), 0, func(step Effect) error {
			entries += len(step.Entries)
			if step.Restore {
				restored++
			}
			return nil
		})
		is.NoErr(err)
		is.Equal(stream.ledger.Index(), uint64(12_000))
		is.Equal(restored, 1)
		is.True(entries*(8+recordOverhead) < 2*DefaultSnapshotBytes)
		is.Equal(stream.ledger.Active().Owner.Reference(), node.node.Reference())
		node.kill()
		site.refresh()
		return errors.Join(site.settle(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}
