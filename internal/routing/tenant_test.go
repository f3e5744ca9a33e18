package routing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestTenantLookup(t *testing.T) {
	is := is.New(t)
	built, err := Build(Configuration{Tenants: []Tenant{
		{Name: "a", Keys: []KeyDigest{DigestKey("k1"), DigestKey("k2")}},
		{Name: "b", Keys: []KeyDigest{DigestKey("k3")}, RatePerSecond: 2},
	}})
	is.NoErr(err)
	is.True(built.Authenticates())
	is.Equal(built.TenantOf(DigestKey("k2")).Name, "a")
	is.Equal(built.TenantOf(DigestKey("k4")), nil)
	is.True(!built.TenantNamed("a").Limited())
	is.True(built.TenantNamed("b").Limited())
	var nobody *Tenant
	is.True(!nobody.Limited())
}

func TestBuildReportsAllInvalidTenants(t *testing.T) {
	is := is.New(t)
	key := DigestKey("shared")
	_, err := Build(Configuration{Tenants: []Tenant{
		{Name: "a", Keys: []KeyDigest{key}},
		{Name: "b", Keys: []KeyDigest{key}},
		{},
		{Name: "a"},
		{Name: "c", RatePerSecond: -1},
	}})
	is.True(err != nil)
	for _, part := range []string{"tenant 1 (b): key " + key.String() + " belongs to tenant a too", "tenant 2 (): no name", "tenant 3 (a): duplicate name", "tenant 4 (c): negative rate -1"} {
		is.True(strings.Contains(err.Error(), part))
	}
	is.True(!strings.Contains(err.Error(), "shared"))
}

func BenchmarkTenantOf(b *testing.B) {
	configuration := Configuration{}
	for i := range 2900 {
		configuration.Tenants = append(configuration.Tenants, Tenant{Name: fmt.Sprint("t", i), Keys: []KeyDigest{DigestKey(fmt.Sprint("k", i)), DigestKey(fmt.Sprint("l", i))}})
	}
	built, err := Build(configuration)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if built.TenantOf(DigestKey("l2044")) == nil {
			b.Fatal("not found")
		}
	}
}
