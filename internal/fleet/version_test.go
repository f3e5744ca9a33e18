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
