package routednode

import (
	"log/slog"
	"sync/atomic"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/follow"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/settings"
)

// views keeps what the node believes of configuration and replicas up to date.
type views struct {
	adapter Adapter
	router  *router.Router
	fleet   *fleet.Directory
	tracker *balance.Tracker
	logger  *slog.Logger
	// listed tells that the replicas have been read once.
	listed atomic.Bool
}

// configurations follows the operators' configuration.
func (v *views) configurations(store logstore.Store, chosen settings.Follow) *follow.Follower {
	return follow.New(follow.Config{
		Name: "configuration", Store: store, Partition: v.adapter.Configuration,
		Pause: 0, Wait: chosen.Wait, OnSnapshot: v.takeConfiguration, OnChanges: v.takeConfiguration, Logger: v.logger,
	})
}

// replicas follows the replicas' entries.
func (v *views) replicas(store logstore.Store, chosen settings.Follow) *follow.Follower {
	return follow.New(follow.Config{
		Name: "replicas", Store: store, Partition: v.adapter.Replicas,
		Pause: chosen.ReplicasPause, Wait: chosen.Wait,
		OnSnapshot: v.replaceReplicas, OnChanges: v.changeReplicas, Logger: v.logger,
	})
}

func (v *views) takeConfiguration(items []logstore.Item) {
	for _, item := range items {
		if item.Key != v.adapter.ConfigurationKey || item.Value == nil {
			continue
		}
		configuration, err := v.adapter.DecodeConfiguration(item.Value)
		if err != nil {
			v.logger.Error("configuration can't be used", "error", err, "bytes", len(item.Value))
			continue
		}
		inForce := v.router.Use(configuration)
		v.logger.Info("configuration heard", "version", configuration.Version, "in_force", inForce,
			"routes", len(configuration.Routes), "services", len(configuration.Services))
	}
}

func (v *views) replaceReplicas(items []logstore.Item) {
	all := make([]fleet.Replica, 0, len(items))
	for _, item := range items {
		if replica, ok := v.decode(item); ok {
			all = append(all, replica)
		}
	}
	v.logChanges(v.fleet.Replace(all))
	v.listed.Store(true)
}

func (v *views) changeReplicas(items []logstore.Item) {
	changes := make([]fleet.Change, 0, len(items))
	for _, item := range items {
		if item.Value == nil {
			changes = append(changes, fleet.Change{Instance: item.Key})
			continue
		}
		if replica, ok := v.decode(item); ok {
			changes = append(changes, fleet.Change{Instance: item.Key, Replica: &replica})
		}
	}
	v.logChanges(v.fleet.Apply(changes))
}

func (v *views) decode(item logstore.Item) (fleet.Replica, bool) {
	replica, err := v.adapter.DecodeReplica(item.Key, item.Value)
	if err != nil {
		v.logger.Error("replica entry can't be used", "replica", item.Key, "error", err)
	}
	return replica, err == nil
}

func (v *views) logChanges(changes []fleet.Change) {
	for _, change := range changes {
		if change.Replica == nil {
			v.tracker.Forget(change.Instance)
			v.logger.Info("replica gone", "replica", change.Instance)
			continue
		}
		v.logger.Info("replica heard", "replica", change.Instance, "service", change.Replica.Service,
			"state", change.Replica.State, "address", change.Replica.Address, "zone", change.Replica.Zone,
			"sequence", change.Replica.Sequence)
	}
}
