package routednode

import (
	"encoding/json"
	"net/http"

	"stepseam.example/stepseam/internal/nodestatus"
)

// answerNode tells operators of this node, for stepseamctl.
func (n *node) answerNode(writer http.ResponseWriter, _ *http.Request) {
	chosen := n.settings.Load()
	status := nodestatus.Status{
		Node: string(chosen.Node.Name), Zone: string(chosen.Node.Zone), Members: len(n.homes.Addresses()) + 1,
		Millicores: chosen.Machine.Millicores(), Partitions: n.homes.Coordinated(), Replicas: n.views.fleet.Size(),
	}
	if n.keepers != nil {
		status.ReplicasKept = n.keepers.Aggregates().Len()
	}
	if configuration := n.router.Configuration(); configuration != nil {
		status.Version = configuration.Version
	}
	if n.topics != nil {
		status.Topics = n.topics.Status()
	}
	writer.Header().Set("Content-Type", "application/json")
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(writer).Encode(status)
}
