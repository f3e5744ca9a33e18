package fleet

import (
	"errors"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func validReplica() Replica {
	return Replica{Instance: "i-1", Service: "s", Zone: "z", Version: "v", Slots: 1, State: StateReady, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

// An instance with a line feed added fields, or a whole request, to the head of a request to a replica.
func TestInstanceThatARequestCantCarryIsRejected(t *testing.T) {
	for _, instance := range []string{"", " ", "i ", "\ti", "a\r\nX-Odd: 1", "a\n", "\x00", "\x7f", "i-\xff", "i\u0085", strings.Repeat("k", MaxTextBytes+1)} {
		is := is.New(t)
		replica := validReplica()
		replica.Instance = instance
		is.True(errors.Is(replica.Validate(), ErrInstance))
		_, err := Decode(instance, Encode(&replica))
		is.True(errors.Is(err, ErrInstance))
	}
	for _, instance := range []string{"i-7f3a91c2", "a", "é", strings.Repeat("k", MaxTextBytes)} {
		is := is.New(t)
		replica := validReplica()
		replica.Instance = instance
		is.NoErr(replica.Validate())
	}
}

// Texts of unbounded length were kept, logged and passed on to other nodes with each change.
func TestLongTextsAreRejected(t *testing.T) {
	long := strings.Repeat("x", MaxTextBytes+1)
	for _, set := range []func(*Replica){
		func(r *Replica) { r.Service = long }, func(r *Replica) { r.Zone = long }, func(r *Replica) { r.Version = long },
		func(r *Replica) { r.Address = netip.MustParseAddrPort("[fe80::1%" + long + "]:80") },
	} {
		is := is.New(t)
		replica := validReplica()
		set(&replica)
		is.True(errors.Is(replica.Validate(), ErrTextSize))
		_, err := Decode("i-1", Encode(&replica))
		is.True(errors.Is(err, ErrTextSize))
	}
}

// Requests were sent to addresses where no replica can be, and failed.
func TestAddressWithoutAListenerIsRejected(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "0.0.0.0:80", "[::]:80", "255.255.255.255:80", "224.0.0.1:80", "[ff02::1]:80", "[::ffff:0.0.0.0]:80"} {
		is := is.New(t)
		replica := validReplica()
		replica.Address = netip.MustParseAddrPort(address)
		is.True(errors.Is(replica.Validate(), ErrAddress))
	}
	for _, address := range []string{"127.0.0.1:80", "[::1]:80", "[fe80::1%eth0]:80", "10.255.255.255:65535"} {
		is := is.New(t)
		replica := validReplica()
		replica.Address = netip.MustParseAddrPort(address)
		is.NoErr(replica.Validate())
	}
}

// A cold time that overflowed made a replica count as warm.
func TestColdTimeOutOfRangeIsRejected(t *testing.T) {
	for _, cold := range []time.Duration{-1, math.MinInt64, MaxColdRemaining + 1, math.MaxInt64} {
		is := is.New(t)
		replica := validReplica()
		replica.ColdRemaining = cold
		is.True(errors.Is(replica.Validate(), ErrCold))
		_, err := Decode("i-1", Encode(&replica))
		is.True(errors.Is(err, ErrCold))
	}
	is := is.New(t)
	replica := validReplica()
	replica.ColdRemaining = MaxColdRemaining
	is.NoErr(replica.Validate())
}
