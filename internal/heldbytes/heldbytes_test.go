package heldbytes

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// A peer that sent without an end took the room of all others.
func TestOneOwnerLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	limit := New(100)
	greedy := []*Holder{limit.Holder("a"), limit.Holder("a")}
	is.NoErr(greedy[0].Grow(20))
	is.NoErr(greedy[1].Grow(5))
	is.True(errors.Is(greedy[1].Grow(6), ErrOwnerFull))
	for i := range 3 {
		is.NoErr(limit.Holder(fmt.Sprint(i)).Grow(25))
	}
	is.True(errors.Is(limit.Holder("").Grow(1), ErrFull))
	greedy[0].Release()
	is.NoErr(limit.Holder("").Grow(20))
	is.Equal(limit.Used(), int64(100))
}

func TestModelHeldBytesStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bytes = 1000
		limit := New(bytes)
		var holders []*Holder
		for i := range 12 {
			holders = append(holders, limit.Holder([]string{"", "a", "b"}[i%3]))
		}
		for range 100 {
			one := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
			total := int64(rapid.IntRange(0, bytes).Draw(t, "total"))
			before := one.bytes
			if rapid.Bool().Draw(t, "grows") {
				if err := one.Grow(total); err != nil && one.bytes != before || err == nil && one.bytes != max(total, before) {
					t.Fatalf("%d became %d for %d, %v", before, one.bytes, total, err)
				}
			} else {
				one.Shrink(total)
			}
			checkLimits(t, limit, holders)
		}
		for _, holder := range holders {
			holder.Release()
		}
		if limit.Used() != 0 || len(limit.owners) != 0 {
			t.Fatalf("%d bytes are left, %v", limit.Used(), limit.owners)
		}
	})
}

func checkLimits(t *rapid.T, limit *Limit, holders []*Holder) {
	sum, owned := int64(0), map[string]int64{}
	for _, holder := range holders {
		sum += holder.bytes
		owned[holder.owner] += holder.bytes
	}
	if sum != limit.Used() || sum > limit.bytes || owned["a"] > limit.bytes/ownerDivisor || owned["b"] > limit.bytes/ownerDivisor {
		t.Fatalf("%d bytes are held, %d counted, by owner %v", sum, limit.Used(), owned)
	}
}
