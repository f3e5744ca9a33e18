package fleet

import (
	"strings"
	"time"
)

// Ready returns the replicas of all services that are ready by their entries.
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

// Count returns how many replicas of a service may take work, those whose entries have
// just gone among them.
func (d *Directory) Count(name string) int {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	if of, known := d.services[name]; known {
		return of.count
	}
	return 0
}

// Zones returns the zones in which replicas of a service may take work.
func (d *Directory) Zones(name string) []string {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	of, known := d.services[name]
	if !known {
		return nil
	}
	zones := make([]string, 0, len(of.zones))
	for zone := range of.zones {
		zones = append(zones, zone)
	}
	return zones
}

// Usable returns the replicas of a service that may get new work: those that are
// ready, and for a short time those whose entries are gone. The caller must not
// change the slice. It looks at all of them.
func (d *Directory) Usable(name string, now time.Duration) []Replica {
	d.purgeDue(now)
	d.mutex.RLock()
	of, known := d.services[name]
	if !known || of.listed != nil {
		defer d.mutex.RUnlock()
		if !known {
			return nil
		}
		return of.listed
	}
	d.mutex.RUnlock()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if of, known = d.services[name]; !known {
		return nil
	}
	listed := make([]Replica, 0, of.count)
	for _, zone := range of.zones {
		for _, one := range zone.ring {
			listed = append(listed, one.replica)
		}
	}
	of.listed = listed
	return listed
}

// ByIncarnation returns the replica whose present life has a name, if it may take work.
func (d *Directory) ByIncarnation(life string, now time.Duration) (Replica, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	for _, instance := range [2]string{life, instanceOf(life)} {
		if known, found := d.replicas[instance]; found && known.life == life {
			return known.replica, known.replica.State == StateReady
		}
		if gone, found := d.lapsed[instance]; found && gone.life == life {
			return gone.replica, !gone.expired(now)
		}
	}
	return Replica{}, false
}

// instanceOf returns the instance of a life that names its start, see Replica.Life.
func instanceOf(life string) string {
	instance, _, _ := strings.Cut(life, "@")
	return instance
}

// maxSteps bounds how many replicas that don't fit are passed over in one search.
const maxSteps = 64

// After appends to found up to count replicas of a service in a zone that fit, which all
// nodes find for the same key in the same order (consistent hashing).
func (d *Directory) After(found []Replica, name, zone string, key uint64, count int, fits func(*Replica) bool, now time.Duration) []Replica {
	return d.search(found, name, zone, count, fits, now, func(in *group) int { return in.after(key) })
}

// Draw appends to found up to count replicas of a service in a zone that fit, from a place
// that draw in [0,1) names.
func (d *Directory) Draw(found []Replica, name, zone string, draw float64, count int, fits func(*Replica) bool, now time.Duration) []Replica {
	return d.search(found, name, zone, count, fits, now, func(in *group) int { return int(draw * float64(len(in.ring))) })
}

func (d *Directory) search(found []Replica, name, zone string, count int, fits func(*Replica) bool, now time.Duration, begin func(*group) int) []Replica {
	d.purgeDue(now)
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	of, known := d.services[name]
	if !known || of.zones[zone] == nil {
		return found
	}
	in := of.zones[zone]
	left, steps := count, maxSteps+count
	in.from(begin(in), func(one *entry) bool {
		steps--
		if !one.expired(now) && fits(&one.replica) {
			found = append(found, one.replica)
			left--
		}
		return left > 0 && steps > 0
	})
	return found
}

// First returns a replica of a service that fits, if there is any. It looks at as many as
// it takes.
func (d *Directory) First(name string, fits func(*Replica) bool, now time.Duration) []Replica {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	of, known := d.services[name]
	if !known {
		return nil
	}
	for _, zone := range of.zones {
		for _, one := range zone.ring {
			if !one.expired(now) && fits(&one.replica) {
				return []Replica{one.replica}
			}
		}
	}
	return nil
}

// Any tells whether a replica of a service may take work that fits.
func (d *Directory) Any(name string, fits func(*Replica) bool, now time.Duration) bool {
	return len(d.First(name, fits, now)) > 0
}
