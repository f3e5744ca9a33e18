package models_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/controller/models"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// longEnough exceeds the time that any plan in these tests takes.
const longEnough = 3 * time.Minute

var (
	withModel = []string{"m"}
	empty     = []string{}
)

func TestNoOrdersWhileTableIsSatisfied(t *testing.T) {
	inSite(t, [][]string{withModel, withModel, withModel, empty}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 1}, table.Model{Name: "other", Version: "1", MaxReplicas: 2})
		time.Sleep(longEnough)
		for _, one := range s.engines {
			is.Equal(len(one.Truth().Orders), 0)
		}
		is.Equal(s.nodes[0].controller.Status()[0].Acting, true)
		is.Equal(s.nodes[1].controller.Status()[0].Acting, false)
	})
}

func TestRaisingMinReplicasLoadsOnce(t *testing.T) {
	inSite(t, [][]string{withModel, empty, empty}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 1})
		time.Sleep(30 * time.Second)
		is.Equal(len(s.loads("m")), 0)
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 2})
		time.Sleep(longEnough)
		is.Equal(len(s.loads("m")), 1)
		is.Equal(s.loads("m")[0].Fence, models.Fence(1, 4)) // after one fence per engine
		report, err := s.engines[1].Load(t.Context())
		is.NoErr(err)
		is.Equal(report.Models, withModel) // the first engine of the other zone
	})
}

// TestReportsOfUnpolledEnginesAreRequested covers engines that are on the board
// without a report, as most are in a large fleet.
func TestReportsOfUnpolledEnginesAreRequested(t *testing.T) {
	inSite(t, [][]string{empty, withModel, withModel, withModel}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.setUnpolled(3)
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 3})
		time.Sleep(longEnough)
		s.takeOver(1)
		time.Sleep(longEnough)
		is.Equal(len(s.loads("m")), 0)
		s.engines[3].SetFaults(engine.Faults{Down: true})
		time.Sleep(longEnough)
		is.Equal(len(s.loads("m")), 1)
	})
}

func TestEngineWithoutOrderSupportIsSkipped(t *testing.T) {
	inSite(t, [][]string{empty, empty, empty}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.unresponsive = s.engines[0]
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 2})
		time.Sleep(longEnough)
		is.Equal(len(s.loads("m")), 2)
		is.Equal(len(s.engines[0].Truth().Orders), 0)
	})
}

func TestNewVersionRollsOutOneEngineAtATime(t *testing.T) {
	inSite(t, [][]string{withModel, withModel, withModel}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 2})
		time.Sleep(30 * time.Second)
		s.publish(table.Model{Name: "m", Version: "2", MinReplicas: 2})
		for range int(longEnough / time.Second) {
			time.Sleep(time.Second)
			loading := 0
			for _, one := range s.engines {
				report, err := one.Load(t.Context())
				is.NoErr(err)
				loading += len(report.Loading)
			}
			is.True(loading <= 1)
			is.Equal(s.holders("m"), 3)
		}
		is.Equal(len(s.loads("m")), 3)
		for _, one := range s.engines {
			report, err := one.Load(t.Context())
			is.NoErr(err)
			is.Equal(report.ModelVersions["m"], "2")
		}
	})
}

func TestReplicaOfFailedEngineIsReplaced(t *testing.T) {
	inSite(t, [][]string{withModel, withModel, empty}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 2, MaxReplicas: 2})
		time.Sleep(30 * time.Second)
		s.engines[0].SetFaults(engine.Faults{Down: true})
		time.Sleep(5 * time.Second)
		s.engines[0].SetFaults(engine.Faults{})
		time.Sleep(longEnough)
		is.Equal(len(s.loads("m")), 0) // a short outage loads nothing
		s.engines[0].SetFaults(engine.Faults{Down: true})
		time.Sleep(longEnough)
		is.Equal(s.holders("m"), 2)
		is.Equal(len(s.loads("m")), 1)
		s.engines[0].SetFaults(engine.Faults{})
		time.Sleep(longEnough)
		is.Equal(s.holders("m"), 2) // the recovered replica exceeds max_replicas and is unloaded
	})
}

func TestAdaptersAreLoadedWithTheirModel(t *testing.T) {
	inSite(t, [][]string{withModel, empty, withModel}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.put(&table.Table{
			Models:   map[string]table.Model{"m": {Name: "m", Version: "1", Service: service, Weight: 1, MinReplicas: 1}},
			Adapters: map[string]table.Adapter{"a": {Name: "a", Model: "m", Version: "7", Weight: 1}},
		})
		time.Sleep(1100 * time.Millisecond) // the engines are known, the adapter is not loaded yet
		wait, expected := s.nodes[1].controller.ExpectedWait("m", "a")
		is.True(expected && wait > 0)
		time.Sleep(longEnough)
		is.Equal(len(s.loads("a")), 1)
		report, err := s.engines[0].Load(t.Context())
		is.NoErr(err)
		is.Equal(report.AdapterVersions, map[string]string{"a": "7"})
		_, expected = s.nodes[1].controller.ExpectedWait("m", "a")
		is.True(!expected)
	})
}

func TestDemandLoadsAnotherReplica(t *testing.T) {
	inSite(t, [][]string{withModel, empty, empty}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 1, MaxReplicas: 2})
		ended := time.Now().Add(longEnough)
		for caller := range 20 {
			s.group.Go(func() { s.callUntil(ended, caller) })
		}
		time.Sleep(2 * longEnough)
		is.Equal(len(s.loads("m")), 1)
		is.Equal(s.holders("m"), 2) // the replica stays after the demand has ended
	})
}

func TestLostResponseLoadsOnce(t *testing.T) {
	for _, losses := range []int{1, 3} {
		inSite(t, [][]string{empty, empty}, models.Hooks{}, func(t *testing.T, s *site) {
			is := is.New(t)
			s.nodes[0].losses = losses
			s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 1})
			time.Sleep(longEnough)
			is.Equal(len(s.loads("m")), 1)
			is.Equal(s.holders("m"), 1)
			repeats := 0
			for _, record := range s.engines[0].Truth().Orders {
				if !record.Done && record.Order == s.loads("m")[0] {
					repeats++
				}
			}
			is.Equal(repeats, losses) // each lost response caused a retry with the same fence
		})
	}
}

func TestLoadsWaitForBusyWeightStore(t *testing.T) {
	inSite(t, [][]string{empty, empty, empty, empty}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		for range 20 { // 40 s of fetches
			go func() { _ = s.weights.Fetch(t.Context(), "other", "1") }()
		}
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 4})
		time.Sleep(30 * time.Second)
		is.Equal(len(s.loads("m")), 0)
		is.Equal(s.nodes[0].controller.Status()[0].Waiting != "", true)
		s.weights.SetDown(true)
		time.Sleep(30 * time.Second)
		is.Equal(len(s.loads("m")), 0)
		s.weights.SetDown(false)
		time.Sleep(17 * time.Second)
		is.True(len(s.loads("m")) <= 2) // bounded by MaxInFlight
		time.Sleep(longEnough)
		is.Equal(len(s.loads("m")), 4)
	})
}

// runFormerOwner pauses the owner between its lease check and its order, lets
// another node act, and returns the number of loads that engines began and of late
// orders that they refused.
func runFormerOwner(t *testing.T, hooks models.Hooks) (loads, refused int) {
	inSite(t, [][]string{empty, empty, empty}, hooks, func(t *testing.T, s *site) {
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 1})
		for s.fences() < len(s.engines) {
			time.Sleep(10 * time.Millisecond)
		}
		s.stall(s.nodes[0], true)
		time.Sleep(10 * time.Second) // the order is delayed by now
		if len(s.loads("m")) != 0 {
			t.Fatal("the order was not delayed")
		}
		s.takeOver(1)
		// The target of the late order gets another model first, so that the next
		// owner loads this one elsewhere.
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 1}, table.Model{Name: "a", Version: "1", MinReplicas: 1})
		time.Sleep(longEnough)
		s.stall(s.nodes[0], false)
		time.Sleep(longEnough)
		loads = len(s.loads("m"))
		for _, one := range s.engines {
			for _, record := range one.Truth().Orders {
				if !record.Done && record.Order.Kind == backend.OrderLoadModel && record.Order.Fence>>32 == 1 {
					refused++
				}
			}
		}
	})
	return loads, refused
}

// fences counts the engines that accepted a fence.
func (s *site) fences() (count int) {
	for _, one := range s.engines {
		for _, record := range one.Truth().Orders {
			if record.Done && record.Order.Kind == backend.OrderFence {
				count++
				break
			}
		}
	}
	return count
}

// TestOrderOfFormerEpochIsNotRetried covers a node that loses the shard and
// acquires it again while the outcome of its order is unknown.
func TestOrderOfFormerEpochIsNotRetried(t *testing.T) {
	inSite(t, [][]string{empty, empty}, models.Hooks{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.nodes[0].losses = 1
		s.publish(table.Model{Name: "m", Version: "1", MinReplicas: 1})
		for len(s.loads("m")) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		s.takeOver(1)
		s.takeOver(0)
		time.Sleep(longEnough)
		is.Equal(len(s.loads("m")), 1)
		for _, record := range s.engines[0].Truth().Orders {
			is.True(record.Done) // no retry and no refusal
		}
	})
}

func TestLateOrderOfFormerOwnerIsRefused(t *testing.T) {
	is := is.New(t)
	loads, refused := runFormerOwner(t, models.Hooks{})
	is.Equal(loads, 1)
	is.Equal(refused, 1)
}

// TestLateOrderLoadsAgainWithoutFences verifies that the previous test detects
// missing fences.
func TestLateOrderLoadsAgainWithoutFences(t *testing.T) {
	is := is.New(t)
	loads, _ := runFormerOwner(t, models.Hooks{
		Fence: func(identity.Epoch, uint32) uint64 { return math.MaxUint64 },
	})
	is.True(loads > 1)
}
