package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/nodestatus"
)

func TestNodesPrintsTopicsAndTheirSources(t *testing.T) {
	is := is.New(t)
	status := nodestatus.Status{
		Node: "n1", Zone: "z1", Members: 984, Millicores: 192, Partitions: []int{3, 17}, ReplicasKept: 51, Version: 40, Replicas: 9990,
		Topics: []distribution.TopicStatus{
			{Topic: "configuration", Reads: true, Position: 7, Keys: 1, AgeMs: 210},
			{Topic: "replicas", From: "10.0.0.3:8144", Tier: 2, Position: 123456, Keys: 9990, AgeMs: 733},
		},
	}
	ctl := ctlForStatus(t, "/v1/node", &status)
	shown := ctl("nodes")
	for _, part := range []string{"node n1 in z1", "984", "the store", "10.0.0.3:8144", "733", "9990"} {
		is.True(strings.Contains(shown, part))
	}
	var read nodestatus.Status
	is.NoErr(json.Unmarshal([]byte(ctl("-o", "json", "nodes")), &read))
	is.Equal(read, status)
}
