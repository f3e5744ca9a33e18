// Package residency decides in which regions a request's data may be. Routes and tenants
// may name home regions; where both do, both bind. It is pure.
package residency

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// AllowedRegions are the regions in which the data of a request may be. The zero value sets no
// bound.
type AllowedRegions struct {
	bound   bool
	regions []string
}

// OnlyIn returns homes in the given regions; without any there is no bound.
func OnlyIn(regions []string) AllowedRegions {
	if len(regions) == 0 {
		return AllowedRegions{}
	}
	return AllowedRegions{bound: true, regions: slices.Clone(regions)}
}

// Intersect returns the homes that are both. Two bounds that share no region leave none.
func (h AllowedRegions) Intersect(other AllowedRegions) AllowedRegions {
	switch {
	case !h.bound:
		return other
	case !other.bound:
		return h
	}
	shared := AllowedRegions{bound: true}
	for _, region := range h.regions {
		if slices.Contains(other.regions, region) {
			shared.regions = append(shared.regions, region)
		}
	}
	return shared
}

// Restricted tells whether not every region will do.
func (h AllowedRegions) Restricted() bool { return h.bound }

// Allows tells whether the data may be in a region.
func (h AllowedRegions) Allows(region string) bool {
	return !h.bound || slices.Contains(h.regions, region)
}

// String lists the regions, for log lines.
func (h AllowedRegions) String() string {
	if !h.bound {
		return "any"
	}
	return strings.Join(h.regions, ",")
}

// ZoneRegions tells the region of each zone.
type ZoneRegions map[string]string

// RegionOf returns a zone's region, empty where the zone is not known.
func (r ZoneRegions) RegionOf(zone string) string { return r[zone] }

// Allows tells whether data may be in a zone. A zone whose region is not known is no home.
func (r ZoneRegions) Allows(homes AllowedRegions, zone string) bool {
	if !homes.Restricted() {
		return true
	}
	region, known := r[zone]
	return known && homes.Allows(region)
}

// Subject is a route or tenant with its homes.
type Subject struct {
	// Name names it in findings, such as "route r1".
	Name           string
	AllowedRegions AllowedRegions
}

var (
	// ErrRegionWithoutZone tells that a home is a region without a zone.
	ErrRegionWithoutZone = errors.New("residency: home regions that no zone has")
	// ErrDisjointRegions tells that a route and a tenant share no home, so that the tenant's
	// requests on the route are refused.
	ErrDisjointRegions = errors.New("residency: homes that share no region")
)

// Check returns what is wrong with the homes of a configuration, by place.
func Check(routes, tenants []Subject, regions ZoneRegions) []error {
	var findings []error
	known := map[string]bool{}
	for _, region := range regions {
		known[region] = true
	}
	for _, one := range append(slices.Clone(routes), tenants...) {
		var missing []string
		for _, region := range one.AllowedRegions.regions {
			if !known[region] {
				missing = append(missing, region)
			}
		}
		if len(missing) > 0 {
			findings = append(findings, fmt.Errorf("%s: %w: %s", one.Name, ErrRegionWithoutZone, strings.Join(missing, ",")))
		}
	}
	return append(findings, unshared(routes, tenants)...)
}

// unshared finds routes and tenants that have homes, and none in common.
func unshared(routes, tenants []Subject) []error {
	var findings []error
	for _, route := range routes {
		for _, tenant := range tenants {
			both := route.AllowedRegions.Intersect(tenant.AllowedRegions)
			if both.Restricted() && len(both.regions) == 0 {
				findings = append(findings, fmt.Errorf("%s and %s: %w: %s, %s", route.Name, tenant.Name, ErrDisjointRegions, route.AllowedRegions, tenant.AllowedRegions))
			}
		}
	}
	return findings
}
