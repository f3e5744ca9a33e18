package limits

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/quota"
)

const (
	// grantPeriod is the period over which the granted tokens of a tenant are logged.
	grantPeriod = time.Second
	// maxGrantLines bounds the lines of a period, minGrantFraction the tokens of a tenant
	// that are logged, as a fraction of what its limit grants in a period. Lesser tenants
	// are far from their limits, also if other allocators grant as much.
	maxGrantLines    = 5
	minGrantFraction = 0.25
	// grantMessage is the message of the log lines with the tokens that an allocator has
	// granted in a period, repeatMessage that of the lines with the requests that a node has
	// sent to a replica again.
	grantMessage  = "granted tokens of a tenant"
	repeatMessage = "sent requests of a tenant again"
)

// tenantCounts counts what is logged of one tenant in a period.
type tenantCounts struct {
	tenant            string
	granted, returned int
	// fraction is the greatest fraction of the limit under which tokens were granted; rate
	// is the limit's.
	fraction, rate float64
	repeats        int
}

// grantLog logs by period how many tokens an allocator has granted to each tenant, so that
// the logs of all nodes show which allocators granted the tokens of a window. The caller
// locks it.
type grantLog struct {
	logger      *slog.Logger
	allocatorID quota.AllocatorID
	startAt     time.Duration
	tenants     map[string]*tenantCounts
}

// of returns the counts of a tenant in the period of now.
func (l *grantLog) of(tenant string, now time.Duration) *tenantCounts {
	l.flush(now)
	found := l.tenants[tenant]
	if found == nil {
		found = &tenantCounts{tenant: tenant}
		l.tenants[tenant] = found
	}
	return found
}

func (l *grantLog) recordGrant(tenant string, limit quota.Limit, fraction float64, request quota.Request, grant quota.Grant, now time.Duration) {
	counts := l.of(tenant, now)
	counts.granted += grant.Amount.Requests
	counts.returned += request.Returned.Requests
	counts.fraction, counts.rate = max(counts.fraction, fraction), limit.RatePerSecond
}

func (l *grantLog) recordRepeat(tenant string, now time.Duration) { l.of(tenant, now).repeats++ }

// flush logs the period that has ended, if one has.
func (l *grantLog) flush(now time.Duration) {
	if now < l.startAt+grantPeriod {
		return
	}
	var notable []*tenantCounts
	for _, counts := range l.tenants {
		if counts.repeats > 0 || counts.granted > 0 && float64(counts.granted) >= minGrantFraction*counts.rate*grantPeriod.Seconds() {
			notable = append(notable, counts)
		}
	}
	slices.SortFunc(notable, func(a, b *tenantCounts) int {
		return cmp.Or(cmp.Compare(b.granted, a.granted), cmp.Compare(b.repeats, a.repeats), cmp.Compare(a.tenant, b.tenant))
	})
	ago := (now - l.startAt).Milliseconds()
	for i, counts := range notable {
		if i == maxGrantLines {
			break
		}
		if counts.granted > 0 {
			l.logger.Info(grantMessage, "tenant", counts.tenant, "allocator", l.allocatorID, "granted", counts.granted, "returned", counts.returned,
				"fraction", counts.fraction, "period_began_ms_ago", ago, "tenants_not_logged", max(len(notable)-maxGrantLines, 0))
		}
		if counts.repeats > 0 {
			l.logger.Info(repeatMessage, "tenant", counts.tenant, "repeats", counts.repeats, "period_began_ms_ago", ago)
		}
	}
	clear(l.tenants)
	l.startAt = now - now%grantPeriod
}
