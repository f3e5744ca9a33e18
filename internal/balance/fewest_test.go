package balance

import (
	"testing"

	"github.com/matryer/is"
	"github.com/samber/lo"
)

func TestFewestRunningPrefersFreeReplicas(t *testing.T) {
	is := is.New(t)
	names := func(candidates []Candidate) []string {
		return lo.Map(candidates, func(one Candidate, _ int) string { return one.Instance })
	}
	candidates := []Candidate{
		{Instance: "a", Slots: 4, InFlight: 2},
		{Instance: "b", Slots: 4, InFlightElsewhere: 1},
		{Instance: "c", Slots: 4, InFlight: 1},
		{Instance: "d", Slots: 4, Suspect: true},
		{Instance: "e", Slots: 1, InFlight: 1},
	}
	is.Equal(names(FewestRunning(candidates)), []string{"b", "c"})
	is.Equal(names(FewestRunning(candidates[3:])), []string{"d", "e"}) // none is free
	is.Equal(len(FewestRunning(nil)), 0)
}
