package router

import (
	"fmt"
	"net/http"

	"stepseam.example/stepseam/internal/routing"
)

// denial is the answer to a request that is not let in.
type denial struct {
	status  int
	refusal refusal
}

// authenticate returns the tenant whose key a request carries; nil where the
// configuration asks for no key, or a public route is asked without a known one. A
// request that is not let in gets a denial.
func (r *Router) authenticate(request *http.Request, route *routing.Route, configuration *routing.Configuration) (*routing.Tenant, *denial) {
	if !configuration.Authenticates() {
		return nil, nil
	}
	keys := request.Header.Values(r.config.Names.Key)
	if len(keys) != 1 {
		return nil, unlessPublic(route, "no_key", fmt.Errorf("%d keys", len(keys)))
	}
	digest := routing.DigestKey(keys[0])
	tenant := configuration.TenantOf(digest)
	if tenant == nil {
		return nil, unlessPublic(route, "unknown_key", fmt.Errorf("key %s", digest))
	}
	return tenant, nil
}

// unlessPublic denies a request without a known key on a route that asks for one.
func unlessPublic(route *routing.Route, reason string, cause error) *denial {
	if route.Public {
		return nil
	}
	return &denial{http.StatusUnauthorized, refusal{reason: reason, cause: cause}}
}
