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

// TestLogOutage keeps the log away for three hours: records go on, the tail stays
// small, unrepeatable ones are refused at once, and all drains when it is back.
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
		is.True(errors.Is(err, ErrNotHeld))
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

// TestOutageThenKill kills the owner while the log has been away long enough for
// the tail to be folded: the next owner starts from the folded tail, at once.
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
		folded := shard.tail.Folded
		shard.mutex.Unlock()
		if !folded {
			return errors.New("the tail was not folded")
		}
		time.Sleep(5 * time.Second) // the replicas get a whole state
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

// TestPlannedStop drains the owner under load: no number that it took is lost,
// nothing waits for a lease, and no replica is left with it.
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
		// The gap is that of a few requests to the log, not that of a lease.
		is.True(time.Duration(load.refused()-refused)*loadInterval < 200*time.Millisecond)
		return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestReplicaReplaced kills a replica: the owner takes another one in its place
// while it goes on serving.
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
		is.True(!holdsLife(shard.replicas(), lost))
		is.Equal(len(shard.replicas()), 3)
		is.Equal(load.refused(), refused)
		// The new replicas are the ones that count: the owner and an old one may go.
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

// TestReplicasSpreadAgainAfterAZoneReturns kills every node of a zone and starts
// them again: replicas that had to share zones meanwhile are spread again.
func TestReplicasSpreadAgainAfterAZoneReturns(t *testing.T) {
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
		is.Equal(zoneCount(shard.replicas()), len(testZones)-1) // they live where they can
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

// TestLeaseComesBack cuts the owner off during an outage of the log, past its
// lease: nobody can claim, so it serves again in the same epoch when it is back.
func TestLeaseComesBack(t *testing.T) {
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
		is.True(errors.Is(owner.host.open(0).shard.CheckLease(), ErrLeaseLapsed))
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

// TestTwoClaimants lets two nodes want the same shard after its owner's death.
func TestTwoClaimants(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		owners := site.watchOwners()
		load := site.load(0)
		time.Sleep(time.Second)
		site.serving(0).kill()
		// Two views that disagree: each of the two is alone with the rest.
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

// TestSmallSites runs sites of one to three nodes, where the owner counts as one
// of the replicas, through the death and return of a node.
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

// TestLogLeavesDuringHandOver takes the log away in the middle of a planned stop:
// the shard is served on through the outage, and handed over after it.
func TestLogLeavesDuringHandOver(t *testing.T) {
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

// TestClaimantDiesHalfWay leaves a claim in the log, and the promise of one replica
// to it, of a node that is never heard of again: the owner serves on above it.
func TestClaimantDiesHalfWay(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		load := site.load(0)
		time.Sleep(time.Second)
		owner := site.serving(0)
		shard := owner.manager.slots[0].load()
		claim := shard.standing()
		// With nothing to write, the owner learns of it from the replica alone.
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

// TestDurableOutcomes goes through what a wait for the log can end with.
func TestDurableOutcomes(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		is := is.New(t)
		open := site.serving(0).host.open(0)
		// An answer that is lost is read back.
		site.log.Script(logservice.LoseAnswer)
		is.NoErr(open.add(context.Background(), 1, true))
		// A request that is lost is sent again.
		site.log.Script(logservice.LoseRequest)
		is.NoErr(open.add(context.Background(), 2, true))
		// A log that does not answer in time leaves it unknown, after a bounded wait.
		site.log.SetFaults(logservice.Faults{AppendDelay: time.Minute})
		began := time.Now()
		is.True(errors.Is(open.add(context.Background(), 3, true), ErrUnknown))
		is.Equal(time.Since(began), DefaultDurableWait)
		// It may land all the same, and the next owner sees it then.
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

// TestRecoveryReadsLittle writes many batches and shows that a reader starts at
// the last snapshot, not at the stream's beginning.
func TestRecoveryReadsLittle(t *testing.T) {
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
		stream, err := node.manager.openStream(context.Background(), 0, func(step Step) error {
			entries += len(step.Entries)
			if step.Restored {
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
