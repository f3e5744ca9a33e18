package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func replicaIn(instance string, state State, sequence uint64) Replica {
	return Replica{Instance: instance, Service: "s", State: state, Sequence: sequence}
}

func TestOnlyReadyReplicasTakeWork(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	is.Equal(len(d.Replace([]Replica{replicaIn("a", StateReady, 1), replicaIn("b", StateDraining, 1), replicaIn("c", "odd", 1)}, 0)), 3)
	is.Equal(len(d.Usable("s", 0)), 1)
	is.Equal(d.Usable("s", 0)[0].Instance, "a")
	is.Equal(len(d.Usable("never", 0)), 0)
}

func TestChangesThatMatterAreTold(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1), replicaIn("b", StateReady, 1)}, 0)
	beat, draining := replicaIn("a", StateReady, 2), replicaIn("a", StateDraining, 3)
	is.Equal(len(d.Apply([]Change{{Instance: "a", Replica: &beat}}, 0)), 0)
	is.Equal(len(d.Apply([]Change{{Instance: "a", Replica: &draining}, {Instance: "b"}, {Instance: "b"}}, 0)), 2)
	is.Equal(len(d.Usable("s", lapsedLife)), 0)
	is.Equal(d.Size(), 1)
	is.Equal(len(d.Replace(nil, 0)), 1)
}

func TestRemovedReplicaTakesNoMoreWork(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1)}, 0)
	d.Remove("a", 0)
	is.Equal(len(d.Usable("s", 0)), 0)
}

func TestReplicaWhoseEntryIsGoneIsUsedForAShortTime(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	ready := replicaIn("a", StateReady, 1)
	d.Replace([]Replica{ready}, 0)
	d.Apply([]Change{{Instance: "a"}}, 0)
	is.Equal(d.Usable("s", lapsedLife-1)[0].State, StateLapsed)
	is.Equal(len(d.Usable("s", lapsedLife)), 0)

	d.Apply([]Change{{Instance: "a", Replica: &ready}}, 0)
	is.Equal(d.Usable("s", 0), []Replica{ready}) // back, and listed once
	d.StoreRecovered(0)
	d.Replace(nil, time.Second)
	is.Equal(len(d.Usable("s", unsettledLife-1)), 1) // it could not write
	is.Equal(len(d.Usable("s", unsettledLife)), 0)

	draining := replicaIn("a", StateDraining, 2)
	d.Apply([]Change{{Instance: "a", Replica: &draining}, {Instance: "a"}}, 10*time.Second)
	is.Equal(len(d.Usable("s", 10*time.Second)), 0)
}

// TestReplicaThatLeavesAfterTheStoresReturnIsNotUsedForLong: the store was away for one
// node alone and is heard again late; then a replica leaves without a word. Two seconds
// after its entry went it gets nothing more.
func TestReplicaThatLeavesAfterTheStoresReturnIsNotUsedForLong(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1)}, 0)
	const back, heardBack, gone, drain = 0, 450 * time.Millisecond, 1000 * time.Millisecond, 2 * time.Second
	d.StoreRecovered(back + heardBack)
	d.Apply([]Change{{Instance: "a"}}, gone+200*time.Millisecond)
	is.Equal(len(d.Usable("s", gone+time.Second)), 1)
	is.Equal(len(d.Usable("s", gone+drain)), 0)
}
