package routednode

import (
	"encoding/json"
	"net/http"

	"stepseam.example/stepseam/internal/nodestatus"
)

// answerNode serves this node's status to stepseamctl.
func (n *node) answerNode(writer http.ResponseWriter, _ *http.Request) {
	cfg := n.settings.Load()
	status := nodestatus.Status{
		Node: string(cfg.Node.Name), Zone: string(cfg.Node.Zone), Members: len(n.coordinator.Addresses()) + 1,
		Millicores: cfg.Machine.Millicores(), Partitions: n.coordinator.Coordinated(), Replicas: n.views.fleet.Size(),
	}
	if n.aggregator != nil {
		status.ReplicasKept = n.aggregator.Aggregates().Len()
	}
	if configuration := n.router.Configuration(); configuration != nil {
		status.Version = configuration.Version
	}
	if n.topics != nil {
		status.Topics = n.topics.Status()
	}
	writer.Header().Set("Content-Type", "application/json")
	// The client may have disconnected; there is nobody to report the error to.
	_ = json.NewEncoder(writer).Encode(status)
}
