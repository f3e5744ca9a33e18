package fleet

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Nodes would take a replica of unknown version for one without a version.
func TestVersionIsEncodedAndItsAbsenceIsNoVersion(t *testing.T) {
	is := is.New(t)
	for _, version := range []string{"", "v1.2"} {
		replica := replicaIn("a", StateReady, 1)
		replica.Address, replica.Version = netip.MustParseAddrPort("10.0.0.1:80"), version
		read, err := Decode("a", Encode(&replica))
		is.NoErr(err)
		is.Equal(read, replica)
	}
	unknown := replicaIn("a", StateReady, 1)
	unknown.Address, unknown.VersionUnknown = netip.MustParseAddrPort("10.0.0.1:80"), true // the form of builds without versions
	read, err := Decode("a", Encode(&unknown))
	is.NoErr(err)
	is.Equal(read, unknown)
	known := unknown
	known.VersionUnknown, known.Version = false, "v1"
	_, err = Decode("a", Encode(&known)[:len(Encode(&known))-1])
	is.True(err != nil) // it ends within the version
}

// The first event of a replica that had started again under its ID was recorded for the version of its
// former entry, since that had lapsed and no entry contradicted it.
func TestReplicaWithoutEntryIsConfirmedOnlyByAnIDOfItsOwn(t *testing.T) {
	for startedAtMs, confirmed := range map[int64]bool{0: true, 1: false} {
		is := is.New(t)
		d := NewDirectory()
		replica := replicaIn("a", StateReady, 1)
		replica.StartedAtMs, replica.Version = startedAtMs, "v1"
		d.Replace([]Replica{replica}, 0)
		is.True(d.Confirms(&replica))
		d.Apply([]Change{{Instance: replica.Instance}}, 0)
		is.Equal(len(d.Usable(replica.Service, 0)), 1) // it has lapsed
		is.Equal(d.Confirms(&replica), confirmed)
		restarted := replica
		restarted.StartedAtMs, restarted.Version = startedAtMs+1, "v2"
		d.Apply([]Change{{Instance: replica.Instance, Replica: &restarted}}, 0)
		is.True(!d.Confirms(&replica))
	}
}
