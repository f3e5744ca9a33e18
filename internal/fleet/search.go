package fleet

import (
	"strings"
	"time"
)

// Ready returns the replicas of all services with the state ready.
func (d *Directory) Ready() []Replica {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	var ready []Replica
	for _, known := range d.replicas {
		if known.replica.State == StateReady {
			ready = append(ready, known.replica)
		}
	}
	return ready
}

// Count returns the number of usable replicas of a service, including lapsed ones.
func (d *Directory) Count(name string) int {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	if svc, known := d.services[name]; known {
		return svc.count
	}
	return 0
}

// Zones returns the zones with usable replicas of a service.
func (d *Directory) Zones(name string) []string {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	svc, known := d.services[name]
	if !known {
		return nil
	}
	zones := make([]string, 0, len(svc.zones))
	for zone := range svc.zones {
		zones = append(zones, zone)
	}
	return zones
}

// Usable returns the replicas of a service that may be sent new work: the ready ones, and
// lapsed ones for a grace period. The caller must not modify the slice. The cost may be
// linear in their number.
func (d *Directory) Usable(name string, now time.Duration) []Replica {
	d.purgeDue(now)
	d.mutex.RLock()
	svc, known := d.services[name]
	if !known || svc.usable != nil {
		defer d.mutex.RUnlock()
		if !known {
			return nil
		}
		return svc.usable
	}
	d.mutex.RUnlock()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if svc, known = d.services[name]; !known {
		return nil
	}
	usable := make([]Replica, 0, svc.count)
	for _, zone := range svc.zones {
		for _, e := range zone.ring {
			usable = append(usable, e.replica)
		}
	}
	svc.usable = usable
	return usable
}

// ByIncarnation returns the replica with an incarnation ID and whether it is usable.
func (d *Directory) ByIncarnation(incarnationID string, now time.Duration) (Replica, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	for _, instance := range [2]string{incarnationID, instanceOf(incarnationID)} {
		if known, found := d.replicas[instance]; found && known.incarnationID == incarnationID {
			return known.replica, known.replica.State == StateReady
		}
		if lapsed, found := d.lapsed[instance]; found && lapsed.incarnationID == incarnationID {
			return lapsed.replica, !lapsed.expired(now)
		}
	}
	return Replica{}, false
}

// instanceOf returns the instance of an incarnation ID, see Replica.IncarnationID.
func instanceOf(incarnationID string) string {
	instance, _, _ := strings.Cut(incarnationID, "@")
	return instance
}

// maxSteps bounds the number of ineligible replicas that one search skips.
const maxSteps = 64

// After appends to found up to count eligible replicas of a service in a zone, in the order
// of consistent hashing for key, which is the same at all nodes.
func (d *Directory) After(found []Replica, name, zone string, key uint64, count int, eligible func(*Replica) bool, now time.Duration) []Replica {
	return d.search(found, name, zone, count, eligible, now, func(in *group) int { return in.successor(key) })
}

// Draw appends to found up to count eligible replicas of a service in a zone, starting at
// the given fraction of the ring, from 0 to less than 1.
func (d *Directory) Draw(found []Replica, name, zone string, fraction float64, count int, eligible func(*Replica) bool, now time.Duration) []Replica {
	return d.search(found, name, zone, count, eligible, now, func(in *group) int { return int(fraction * float64(len(in.ring))) })
}

func (d *Directory) search(found []Replica, name, zone string, count int, eligible func(*Replica) bool, now time.Duration, start func(*group) int) []Replica {
	d.purgeDue(now)
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	svc, known := d.services[name]
	if !known || svc.zones[zone] == nil {
		return found
	}
	in := svc.zones[zone]
	remaining, steps := count, maxSteps+count
	in.forEachFrom(start(in), func(e *entry) bool {
		steps--
		if !e.expired(now) && eligible(&e.replica) {
			found = append(found, e.replica)
			remaining--
		}
		return remaining > 0 && steps > 0
	})
	return found
}

// First returns an eligible replica of a service, if there is one. It may scan all of them.
func (d *Directory) First(name string, eligible func(*Replica) bool, now time.Duration) []Replica {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	svc, known := d.services[name]
	if !known {
		return nil
	}
	for _, zone := range svc.zones {
		for _, e := range zone.ring {
			if !e.expired(now) && eligible(&e.replica) {
				return []Replica{e.replica}
			}
		}
	}
	return nil
}

// Any reports whether there is an eligible usable replica of a service.
func (d *Directory) Any(name string, eligible func(*Replica) bool, now time.Duration) bool {
	return len(d.First(name, eligible, now)) > 0
}
