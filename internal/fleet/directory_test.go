package fleet

import (
	"testing"

	"github.com/matryer/is"
)

func replicaIn(instance string, state State, sequence uint64) Replica {
	return Replica{Instance: instance, Service: "s", State: state, Sequence: sequence}
}

func TestOnlyReadyReplicasTakeWork(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	is.Equal(len(d.Replace([]Replica{replicaIn("a", StateReady, 1), replicaIn("b", StateDraining, 1), replicaIn("c", "odd", 1)})), 3)
	is.Equal(len(d.Ready("s")), 1)
	is.True(d.Takes("a") && !d.Takes("b") && !d.Takes("c") && !d.Takes("never"))
}

func TestChangesThatMatterAreTold(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1), replicaIn("b", StateReady, 1)})
	beat, draining := replicaIn("a", StateReady, 2), replicaIn("a", StateDraining, 3)
	is.Equal(len(d.Apply([]Change{{Instance: "a", Replica: &beat}})), 0)
	is.Equal(len(d.Apply([]Change{{Instance: "a", Replica: &draining}, {Instance: "b"}, {Instance: "b"}})), 2)
	is.Equal(len(d.Ready("s")), 0)
	is.Equal(d.Size(), 1)
	is.Equal(len(d.Replace(nil)), 1)
}

func TestRemovedReplicaTakesNoMoreWork(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1)})
	d.Remove("a")
	is.Equal(len(d.Ready("s")), 0)
}
