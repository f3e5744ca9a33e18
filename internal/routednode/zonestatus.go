package routednode

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/zonestatus"
)

// answerZones serves the status of zones and cold replicas to stepseamctl.
func (n *node) answerZones(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	// The client may have disconnected; there is nobody to report the error to.
	_ = json.NewEncoder(writer).Encode(n.zones())
}

// zones returns the status of zones and cold replicas.
func (n *node) zones() zonestatus.Status {
	cfg, now := n.settings.Load(), n.router.Now()
	evacuated := n.views.evacuations.zones.Snapshot(now).Zones
	byName := map[string]*zonestatus.Zone{}
	zone := func(name string) *zonestatus.Zone {
		if byName[name] == nil {
			byName[name] = &zonestatus.Zone{Name: name, Region: cfg.Zones[name]}
		}
		return byName[name]
	}
	for _, replica := range n.views.fleet.Ready() {
		zone(replica.Zone).Replicas++
		zone(replica.Zone).Slots += replica.Slots
	}
	for name, since := range evacuated {
		zone(name).EvacuatedMs = lo.ToPtr(since.Milliseconds())
	}
	for name, one := range byName {
		if at, sent := n.views.evacuations.zones.LastSend(name); sent {
			one.LastSendMs = lo.ToPtr((now - at).Milliseconds())
		}
	}
	listed := lo.Map(lo.Values(byName), func(one *zonestatus.Zone, _ int) zonestatus.Zone { return *one })
	slices.SortFunc(listed, func(a, b zonestatus.Zone) int { return strings.Compare(a.Name, b.Name) })
	return zonestatus.Status{Node: string(cfg.Node.Name), Zones: listed, Cold: n.cold.status(now)}
}
