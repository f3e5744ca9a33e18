package balance

import (
	"testing"

	"github.com/matryer/is"
	"github.com/samber/lo"
)

// New streams filled the last replicas of a version, so that its interrupted streams were refused.
func TestNewStreamsLeaveRoomAtScarceVersions(t *testing.T) {
	is := is.New(t)
	left := func(oldInFlight, newInFlight int) []string {
		candidates := []Candidate{{Instance: "old", Version: "v1", Slots: 8, InFlight: oldInFlight}}
		for _, instance := range []string{"new-1", "new-2", "new-3"} {
			candidates = append(candidates, Candidate{Instance: instance, Version: "v2", Slots: 8, InFlightElsewhere: newInFlight})
		}
		return lo.Map(LeaveRoom(candidates), func(one Candidate, _ int) string { return one.Instance })
	}
	all := []string{"old", "new-1", "new-2", "new-3"}
	is.Equal(left(3, 7), all)     // less than half full
	is.Equal(left(4, 7), all[1:]) // half full, and others have room
	is.Equal(left(4, 8), all)     // the others are full
	one := []Candidate{{Version: "v1", Slots: 8, InFlight: 8}, {Version: "v1", Slots: 8}}
	is.Equal(len(LeaveRoom(one)), 2) // one version only
	unknown := []Candidate{{Version: "v1"}, {Version: "v2", InFlight: 100}}
	is.Equal(len(LeaveRoom(unknown)), 2) // slots are not known
}
