// Package residency decides in which regions the data of a request may be. Routes and
// tenants may both restrict the regions; a request must satisfy both restrictions.
package residency

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// AllowedRegions is the set of regions where the data of a request may be. The zero value
// allows all regions.
type AllowedRegions struct {
	restricted bool
	regions    []string
}

// OnlyIn allows only the given regions, or all regions if none are given.
func OnlyIn(regions []string) AllowedRegions {
	if len(regions) == 0 {
		return AllowedRegions{}
	}
	return AllowedRegions{restricted: true, regions: slices.Clone(regions)}
}

// Intersect returns the regions that both sets allow. If the sets are disjoint, the result
// allows no region.
func (a AllowedRegions) Intersect(other AllowedRegions) AllowedRegions {
	switch {
	case !a.restricted:
		return other
	case !other.restricted:
		return a
	}
	shared := AllowedRegions{restricted: true}
	for _, region := range a.regions {
		if slices.Contains(other.regions, region) {
			shared.regions = append(shared.regions, region)
		}
	}
	return shared
}

// Restricted reports whether the regions are limited.
func (a AllowedRegions) Restricted() bool { return a.restricted }

// Allows reports whether the data may be in a region.
func (a AllowedRegions) Allows(region string) bool {
	return !a.restricted || slices.Contains(a.regions, region)
}

// String returns the regions for log lines.
func (a AllowedRegions) String() string {
	if !a.restricted {
		return "any"
	}
	return strings.Join(a.regions, ",")
}

// ZoneRegions maps zones to regions.
type ZoneRegions map[string]string

// RegionOf returns a zone's region; empty if the zone is unknown.
func (r ZoneRegions) RegionOf(zone string) string { return r[zone] }

// Allows reports whether data may be in a zone. A zone without a known region is not
// allowed if the regions are restricted.
func (r ZoneRegions) Allows(allowed AllowedRegions, zone string) bool {
	if !allowed.Restricted() {
		return true
	}
	region, known := r[zone]
	return known && allowed.Allows(region)
}

// Subject is a route or tenant with its allowed regions.
type Subject struct {
	// Name identifies the subject in findings, such as "route r1".
	Name           string
	AllowedRegions AllowedRegions
}

var (
	// ErrRegionWithoutZone means that an allowed region has no zone.
	ErrRegionWithoutZone = errors.New("residency: home regions that no zone has")
	// ErrDisjointRegions means that a route and a tenant allow no common region, so that
	// the tenant's requests on the route are rejected.
	ErrDisjointRegions = errors.New("residency: homes that share no region")
)

// Check returns an error for each inconsistency in the allowed regions of a configuration.
func Check(routes, tenants []Subject, regions ZoneRegions) []error {
	var findings []error
	known := map[string]bool{}
	for _, region := range regions {
		known[region] = true
	}
	for _, subject := range append(slices.Clone(routes), tenants...) {
		var missing []string
		for _, region := range subject.AllowedRegions.regions {
			if !known[region] {
				missing = append(missing, region)
			}
		}
		if len(missing) > 0 {
			findings = append(findings, fmt.Errorf("%s: %w: %s", subject.Name, ErrRegionWithoutZone, strings.Join(missing, ",")))
		}
	}
	return append(findings, disjoint(routes, tenants)...)
}

// disjoint returns an error for each route and tenant that allow no common region.
func disjoint(routes, tenants []Subject) []error {
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
