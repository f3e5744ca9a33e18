package main

import (
	"context"
	"fmt"
	"io"

	"stepseam.example/stepseam/internal/nodestatus"
)

// nodesCommand shows a platform node's view of the store, the sources of its topics, and its
// roles for other nodes.
type nodesCommand struct{}

func (c *nodesCommand) run(ctx context.Context, s *session) error {
	var status nodestatus.Status
	if err := s.client.get(ctx, "/v1/node", &status); err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) { writeNode(w, status) })
}

func writeNode(w io.Writer, status nodestatus.Status) {
	fmt.Fprintf(w, "node %s in %s\n\n", status.Node, status.Zone)
	writeRow(w, "MEMBERS", "CORE/1000", "PARTITIONS", "REPLICAS KEPT", "VERSION", "REPLICAS")
	writeRow(w, status.Members, status.Millicores, len(status.Partitions), status.ReplicasKept, status.Version, status.Replicas)
	fmt.Fprintf(w, "\nwhat it knows of the store\n\n")
	writeRow(w, "TOPIC", "FROM", "TIER", "POSITION", "KEYS", "AGE MS")
	for _, topic := range status.Topics {
		from := topic.From
		if topic.Reads {
			from = "the store"
		}
		writeRow(w, topic.Topic, from, topic.Tier, topic.Position, topic.Keys, topic.AgeMs)
	}
}
