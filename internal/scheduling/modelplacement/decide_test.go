package modelplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling/modelplacement"
	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.checks": "2000", "rapid.seed": "20261202", "rapid.nofailfile": "true"})
}

// drawSnapshot draws a service of up to ten engines, three models and one adapter.
func drawSnapshot(t *rapid.T) modelplacement.Snapshot {
	snapshot := modelplacement.Snapshot{ModelDemand: map[string]float64{}, AdapterDemand: map[string]float64{}}
	for i := range rapid.IntRange(1, 3).Draw(t, "models") {
		name := fmt.Sprintf("model-%d", i)
		minimum := rapid.IntRange(0, 4).Draw(t, "min")
		maximum := rapid.SampledFrom([]int{0, minimum, minimum + 1, minimum + 3}).Draw(t, "max")
		snapshot.Models = append(snapshot.Models, table.Model{
			Name: name, Version: "2", Weight: 1 + float64(i), MinReplicas: minimum, MaxReplicas: maximum,
		})
		snapshot.ModelDemand[name] = float64(rapid.IntRange(0, 40).Draw(t, "demand"))
	}
	snapshot.Adapters = []table.Adapter{{Name: "adapter", Model: "model-0", Version: "2", Weight: 1}}
	snapshot.AdapterDemand["adapter"] = float64(rapid.IntRange(0, 20).Draw(t, "adapter demand"))
	for i := range rapid.IntRange(0, 10).Draw(t, "engines") {
		counted := rapid.IntRange(0, 5).Draw(t, "counted") > 0
		engine := modelplacement.Engine{
			Name: fmt.Sprintf("engine-%d", i), Zone: identity.Zone(fmt.Sprintf("zone-%d", i%3)),
			Available: counted, Schedulable: counted && rapid.IntRange(0, 5).Draw(t, "usable") > 0,
			Models: map[string]string{}, Adapters: map[string]string{},
			Load: rapid.IntRange(0, 1).Draw(t, "load"), IdleFor: time.Duration(rapid.IntRange(0, 60).Draw(t, "quiet")) * time.Second,
		}
		for _, model := range snapshot.Models {
			if version := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "version"); version != "" {
				engine.Models[model.Name] = version
			}
		}
		snapshot.Engines = append(snapshot.Engines, engine)
	}
	return snapshot
}

func find(snapshot modelplacement.Snapshot, name string) *modelplacement.Engine {
	for i := range snapshot.Engines {
		if snapshot.Engines[i].Name == name {
			return &snapshot.Engines[i]
		}
	}
	return nil
}

func replicas(snapshot modelplacement.Snapshot, model string) (count int) {
	for _, engine := range snapshot.Engines {
		if _, loaded := engine.Models[model]; loaded && engine.Available {
			count++
		}
	}
	return count
}

// finish applies the orders in progress at engine.
func finish(engine *modelplacement.Engine) {
	for _, order := range engine.Loading {
		switch order.Kind {
		case backend.OrderLoadModel:
			engine.Models[order.Subject] = order.Version
		case backend.OrderLoadAdapter:
			engine.Adapters[order.Subject] = order.Version
		case backend.OrderUnloadModel:
			delete(engine.Models, order.Subject)
		}
	}
	engine.Loading = nil
}

// checkOrder fails if the order violates an invariant of plans.
func checkOrder(t *rapid.T, snapshot modelplacement.Snapshot, order modelplacement.Order) {
	engine := find(snapshot, order.Engine)
	if !engine.Schedulable || !engine.Available || len(engine.Loading) > 0 {
		t.Fatalf("%v goes to an engine that must not receive orders: %+v", order, engine)
	}
	for _, model := range snapshot.Models {
		if order.Subject != model.Name {
			continue
		}
		_, loaded := engine.Models[model.Name]
		have := replicas(snapshot, model.Name)
		for _, other := range snapshot.Engines {
			for _, load := range other.Loading {
				if _, has := other.Models[model.Name]; load.Subject == model.Name && !has && other.Available {
					have++
				}
			}
		}
		switch {
		case model.MinReplicas == 0:
			t.Fatalf("%v concerns a row with min_replicas 0", order)
		case order.Kind == backend.OrderLoadModel && !loaded && model.MaxReplicas > 0 && have >= model.MaxReplicas:
			t.Fatalf("%v exceeds max_replicas %d", order, model.MaxReplicas)
		case order.Kind == backend.OrderLoadModel && loaded && have < model.MinReplicas:
			t.Fatalf("%v changes a version while only %d of %d replicas are loaded", order, have, model.MinReplicas)
		case order.Kind == backend.OrderUnloadModel && have-1 < max(1, model.MinReplicas):
			t.Fatalf("%v leaves %d replicas of %d", order, have-1, model.MinReplicas)
		case order.Kind == backend.OrderUnloadModel && (engine.Load > 0 || engine.IdleFor < 30*time.Second):
			t.Fatalf("%v unloads a model from an engine that is not idle", order)
		}
	}
}

// TestPlansConvergeWithinBounds completes orders in a random sequence and checks
// the invariants of each plan, then that the final snapshot gets no further
// orders and meets min_replicas.
func TestPlansConvergeWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot, parameters := drawSnapshot(t), modelplacement.DefaultParameters()
		for range 300 {
			plan := modelplacement.Decide(snapshot, parameters)
			var inProgress []*modelplacement.Engine
			for _, order := range plan.Orders {
				checkOrder(t, snapshot, order)
				engine := find(snapshot, order.Engine)
				engine.Loading = append(engine.Loading, backend.Order{Kind: order.Kind, Subject: order.Subject, Version: order.Version})
			}
			for i := range snapshot.Engines {
				if len(snapshot.Engines[i].Loading) > 0 {
					inProgress = append(inProgress, &snapshot.Engines[i])
				}
			}
			if len(inProgress) > parameters.MaxInFlight {
				t.Fatalf("%d orders in progress", len(inProgress))
			}
			if len(inProgress) == 0 {
				checkSteady(t, snapshot)
				return
			}
			finish(rapid.SampledFrom(inProgress).Draw(t, "ends"))
		}
		t.Fatal("the plans do not converge")
	})
}

func checkSteady(t *rapid.T, snapshot modelplacement.Snapshot) {
	for _, model := range snapshot.Models {
		if model.MinReplicas == 0 {
			continue
		}
		if have := replicas(snapshot, model.Name); have < model.MinReplicas {
			for _, engine := range snapshot.Engines {
				if _, loaded := engine.Models[model.Name]; engine.Schedulable && !loaded {
					t.Fatalf("%s has %d of %d replicas although %s could load it", model.Name, have, model.MinReplicas, engine.Name)
				}
			}
			continue
		}
		for _, engine := range snapshot.Engines {
			if version, loaded := engine.Models[model.Name]; loaded && engine.Schedulable && version != model.Version {
				t.Fatalf("%s keeps version %s of %s", engine.Name, version, model.Name)
			}
		}
	}
}

func TestMinReplicasSpreadOverZones(t *testing.T) {
	is := is.New(t)
	snapshot := modelplacement.Snapshot{Models: []table.Model{{Name: "m", Version: "1", MinReplicas: 2, Weight: 1}}}
	for i, zone := range []identity.Zone{"a", "a", "b", "b"} {
		engine := modelplacement.Engine{Name: fmt.Sprint(i), Zone: zone, Schedulable: true, Available: true, Models: map[string]string{}}
		if i == 0 {
			engine.Models["m"] = "1"
		}
		snapshot.Engines = append(snapshot.Engines, engine)
	}
	plan := modelplacement.Decide(snapshot, modelplacement.DefaultParameters())
	is.Equal(len(plan.Orders), 1)
	is.Equal(plan.Orders[0].Engine, "2")
	is.Equal(plan.Orders[0].Reason, "1 of min_replicas 2; zone b has 0")
}

func TestDemandAddsReplicasUpToMaxReplicas(t *testing.T) {
	for _, one := range []struct {
		maximum int
		demand  float64
		orders  int
	}{{2, 9, 1}, {2, 7, 0}, {0, 100, 0}, {1, 100, 0}} {
		is := is.New(t)
		snapshot := modelplacement.Snapshot{
			Models:      []table.Model{{Name: "m", Version: "1", Weight: 1, MinReplicas: 1, MaxReplicas: one.maximum}},
			ModelDemand: map[string]float64{"m": one.demand},
		}
		for i, loaded := range []map[string]string{{"m": "1"}, {}, {}} {
			snapshot.Engines = append(snapshot.Engines, modelplacement.Engine{Name: fmt.Sprint(i), Schedulable: true, Available: true, Models: loaded})
		}
		is.Equal(len(modelplacement.Decide(snapshot, modelplacement.DefaultParameters()).Orders), one.orders)
	}
}

// BenchmarkDecide measures one plan for a service of 600 engines and 28 models.
func BenchmarkDecide(b *testing.B) {
	snapshot := modelplacement.Snapshot{}
	for m := range 28 {
		snapshot.Models = append(snapshot.Models, table.Model{Name: fmt.Sprint(m), Version: "1", Weight: 1, MinReplicas: 20, MaxReplicas: 100})
	}
	for i := range 600 {
		snapshot.Engines = append(snapshot.Engines, modelplacement.Engine{
			Name: fmt.Sprint(i), Zone: identity.Zone(fmt.Sprint(i % 8)), Schedulable: true, Available: true,
			Models: map[string]string{fmt.Sprint(i % 28): "1"},
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		modelplacement.Decide(snapshot, modelplacement.DefaultParameters())
	}
}
