package limits

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/quota"
)

// The logs must tell which allocator granted the tokens of a window, with a bounded number of
// lines however many tenants there are.
func TestGrantedTokensAreLoggedByPeriod(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log := &grantLog{logger: slog.New(slog.NewTextHandler(&output, nil)), allocatorID: 7, tenants: map[string]*tenantCounts{}}
	limit := quota.Limit{RatePerSecond: 40, Burst: 40}
	grant := func(tenant string, tokens int, now time.Duration) {
		log.recordGrant(tenant, limit, 0.5, quota.Request{Returned: quota.Amount{Requests: 1}}, quota.Grant{Amount: quota.Amount{Requests: tokens}}, now)
	}
	grant("acme", 30, 100*time.Millisecond)
	grant("acme", 5, 900*time.Millisecond)
	grant("far-below", 5, 900*time.Millisecond)
	log.recordRepeat("other", 950*time.Millisecond)
	is.Equal(output.Len(), 0)
	log.flush(1100 * time.Millisecond)
	is.True(strings.Contains(output.String(), `"granted tokens of a tenant" tenant=acme allocator=7 granted=35 returned=2 fraction=0.5 period_began_ms_ago=1100`))
	is.True(strings.Contains(output.String(), `"sent requests of a tenant again" tenant=other repeats=1`))
	is.True(!strings.Contains(output.String(), "far-below"))

	output.Reset()
	for i := range 1000 {
		grant(fmt.Sprint("t", i), 20, 1200*time.Millisecond)
	}
	log.flush(2 * time.Second)
	is.Equal(strings.Count(output.String(), "\n"), maxGrantLines)
	is.True(strings.Contains(output.String(), "tenants_not_logged=995"))
	output.Reset()
	log.flush(4 * time.Second)
	is.Equal(output.Len(), 0)
}
