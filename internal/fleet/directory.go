// Package fleet holds what a node knows of the replicas: their entries in the
// store and which of them take new work. It is pure; Directory is safe for
// concurrent use.
package fleet

import (
	"net/netip"
	"sync"

	"github.com/samber/lo"
)

// State tells whether a replica takes new work.
type State string

// The states of a replica.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Replica is one life of a server of a service, as it describes itself.
type Replica struct {
	// Instance is new with each start of the replica.
	Instance string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Slots    int
	State    State
	// Sequence rises with each write of the replica.
	Sequence uint64
}

// Change is a new entry of a replica, or its removal where Replica is nil.
type Change struct {
	Instance string
	Replica  *Replica
}

// Directory holds the newest entry of each replica.
type Directory struct {
	// mutex guards all below.
	mutex     sync.RWMutex
	replicas  map[string]Replica
	byService map[string][]Replica
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{replicas: map[string]Replica{}, byService: map[string][]Replica{}}
}

// Replace sets the whole, as a snapshot of the store tells it, and returns what
// differs from before.
func (d *Directory) Replace(all []Replica) []Change {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fresh := lo.KeyBy(all, func(replica Replica) string { return replica.Instance })
	var changes []Change
	for instance := range d.replicas {
		if _, kept := fresh[instance]; !kept {
			changes = append(changes, Change{Instance: instance})
		}
	}
	for _, replica := range all {
		if differs(d.replicas, replica) {
			changes = append(changes, Change{Instance: replica.Instance, Replica: &replica})
		}
	}
	d.replicas = fresh
	d.index()
	return changes
}

// Apply takes changes in the order of the store and returns those that matter.
func (d *Directory) Apply(changes []Change) []Change {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var effective []Change
	for _, change := range changes {
		if d.apply(change) {
			effective = append(effective, change)
		}
	}
	if len(effective) > 0 {
		d.index()
	}
	return effective
}

func (d *Directory) apply(change Change) bool {
	if change.Replica == nil {
		_, known := d.replicas[change.Instance]
		delete(d.replicas, change.Instance)
		return known
	}
	matters := differs(d.replicas, *change.Replica)
	d.replicas[change.Instance] = *change.Replica
	return matters
}

// differs tells whether more than the sequence number of a replica is new.
func differs(known map[string]Replica, replica Replica) bool {
	before, found := known[replica.Instance]
	before.Sequence = replica.Sequence
	return !found || before != replica
}

func (d *Directory) index() {
	d.byService = map[string][]Replica{}
	for _, replica := range d.replicas {
		if replica.State == StateReady {
			d.byService[replica.Service] = append(d.byService[replica.Service], replica)
		}
	}
}

// Remove forgets a replica that has proved to be gone, such as one whose address
// another instance answers at.
func (d *Directory) Remove(instance string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.replicas, instance)
	d.index()
}

// Ready returns the replicas of service that take new work. The caller must not
// change the slice.
func (d *Directory) Ready(service string) []Replica {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.byService[service]
}

// Takes tells whether the replica still takes new work.
func (d *Directory) Takes(instance string) bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.replicas[instance].State == StateReady
}

// Size returns how many replicas are known.
func (d *Directory) Size() int {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return len(d.replicas)
}
