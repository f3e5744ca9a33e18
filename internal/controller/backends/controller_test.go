package backends_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/backends"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
)

// listLag is the lag of the machine list in these tests.
const listLag = 10 * time.Second

// site is a controller with emulated in-process back ends.
type site struct {
	engines      map[netip.AddrPort]*engine.Engine
	applications map[netip.AddrPort]*application.Application
	board        *blackboard.Board
	controller   *backends.Controller
	directory    backend.Directory
}

// Engine implements backend.Directory.
func (s *site) Engine(address netip.AddrPort) backend.Engine { return s.engines[address] }

// Application implements backend.Directory.
func (s *site) Application(address netip.AddrPort) backend.Application {
	return s.applications[address]
}

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index)}), 80)
}

// inBubble runs test with a controller over three engines and two replicas of an
// application, in virtual time.
func inBubble(t *testing.T, test func(t *testing.T, s *site)) {
	t.Helper()
	inBubbleWith(t, func(*backends.Config) {}, test)
}

func inBubbleWith(t *testing.T, change func(*backends.Config), test func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{
			engines:      map[netip.AddrPort]*engine.Engine{},
			applications: map[netip.AddrPort]*application.Application{},
			board:        blackboard.NewBoard(),
		}
		var listed []siteservices.Machine
		for i := range 5 {
			machine := siteservices.Machine{State: siteservices.MachineLive, Address: addressOf(i), Zone: "zone"}
			if i < 3 {
				machine.Name, machine.Role, machine.Service = fmt.Sprintf("engine-%d", i), siteservices.RoleEngine, "advisors"
				e, err := engine.New(engine.DefaultParameters(machine.Name, "advisor"))
				if err != nil {
					t.Fatal(err)
				}
				defer e.Close()
				s.engines[machine.Address] = e
			} else {
				machine.Name, machine.Role, machine.Service = fmt.Sprintf("portal-%d", i), siteservices.RoleApplication, "portal"
				a, err := application.New(application.DefaultParameters(machine.Name), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer a.Close()
				s.applications[machine.Address] = a
			}
			listed = append(listed, machine)
		}
		s.board.Machines.Store(listed)
		config := backends.Config{Node: "node-1", Board: s.board, Directory: s}
		change(&config)
		s.controller = backends.New(config)
		s.directory = s.controller.Directory()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { s.controller.Run(ctx) })
		defer running.Wait()
		defer cancel()
		synctest.Wait()
		test(t, s)
	})
}

// setState changes the state of a machine in the node's machine list.
func (s *site) setState(address netip.AddrPort, state siteservices.MachineState) {
	s.board.Machines.Update(func(machines []siteservices.Machine) []siteservices.Machine {
		changed := append([]siteservices.Machine(nil), machines...)
		for i := range changed {
			if changed[i].Address == address {
				changed[i].State = state
			}
		}
		return changed
	})
}

func (s *site) shown(address netip.AddrPort) blackboard.Backend {
	for _, shown := range s.board.Backends.Clone() {
		if shown.Address == address {
			return shown
		}
	}
	return blackboard.Backend{}
}

func generate(s *site, address netip.AddrPort, program string) error {
	_, err := s.directory.Engine(address).Generate(context.Background(), backend.GenerateRequest{
		Stream: identity.StreamID{Call: identity.CallID{Program: identity.ProgramID(program), Branch: "main", Sequence: 1}},
		Model:  "advisor", MaxTokens: 32, Messages: []backend.Message{{Role: "user", Content: "hello"}},
	}, nil)
	return err
}

func TestReportsReachTheBoard(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		is := is.New(t)
		time.Sleep(2 * time.Second)
		is.Equal(s.board.Backends.Len(), 5)
		shown := s.shown(addressOf(0))
		is.Equal(shown.Report.Models, []string{"advisor"})
		is.Equal(shown.Health, scheduling.Healthy)
		is.True(time.Since(shown.ReportedAt) < time.Second)
		is.NoErr(generate(s, addressOf(0), "p"))
		is.True(s.shown(addressOf(0)).DecodeRate > 10)
		is.Equal(s.controller.CacheMap().Holders("p", "main")[0].Backend, "engine-0")

		s.board.Machines.Store(s.board.Machines.Load()[1:])
		synctest.Wait()
		is.Equal(s.board.Backends.Len(), 4)
		is.Equal(len(s.controller.CacheMap().Holders("p", "main")), 0)
	})
}

// sendCalls sends five calls per second to an engine while the board does not mark
// it as leaving, and waits for the answers at the end.
func (s *site) sendCalls(ctx context.Context, address netip.AddrPort) {
	var answers sync.WaitGroup
	defer answers.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		if !s.shown(address).Leaving {
			answers.Go(func() { _ = generate(s, address, fmt.Sprintf("%s-%d", address, i)) })
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// arrivedBetween counts the calls that an engine received between from and until.
func arrivedBetween(e *engine.Engine, from, until time.Time) int {
	count := 0
	for _, arrival := range e.Truth().Arrivals {
		if arrival.Arrived.After(from) && arrival.Arrived.Before(until) {
			count++
		}
	}
	return count
}

// A sender that avoids back ends marked as leaving sends no call to one that has
// been leaving for 3 s, although the machine list lags by 10 s. The check uses the
// calls that the engines received.
func TestLeavingBackEndGetsNoCallsAfterThreeSeconds(t *testing.T) {
	const limit = 3 * time.Second
	inBubble(t, func(t *testing.T, s *site) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var load sync.WaitGroup
		for address := range s.engines {
			load.Go(func() { s.sendCalls(ctx, address) })
		}
		started := time.Now()
		time.Sleep(5 * time.Second)
		left := time.Now()
		for _, e := range s.engines {
			e.SetDraining(true)
		}
		time.AfterFunc(listLag, func() {
			for address := range s.engines {
				s.setState(address, siteservices.MachineLeaving)
			}
		})
		time.Sleep(2 * listLag)
		cancel()
		load.Wait()
		for _, e := range s.engines {
			is.True(arrivedBetween(e, started, left) > 10) // it received calls before
			is.Equal(arrivedBetween(e, left.Add(limit), time.Now()), 0)
		}
	})
}

// A leaving back end is detected by its reports alone, without any call that it
// could refuse.
func TestIdleLeavingBackEndIsDetected(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		is := is.New(t)
		time.Sleep(2 * time.Second)
		s.engines[addressOf(1)].SetDraining(true)
		s.applications[addressOf(3)].SetDraining(true)
		time.Sleep(3 * time.Second)
		is.True(s.shown(addressOf(1)).Leaving)
		is.True(s.shown(addressOf(3)).Leaving)
		is.True(!s.shown(addressOf(0)).Leaving)
		is.True(!s.shown(addressOf(4)).Leaving)

		// A back end that stops leaving is used again once its signal has expired.
		s.engines[addressOf(1)].SetDraining(false)
		time.Sleep(20 * time.Second)
		is.True(!s.shown(addressOf(1)).Leaving)
	})
}

func TestMachineListAloneMarksLeaving(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		is := is.New(t)
		s.setState(addressOf(2), siteservices.MachineLeaving)
		synctest.Wait()
		is.True(s.shown(addressOf(2)).Leaving)
	})
}

func TestLeavingSetByServingIsKept(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		is := is.New(t)
		s.board.Backends.Update("portal-3", func(b blackboard.Backend, found bool) (blackboard.Backend, bool) {
			b.Leaving = true
			return b, found
		})
		time.Sleep(5 * time.Second) // many polls without a leaving signal
		is.True(s.shown(addressOf(3)).Leaving)
	})
}

func TestFailedEngineIsEjectedAndReinstated(t *testing.T) {
	for name, faults := range map[string]engine.Faults{"down": {Down: true}, "frozen": {Frozen: true}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, s *site) {
				is := is.New(t)
				time.Sleep(2 * time.Second)
				s.engines[addressOf(0)].SetFaults(faults)
				time.Sleep(4 * time.Second)
				for range 100 { // it stays ejected, without probation, while polls fail
					is.Equal(s.shown(addressOf(0)).Health, scheduling.Ejected)
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(s.shown(addressOf(1)).Health, scheduling.Healthy)
				s.engines[addressOf(0)].SetFaults(engine.Faults{})
				time.Sleep(6 * time.Second)
				is.Equal(s.shown(addressOf(0)).Health, scheduling.Probation)
				is.NoErr(generate(s, addressOf(0), "trial"))
				is.Equal(s.shown(addressOf(0)).Health, scheduling.Healthy)
			})
		})
	}
}

// An engine that answers polls but fails calls is ejected, and reinstated by a
// successful call on probation.
func TestFailingCallsEject(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		is := is.New(t)
		// Polls happen at multiples of 500 ms; between them, the response that gets
		// lost is that of the call.
		time.Sleep(2100 * time.Millisecond)
		for i := range 2 {
			s.engines[addressOf(0)].SetFaults(engine.Faults{LoseNext: 1})
			is.True(errors.Is(generate(s, addressOf(0), fmt.Sprint(i)), backend.ErrOutcomeUnknown))
			time.Sleep(600 * time.Millisecond)
		}
		is.Equal(s.shown(addressOf(0)).Health, scheduling.Ejected)
		time.Sleep(3 * time.Second)
		is.Equal(s.shown(addressOf(0)).Health, scheduling.Probation)
		is.NoErr(generate(s, addressOf(0), "trial"))
		is.Equal(s.shown(addressOf(0)).Health, scheduling.Healthy)
	})
}

func TestSlowEngineIsEjected(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		is := is.New(t)
		s.engines[addressOf(0)].SetFaults(engine.Faults{Slow: 20})
		for i := range 6 {
			for address := range s.engines {
				is.NoErr(generate(s, address, fmt.Sprint(i)))
			}
			time.Sleep(time.Second)
		}
		is.Equal(s.shown(addressOf(0)).Health, scheduling.Ejected)
		is.Equal(s.shown(addressOf(1)).Health, scheduling.Healthy)
		is.Equal(s.shown(addressOf(2)).Health, scheduling.Healthy)
	})
}

// The cache map reflects an eviction although cache events are late and may be
// lost.
func TestCacheMapFollowsEngine(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		is := is.New(t)
		is.NoErr(generate(s, addressOf(0), "kept"))
		is.NoErr(generate(s, addressOf(0), "released"))
		cache := s.controller.CacheMap()
		is.True(cache.Tokens("engine-0", "released", "main") > 0)
		time.Sleep(5 * time.Second)
		is.NoErr(s.engines[addressOf(0)].Release(t.Context(), "released", ""))
		time.Sleep(30 * time.Second)
		is.NoErr(generate(s, addressOf(0), "another")) // its event reveals a gap, if there was one
		time.Sleep(30 * time.Second)
		is.Equal(cache.Tokens("engine-0", "released", "main"), 0)
		is.True(cache.Tokens("engine-0", "kept", "main") > 0)
	})
}

// In a large fleet the last report may be stale at a dispatch. A new one is
// requested first, and a leaving back end receives no call.
func TestStaleReportIsRefreshedBeforeDispatch(t *testing.T) {
	rarely := func(config *backends.Config) { config.PollAll, config.ShareRate = 1, 0.1 }
	inBubbleWith(t, rarely, func(t *testing.T, s *site) {
		is := is.New(t)
		time.Sleep(2 * time.Minute)
		is.True(time.Since(s.shown(addressOf(1)).ReportedAt) > 5*time.Second)
		s.engines[addressOf(1)].SetDraining(true)
		s.applications[addressOf(3)].SetDraining(true)
		time.Sleep(3 * time.Second)
		is.True(!s.shown(addressOf(1)).Leaving) // not detected yet

		err := generate(s, addressOf(1), "p")
		is.True(errors.Is(err, backend.ErrDraining))
		is.True(backend.NotRun(err))
		is.Equal(len(s.engines[addressOf(1)].Truth().Arrivals), 0)
		is.True(s.shown(addressOf(1)).Leaving)
		_, err = s.directory.Application(addressOf(3)).Invoke(t.Context(), backend.InvokeRequest{Operation: "enrol"})
		is.True(errors.Is(err, backend.ErrDraining))
		is.NoErr(generate(s, addressOf(0), "p"))
	})
}

// countingEngine counts its load reports and implements nothing else.
type countingEngine struct {
	backend.Engine
	polls *atomic.Int64
}

// Load implements backend.Engine.
func (e countingEngine) Load(context.Context) (backend.LoadReport, error) {
	e.polls.Add(1)
	return backend.LoadReport{AsOf: time.Now()}, nil
}

// fleet is a directory of counting engines.
type fleet map[netip.AddrPort]*atomic.Int64

// Engine implements backend.Directory.
func (f fleet) Engine(address netip.AddrPort) backend.Engine {
	return countingEngine{polls: f[address]}
}

// Application implements backend.Directory.
func (f fleet) Application(netip.AddrPort) backend.Application { return nil }

// The size of the large fleet.
const (
	fleetReplicas = 600
	fleetServices = 28
	fleetBudget   = 8
)

// largeFleet returns a board that lists a large fleet, and a controller over it.
func largeFleet() (*blackboard.Board, *backends.Controller) {
	engines := fleet{}
	board := blackboard.NewBoard()
	var listed []siteservices.Machine
	for i := range fleetReplicas {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i % 250)}), 80)
		engines[address] = &atomic.Int64{}
		listed = append(listed, siteservices.Machine{
			Name: fmt.Sprintf("engine-%d", i), Role: siteservices.RoleEngine, State: siteservices.MachineLive,
			Service: fmt.Sprintf("service-%d", i%fleetServices), Address: address,
		})
	}
	board.Machines.Store(listed)
	random := rand.New(rand.NewPCG(1, 2))
	return board, backends.New(backends.Config{
		Node: "node-1", Board: board, Directory: engines, ShareRate: fleetBudget, Random: random.Float64,
	})
}

// With 600 engines a node polls its share within the budget, and engines in use
// more often than idle ones.
func TestLargeFleetIsPolledWithinBudget(t *testing.T) {
	const duration = 3 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		board, controller := largeFleet()
		engines := controller.Inner().(fleet)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { controller.Run(ctx) })
		used := board.Machines.Load()[7].Address
		for range int(duration / time.Second) {
			controller.Observe(ctx, backends.Result{Address: used})
			time.Sleep(time.Second)
		}
		cancel()
		running.Wait()

		total, polled := int64(0), 0
		for _, polls := range engines {
			total += polls.Load()
			if polls.Load() > 0 {
				polled++
			}
		}
		is.True(polled >= fleetServices*4)
		is.True(float64(total) <= fleetBudget*duration.Seconds()*1.05)
		is.True(float64(total) >= fleetBudget*duration.Seconds()*0.7) // the budget is used
		is.True(engines[used].Load() > 5*total/int64(polled))
	})
}

// A node whose region becomes known only after its start polls that region's back
// ends from then on.
func TestPollShareFollowsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		board, controller := largeFleet()
		engines := controller.Inner().(fleet)
		regions := map[netip.AddrPort]identity.Region{}
		board.Machines.Update(func(listed []siteservices.Machine) []siteservices.Machine {
			for i := range listed {
				listed[i].Region = identity.Region(fmt.Sprintf("region-%d", i%3))
				regions[listed[i].Address] = listed[i].Region
			}
			return listed
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { controller.Run(ctx) })
		time.Sleep(5 * time.Second)
		self := identity.Node{Name: "node-1", Region: "region-1", Incarnation: 1}
		board.Members.Store(membership.View{Self: self.Reference(), Members: []membership.Member{{Node: self}}})
		time.Sleep(5 * time.Second)
		before := map[netip.AddrPort]int64{}
		for address, polls := range engines {
			before[address] = polls.Load()
		}
		time.Sleep(2 * time.Minute)
		cancel()
		running.Wait()
		polled := 0
		for address, polls := range engines {
			if polls.Load() > before[address] {
				polled++
				is.Equal(regions[address], identity.Region("region-1"))
			}
		}
		is.Equal(polled, fleetServices*4)
	})
}
