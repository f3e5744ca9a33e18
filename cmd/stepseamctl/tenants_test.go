package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/limits"
)

func TestTenantsArePrinted(t *testing.T) {
	is := is.New(t)
	left := 12.25
	status := limits.TenantsStatus{Node: "n1", Version: 7, ConfigurationAgeMs: 310, LeaseMs: 4750, Tenants: []limits.TenantStatus{
		{Name: "acme", RatePerSecond: 40, Burst: 50, Allocator: "n1", RequestRate: 3.5, Refused: 2, Remaining: &left},
		{Name: "other", RatePerSecond: 4, Allocator: "n2"},
	}}
	ctl := ctlForStatus(t, "/v1/tenants", &status)
	shown := ctl("tenants")
	for _, part := range []string{"configuration 7, the newest 310 ms ago, requests with keys are served up to 4750 ms", "acme", "12.2", "n2"} {
		is.True(strings.Contains(shown, part))
	}
	var read limits.TenantsStatus
	is.NoErr(json.Unmarshal([]byte(ctl("-o", "json", "tenants")), &read))
	is.Equal(read, status)
	status.ConfigurationAgeMs = -1
	is.True(strings.Contains(ctl("tenants"), "not known to be the newest"))
}
