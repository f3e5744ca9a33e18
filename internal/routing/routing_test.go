package routing

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func routeTo(prefix string, services ...WeightedService) Route {
	return Route{Name: prefix, Host: "Host.Example", PathPrefix: prefix, Kind: KindSafe, WeightedServices: services}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	is := is.New(t)
	service := WeightedService{Service: "s", Weight: 1}
	built, err := Build(Configuration{Routes: []Route{routeTo("/", service), routeTo("/a/", service), routeTo("/a/b/", service)}})
	is.NoErr(err)
	for path, want := range map[string]string{"/a/b/c": "/a/b/", "/a/bc": "/a/", "/x": "/", "/a": "/"} {
		is.Equal(built.Match("host.example", path).PathPrefix, want)
		is.Equal(built.Match("HOST.example:8080", path).PathPrefix, want)
	}
	is.Equal(built.Match("other.example", "/a/"), nil)
}

func TestBuildReportsAllInvalidRoutes(t *testing.T) {
	is := is.New(t)
	_, err := Build(Configuration{Version: 4, Routes: []Route{
		{Name: "one", PathPrefix: "/", Kind: KindSafe, WeightedServices: []WeightedService{{Service: "s"}}},
		{Name: "two", Host: "h", PathPrefix: "/a", Kind: KindSafe, WeightedServices: []WeightedService{{Service: "s"}}},
		{Name: "three", Host: "h", PathPrefix: "/", Kind: "odd"},
	}})
	is.True(err != nil)
	for _, part := range []string{"version 4", "(one): no host", `(two): path prefix "/a"`, `(three): unknown kind "odd"`} {
		is.True(strings.Contains(err.Error(), part))
	}
}

// After any number of requests, each service has received its weighted number of
// requests, give or take one per service.
func TestSplitterKeepsProportionsOverFewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 4).Draw(t, "weights")
		weights[0]++
		var services []WeightedService
		for i, weight := range weights {
			services = append(services, WeightedService{Service: string(rune('a' + i)), Weight: weight})
		}
		route := routeTo("/", services...)
		start := rapid.Float64Range(0, 0.999).Draw(t, "start")
		splitter, counts := NewSplitter(), map[string]int{}
		const requests = 200
		for range requests {
			counts[splitter.Pick(&route, start)]++
		}
		for _, service := range services {
			want := float64(requests) * float64(service.Weight) / float64(totalWeight(services))
			if got := float64(counts[service.Service]); got < want-float64(len(services)) || got > want+float64(len(services)) {
				t.Fatalf("%s got %v requests, want %v", service.Service, got, want)
			}
		}
	})
}

func TestSplitterRestartsOnNewWeights(t *testing.T) {
	is := is.New(t)
	splitter := NewSplitter()
	before := routeTo("/", WeightedService{"a", 1}, WeightedService{"b", 1})
	splitter.Pick(&before, 0)
	after := routeTo("/", WeightedService{"a", 0}, WeightedService{"b", 1})
	for range 5 {
		is.Equal(splitter.Pick(&after, 0.5), "b")
	}
}
