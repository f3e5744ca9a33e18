package limits

import (
	"slices"
	"strings"

	"stepseam.example/stepseam/internal/quota"
)

// TenantsStatus is a node's status of the tenants that it serves or allocates for.
type TenantsStatus struct {
	Node string `json:"node"`
	// Version is the current configuration, which was last confirmed as the latest
	// ConfigurationAgeMs ago; -1 if unknown. Requests with keys are served up to an age of
	// LeaseMs; 0 if unbounded.
	Version            uint64         `json:"version"`
	ConfigurationAgeMs int64          `json:"configuration_age_ms"`
	LeaseMs            int64          `json:"lease_ms"`
	Tenants            []TenantStatus `json:"tenants"`
}

// TenantStatus is a node's status of one tenant.
type TenantStatus struct {
	Name string `json:"name"`
	// RatePerSecond and Burst are the tenant's limit.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// Allocator is the node that grants the tenant's tokens.
	Allocator string `json:"allocator"`
	// LeasedFraction is the fraction of the limit that this node may grant as the
	// allocator; 0 if it is not.
	LeasedFraction float64 `json:"leased_fraction,omitempty"`
	// RequestRate is the recent rate of requests served by this node, per second. Refused
	// counts the requests that it has rejected because of the limit.
	RequestRate float64 `json:"pace"`
	Refused     uint64  `json:"refused"`
	// Remaining is the number of tokens in the bucket; nil unless this node is the
	// allocator.
	Remaining *float64 `json:"left,omitempty"`
}

// Status returns the tenants that this node has recently served or allocates for, by name.
func (s *Service) Status() []TenantStatus {
	now := s.config.Now()
	s.mutex.Lock()
	accounts := s.allocator.Accounts(now)
	s.mutex.Unlock()
	s.tenantsMutex.Lock()
	tenants := make(map[string]*tenantTokens, len(s.tenants))
	for tenant, tokens := range s.tenants {
		tenants[tenant] = tokens
	}
	s.tenantsMutex.Unlock()

	var found []TenantStatus
	for tenant, account := range accounts {
		status := s.describe(tenant)
		status.Remaining = &account.Requests
		if tokens := tenants[tenant]; tokens != nil {
			tokens.describe(&status, now)
		}
		delete(tenants, tenant)
		found = append(found, status)
	}
	for tenant, tokens := range tenants {
		status := s.describe(tenant)
		tokens.describe(&status, now)
		found = append(found, status)
	}
	slices.SortFunc(found, func(a, b TenantStatus) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// describe returns a tenant's limit and allocator.
func (s *Service) describe(tenant string) TenantStatus {
	limit, _ := s.limit(tenant)
	node, _, _ := s.allocatorOf(tenant)
	return TenantStatus{
		Name: tenant, RatePerSecond: limit.RatePerSecond, Burst: limit.Burst, Allocator: string(node.Name),
		LeasedFraction: s.fraction(quota.PartitionOf(tenant)),
	}
}
