package limits

import (
	"slices"
	"strings"
)

// TenantsStatus is what a node of a platform knows of the tenants that it serves or
// whose limits it allots.
type TenantsStatus struct {
	Node string `json:"node"`
	// Version is the configuration in force. It was the newest ConfigurationAgeMs ago, and
	// requests with keys are served up to LeaseMs; -1 and 0 if that is not known or not
	// bounded.
	Version            uint64         `json:"version"`
	ConfigurationAgeMs int64          `json:"configuration_age_ms"`
	LeaseMs            int64          `json:"lease_ms"`
	Tenants            []TenantStatus `json:"tenants"`
}

// TenantStatus is one tenant as seen by one node.
type TenantStatus struct {
	Name string `json:"name"`
	// RatePerSecond and Burst are the tenant's limit.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// Allocator is the node that hands out what may run.
	Allocator string `json:"allocator"`
	// RequestRate is what this node has lately served, in requests a second, and Refused what it
	// has refused for the limit since the tenant was used first.
	RequestRate float64 `json:"pace"`
	Refused     uint64  `json:"refused"`
	// Remaining is what the node's bucket holds, only where it is the allocator.
	Remaining *float64 `json:"left,omitempty"`
}

// Status returns the tenants that this node has served lately or allots, by name.
func (s *Service) Status() []TenantStatus {
	now := s.config.Now()
	s.mutex.Lock()
	accounts := s.allocator.Left()
	s.mutex.Unlock()
	s.stocksMutex.Lock()
	stocks := make(map[string]*stock, len(s.stocks))
	for tenant, one := range s.stocks {
		stocks[tenant] = one
	}
	s.stocksMutex.Unlock()

	var found []TenantStatus
	for tenant, account := range accounts {
		status := s.describe(tenant)
		status.Remaining = &account.Requests
		if one := stocks[tenant]; one != nil {
			one.describe(&status, now)
		}
		delete(stocks, tenant)
		found = append(found, status)
	}
	for tenant, one := range stocks {
		status := s.describe(tenant)
		one.describe(&status, now)
		found = append(found, status)
	}
	slices.SortFunc(found, func(a, b TenantStatus) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// describe returns a tenant's limit and who allots it.
func (s *Service) describe(tenant string) TenantStatus {
	limit, _ := s.limit(tenant)
	node, self := s.allocatorOf(tenant)
	allocator := string(node.Name)
	if self {
		allocator = string(s.config.Self)
	}
	return TenantStatus{Name: tenant, RatePerSecond: limit.RatePerSecond, Burst: limit.Burst, Allocator: allocator}
}
