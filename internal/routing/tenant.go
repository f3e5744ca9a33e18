package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/residency"
)

// KeyDigest is the SHA-256 digest of a client's key. Keys are looked up and logged by
// digest, so that lookups leak no key through their timing and logs contain none.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// digestShown is the number of leading digest bytes printed in logs.
const digestShown = 4

// String returns the leading bytes of the digest in hexadecimal, for logs.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:digestShown]) }

// Tenant is the account that a request is served for, identified by the request's key.
type Tenant struct {
	Name string
	// Keys are the digests of the tenant's keys.
	Keys []KeyDigest
	// Priority overrides the route's priority if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst limit the tenant's requests over all nodes. A rate of 0
	// means no limit.
	RatePerSecond, Burst float64
	// AllowedRegions are the regions in which the data of the tenant's requests may be.
	AllowedRegions residency.AllowedRegions
}

// Limited reports whether the tenant's requests are rate limited.
func (t *Tenant) Limited() bool { return t != nil && t.RatePerSecond > 0 }

// Authenticates reports whether requests need a key, which is so if the configuration
// has tenants.
func (c *Configuration) Authenticates() bool { return len(c.Tenants) > 0 }

// TenantOf returns the tenant with the given key, or nil.
func (c *Configuration) TenantOf(key KeyDigest) *Tenant { return c.byKey[key] }

// TenantNamed returns the tenant with the given name, or nil.
func (c *Configuration) TenantNamed(name string) *Tenant { return c.byTenant[name] }

// HasLimits reports whether any tenant has a limit.
func (c *Configuration) HasLimits() bool {
	for _, tenant := range c.byTenant {
		if tenant.Limited() {
			return true
		}
	}
	return false
}

// PriorityOf returns the priority of a tenant's requests on a route; tenant may be nil.
func PriorityOf(route *Route, tenant *Tenant) int {
	if tenant != nil && tenant.HasPriority {
		return tenant.Priority
	}
	return route.Priority
}

// AllowedRegionsOf returns the regions where the data of a tenant's requests on a route
// may be; tenant may be nil.
func AllowedRegionsOf(route *Route, tenant *Tenant) residency.AllowedRegions {
	if tenant == nil {
		return route.AllowedRegions
	}
	return route.AllowedRegions.Intersect(tenant.AllowedRegions)
}

// CheckAllowedRegions validates the allowed regions of routes and tenants and returns
// the problems found.
func (c *Configuration) CheckAllowedRegions(regions residency.ZoneRegions) []error {
	var routes, tenants []residency.Subject
	for _, route := range c.Routes {
		routes = append(routes, residency.Subject{Name: "route " + route.Name, AllowedRegions: route.AllowedRegions})
	}
	for _, tenant := range c.Tenants {
		tenants = append(tenants, residency.Subject{Name: "tenant " + tenant.Name, AllowedRegions: tenant.AllowedRegions})
	}
	return residency.Check(routes, tenants, regions)
}

// indexTenants builds the indexes by key and by name and returns all problems found.
func (c *Configuration) indexTenants() []error {
	c.byKey = make(map[KeyDigest]*Tenant, len(c.Tenants))
	c.byTenant = make(map[string]*Tenant, len(c.Tenants))
	var problems []error
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if err := c.indexTenant(tenant); err != nil {
			problems = append(problems, fmt.Errorf("tenant %d (%s): %w", i, tenant.Name, err))
		}
	}
	return problems
}

func (c *Configuration) indexTenant(tenant *Tenant) error {
	switch {
	case tenant.Name == "":
		return errors.New("no name")
	case c.byTenant[tenant.Name] != nil:
		return errors.New("duplicate name")
	case tenant.RatePerSecond < 0 || tenant.Burst < 0:
		return fmt.Errorf("negative rate %g or burst %g", tenant.RatePerSecond, tenant.Burst)
	}
	c.byTenant[tenant.Name] = tenant
	for _, key := range tenant.Keys {
		if other := c.byKey[key]; other != nil && other != tenant {
			return fmt.Errorf("key %s belongs to tenant %s too", key, other.Name)
		}
		c.byKey[key] = tenant
	}
	return nil
}
