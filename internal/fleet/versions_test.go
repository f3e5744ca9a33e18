package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node that had dropped a replica, since another instance answered at its address, vouched for the only
// version of its service though the store had the replica's entry, and others that had not dropped it sent
// it streams.
func TestDroppedReplicaKeepsItsVersionUntilItsEntryIsRemoved(t *testing.T) {
	other := func() Change {
		return Change{Instance: "b", Replica: &Replica{Instance: "b", Service: "s", Zone: "z", State: StateReady, Version: "v2"}}
	}
	first := Replica{Instance: "a", Service: "s", Zone: "z", State: StateReady, Version: "v1"}
	for name, test := range map[string]struct {
		// end is what becomes of the dropped replica's entry after a minute; nil for nothing.
		end     func(d *Directory, now time.Duration)
		version string
		only    bool
		age     time.Duration
	}{
		"it stays": {},
		"it is removed": {end: func(d *Directory, now time.Duration) {
			is.New(t).Equal(len(d.Apply([]Change{{Instance: "b"}}, now)), 1)
		}, version: "v1", only: true, age: time.Minute},
		"a snapshot lacks it": {end: func(d *Directory, now time.Duration) { d.Replace([]Replica{first}, now) }, version: "v1", only: true, age: time.Minute},
		"a snapshot has it":   {end: func(d *Directory, now time.Duration) { d.Replace([]Replica{first, *other().Replica}, now) }},
		"it is renewed":       {end: func(d *Directory, now time.Duration) { d.Apply([]Change{other()}, now) }},
		"its version changes": {end: func(d *Directory, now time.Duration) {
			changed := other()
			changed.Replica.Version = "v1"
			d.Apply([]Change{changed}, now)
		}, version: "v1", only: true, age: time.Minute},
		"it is dropped twice": {end: func(d *Directory, now time.Duration) {
			d.Apply([]Change{other()}, now)
			d.Remove("b", 0, now)
			d.Remove("b", 0, now)
			d.Apply([]Change{{Instance: "b"}}, now)
		}, version: "v1", only: true, age: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := NewDirectory()
			d.Apply([]Change{{Instance: "a", Replica: &first}, other()}, 0)
			d.Remove("b", 0, time.Second)
			is.Equal(len(d.Usable("s", time.Second)), 1)
			is.True(d.VersionSpan("s", time.Minute).Several)
			if test.end != nil {
				test.end(d, time.Minute)
			}
			span := d.VersionSpan("s", 2*time.Minute)
			is.Equal(span, VersionSpan{Only: test.only, Version: test.version, Age: test.age, Several: !test.only})
		})
	}
}
