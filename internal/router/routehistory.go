package router

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/routing"
)

// routeHistory records since when each route has led to its present services. It is safe for
// concurrent use.
type routeHistory struct {
	// mutex guards all fields below.
	mutex   sync.Mutex
	version uint64
	routes  map[string]routeTarget
}

// routeTarget is what a route has led to since a time, as a monotonic reading.
type routeTarget struct {
	place routePlace
	// services is the text of the route's services; only is its service if there is one.
	services, only string
	since          time.Duration
}

// routePlace is what a request must have to take a route.
type routePlace struct{ host, prefix string }

func placeOf(route *routing.Route) routePlace {
	return routePlace{host: strings.ToLower(route.Host), prefix: route.PathPrefix}
}

// update records the routes of a configuration, unless a later one was recorded.
func (h *routeHistory) update(configuration *routing.Configuration, now time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if configuration.Version < h.version {
		return
	}
	routes := make(map[string]routeTarget, len(configuration.Routes))
	names := make(map[routePlace]string, len(configuration.Routes))
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		names[placeOf(route)] = route.Name
		target := routeTarget{place: placeOf(route), services: fmt.Sprint(route.Host, route.PathPrefix, route.WeightedServices), only: onlyService(route), since: now}
		if before, found := h.routes[route.Name]; found && before.services == target.services {
			target.since = before.since
		}
		routes[route.Name] = target
	}
	for _, former := range h.routes {
		if name, found := takesOver(former.place, names); found {
			target, since := routes[name], now
			if former.only != "" && former.only == target.only {
				since = former.since
			}
			target.since = max(target.since, since)
			routes[name] = target
		}
	}
	h.version, h.routes = configuration.Version, routes
}

// takesOver returns the route that takes the requests of a place which has none any more, if one does.
func takesOver(place routePlace, names map[routePlace]string) (name string, found bool) {
	if _, has := names[place]; has {
		return "", false
	}
	for len(place.prefix) > 1 {
		place.prefix = place.prefix[:strings.LastIndexByte(place.prefix[:len(place.prefix)-1], '/')+1]
		if name, found = names[place]; found {
			break
		}
	}
	return name, found
}

// restart begins the history of each route anew.
func (h *routeHistory) restart(now time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, target := range h.routes {
		target.since = now
		h.routes[name] = target
	}
}

// ageOf returns for how long a route has led to a service alone; false if it does not.
func (h *routeHistory) ageOf(route, service string, now time.Duration) (time.Duration, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	target, found := h.routes[route]
	return now - target.since, found && target.only == service
}

// onlyService returns the service of a route, or an empty name if there are several.
func onlyService(route *routing.Route) string {
	if len(route.WeightedServices) != 1 {
		return ""
	}
	return route.WeightedServices[0].Service
}
