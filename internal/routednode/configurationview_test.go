package routednode

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/routing"
)

// A node vouched for the only service of a route over a time in which configurations that led it
// elsewhere had come and gone unseen.
func TestConfigurationsThatWereMissedEndTheHistoryOfRoutes(t *testing.T) {
	const age = time.Minute
	route := func(version int) []logstore.Item {
		return []logstore.Item{{Key: "configuration", Value: []byte(strconv.Itoa(version))}}
	}
	for name, c := range map[string]struct {
		apply     func(v *views)
		confirmed time.Duration
		kept      bool
	}{
		"changes in time":              {func(v *views) { v.operatorSubscription().Apply(route(3), 3) }, 0, true},
		"changes after a gap":          {func(v *views) { v.operatorSubscription().Apply(route(3), 3) }, outageAge + time.Second, false},
		"a snapshot":                   {func(v *views) { v.operatorSubscription().Replace(route(3), 3) }, outageAge + time.Second, false},
		"all changes of the store":     {func(v *views) { v.applyOperatorRecords(1, route(3), 3, "store") }, outageAge + time.Second, true},
		"a change elsewhere and back":  {func(v *views) { v.applyOperatorRecords(1, append(route(2), route(3)...), 3, "store") }, 0, false},
		"a snapshot of a later offset": {func(v *views) { v.replaceOperatorRecords(route(3), 3) }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var now time.Duration
			v := testViews()
			v.router = router.New(router.Config{Fleet: v.fleet, Registerer: prometheus.NewRegistry(), Now: func() time.Duration { return now }})
			v.evacuations, v.freshness = testEvacuations(v.logger), &freshness{}
			v.adapter.ConfigurationKey = "configuration"
			v.adapter.DecodeEvacuation = func(logstore.Item) (evacuation.Change, bool, error) {
				return evacuation.Change{}, false, nil
			}
			v.adapter.DecodeConfiguration = func(encoded []byte) (*routing.Configuration, error) {
				version, err := strconv.Atoi(string(encoded))
				service := "s"
				if version == 2 {
					service = "other"
				}
				return &routing.Configuration{Version: uint64(version), Routes: []routing.Route{{Name: "r", WeightedServices: []routing.WeightedService{{Service: service, Weight: 1}}}}}, err
			}
			v.replaceOperatorRecords(route(1), 1)
			v.fleet.Replace([]fleet.Replica{{Instance: "a", Service: "s", Version: "v1", State: fleet.StateReady}}, now)
			v.operators.Confirm(time.Now().Add(-c.confirmed))
			now = age
			c.apply(v)
			span := v.router.OnlyVersion("r", "s")
			is.True(span.Only)
			is.Equal(span.Age == age, c.kept)
		})
	}
}
