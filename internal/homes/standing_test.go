package homes

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/membership"
)

// TestStandingIsAwayAtOnceAndBackAfterAWhile: an answer between refusals does not bring it back.
func TestStandingIsAwayAtOnceAndBackAfterAWhile(t *testing.T) {
	is := is.New(t)
	var seen standing
	is.True(!seen.observe(true, 0))
	is.True(seen.observe(false, time.Second))
	is.True(seen.away)
	is.True(LacksStore(membership.Member{TableVersion: seen.changes}))
	for i := range 10 { // half a second with the store, half without
		at := time.Second + time.Duration(i)*returnAfter/2
		is.True(!seen.observe(i%2 == 0, at))
	}
	back := time.Second + 5*returnAfter
	is.True(!seen.observe(true, back))
	is.True(!seen.observe(true, back+returnAfter-1))
	is.True(seen.observe(true, back+returnAfter))
	is.True(!seen.away)
	is.True(!LacksStore(membership.Member{TableVersion: seen.changes}))
	is.Equal(seen.changes, uint64(2))
}
