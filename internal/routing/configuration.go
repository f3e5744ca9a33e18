// Package routing holds the operators' configuration of routed requests and the
// decisions that depend on it alone: which route a request takes and which
// service of a split route serves it. It is pure.
package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/residency"
)

// Kind tells what may be repeated on a route.
type Kind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once per request.
	KindUnsafe Kind = "unsafe"
	// KindStreaming requests are answered by a series of events; they run at most
	// once unless the route is resumable.
	KindStreaming Kind = "streaming"
)

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Route tells how requests of one host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest that a request is held.
	Timeout time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// WeightedServices has one entry, or several with weights.
	WeightedServices []WeightedService
	// MaxAttempts is how many replicas one request may be sent to.
	MaxAttempts int
	// Retain tells that the history of turns is kept here, for RetainFor.
	Retain    bool
	RetainFor time.Duration
	// Resumable streams may go on at another replica after their last event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// AllowedRegions are the regions in which the data of the route's requests may be.
	AllowedRegions residency.AllowedRegions
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// Service describes a pool of replicas.
type Service struct {
	Name string
	// Slots is how many requests a replica runs at once; 0 if unknown.
	Slots int
	// TokensPerEvent is how many tokens each event of a stream counts.
	TokensPerEvent int
	// MemoryTokens is how many tokens of prompts a replica holds; 0 if unknown.
	MemoryTokens int
	// ColdPerSecond is how many requests a second a cold replica bears of all nodes; 0
	// sets no bound. ColdFor is how long a replica stays cold after its start.
	ColdPerSecond float64
	ColdFor       time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the whole. It is never changed after Build.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants hold the keys of clients; where there are none, no key is asked for.
	Tenants []Tenant

	byHost   map[string][]*Route
	byKey    map[KeyDigest]*Tenant
	byTenant map[string]*Tenant
}

// Build checks a configuration and indexes it. All faults are reported together.
func Build(configuration Configuration) (*Configuration, error) {
	built := configuration
	built.byHost = make(map[string][]*Route, len(built.Routes))
	var faults []error
	for i := range built.Routes {
		route := &built.Routes[i]
		if err := checkRoute(route); err != nil {
			faults = append(faults, fmt.Errorf("route %d (%s): %w", i, route.Name, err))
			continue
		}
		host := strings.ToLower(route.Host)
		built.byHost[host] = append(built.byHost[host], route)
	}
	for _, routes := range built.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	faults = append(faults, built.indexTenants()...)
	if len(faults) > 0 {
		return nil, fmt.Errorf("routing: version %d: %w", built.Version, errors.Join(faults...))
	}
	return &built, nil
}

func checkRoute(route *Route) error {
	switch {
	case route.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/"):
		return fmt.Errorf("path prefix %q does not begin and end with a slash", route.PathPrefix)
	case route.Kind != KindSafe && route.Kind != KindUnsafe && route.Kind != KindStreaming:
		return fmt.Errorf("unknown kind %q", route.Kind)
	case len(route.WeightedServices) == 0:
		return errors.New("no service")
	}
	return nil
}

// Match returns the route with the longest prefix of path on host, or nil. A port
// in host is ignored.
func (c *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
