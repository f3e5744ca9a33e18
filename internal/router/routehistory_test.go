package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/routing"
)

func leading(name, host, prefix, service string) routing.Route {
	return routing.Route{Name: name, Host: host, PathPrefix: prefix, WeightedServices: []routing.WeightedService{{Service: service, Weight: 1}}}
}

// Requests of a route that was removed fall to the one with the next shorter prefix, whose streams seemed to
// have been its service's all the time.
func TestRouteThatTakesOverRequestsBeginsItsHistoryAnew(t *testing.T) {
	const age = time.Hour
	whole, other := leading("whole", "h", "/", "s"), leading("other", "h", "/x/y/", "t")
	for name, c := range map[string]struct {
		before, after []routing.Route
		// age is that of the route "whole" at the change.
		age time.Duration
	}{
		"nothing changes":                {[]routing.Route{whole, other}, []routing.Route{whole, other}, age},
		"one is added":                   {[]routing.Route{whole}, []routing.Route{whole, other}, age},
		"one is removed":                 {[]routing.Route{whole, other}, []routing.Route{whole}, 0},
		"its prefix changes":             {[]routing.Route{whole, other}, []routing.Route{whole, leading("other", "h", "/z/", "t")}, 0},
		"its host changes":               {[]routing.Route{whole, other}, []routing.Route{whole, leading("other", "i", "/x/y/", "t")}, 0},
		"its name changes":               {[]routing.Route{whole, other}, []routing.Route{whole, leading("later", "h", "/x/y/", "t")}, age},
		"one of its service is removed":  {[]routing.Route{whole, leading("other", "h", "/x/y/", "s")}, []routing.Route{whole}, age},
		"one of another host is removed": {[]routing.Route{whole, leading("other", "i", "/x/y/", "t")}, []routing.Route{whole}, age},
		"one between takes them": {
			[]routing.Route{whole, leading("between", "h", "/x/", "u"), other},
			[]routing.Route{whole, leading("between", "h", "/x/", "u")},
			age,
		},
		"hosts are compared without case": {[]routing.Route{whole, leading("other", "H", "/x/y/", "t")}, []routing.Route{whole}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var history routeHistory
			history.update(&routing.Configuration{Version: 1, Routes: c.before}, 0)
			history.update(&routing.Configuration{Version: 2, Routes: c.after}, age)
			since, only := history.ageOf("whole", "s", age)
			is.True(only)
			is.Equal(since, c.age)
			if _, between := history.routes["between"]; between {
				since, _ = history.ageOf("between", "u", age)
				is.Equal(since, time.Duration(0))
			}
		})
	}
}
