package router

import (
	"errors"
	"fmt"
	"net/http"

	"stepseam.example/stepseam/internal/routing"
)

// errStale tells that the configuration in force may no longer be the newest, so that
// nobody here can tell whether a key is still good.
var errStale = errors.New("router: nobody has confirmed the configuration lately")

// reasonStale is the reason of refusals because of errStale.
const reasonStale = "configuration_stale"

// denial is the answer to a request that is not let in.
type denial struct {
	status  int
	refusal refusal
}

// authenticate returns the tenant whose key a request carries; nil where the
// configuration asks for no key, or a public route is asked without a known one. A
// request that is not let in gets a denial.
//
// stale is what confirmed returned before configuration was loaded: in the other order a
// newer one could have been confirmed in between.
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
		return nil, &denial{http.StatusUnauthorized, refusal{reason: "no_key", cause: fmt.Errorf("%d keys", len(keys))}}
	}
	// A key that is not known here may be new, one that is known may be gone.
	if stale != nil {
		return nil, &denial{http.StatusServiceUnavailable, refusal{reason: reasonStale, comeBack: r.comeBackFromStore(shortComeBack), cause: stale}}
	}
	digest := routing.DigestKey(keys[0])
	tenant := configuration.TenantOf(digest)
	if tenant == nil {
		return nil, &denial{http.StatusUnauthorized, refusal{reason: "unknown_key", cause: fmt.Errorf("key %s", digest)}}
	}
	return tenant, nil
}

// MayServe tells whether a configuration is in force and new enough.
func (r *Router) MayServe() bool {
	stale := r.confirmed()
	configuration := r.configuration.Load()
	return configuration != nil && (stale == nil || !configuration.Authenticates())
}

// confirmed returns an error that wraps errStale where the lease on the configuration
// has run out.
func (r *Router) confirmed() error {
	if r.config.Lease == 0 {
		return nil
	}
	age, known := r.config.Freshness.Age()
	if known && age <= r.config.Lease {
		return nil
	}
	return fmt.Errorf("%w: age %s, allowed %s", errStale, age, r.config.Lease)
}
