package main

import (
	"context"
	"fmt"
	"io"

	"stepseam.example/stepseam/internal/limits"
)

// tenantsCommand shows the tenants and their limits as seen by a platform node.
type tenantsCommand struct{}

func (c *tenantsCommand) run(ctx context.Context, s *session) error {
	var status limits.TenantsStatus
	if err := s.client.get(ctx, "/v1/tenants", &status); err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) { writeTenants(w, status) })
}

func writeTenants(w io.Writer, status limits.TenantsStatus) {
	fmt.Fprintf(w, "tenants as seen by %s: configuration %d, %s\n\n", status.Node, status.Version, configurationAge(status))
	writeRow(w, "TENANT", "RATE", "BURST", "ALLOCATOR", "PACE HERE", "REFUSED HERE", "LEFT", "LEASED")
	for _, tenant := range status.Tenants {
		left, leased := "-", "-"
		if tenant.Remaining != nil {
			left = fmt.Sprintf("%.1f", *tenant.Remaining)
		}
		if tenant.LeasedFraction > 0 {
			leased = fmt.Sprintf("%.2f", tenant.LeasedFraction)
		}
		writeRow(w, tenant.Name, tenant.RatePerSecond, tenant.Burst, tenant.Allocator, fmt.Sprintf("%.1f", tenant.RequestRate), tenant.Refused, left, leased)
	}
}

// configurationAge describes the age of the node's configuration.
func configurationAge(status limits.TenantsStatus) string {
	age := fmt.Sprintf("the newest %d ms ago", status.ConfigurationAgeMs)
	if status.ConfigurationAgeMs < 0 {
		age = "not known to be the newest"
	}
	if status.LeaseMs > 0 {
		age += fmt.Sprintf(", requests with keys are served up to %d ms", status.LeaseMs)
	}
	return age
}
