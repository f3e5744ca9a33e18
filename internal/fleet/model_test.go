package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceModel is a directory without indexes.
type referenceModel struct {
	replicas        map[string]Replica
	lapsed          map[string]lapsedReplica
	recoveringUntil time.Duration
}

type lapsedReplica struct {
	replica   Replica
	expiresAt time.Duration
}

func (n *referenceModel) apply(instance string, replica *Replica, now time.Duration) {
	if replica != nil {
		n.replicas[instance] = *replica
		delete(n.lapsed, instance)
		return
	}
	known, found := n.replicas[instance]
	delete(n.replicas, instance)
	if !found || known.State != StateReady {
		return
	}
	known.State = StateLapsed
	expiresAt := now + lapsedGracePeriod
	if now < n.recoveringUntil {
		expiresAt = n.recoveringUntil
	}
	n.lapsed[instance] = lapsedReplica{known, expiresAt}
}

func (n *referenceModel) usable(service string, now time.Duration) []string {
	var names []string
	for instance, replica := range n.replicas {
		if replica.Service == service && replica.State == StateReady {
			names = append(names, instance+" ready")
		}
	}
	for instance, lapsed := range n.lapsed {
		if lapsed.replica.Service == service && now < lapsed.expiresAt {
			names = append(names, instance+" lapsed")
		}
	}
	slices.Sort(names)
	return names
}

// Lists, searches and counts must agree with a simple model after any changes.
func TestDirectoryMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory()
		model := &referenceModel{replicas: map[string]Replica{}, lapsed: map[string]lapsedReplica{}}
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			instance := fmt.Sprintf("i%d", rapid.IntRange(0, 9).Draw(t, "instance"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				replica := Replica{
					Instance: instance, Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
					Zone:  rapid.SampledFrom([]string{"y", "z"}).Draw(t, "zone"),
					State: rapid.SampledFrom([]State{StateReady, StateReady, StateDraining}).Draw(t, "state"),
				}
				d.Apply([]Change{{Instance: instance, Replica: &replica}}, now)
				model.apply(instance, &replica, now)
			case 3:
				d.Apply([]Change{{Instance: instance}}, now)
				model.apply(instance, nil, now)
			case 4:
				d.StoreRecovered(now)
				model.recoveringUntil = now + recoveryGracePeriod
			case 5:
				d.Remove(instance, 0, now)
				delete(model.replicas, instance)
				delete(model.lapsed, instance)
			}
			compare(t, d, model, now)
		}
	})
}

func compare(t *rapid.T, d *Directory, model *referenceModel, now time.Duration) {
	all := func(*Replica) bool { return true }
	for _, service := range []string{"s", "t"} {
		want := model.usable(service, now)
		if have := names(d.Usable(service, now)); !slices.Equal(have, want) {
			t.Fatalf("usable %v, want %v", have, want)
		}
		var sampled, ordered []Replica
		for _, zone := range d.Zones(service) {
			sampled = d.Draw(sampled, service, zone, 0.7, 100, all, now)
			ordered = d.After(ordered, service, zone, 1<<63, 100, all, now)
		}
		if have := names(sampled); !slices.Equal(have, want) {
			t.Fatalf("drawn %v, want %v", have, want)
		}
		if have := names(ordered); !slices.Equal(have, want) {
			t.Fatalf("after %v, want %v", have, want)
		}
		if have := d.Any(service, all, now); have != (len(want) > 0) {
			t.Fatalf("any %v, want %v", have, want)
		}
		if have := d.Count(service); have != len(want) {
			t.Fatalf("count %d, want %v", have, want)
		}
	}
}

func names(replicas []Replica) []string {
	var listed []string
	for _, replica := range replicas {
		listed = append(listed, replica.Instance+" "+string(replica.State))
	}
	slices.Sort(listed)
	return listed
}

// BenchmarkChange measures a changed entry by the number of replicas.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{60, 900, 8714, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := filled(count)
			replica := Replica{Instance: "i-1", Service: "s", Zone: "z1", Slots: 6, State: StateReady}
			for i := range b.N {
				replica.Slots = i
				d.Apply([]Change{{Instance: "i-1", Replica: &replica}}, 0)
			}
		})
	}
}

// filled returns a directory of ready replicas of one service in five zones.
func filled(count int) *Directory {
	d := NewDirectory()
	all := make([]Replica, 0, count)
	for i := range count {
		all = append(all, Replica{Instance: fmt.Sprintf("i-%d", i), Service: "s", Zone: fmt.Sprintf("z%d", i%5), Slots: 6, State: StateReady})
	}
	d.Replace(all, 0)
	return d
}
