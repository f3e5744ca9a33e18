package simulation

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/table"
)

const (
	secondModel = "asesor-70b"
	// placementTime is longer than loading a model twice in sequence with a change of the
	// acting node in between.
	placementTime = 3 * time.Minute
)

// modelLoads returns the engines that began to load model, one entry per load.
func (s *site) modelLoads(model string) (zones []identity.Zone) {
	for index, truth := range s.Engines() {
		for _, record := range truth.Orders {
			if record.Done && record.Order.Kind == backend.OrderLoadModel && record.Order.Subject == model {
				zones = append(zones, s.zone(index))
			}
		}
	}
	return zones
}

// acting returns the index of the node that acts for the engines' service.
func (s *site) acting() (index int, found bool) {
	for index := range s.plan.nodes {
		if alive := s.incarnation(index); alive != nil {
			for _, status := range alive.Node.Models().Status() {
				if status.Acting && status.Service == engineService {
					return index, true
				}
			}
		}
	}
	return 0, false
}

// fencesSeen counts the engines whose reports at the node at index contain an acting
// node's fence.
func (s *site) fencesSeen(index int) (count int) {
	for _, seen := range s.incarnation(index).Node.Board().Backends.Clone() {
		if seen.Report.Fence > 0 {
			count++
		}
	}
	return count
}

// callSecondModel calls the second model through the node at index.
func (s *site) callSecondModel(index int, program identity.ProgramID) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	programs := s.incarnation(index).Node.Programs()
	_, err := programs.Create(ctx, serving.CreateRequest{ID: program, Tenant: "usfq", Class: className})
	if err != nil {
		return err
	}
	_, err = programs.Call(ctx, serving.CallRequest{Program: program, Call: api.CallRequest{
		Sequence: 1, Kind: api.CallModel, Model: secondModel, MaxTokens: 16,
		Messages: []api.Message{{Role: "user", Content: "what is missing from my file?"}},
	}}, func(int, string) error { return nil })
	return err
}

// TestTableChangeLoadsModel adds a model to the table of a running site and kills the node
// that acts for the engines during the first load. Each replica must be loaded once, in
// its own zone, and an early caller gets a retry delay.
func TestTableChangeLoadsModel(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(t, quito(9))
		defer site.close()
		time.Sleep(time.Minute)
		for _, truth := range site.Engines() {
			is.Equal(len(truth.Orders), 0) // a model that is not in the table is not ordered
		}
		next := site.plan.firstTable()
		next.Base = 1
		next.Models[secondModel] = table.Model{
			Name: secondModel, Version: "1", Service: engineService, Weight: 1, MinReplicas: 2, ContextTokens: 32_000,
		}
		site.publish(0, next)
		for len(site.modelLoads(secondModel)) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		acting, found := site.acting()
		is.True(found)
		site.killNode(acting)
		caller := (acting + 1) % site.plan.nodes

		var problem *api.Problem
		is.True(errors.As(site.callSecondModel(caller, "early"), &problem))
		is.Equal(problem.Code, api.CodeNoBackend)
		is.True(problem.NotRun)
		is.True(problem.RetryAfter >= 10*time.Second && problem.RetryAfter <= 30*time.Second)
		time.Sleep(problem.RetryAfter + 5*time.Second)
		is.NoErr(site.callSecondModel(caller, "later"))

		time.Sleep(placementTime)
		zones := site.modelLoads(secondModel)
		is.Equal(len(zones), 2)
		is.True(zones[0] != zones[1])
		next.Base = 2
		first := next.Models[modelName]
		first.Version = "2"
		next.Models[modelName] = first
		site.publish(caller, next)
		time.Sleep(2 * placementTime)
		is.Equal(len(site.modelLoads(modelName)), site.plan.engines) // the new version is loaded once on each engine
		is.Equal(len(site.modelLoads(secondModel)), 2)
	})
}

// TestEngineRejectsLateOrderOfFrozenNode freezes the acting node between its check of the lease
// and its order until another node has acted: the engine must reject the late order.
func TestEngineRejectsLateOrderOfFrozenNode(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(t, quito(10))
		defer site.close()
		next := site.plan.firstTable()
		next.Base = 1
		next.Models[secondModel] = table.Model{
			Name: secondModel, Version: "1", Service: engineService, Weight: 1, MinReplicas: 1, ContextTokens: 32_000,
		}
		site.publish(0, next)
		time.Sleep(time.Second)
		stopped, found := site.acting()
		is.True(found)
		for site.fencesSeen(stopped) < site.plan.engines {
			time.Sleep(10 * time.Millisecond)
		}
		site.Stall(nodeName(stopped), true)
		time.Sleep(3 * time.Second)
		is.Equal(len(site.modelLoads(secondModel)), 0) // the order is in flight
		site.incarnation(stopped).Endpoint.Freeze()
		time.Sleep(placementTime)
		is.Equal(len(site.modelLoads(secondModel)), 1)
		site.incarnation(stopped).Endpoint.Thaw()
		site.Stall(nodeName(stopped), false)
		time.Sleep(placementTime)
		is.Equal(len(site.modelLoads(secondModel)), 1)
		stale := 0
		for _, truth := range site.Engines() {
			highest := uint64(0)
			for _, record := range truth.Orders {
				if !record.Done && record.Order.Kind == backend.OrderLoadModel && record.Order.Fence < highest {
					stale++
				}
				highest = max(highest, record.Order.Fence)
			}
		}
		is.Equal(stale, 1)
	})
}
