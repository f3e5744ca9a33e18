// Package routing models the operators' configuration of routed requests and makes
// the decisions that depend only on it: which route matches a request and which
// service of a weighted route serves it. It performs no I/O and reads no clock.
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

// Kind defines whether the requests of a route may run more than once.
type Kind string

// Route kinds.
const (
	// KindSafe requests are idempotent and may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStreaming requests are answered with an event stream. They run at most
	// once unless the route is resumable.
	KindStreaming Kind = "streaming"
)

// WeightedService is a service of a route with its weight of the route's traffic.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time from a request's arrival to the end of its response.
	Timeout time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// WeightedServices has at least one entry. Several entries split the traffic by
	// weight.
	WeightedServices []WeightedService
	// MaxAttempts is the maximum number of replicas that may run one request.
	MaxAttempts int
	// Retain reports whether the texts of the route's turns are persisted, so that
	// later turns can refer to them. RetainFor is their retention period.
	Retain    bool
	RetainFor time.Duration
	// Resumable streams may continue at another replica after their last event.
	Resumable bool
	// Public routes accept requests without a key.
	Public bool
	// AllowedRegions are the regions in which the data of the route's requests may be.
	AllowedRegions residency.AllowedRegions
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// Service describes a pool of replicas.
type Service struct {
	Name string
	// Slots is the number of requests that a replica runs concurrently; 0 if unknown.
	Slots int
	// TokensPerEvent is the number of tokens charged for each event of a stream.
	TokensPerEvent int
	// MemoryTokens is the capacity of a replica's prompt cache in tokens; 0 if unknown.
	MemoryTokens int
	// ColdPerSecond is the maximum rate of requests from all nodes to one cold replica;
	// 0 means no limit. ColdFor is how long a replica stays cold after its start.
	ColdPerSecond float64
	ColdFor       time.Duration
}

// Limits bounds the size and the duration of clients' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the routing configuration. It is immutable after
// Build.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants lists the tenants with the keys of their clients. If it is empty, requests
	// need no key.
	Tenants []Tenant

	byHost   map[string][]*Route
	byKey    map[KeyDigest]*Tenant
	byTenant map[string]*Tenant
}

// Build validates and indexes a configuration. The error joins all problems found.
func Build(configuration Configuration) (*Configuration, error) {
	built := configuration
	built.byHost = make(map[string][]*Route, len(built.Routes))
	var problems []error
	for i := range built.Routes {
		route := &built.Routes[i]
		if err := checkRoute(route); err != nil {
			problems = append(problems, fmt.Errorf("route %d (%s): %w", i, route.Name, err))
			continue
		}
		host := strings.ToLower(route.Host)
		built.byHost[host] = append(built.byHost[host], route)
	}
	for _, routes := range built.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	problems = append(problems, built.indexTenants()...)
	if len(problems) > 0 {
		return nil, fmt.Errorf("routing: version %d: %w", built.Version, errors.Join(problems...))
	}
	return &built, nil
}

func checkRoute(route *Route) error {
	switch {
	case route.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/"):
		return fmt.Errorf("path prefix %q must begin and end with a slash", route.PathPrefix)
	case route.Kind != KindSafe && route.Kind != KindUnsafe && route.Kind != KindStreaming:
		return fmt.Errorf("unknown kind %q", route.Kind)
	case len(route.WeightedServices) == 0:
		return errors.New("no service")
	}
	return nil
}

// Match returns the route of host with the longest prefix of path, or nil. A port in
// host is ignored.
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
