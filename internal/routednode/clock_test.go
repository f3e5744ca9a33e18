package routednode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/quota"
)

// Leases must end while a machine is suspended, when only its wall clock goes on. A wall clock
// that is set back must not make them last longer.
func TestAuthorityEndsWhileMachineIsSuspended(t *testing.T) {
	is := is.New(t)
	elapsed, stepped, base := time.Duration(0), time.Duration(0), time.Now()
	read := newAuthorityClock(func() time.Duration { return elapsed }, func() time.Time { return base.Add(elapsed + stepped) })
	is.Equal(read(), time.Duration(0))
	elapsed = time.Second
	is.Equal(read(), time.Second)
	stepped = 10 * time.Second // suspended for ten seconds
	elapsed += 100 * time.Millisecond
	is.Equal(read(), 11100*time.Millisecond)
	stepped -= 3 * time.Second // the wall clock is set back
	elapsed += 100 * time.Millisecond
	is.Equal(read(), 11200*time.Millisecond)
	stepped += minSuspension / 2 // an adjustment
	elapsed += 100 * time.Millisecond
	is.Equal(read(), 11300*time.Millisecond)
	stepped += minSuspension // set forward, or suspended for less than the life of a lease
	elapsed += 100 * time.Millisecond
	is.Equal(read(), 11400*time.Millisecond+quota.LeaseTTL)
}
