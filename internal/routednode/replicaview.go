package routednode

import (
	"time"

	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
)

// replicasFeed joins the replicas' entries with what other nodes tell of them. These tell
// only what matters, not each beat.
func (v *views) replicasFeed() distribution.Subscription {
	return distribution.Subscription{
		Topic: v.replicas.Topic, Replace: v.replaceTold, Apply: v.changeTold, Confirm: v.replicas.Confirm,
	}
}

// replaceEntries takes all entries as the store holds them.
func (v *views) replaceEntries(items []logstore.Item, next logstore.Offset) {
	v.replicas.replace(func() {
		all := make([]fleet.Replica, 0, len(items))
		for _, item := range items {
			if change := v.decodeEntry(item); change.Replica != nil {
				all = append(all, *change.Replica)
			}
		}
		effective := v.fleet.Replace(all, v.router.Now())
		v.put(effective)
		if position, known := v.replicas.Position(); known && next >= position {
			v.replicas.Apply(encodeChanges(effective), next)
		} else {
			v.replicas.Replace(encodeAll(all), next)
		}
		v.listed.Store(true)
	})
}

// changeEntries takes entries between two positions of the store.
func (v *views) changeEntries(from logstore.Offset, items []logstore.Item, next logstore.Offset) {
	v.replicas.change(from, next, func() {
		changes := make([]fleet.Change, 0, len(items))
		for _, item := range items {
			changes = append(changes, v.decodeEntry(item))
		}
		effective := v.fleet.Apply(changes, v.router.Now())
		v.put(effective)
		v.replicas.Apply(encodeChanges(effective), next)
	})
}

// decodeEntry reads a replica's entry or its removal.
func (v *views) decodeEntry(item logstore.Item) fleet.Change {
	if item.Value == nil {
		return fleet.Change{Instance: item.Key}
	}
	replica, err := v.adapter.DecodeReplica(item.Key, item.Value)
	if err != nil {
		v.unreadable.note(item.Key, err)
		return fleet.Change{Instance: item.Key, Unreadable: true}
	}
	return fleet.Change{Instance: item.Key, Replica: &replica}
}

// replaceTold takes all replicas as another node knows them.
func (v *views) replaceTold(items []logstore.Item, next logstore.Offset) {
	v.replicas.replaceTold(next, func() {
		v.noteAway()
		all := make([]fleet.Replica, 0, len(items))
		for _, item := range items {
			if change := v.decodeTold(item); change.Replica != nil {
				all = append(all, *change.Replica)
			}
		}
		v.put(v.fleet.Replace(all, v.router.Now()))
		v.replicas.Replace(items, next)
		v.listed.Store(true)
	})
}

// changeTold takes changes as another node knows them.
func (v *views) changeTold(items []logstore.Item, next logstore.Offset) {
	position, _ := v.replicas.Position()
	v.replicas.change(position, next, func() {
		v.noteAway()
		changes := make([]fleet.Change, 0, len(items))
		for _, item := range items {
			changes = append(changes, v.decodeTold(item))
		}
		v.put(v.fleet.Apply(changes, v.router.Now()))
		v.replicas.Apply(items, next)
	})
}

// awayAge is how old what this node knows must have grown before it takes the store for
// having been away from all that it hears of: a reader's knowledge is up to 2.7 s old, since
// it pauses and then waits for changes, and a listener's 0.4 s older. Replicas whose entries
// go in an outage could not write for three heartbeats, which is longer.
const awayAge = 3500 * time.Millisecond

// noteAway tells the directory where the store was away from all that this node heard of:
// entries may have gone because replicas could not write.
func (v *views) noteAway() {
	if age, known := v.replicas.Age(time.Now()); known && age > awayAge {
		v.fleet.StoreRecovered(v.router.Now())
	}
}

// decodeTold reads a replica as another node tells it, or its removal.
func (v *views) decodeTold(item logstore.Item) fleet.Change {
	if item.Value == nil {
		return fleet.Change{Instance: item.Key}
	}
	replica, err := fleet.Decode(item.Key, item.Value)
	if err != nil {
		v.unreadable.note(item.Key, err)
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

// mostLogged bounds the changed replicas that are logged one by one of those heard at once:
// all of a site are, at the start.
const mostLogged = 20

// put tells the other parts of the node of changed replicas.
func (v *views) put(changes []fleet.Change) {
	logged, now := 0, v.router.Now()
	for i := range changes {
		v.putOne(&changes[i], now)
		if !changes[i].ColdOnly && logged < mostLogged {
			v.logChange(&changes[i])
			logged++
		}
	}
	if len(changes) > mostLogged {
		v.logger.Info("more replicas changed", "changes", len(changes), "known", v.fleet.Size())
	}
}

func (v *views) putOne(change *fleet.Change, now time.Duration) {
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
		v.logger.Info("replica gone", "replica", change.PreviousIncarnation, "unreadable", change.Unreadable)
		return
	}
	v.logger.Info("replica heard", "replica", change.Replica.IncarnationID(), "former", change.PreviousIncarnation, "service", change.Replica.Service,
		"state", change.Replica.State, "address", change.Replica.Address, "zone", change.Replica.Zone,
		"sequence", change.Replica.Sequence, "cold_left_ms", change.Replica.ColdRemaining.Milliseconds())
}
