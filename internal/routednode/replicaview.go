package routednode

import (
	"time"

	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
)

// replicaSubscription applies replica changes that peers send. Peers omit heartbeats.
func (v *views) replicaSubscription() distribution.Subscription {
	return distribution.Subscription{
		Topic: v.replicas.Topic, Replace: v.replaceFromPeer, Apply: v.applyFromPeer, Confirm: v.replicas.Confirm,
	}
}

// replaceEntries applies a snapshot of the replica entries read from the store.
func (v *views) replaceEntries(items []logstore.Item, next logstore.Offset) {
	v.replicas.replace(func() {
		all := make([]fleet.Replica, 0, len(items))
		for _, item := range items {
			if change := v.decodeEntry(item); change.Replica != nil {
				all = append(all, *change.Replica)
			}
		}
		effective := v.fleet.Replace(all, v.router.Now())
		v.publish(effective)
		if position, known := v.replicas.Position(); known && next >= position {
			v.replicas.Apply(encodeChanges(effective), next)
		} else {
			v.replicas.Replace(encodeAll(all), next)
		}
		v.listed.Store(true)
	})
}

// applyEntries applies the entries between two positions of the store.
func (v *views) applyEntries(from logstore.Offset, items []logstore.Item, next logstore.Offset) {
	v.replicas.apply(from, next, func() {
		changes := make([]fleet.Change, 0, len(items))
		for _, item := range items {
			changes = append(changes, v.decodeEntry(item))
		}
		effective := v.fleet.Apply(changes, v.router.Now())
		v.publish(effective)
		v.replicas.Apply(encodeChanges(effective), next)
	})
}

// decodeEntry decodes a replica entry, or its removal, from the store.
func (v *views) decodeEntry(item logstore.Item) fleet.Change {
	if item.Value == nil {
		return fleet.Change{Instance: item.Key}
	}
	replica, err := v.adapter.DecodeReplica(item.Key, item.Value)
	if err != nil {
		v.unreadable.record(item.Key, err)
		return fleet.Change{Instance: item.Key, Unreadable: true}
	}
	return fleet.Change{Instance: item.Key, Replica: &replica}
}

// replaceFromPeer applies a peer's snapshot of the replicas.
func (v *views) replaceFromPeer(items []logstore.Item, next logstore.Offset) {
	v.replicas.replaceFromPeer(next, func() {
		v.noteOutage()
		all := make([]fleet.Replica, 0, len(items))
		for _, item := range items {
			if change := v.decodePeerEntry(item); change.Replica != nil {
				all = append(all, *change.Replica)
			}
		}
		v.publish(v.fleet.Replace(all, v.router.Now()))
		v.replicas.Replace(items, next)
		v.listed.Store(true)
	})
}

// applyFromPeer applies changes received from a peer.
func (v *views) applyFromPeer(items []logstore.Item, next logstore.Offset) {
	position, _ := v.replicas.Position()
	v.replicas.apply(position, next, func() {
		missed := v.noteOutage() && len(items) > 0
		changes := make([]fleet.Change, 0, len(items))
		for _, item := range items {
			change := v.decodePeerEntry(item)
			_, present := v.fleet.Presence(change.Instance)
			missed = missed || change.Replica == nil && !present
			changes = append(changes, change)
		}
		if missed {
			// Peers send the result of changes: an entry that came and went as a removal, and one that changed
			// twice as its last state.
			v.fleet.MissedChanges(v.router.Now())
		}
		v.publish(v.fleet.Apply(changes, v.router.Now()))
		v.replicas.Apply(items, next)
	})
}

// outageAge is the age of the topic above which the store is assumed to have been
// unavailable to every node upstream. Without an outage, a reader's topic is up to 2.7 s
// old, since it pauses between reads that wait for changes, and a puller's 0.4 s older.
// Entries removed because of an outage expire after three missed heartbeats, which takes
// longer.
const outageAge = 3500 * time.Millisecond

// noteOutage informs the directory if the store was unavailable to all upstream nodes:
// entries may have expired because replicas could not renew them. It reports whether it was.
func (v *views) noteOutage() bool {
	age, known := v.replicas.Age(time.Now())
	if !known || age <= outageAge {
		return false
	}
	v.fleet.StoreRecovered(v.router.Now())
	return true
}

// maxVersionsAge is the age of the replicas' view above which it does not tell which versions a
// service has: another may have appeared. A node in touch with the store or with a reader of it
// stays below.
const maxVersionsAge = outageAge

// replicasFresh reports whether the view of the replicas is up to date, so that a missing entry
// tells something.
func (v *views) replicasFresh() bool {
	age, known := v.replicas.Age(time.Now())
	return known && age <= maxVersionsAge
}

// versionsConfirmed returns the last time at which the store had neither replicas nor a configuration
// that this node lacks; zero if that is not known, or the newest configuration can't be used.
func (v *views) versionsConfirmed() time.Time {
	if _, usable := v.freshness.Age(); !usable {
		return time.Time{}
	}
	replicas, configuration := v.replicas.Confirmed(), v.operators.Confirmed()
	if configuration.Before(replicas) {
		return configuration
	}
	return replicas
}

// onlyVersion returns for how long a service has had one version, see origin.Versions.
func (v *views) onlyVersion(route, service string) fleet.VersionSpan {
	// Read before the view: an update in between makes it newer than that, never older.
	confirmed, fresh := v.versionsConfirmed(), v.replicasFresh()
	span := v.router.OnlyVersion(route, service)
	if !fresh {
		return fleet.VersionSpan{StreamLifetime: span.StreamLifetime, Confirmed: confirmed}
	}
	span.Confirmed = confirmed
	return span
}

// decodePeerEntry decodes a replica, or its removal, from a peer.
func (v *views) decodePeerEntry(item logstore.Item) fleet.Change {
	if item.Value == nil {
		return fleet.Change{Instance: item.Key}
	}
	replica, err := fleet.Decode(item.Key, item.Value)
	if err != nil {
		v.unreadable.record(item.Key, err)
		return fleet.Change{Instance: item.Key, Unreadable: true}
	}
	return fleet.Change{Instance: item.Key, Replica: &replica}
}

func encodeAll(replicas []fleet.Replica) []logstore.Item {
	items := make([]logstore.Item, 0, len(replicas))
	for i := range replicas {
		items = append(items, logstore.Item{Key: replicas[i].Instance, Value: fleet.Encode(&replicas[i])})
	}
	return items
}

func encodeChanges(changes []fleet.Change) []logstore.Item {
	items := make([]logstore.Item, 0, len(changes))
	for _, change := range changes {
		item := logstore.Item{Key: change.Instance}
		if change.Replica != nil {
			item.Value = fleet.Encode(change.Replica)
		}
		items = append(items, item)
	}
	return items
}

// maxLoggedChanges limits the log lines about one update; at startup, all replicas of the
// site change at once.
const maxLoggedChanges = 20

// publish propagates replica changes to the node's other components.
func (v *views) publish(changes []fleet.Change) {
	logged, now := 0, v.router.Now()
	for i := range changes {
		v.publishOne(&changes[i], now)
		if !changes[i].ColdOnly && logged < maxLoggedChanges {
			v.logChange(&changes[i])
			logged++
		}
	}
	if len(changes) > maxLoggedChanges {
		v.logger.Info("more replicas changed", "changes", len(changes), "known", v.fleet.Size())
	}
}

func (v *views) publishOne(change *fleet.Change, now time.Duration) {
	if change.PreviousIncarnation != "" {
		v.tracker.Forget(change.PreviousIncarnation)
		v.cold.RemoveReplica(change.PreviousIncarnation, now)
	}
	if change.Replica != nil && v.cold.UpdateReplica(*change.Replica, now) {
		v.logger.Info("replica is cold", "replica", change.Replica.IncarnationID(), "service", change.Replica.Service,
			"zone", change.Replica.Zone, "left_ms", change.Replica.ColdRemaining.Milliseconds())
	}
}

func (v *views) logChange(change *fleet.Change) {
	if change.Replica == nil {
		v.logger.Info("replica removed", "replica", change.PreviousIncarnation, "unreadable", change.Unreadable)
		return
	}
	v.logger.Info("replica updated", "replica", change.Replica.IncarnationID(), "former", change.PreviousIncarnation, "service", change.Replica.Service, "replica_version", change.Replica.Version,
		"state", change.Replica.State, "address", change.Replica.Address, "zone", change.Replica.Zone,
		"sequence", change.Replica.Sequence, "cold_left_ms", change.Replica.ColdRemaining.Milliseconds())
}
