// Package fleet holds a node's view of the replicas: their entries in the store, and which
// of them may be sent new work. It does no I/O. Directory is safe for concurrent use.
//
// The cost of a change does not depend on the number of replicas, except for the insertion
// into a sorted slice of the replicas of one service in one zone: 0.8 µs among 60 replicas,
// 3 µs among 20,000 (BenchmarkChange).
package fleet

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lapsedGracePeriod is how long a replica may be used after its entry was removed.
	// Including the delay until the removal is detected, it is shorter than the shutdown of
	// a replica.
	lapsedGracePeriod = 700 * time.Millisecond
	// recoveryGracePeriod replaces lapsedGracePeriod after the store has recovered, when
	// entries may be missing because replicas could not write them. Live replicas write
	// them again about two seconds after the recovery, which a node detects up to half a
	// second late. Removals later than three seconds after the recovery take effect as
	// usual.
	recoveryGracePeriod = 2200 * time.Millisecond
	// incarnationTTL is how long an incarnation without updates takes precedence over one
	// with an earlier start time. After that the clock of the replica's machine must have
	// been set back, since a delayed update of an earlier incarnation would have arrived
	// before.
	incarnationTTL = 10 * time.Second
)

// Directory holds the latest entry of each replica.
type Directory struct {
	// mutex guards all fields below except purgeAt.
	mutex    sync.RWMutex
	replicas map[string]*entry
	services map[string]*service
	// lapsed holds the replicas without an entry that may still be used.
	lapsed map[string]*entry
	// dropped holds the entries in the store of incarnations that are known to have ended.
	dropped map[string]*entry
	// recoveringUntil is the end of the grace period for entries that were missing when the
	// store recovered, as a monotonic reading.
	recoveringUntil time.Duration
	// versions holds the history of each service's versions since completeSince, before which
	// changes may have been missed.
	versions      map[string]*serviceVersions
	completeSince time.Duration
	// past holds when the last entry of a service without entries was removed. The histories of
	// services before forgottenAt may have been dropped.
	past        map[string]time.Duration
	forgottenAt time.Duration
	// purgeAt is the time at which the next of lapsed expires, in nanoseconds; 0 if none
	// does.
	purgeAt atomic.Int64
}

// service holds the usable replicas of one service by zone.
type service struct {
	zones map[string]*group
	count int
	// usable caches all of them in one slice; nil if it is outdated.
	usable []Replica
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{replicas: map[string]*entry{}, services: map[string]*service{}, lapsed: map[string]*entry{}, dropped: map[string]*entry{}, versions: map[string]*serviceVersions{}, past: map[string]time.Duration{}}
}

// StoreRecovered records that the store was unavailable until now.
func (d *Directory) StoreRecovered(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recoveringUntil = now + recoveryGracePeriod
}

// Replace sets all replicas to those of a snapshot of the store and returns the
// differences. now is a monotonic reading.
func (d *Directory) Replace(all []Replica, now time.Duration) []Change {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.purge(now)
	// Entries that were added and removed since the last change are not in the snapshot.
	d.completeSince = now
	present := make(map[string]bool, len(all))
	for i := range all {
		present[all[i].Instance] = true
	}
	var changes []Change
	for instance, known := range d.replicas {
		if !present[instance] {
			d.lapse(known, now)
			changes = append(changes, Change{Instance: instance, PreviousIncarnation: known.incarnationID})
		}
	}
	for instance := range d.dropped {
		change := Change{Instance: instance}
		if !present[instance] && d.apply(&change, now) {
			changes = append(changes, change)
		}
	}
	for i := range all {
		change := Change{Instance: all[i].Instance, Replica: &all[i]}
		if d.put(&change, now) {
			changes = append(changes, change)
		}
	}
	return changes
}

// Apply applies changes in the order of the store. It returns the effective ones, with the
// incarnation that each of them ends.
func (d *Directory) Apply(changes []Change, now time.Duration) []Change {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.purge(now)
	var effective []Change
	for _, change := range changes {
		if d.apply(&change, now) {
			effective = append(effective, change)
		}
	}
	return effective
}

// apply applies one change. The caller must hold the mutex.
func (d *Directory) apply(change *Change, now time.Duration) bool {
	if change.Replica != nil {
		return d.put(change, now)
	}
	known, found := d.replicas[change.Instance]
	if dropped, wasDropped := d.dropped[change.Instance]; wasDropped {
		// Others have not dropped it, and learn of its removal from here.
		change.PreviousIncarnation = dropped.incarnationID
		d.forget(dropped, now)
		return true
	}
	if !found {
		return false
	}
	change.PreviousIncarnation = known.incarnationID
	if change.Unreadable {
		d.drop(known, now)
	} else {
		d.lapse(known, now)
	}
	return true
}

// put stores a replica's entry and reports whether it changed more than a heartbeat does.
// The caller must hold the mutex.
func (d *Directory) put(change *Change, now time.Duration) bool {
	replica := *change.Replica
	known, found := d.replicas[replica.Instance]
	if found && replica.StartedAtMs < known.replica.StartedAtMs && now-known.updatedAt < incarnationTTL {
		return false // a delayed update of an earlier incarnation
	}
	if found && !differs(&known.replica, &replica) {
		change.ColdOnly = replica.ColdRemaining > 0 || known.replica.ColdRemaining > 0
		known.replica.Sequence, known.replica.ColdRemaining, known.updatedAt = replica.Sequence, replica.ColdRemaining, now
		return change.ColdOnly
	}
	if found {
		d.removeUsable(known)
		d.removeVersion(&known.replica, now)
	}
	if dropped, wasDropped := d.dropped[replica.Instance]; wasDropped {
		d.forget(dropped, now)
	}
	if lapsed, wasLapsed := d.lapsed[replica.Instance]; wasLapsed {
		d.removeUsable(lapsed)
		delete(d.lapsed, replica.Instance)
	}
	created := newEntry(replica, now)
	if found && known.incarnationID != created.incarnationID {
		change.PreviousIncarnation = known.incarnationID
	}
	d.replicas[replica.Instance] = created
	d.addVersion(&created.replica)
	if replica.State == StateReady {
		d.addUsable(created)
	}
	return true
}

// differs reports whether a replica changed more than a heartbeat does.
func differs(known, replica *Replica) bool {
	before := *known
	before.Sequence, before.ColdRemaining, before.incarnationID = replica.Sequence, replica.ColdRemaining, replica.incarnationID
	return before != *replica
}

// lapse removes an entry but keeps the replica for a grace period, unless it was draining.
// The caller must hold the mutex.
func (d *Directory) lapse(known *entry, now time.Duration) {
	d.drop(known, now)
	if known.replica.State != StateReady {
		return
	}
	expiresAt := now + lapsedGracePeriod
	if now < d.recoveringUntil {
		expiresAt = d.recoveringUntil
	}
	lapsed := *known
	lapsed.replica.State, lapsed.expiresAt = StateLapsed, expiresAt
	d.lapsed[known.replica.Instance] = &lapsed
	d.addUsable(&lapsed)
	if next := d.purgeAt.Load(); next == 0 || int64(expiresAt) < next {
		d.purgeAt.Store(int64(expiresAt))
	}
}

// drop removes an entry. The caller must hold the mutex.
func (d *Directory) drop(known *entry, now time.Duration) {
	d.removeUsable(known)
	d.removeVersion(&known.replica, now)
	delete(d.replicas, known.replica.Instance)
}

// forget removes the entry of an incarnation that had been dropped. The caller must hold the mutex.
func (d *Directory) forget(dropped *entry, now time.Duration) {
	d.removeVersion(&dropped.replica, now)
	delete(d.dropped, dropped.replica.Instance)
}

// purge removes expired replicas. The caller must hold the mutex.
func (d *Directory) purge(now time.Duration) {
	next := d.purgeAt.Load()
	if next == 0 || int64(now) < next {
		return
	}
	next = 0
	for instance, lapsed := range d.lapsed {
		if lapsed.expired(now) {
			d.removeUsable(lapsed)
			delete(d.lapsed, instance)
		} else if next == 0 || int64(lapsed.expiresAt) < next {
			next = int64(lapsed.expiresAt)
		}
	}
	d.purgeAt.Store(next)
}

// purgeDue calls purge if a replica has expired.
func (d *Directory) purgeDue(now time.Duration) {
	if next := d.purgeAt.Load(); next == 0 || int64(now) < next {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.purge(now)
}

// addUsable adds a replica to the usable ones. The caller must hold the mutex.
func (d *Directory) addUsable(added *entry) {
	svc, known := d.services[added.replica.Service]
	if !known {
		svc = &service{zones: map[string]*group{}}
		d.services[added.replica.Service] = svc
	}
	zone, known := svc.zones[added.replica.Zone]
	if !known {
		zone = &group{}
		svc.zones[added.replica.Zone] = zone
	}
	zone.insert(added)
	svc.count++
	svc.usable = nil
}

// removeUsable removes a replica from the usable ones, if it is among them. The caller must
// hold the mutex.
func (d *Directory) removeUsable(removed *entry) {
	if removed.replica.State == StateDraining {
		return
	}
	svc, known := d.services[removed.replica.Service]
	if !known {
		return
	}
	zone, known := svc.zones[removed.replica.Zone]
	if !known {
		return
	}
	before := len(zone.ring)
	zone.remove(removed)
	if len(zone.ring) == before {
		return
	}
	svc.count--
	svc.usable = nil
	if len(zone.ring) == 0 {
		delete(svc.zones, removed.replica.Zone)
	}
	if svc.count == 0 {
		delete(d.services, removed.replica.Service)
	}
}

// Remove deletes an incarnation of a replica that is known to have ended, for instance
// because another instance responds at its address. Its version counts until the store removes its
// entry: other nodes may still use it.
func (d *Directory) Remove(instance string, startedAtMs int64, _ time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known, found := d.replicas[instance]; found && known.replica.StartedAtMs == startedAtMs {
		d.removeUsable(known)
		delete(d.replicas, instance)
		d.dropped[instance] = known
	}
	if lapsed, found := d.lapsed[instance]; found && lapsed.replica.StartedAtMs == startedAtMs {
		d.removeUsable(lapsed)
		delete(d.lapsed, instance)
	}
}

// Presence is what the directory knows of an instance's present entry.
type Presence struct {
	StartedAtMs int64
	State       State
	Address     netip.AddrPort
	// Sequence is that of the last renewal known to this node. Nodes that do not read the store
	// themselves learn of none, but only of changes.
	Sequence uint64
}

// Presence returns the present entry of an instance; false if it has none.
func (d *Directory) Presence(instance string) (Presence, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	known, found := d.replicas[instance]
	if !found {
		return Presence{}, false
	}
	return Presence{StartedAtMs: known.replica.StartedAtMs, State: known.replica.State, Address: known.replica.Address, Sequence: known.replica.Sequence}, true
}

// Recovering reports whether entries may be missing since replicas could not write to the store.
func (d *Directory) Recovering(now time.Duration) bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return now < d.recoveringUntil
}

// InZone returns the number of usable replicas in a zone.
func (d *Directory) InZone(zone string) int {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	total := 0
	for _, svc := range d.services {
		if in, known := svc.zones[zone]; known {
			total += len(in.ring)
		}
	}
	return total
}

// Size returns the number of replicas with entries.
func (d *Directory) Size() int {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return len(d.replicas)
}
