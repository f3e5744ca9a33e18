package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func replicaIn(instance string, state State, sequence uint64) Replica {
	return Replica{Instance: instance, Service: "s", State: state, Sequence: sequence}
}

func TestOnlyReadyReplicasAreUsable(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	is.Equal(len(d.Replace([]Replica{replicaIn("a", StateReady, 1), replicaIn("b", StateDraining, 1), replicaIn("c", "odd", 1)}, 0)), 3)
	is.Equal(len(d.Usable("s", 0)), 1)
	is.Equal(d.Usable("s", 0)[0].Instance, "a")
	is.Equal(len(d.Usable("never", 0)), 0)
}

func TestApplyReturnsEffectiveChanges(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1), replicaIn("b", StateReady, 1)}, 0)
	heartbeat, draining := replicaIn("a", StateReady, 2), replicaIn("a", StateDraining, 3)
	is.Equal(len(d.Apply([]Change{{Instance: "a", Replica: &heartbeat}}, 0)), 0)
	is.Equal(len(d.Apply([]Change{{Instance: "a", Replica: &draining}, {Instance: "b"}, {Instance: "b"}}, 0)), 2)
	is.Equal(len(d.Usable("s", lapsedGracePeriod)), 0)
	is.Equal(d.Size(), 1)
	is.Equal(len(d.Replace(nil, 0)), 1)
}

func TestRemovedReplicaIsNotUsable(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1)}, 0)
	d.Remove("a", 0, 0)
	is.Equal(len(d.Usable("s", 0)), 0)
}

func TestLapsedReplicaIsUsableForGracePeriod(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	ready := replicaIn("a", StateReady, 1)
	d.Replace([]Replica{ready}, 0)
	d.Apply([]Change{{Instance: "a"}}, 0)
	is.Equal(d.Usable("s", lapsedGracePeriod-1)[0].State, StateLapsed)
	is.Equal(len(d.Usable("s", lapsedGracePeriod)), 0)

	d.Apply([]Change{{Instance: "a", Replica: &ready}}, 0)
	is.Equal(d.Usable("s", 0), []Replica{ready}) // usable again, and listed once
	d.StoreRecovered(0)
	d.Replace(nil, time.Second)
	is.Equal(len(d.Usable("s", recoveryGracePeriod-1)), 1) // the replica could not write its entry
	is.Equal(len(d.Usable("s", recoveryGracePeriod)), 0)

	draining := replicaIn("a", StateDraining, 2)
	d.Apply([]Change{{Instance: "a", Replica: &draining}, {Instance: "a"}}, 10*time.Second)
	is.Equal(len(d.Usable("s", 10*time.Second)), 0)
}

// The store was unavailable to this node only, and the recovery is detected late. A replica
// that then stops without draining must not be used two seconds after its entry was
// removed.
func TestReplicaStoppedAfterStoreRecoveryExpires(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1)}, 0)
	const recoveredAt, detectionDelay, removedAt, maxDelay = 0, 450 * time.Millisecond, 1000 * time.Millisecond, 2 * time.Second
	d.StoreRecovered(recoveredAt + detectionDelay)
	d.Apply([]Change{{Instance: "a"}}, removedAt+200*time.Millisecond)
	is.Equal(len(d.Usable("s", removedAt+time.Second)), 1)
	is.Equal(len(d.Usable("s", removedAt+maxDelay)), 0)
}
