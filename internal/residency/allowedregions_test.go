package residency

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestIntersectSatisfiesRouteAndTenant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []string{"r1", "r2", "r3"}
		route := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID[string]).Draw(t, "route")
		tenant := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID[string]).Draw(t, "tenant")
		both := OnlyIn(route).Intersect(OnlyIn(tenant))
		for _, region := range all {
			want := OnlyIn(route).Allows(region) && OnlyIn(tenant).Allows(region)
			if both.Allows(region) != want {
				t.Fatalf("%s of %v and %v: %v", region, route, tenant, both)
			}
		}
		if both.Restricted() != (len(route) > 0 || len(tenant) > 0) {
			t.Fatal("a bound came or went")
		}
	})
}

func TestZoneWithoutRegionIsNotAllowed(t *testing.T) {
	is := is.New(t)
	regions := ZoneRegions{"z1": "r1"}
	is.True(regions.Allows(OnlyIn([]string{"r1"}), "z1"))
	is.True(!regions.Allows(OnlyIn([]string{"r2"}), "z1"))
	is.True(!regions.Allows(OnlyIn([]string{""}), "unknown"))
	is.True(regions.Allows(OnlyIn(nil), "unknown"))
	is.True(!regions.Allows(OnlyIn([]string{"r1"}).Intersect(OnlyIn([]string{"r2"})), "z1"))
	is.Equal(OnlyIn([]string{"r1", "r2"}).String(), "r1,r2")
	is.Equal(AllowedRegions{}.String(), "any")
}

func TestFindingsNameTheirSubjects(t *testing.T) {
	is := is.New(t)
	routes := []Subject{{"route a", OnlyIn([]string{"r1"})}, {"route b", OnlyIn(nil)}, {"route c", OnlyIn([]string{"r9"})}}
	tenants := []Subject{{"tenant t", OnlyIn([]string{"r2"})}}
	findings := Check(routes, tenants, ZoneRegions{"z1": "r1", "z2": "r2"})
	is.Equal(len(findings), 3)
	is.True(errors.Is(findings[0], ErrRegionWithoutZone))
	is.Equal(findings[0].Error(), "route c: residency: home regions that no zone has: r9")
	is.True(errors.Is(findings[1], ErrDisjointRegions))
	is.Equal(findings[1].Error(), "route a and tenant t: residency: homes that share no region: r1, r2")
	is.Equal(len(Check(routes[:2], nil, ZoneRegions{"z1": "r1"})), 0)
}
