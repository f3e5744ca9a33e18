package routing

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func routeTo(prefix string, shares ...WeightedService) Route {
	return Route{Name: prefix, Host: "Host.Example", PathPrefix: prefix, Kind: KindSafe, WeightedServices: shares}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	share := WeightedService{Service: "s", Weight: 1}
	built, err := Build(Configuration{Routes: []Route{routeTo("/", share), routeTo("/a/", share), routeTo("/a/b/", share)}})
	is.NoErr(err)
	for path, want := range map[string]string{"/a/b/c": "/a/b/", "/a/bc": "/a/", "/x": "/", "/a": "/"} {
		is.Equal(built.Match("host.example", path).PathPrefix, want)
		is.Equal(built.Match("HOST.example:8080", path).PathPrefix, want)
	}
	is.Equal(built.Match("other.example", "/a/"), nil)
}

func TestAllFaultsAreReportedWithTheirRoutes(t *testing.T) {
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

// TestSharesAreKeptOverFewRequests: after every request, each service is within
// one request of its share.
func TestSharesAreKeptOverFewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 4).Draw(t, "weights")
		weights[0]++
		var shares []WeightedService
		for i, weight := range weights {
			shares = append(shares, WeightedService{Service: string(rune('a' + i)), Weight: weight})
		}
		route := routeTo("/", shares...)
		begin := rapid.Float64Range(0, 0.999).Draw(t, "begin")
		splitter, dealt := NewSplitter(), map[string]int{}
		const requests = 200
		for range requests {
			dealt[splitter.Pick(&route, begin)]++
		}
		for _, share := range shares {
			want := float64(requests) * float64(share.Weight) / float64(totalWeight(shares))
			if got := float64(dealt[share.Service]); got < want-float64(len(shares)) || got > want+float64(len(shares)) {
				t.Fatalf("%s got %v of %v", share.Service, got, want)
			}
		}
	})
}

func TestNewWeightsBeginANewRound(t *testing.T) {
	is := is.New(t)
	splitter := NewSplitter()
	before := routeTo("/", WeightedService{"a", 1}, WeightedService{"b", 1})
	splitter.Pick(&before, 0)
	after := routeTo("/", WeightedService{"a", 0}, WeightedService{"b", 1})
	for range 5 {
		is.Equal(splitter.Pick(&after, 0.5), "b")
	}
}
