// Package routednode assembles and runs a node that routes requests to replicas. It watches
// the configuration and the replicas in the store, serves clients, readiness checks and
// metrics, reloads its settings and shuts down gracefully.
package routednode

import (
	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/settings"
)

// Adapter defines the platform's header names, paths, topics and record formats.
type Adapter struct {
	Names router.HeaderNames
	// ReadinessPath and MetricsPath are paths of GET requests.
	ReadinessPath, MetricsPath string
	NewStore                   func(settings.Store) logstore.Store

	// Configuration is the keyed partition that operators write. It contains their
	// configuration under ConfigurationKey, and one record for each evacuated zone.
	Configuration       logstore.Partition
	ConfigurationKey    string
	DecodeConfiguration func(encoded []byte) (*routing.Configuration, error)

	// DecodeEvacuation decodes a record of the Configuration partition that starts or ends
	// the evacuation of a zone. The bool is false for records of another kind. If an error
	// is returned, the change names the zone where the key contains it.
	DecodeEvacuation func(item logstore.Item) (evacuation.Change, bool, error)

	// Replicas is the keyed partition of replica entries; the key is the replica's
	// instance.
	Replicas      logstore.Partition
	DecodeReplica func(instance string, encoded []byte) (fleet.Replica, error)

	// LedgerTopic and TextTopic are the topics that the nodes themselves write.
	LedgerTopic, TextTopic string
	// ArchiveTopic is the keyed topic with a copy of what outlives the records of those topics.
	ArchiveTopic string
	// Shares is the partition of a keyed topic with the share table.
	Shares logstore.Partition
	// Ends is the partition of a keyed topic with the attempts under which replicas have ended.
	Ends logstore.Partition
}
