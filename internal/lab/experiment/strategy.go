package experiment

import (
	"fmt"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/scheduling"
)

// Strategy combines a scheduling policy with the optional features around it.
type Strategy struct {
	Name   string
	Policy scheduling.Policy
	// Release evicts a program's cache when its caller ends it, and a branch's cache
	// on other engines when the branch moves.
	Release bool
	// Priorities passes the policy's priorities to the engines; without it their
	// queues are first in, first out.
	Priorities bool
	// KeepWarm evicts prefixes that are not expected to be reused soon.
	// BreakEvenInterval is the parameter of that decision, as in package scheduling.
	KeepWarm          bool
	BreakEvenInterval time.Duration
}

// Strategies returns all strategies: the baselines, stepseam, and ablations of
// stepseam that each disable one feature.
func Strategies() []Strategy {
	full := Strategy{
		Name: "stepseam", Policy: scheduling.NewStepseam(),
		Release: true, Priorities: true, KeepWarm: true, BreakEvenInterval: scheduling.DefaultBreakEvenInterval,
	}
	unlimited := scheduling.NewStepseam()
	unlimited.Parameters.MaxNewProgramWait = 0
	without := func(name string, change func(*Strategy)) Strategy {
		ablated := full
		ablated.Name = name
		change(&ablated)
		return ablated
	}
	return []Strategy{
		{Name: "round_robin", Policy: scheduling.RoundRobin{}},
		{Name: "least_in_flight", Policy: scheduling.LeastInFlight{}},
		{Name: "prefix_affinity", Policy: scheduling.PrefixAffinity{}},
		{Name: "prefix_affinity_release", Policy: scheduling.PrefixAffinity{}, Release: true},
		full,
		without("stepseam_fifo", func(s *Strategy) { s.Priorities = false }),
		without("stepseam_no_release", func(s *Strategy) { s.Release = false }),
		without("stepseam_no_keep_warm", func(s *Strategy) { s.KeepWarm = false }),
		without("stepseam_no_admission", func(s *Strategy) { s.Policy = unlimited }),
	}
}

// PrimaryStrategies returns the names of the strategies that are compared by default.
func PrimaryStrategies() []string {
	return []string{"round_robin", "least_in_flight", "prefix_affinity", "prefix_affinity_release", "stepseam"}
}

// StrategyByName returns the strategy with the given name.
func StrategyByName(name string) (Strategy, error) {
	var names []string
	for _, strategy := range Strategies() {
		if strategy.Name == name {
			return strategy, nil
		}
		names = append(names, strategy.Name)
	}
	return Strategy{}, fmt.Errorf("experiment: policy %q: want one of %s", name, strings.Join(names, ", "))
}
