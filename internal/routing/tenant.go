package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/residency"
)

// KeyDigest stands for a client's key. Keys are looked up and logged by digest, so
// that the time of a look-up tells nothing of a key and no log shows one.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// digestShown is how many bytes of a digest tell keys apart in logs.
const digestShown = 4

// String returns the beginning of the digest, for logs.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:digestShown]) }

// Tenant is whom requests are served for, as their key tells.
type Tenant struct {
	Name string
	// Keys are the digests of the tenant's keys.
	Keys []KeyDigest
	// Priority goes before the route's where HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst bound the tenant's requests at all nodes together; a
	// rate of 0 sets no limit.
	RatePerSecond, Burst float64
	// AllowedRegions are the regions in which the data of the tenant's requests may be.
	AllowedRegions residency.AllowedRegions
}

// Limited tells whether the tenant's requests are bounded.
func (t *Tenant) Limited() bool { return t != nil && t.RatePerSecond > 0 }

// Authenticates tells whether requests need a key: the configuration has tenants.
func (c *Configuration) Authenticates() bool { return len(c.Tenants) > 0 }

// TenantOf returns the tenant that holds a key, or nil.
func (c *Configuration) TenantOf(key KeyDigest) *Tenant { return c.byKey[key] }

// TenantNamed returns the tenant of a name, or nil.
func (c *Configuration) TenantNamed(name string) *Tenant { return c.byTenant[name] }

// PriorityOf returns the rank of a tenant's requests on a route; tenant may be nil.
func PriorityOf(route *Route, tenant *Tenant) int {
	if tenant != nil && tenant.HasPriority {
		return tenant.Priority
	}
	return route.Priority
}

// AllowedRegionsOf returns where the data of a tenant's requests on a route may be; tenant may be
// nil.
func AllowedRegionsOf(route *Route, tenant *Tenant) residency.AllowedRegions {
	if tenant == nil {
		return route.AllowedRegions
	}
	return route.AllowedRegions.Intersect(tenant.AllowedRegions)
}

// CheckAllowedRegions returns what is wrong with the homes of routes and tenants, by place.
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

// indexTenants fills the look-ups of tenants and returns all faults.
func (c *Configuration) indexTenants() []error {
	c.byKey = make(map[KeyDigest]*Tenant, len(c.Tenants))
	c.byTenant = make(map[string]*Tenant, len(c.Tenants))
	var faults []error
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if err := c.indexTenant(tenant); err != nil {
			faults = append(faults, fmt.Errorf("tenant %d (%s): %w", i, tenant.Name, err))
		}
	}
	return faults
}

func (c *Configuration) indexTenant(tenant *Tenant) error {
	switch {
	case tenant.Name == "":
		return errors.New("no name")
	case c.byTenant[tenant.Name] != nil:
		return errors.New("another tenant has this name")
	case tenant.RatePerSecond < 0 || tenant.Burst < 0:
		return fmt.Errorf("a rate of %g and a burst of %g can't be kept", tenant.RatePerSecond, tenant.Burst)
	}
	c.byTenant[tenant.Name] = tenant
	for _, key := range tenant.Keys {
		if other := c.byKey[key]; other != nil && other != tenant {
			return fmt.Errorf("key %s is held by %s too", key, other.Name)
		}
		c.byKey[key] = tenant
	}
	return nil
}
