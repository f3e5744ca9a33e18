package routednode

import (
	"testing"

	"github.com/matryer/is"
)

func TestNewestConfigurationIsStoredForPeers(t *testing.T) {
	is := is.New(t)
	v := &views{}
	v.storeConfiguration(7, []byte("seven"))
	v.storeConfiguration(5, []byte("five")) // set before version 7, stored after it
	version, encoded := v.encodedConfiguration()
	is.Equal(version, uint64(7))
	is.Equal(string(encoded), "seven")
}
