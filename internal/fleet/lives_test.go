package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func bornAt(born int64, sequence uint64) Replica {
	replica := replicaIn("a", StateReady, sequence)
	replica.StartedAtMs = born
	return replica
}

func apply(d *Directory, replica Replica, now time.Duration) []Change {
	return d.Apply([]Change{{Instance: replica.Instance, Replica: &replica}}, now)
}

// TestLaterLifeCountsWhateverItsSequence: a replica that starts again under its instance has
// nothing of what was known of it, and its counts start anew.
func TestLaterLifeCountsWhateverItsSequence(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	first, second := bornAt(1000, 70), bornAt(2000, 1)
	is.Equal(len(apply(d, first, 0)), 1)
	changes := apply(d, second, time.Second)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].PreviousIncarnation, first.IncarnationID())
	is.True(first.IncarnationID() != second.IncarnationID())
	is.Equal(d.Usable("s", time.Second)[0].IncarnationID(), second.IncarnationID())
	is.Equal(d.Size(), 1)
	_, found := d.ByIncarnation(first.IncarnationID(), time.Second)
	is.True(!found)
	found2, found := d.ByIncarnation(second.IncarnationID(), time.Second)
	is.True(found)
	is.Equal(found2.Instance, "a")
}

// TestLateWordOfAnEarlierLifeChangesNothing: not even that it drains, or with a higher count.
func TestLateWordOfAnEarlierLifeChangesNothing(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	apply(d, bornAt(2000, 1), 0)
	late := bornAt(1000, 99)
	late.State = StateDraining
	is.Equal(len(apply(d, late, time.Second)), 0)
	is.Equal(len(d.Usable("s", time.Second)), 1)
	is.Equal(d.Usable("s", time.Second)[0].StartedAtMs, int64(2000))
}

// TestEarlierBirthCountsOnceTheLaterLifeIsSilent: the clock of the replica's machine went
// back before it started again. It is out of use for quietLife at the most.
func TestEarlierBirthCountsOnceTheLaterLifeIsSilent(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	apply(d, bornAt(2000, 1), 0)
	again := bornAt(1500, 1)
	is.Equal(len(apply(d, again, quietLife-1)), 0)
	is.Equal(len(apply(d, again, quietLife)), 1)
	is.Equal(d.Usable("s", quietLife)[0].StartedAtMs, int64(1500))
	// Where the entry went in between, it counts at once.
	d.Apply([]Change{{Instance: "a"}}, quietLife)
	is.Equal(len(apply(d, bornAt(1200, 1), quietLife)), 1)
}

// TestEntryThatNamesNoReplicaTakesItOutOfUseAtOnce: there is no time of grace as for entries
// that are gone, and the next good entry brings it back.
func TestEntryThatNamesNoReplicaTakesItOutOfUseAtOnce(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Replace([]Replica{replicaIn("a", StateReady, 1), replicaIn("b", StateReady, 1)}, 0)
	changes := d.Apply([]Change{{Instance: "a", Unreadable: true}, {Instance: "never", Unreadable: true}}, 0)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].PreviousIncarnation, "a")
	is.Equal(len(d.Usable("s", 0)), 1)
	is.Equal(d.Usable("s", 0)[0].Instance, "b")
	apply(d, replicaIn("a", StateReady, 3), 0)
	is.Equal(len(d.Usable("s", 0)), 2)
}

func TestInstancesMayLookLikeLives(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	odd := replicaIn("a@1", StateReady, 1)
	apply(d, odd, 0)
	_, found := d.ByIncarnation("a@1", 0)
	is.True(found)
}

func TestColdBeatsAreToldAsMinor(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	cold := replicaIn("a", StateReady, 1)
	cold.ColdRemaining = time.Second
	apply(d, cold, 0)
	cold.Sequence, cold.ColdRemaining = 2, time.Second/2
	changes := apply(d, cold, 0)
	is.True(len(changes) == 1 && changes[0].ColdOnly)
	cold.Sequence, cold.ColdRemaining = 3, 0
	is.Equal(len(apply(d, cold, 0)), 1) // it has turned warm
	cold.Sequence = 4
	is.Equal(len(apply(d, cold, 0)), 0)
}

func TestEncodedReplicasSurvive(t *testing.T) {
	is := is.New(t)
	replica := bornAt(1234, 9)
	replica.Zone, replica.Slots, replica.ColdRemaining = "z", 6, time.Second
	replica.Address = netip.MustParseAddrPort("10.0.0.1:80")
	read, err := Decode("a", Encode(&replica))
	is.NoErr(err)
	is.Equal(read, replica)
	newer := append(Encode(&replica), 1, 2, 3) // a later build's further fields
	read, err = Decode("a", newer)
	is.NoErr(err)
	is.Equal(read, replica)
	_, err = Decode("a", Encode(&replica)[:9])
	is.True(err != nil)
	_, err = Decode("a", []byte{codecVersion + 1})
	is.True(err != nil)
}

func FuzzDecode(f *testing.F) {
	replica := bornAt(1234, 9)
	f.Add(Encode(&replica))
	f.Add([]byte{codecVersion, 0xff})
	f.Fuzz(func(_ *testing.T, encoded []byte) { _, _ = Decode("a", encoded) })
}
