package router

import (
	"errors"
	"fmt"
	"net/http"

	"stepseam.example/stepseam/internal/routing"
)

// errStale means that the configuration may be outdated, so that this node cannot decide
// whether a key is valid.
var errStale = errors.New("router: configuration was not confirmed recently")

// reasonStale is the rejection reason for errStale.
const reasonStale = "configuration_stale"

// denial is the response to a request that fails authentication.
type denial struct {
	status    int
	rejection rejection
}

// authenticate returns the tenant of the request's key. The tenant is nil if the
// configuration requires no key, or if the route is public and the request has no known
// key. Other requests get a denial.
//
// stale must be the result of checkLease from before configuration was loaded. In the
// other order, the lease could be renewed for a newer configuration in between.
func (r *Router) authenticate(request *http.Request, route *routing.Route, configuration *routing.Configuration, stale error) (*routing.Tenant, *denial) {
	if !configuration.Authenticates() {
		return nil, nil
	}
	tenant, denied := r.tenantOf(request.Header.Values(r.config.Names.Key), configuration, stale)
	if denied != nil && route.Public {
		return nil, nil
	}
	return tenant, denied
}

func (r *Router) tenantOf(keys []string, configuration *routing.Configuration, stale error) (*routing.Tenant, *denial) {
	if len(keys) != 1 {
		return nil, &denial{http.StatusUnauthorized, rejection{reason: "no_key", cause: fmt.Errorf("expected one key, got %d", len(keys))}}
	}
	// With a stale configuration, an unknown key may be valid and a known one revoked.
	if stale != nil {
		return nil, &denial{http.StatusServiceUnavailable, rejection{reason: reasonStale, retryAfter: r.storeRetryAfter(shortRetryAfter), cause: stale}}
	}
	digest := routing.DigestKey(keys[0])
	tenant := configuration.TenantOf(digest)
	if tenant == nil {
		return nil, &denial{http.StatusUnauthorized, rejection{reason: "unknown_key", cause: fmt.Errorf("key %s", digest)}}
	}
	return tenant, nil
}

// MayServe reports whether there is a configuration and it is recent enough to serve
// requests.
func (r *Router) MayServe() bool {
	stale := r.checkLease()
	configuration := r.configuration.Load()
	return configuration != nil && (stale == nil || !configuration.Authenticates())
}

// checkLease returns an error that wraps errStale if the lease on the configuration has
// expired.
func (r *Router) checkLease() error {
	if r.config.Lease == 0 {
		return nil
	}
	age, known := r.config.Freshness.Age()
	if known && age <= r.config.Lease {
		return nil
	}
	return fmt.Errorf("%w: age %s, maximum %s", errStale, age, r.config.Lease)
}
