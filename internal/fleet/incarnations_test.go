package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func startedAt(startedAtMs int64, sequence uint64) Replica {
	replica := replicaIn("a", StateReady, sequence)
	replica.StartedAtMs = startedAtMs
	return replica
}

func apply(d *Directory, replica Replica, now time.Duration) []Change {
	return d.Apply([]Change{{Instance: replica.Instance, Replica: &replica}}, now)
}

// A restarted replica has a new incarnation ID, and its sequence starts again.
func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	first, second := startedAt(1000, 70), startedAt(2000, 1)
	is.Equal(len(apply(d, first, 0)), 1)
	changes := apply(d, second, time.Second)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].PreviousIncarnation, first.IncarnationID())
	is.True(first.IncarnationID() != second.IncarnationID())
	is.Equal(d.Usable("s", time.Second)[0].IncarnationID(), second.IncarnationID())
	is.Equal(d.Size(), 1)
	_, found := d.ByIncarnation(first.IncarnationID(), time.Second)
	is.True(!found)
	replica, found := d.ByIncarnation(second.IncarnationID(), time.Second)
	is.True(found)
	is.Equal(replica.Instance, "a")
}

// This includes draining updates and those with a higher sequence.
func TestDelayedUpdateOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	apply(d, startedAt(2000, 1), 0)
	late := startedAt(1000, 99)
	late.State = StateDraining
	is.Equal(len(apply(d, late, time.Second)), 0)
	is.Equal(len(d.Usable("s", time.Second)), 1)
	is.Equal(d.Usable("s", time.Second)[0].StartedAtMs, int64(2000))
}

// The clock of the replica's machine was set back before a restart. The replica must be
// usable again after incarnationTTL.
func TestEarlierStartTimeIsAcceptedAfterTTL(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	apply(d, startedAt(2000, 1), 0)
	again := startedAt(1500, 1)
	is.Equal(len(apply(d, again, incarnationTTL-1)), 0)
	is.Equal(len(apply(d, again, incarnationTTL)), 1)
	is.Equal(d.Usable("s", incarnationTTL)[0].StartedAtMs, int64(1500))
	// If the entry was removed in between, the new one is accepted immediately.
	d.Apply([]Change{{Instance: "a"}}, incarnationTTL)
	is.Equal(len(apply(d, startedAt(1200, 1), incarnationTTL)), 1)
}

// An unreadable entry has no grace period. The next valid entry makes the replica usable
// again.
func TestUnreadableEntryRemovesReplicaImmediately(t *testing.T) {
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

func TestInstanceNameMayResembleIncarnationID(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	odd := replicaIn("a@1", StateReady, 1)
	apply(d, odd, 0)
	_, found := d.ByIncarnation("a@1", 0)
	is.True(found)
}

func TestColdHeartbeatsAreColdOnly(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	cold := replicaIn("a", StateReady, 1)
	cold.ColdRemaining = time.Second
	apply(d, cold, 0)
	cold.Sequence, cold.ColdRemaining = 2, time.Second/2
	changes := apply(d, cold, 0)
	is.True(len(changes) == 1 && changes[0].ColdOnly)
	cold.Sequence, cold.ColdRemaining = 3, 0
	is.Equal(len(apply(d, cold, 0)), 1) // no longer cold
	cold.Sequence = 4
	is.Equal(len(apply(d, cold, 0)), 0)
}

func TestReplicaCodecRoundTrip(t *testing.T) {
	is := is.New(t)
	replica := startedAt(1234, 9)
	replica.Zone, replica.Slots, replica.ColdRemaining = "z", 6, time.Second
	replica.Address = netip.MustParseAddrPort("10.0.0.1:80")
	read, err := Decode("a", Encode(&replica))
	is.NoErr(err)
	is.Equal(read, replica)
	newer := append(Encode(&replica), 1, 2, 3) // fields of a later version
	read, err = Decode("a", newer)
	is.NoErr(err)
	is.Equal(read, replica)
	_, err = Decode("a", Encode(&replica)[:9])
	is.True(err != nil)
	_, err = Decode("a", []byte{codecVersion + 1})
	is.True(err != nil)
}

func FuzzDecode(f *testing.F) {
	replica := startedAt(1234, 9)
	f.Add(Encode(&replica))
	f.Add([]byte{codecVersion, 0xff})
	f.Fuzz(func(_ *testing.T, encoded []byte) { _, _ = Decode("a", encoded) })
}
