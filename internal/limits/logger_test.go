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

// An operator must be able to tell which tenant was granted tokens under a part of its limit,
// and which account was opened without a predecessor's.
func TestLogNamesTenantOfPartialGrant(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	service := newService("a", unreachablePeers{}, func() time.Duration { return now })
	var output bytes.Buffer
	service.logger.logger = slog.New(slog.NewTextHandler(&output, nil))
	now = quota.LeaseTTL
	service.leaseOwnShare(quota.AllPartitions, nil)
	for range 3 {
		_, err := service.grant(t.Context(), &tokenRequest{Tenant: siteTenant.Name})
		is.NoErr(err)
	}
	is.Equal(strings.Count(output.String(), "grants a tenant only a fraction of its limit"), 1)
	is.Equal(strings.Count(output.String(), "opened the account of a tenant without that of a predecessor"), 1)
	is.Equal(strings.Count(output.String(), "tenant="+siteTenant.Name), 2)
	is.Equal(strings.Count(output.String(), "fraction=0.5"), 2)
}

func TestLogLinesPerSecondAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	var output bytes.Buffer
	logger := &boundedLogger{logger: slog.New(slog.NewTextHandler(&output, nil)), now: func() time.Duration { return now }}
	for range 3 * maxLinesPerSecond {
		logger.Info("line")
	}
	is.Equal(strings.Count(output.String(), "msg=line"), maxLinesPerSecond)
	now = time.Second
	logger.Info("line")
	is.True(strings.Contains(output.String(), fmt.Sprint("lines_suppressed_before=", 2*maxLinesPerSecond)))
}
