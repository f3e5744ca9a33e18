package machinelist

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/siteservices"
)

func names(machines []siteservices.Machine) []string {
	found := []string{}
	for _, machine := range machines {
		found = append(found, machine.Name+"/"+string(machine.State))
	}
	return found
}

func TestChangesShowAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		list := New([]siteservices.Machine{{Name: "a", State: siteservices.MachineLive}})
		list.SetFaults(Faults{Lag: 10 * time.Second})
		time.Sleep(time.Second)
		list.Put(siteservices.Machine{Name: "b", State: siteservices.MachineLive})
		time.Sleep(3 * time.Second)
		check.True(list.SetState("a", siteservices.MachineLeaving))
		list.Remove("b")
		show := func() []string {
			machines, err := list.Machines(t.Context())
			check.NoErr(err)
			return names(machines)
		}
		check.Equal(show(), []string{"a/live"})
		time.Sleep(7 * time.Second)
		check.Equal(show(), []string{"a/live", "b/live"})
		time.Sleep(3 * time.Second)
		check.Equal(show(), []string{"a/leaving"})
		check.Equal(names(list.Latest()), []string{"a/leaving"})
		check.True(!list.SetState("gone", siteservices.MachineLeaving))
	})
}

func TestPartitionOfOneCaller(t *testing.T) {
	check := is.New(t)
	list := New(nil)
	list.ViewFor("n1").SetDown(true)
	_, err := list.ViewFor("n1").Machines(t.Context())
	check.True(errors.Is(err, siteservices.ErrUnavailable))
	_, err = list.ViewFor("n2").Machines(t.Context())
	check.NoErr(err)
}
