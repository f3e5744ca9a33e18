package routednode

import (
	"testing"

	"github.com/matryer/is"
)

func TestPeersAreToldOfTheNewestConfiguration(t *testing.T) {
	is := is.New(t)
	v := &views{}
	v.keepConfiguration(7, []byte("seven"))
	v.keepConfiguration(5, []byte("five")) // put in force before seven, kept after it
	version, encoded := v.encodedConfiguration()
	is.Equal(version, uint64(7))
	is.Equal(string(encoded), "seven")
}
