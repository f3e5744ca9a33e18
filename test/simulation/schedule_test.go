package simulation

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/network"
)

// faultKind is one kind of failure that a schedule injects.
type faultKind int

// The kinds of failures. A step's targets are taken modulo the number of nodes, zones or
// back ends.
const (
	killNode faultKind = iota
	freezeNode
	cutOneWay
	cutZoneOff
	logOutage
	logSlow
	logLosesAnswers
	logCutFromNode
	lossyNetwork
	duplicatingNetwork
	engineDown
	engineFrozen
	engineRestart
	engineLosesAnswers
	applicationLosesAnswers
	applicationHangs
	applicationDown
	backendLinkCut
	drainNode
	killZone
	faultKinds
)

var faultNames = [faultKinds]string{
	"kill node", "freeze node", "cut one way", "cut zone off", "log outage", "log slow", "log loses answers",
	"log cut from node", "lossy network", "duplicating network", "engine down", "engine frozen", "engine restart",
	"engine loses answers", "application loses answers", "application hangs", "application down", "back-end link cut", "drain node", "kill zone",
}

// step is one failure of a schedule: it begins after the start of the step before it and
// lasts for a while.
type step struct {
	after  time.Duration
	kind   faultKind
	target int
	other  int
	lasts  time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("+%s %s %d/%d for %s", s.after, faultNames[s.kind], s.target, s.other, s.lasts)
}

// schedules draws schedules of steps; only lists the kinds to draw, all if empty.
func schedules(only ...faultKind) *rapid.Generator[[]step] {
	kinds := only
	if len(kinds) == 0 {
		for kind := range faultKinds {
			kinds = append(kinds, kind)
		}
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			after:  rapid.SampledFrom(gaps).Draw(t, "after"),
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			target: rapid.SampledFrom(targets).Draw(t, "target"),
			other:  rapid.SampledFrom(targets).Draw(t, "other"),
			lasts:  rapid.SampledFrom(lengths).Draw(t, "lasts"),
		}
	}), 4, 10)
}

// Values from which steps are drawn. Lists, because generators favour the lower ends of
// ranges, and failures of a few milliseconds have no effect.
var (
	gaps = []time.Duration{
		0, 3 * time.Millisecond, 170 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond,
		2 * time.Second, 2900 * time.Millisecond, 4 * time.Second,
	}
	lengths = []time.Duration{
		300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second,
		7 * time.Second, 12 * time.Second, 25 * time.Second,
	}
	targets = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
)

// carryOut injects the schedule's failures, which may overlap, and returns when the last
// one has ended.
func (s *site) carryOut(schedule []step) {
	var group sync.WaitGroup
	for _, one := range schedule {
		time.Sleep(one.after)
		group.Go(func() { s.fail(one) })
	}
	group.Wait()
}

// fail injects one failure and ends it again.
func (s *site) fail(one step) {
	undo := s.begin(one)
	if undo == nil {
		return
	}
	time.Sleep(one.lasts)
	undo()
}

// begin starts a failure and returns the function that ends it, or nil if none is needed.
func (s *site) begin(one step) func() {
	node, other := one.target%s.plan.nodes, one.other%s.plan.nodes
	switch one.kind {
	case killNode:
		s.killNode(node)
		return func() { s.startNode(node) }
	case killZone:
		return s.killWholeZone(one.target)
	case drainNode:
		_ = s.drainNode(node) // a stop whose handover fails ends like a kill
		return func() { s.startNode(node) }
	case freezeNode:
		return s.freeze(node)
	case cutOneWay:
		s.Network.Cut(nodeName(node), nodeName(other))
		return func() { s.Network.Heal(nodeName(node), nodeName(other)) }
	case cutZoneOff:
		return s.cutZone(one)
	case lossyNetwork:
		s.Network.SetFaults(network.Faults{RequestLoss: 0.05, AnswerLoss: 0.05, DatagramLoss: 0.1})
		return func() { s.Network.SetFaults(network.Faults{}) }
	case duplicatingNetwork:
		s.Network.SetFaults(network.Faults{Duplicate: 0.2, DuplicateDelay: 3 * time.Second, DatagramReorder: 0.2, ReorderDelay: time.Second})
		return func() { s.Network.SetFaults(network.Faults{}) }
	case backendLinkCut:
		name, zone := nodeName(node), s.zone(one.other)
		s.CutBackends(name, zone, true)
		return func() { s.CutBackends(name, zone, false) }
	case logOutage, logSlow, logLosesAnswers, logCutFromNode:
		return s.failLog(one)
	default:
		return s.failBackend(one)
	}
}

// killWholeZone kills every node of a zone at once.
func (s *site) killWholeZone(target int) func() {
	var killed []int
	for index := range s.plan.nodes {
		if s.zone(index) == s.zone(target) {
			s.killNode(index)
			killed = append(killed, index)
		}
	}
	return func() {
		for _, index := range killed {
			s.startNode(index)
		}
	}
}

func (s *site) freeze(index int) func() {
	s.PauseNode(nodeName(index))
	return func() { s.ResumeNode(nodeName(index)) }
}

// cutZone partitions a zone from the others and, for odd choices, from the platform.
func (s *site) cutZone(one step) func() {
	zone := s.zone(one.target)
	s.CutZone(zone, one.other%2 == 1)
	return func() { s.HealZone(zone) }
}

func (s *site) failLog(one step) func() {
	switch one.kind {
	case logCutFromNode:
		view := s.Log.ViewFor(string(nodeName(one.target % s.plan.nodes)))
		view.SetDown(true)
		return func() { view.SetDown(false) }
	case logSlow:
		s.Log.SetFaults(logservice.Faults{AppendDelay: time.Second, ReadDelay: 200 * time.Millisecond})
	case logLosesAnswers:
		s.Log.SetFaults(logservice.Faults{LoseBefore: 0.2, LoseAfter: 0.3})
	default:
		s.Log.SetDown(true)
		return func() { s.Log.SetDown(false) }
	}
	return func() { s.Log.SetFaults(logservice.Faults{}) }
}

func (s *site) failBackend(one step) func() {
	struckEngine, struckApplication := s.engine(one.target), s.portal(one.target)
	var faults engine.Faults
	switch one.kind {
	case applicationLosesAnswers:
		struckApplication.SetFaults(application.Faults{LoseAnswers: 0.5})
		return func() { struckApplication.SetFaults(application.Faults{}) }
	case applicationHangs:
		struckApplication.SetFaults(application.Faults{HangBefore: one.other%2 == 0, HangAfter: one.other%2 == 1})
		return func() { struckApplication.SetFaults(application.Faults{}) }
	case applicationDown:
		struckApplication.SetFaults(application.Faults{Down: true})
		return func() { struckApplication.SetFaults(application.Faults{}) }
	case engineRestart:
		struckEngine.Restart()
		return nil
	case engineDown:
		faults.Down = true
	case engineFrozen:
		faults.Frozen = true
	default:
		faults.LoseAnswers = 0.3
	}
	struckEngine.SetFaults(faults)
	return func() { struckEngine.SetFaults(engine.Faults{}) }
}

// freeingTime is how long after the end of the last program engines may still use memory:
// retries of releases, the audit, and the machine list's lag.
const freeingTime = 3 * time.Minute

// runSchedule runs programs under a schedule, heals, waits for all callers and for memory
// to be freed, and returns the violations.
func runSchedule(t *testing.T, plan plan, schedule []step) []violation {
	var violations []violation
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t, plan)
		defer site.close()
		var records []*programRecord
		var callers sync.WaitGroup
		callers.Go(func() { records = site.workload(t.Context()) })
		site.carryOut(schedule)
		site.healAll()
		callers.Wait()
		time.Sleep(freeingTime)
		violations = site.check(records)
		t.Logf("%v: %s", schedule, summary(records))
	})
	return violations
}

// TestSchedules searches for a schedule of failures that violates a requirement. `make
// soak` runs a longer search.
func TestSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<20).Draw(rt, "seed")
		schedule := schedules().Draw(rt, "schedule")
		site := rapid.SampledFrom([]func(uint64) plan{quito, haldane}).Draw(rt, "site")
		for _, found := range runSchedule(t, site(seed), schedule) {
			rt.Errorf("%s", found)
		}
	})
}
