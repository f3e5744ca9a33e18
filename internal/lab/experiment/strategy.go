package experiment

import (
	"fmt"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/scheduling"
)

// Strategy is a policy with the decisions around it.
type Strategy struct {
	Name   string
	Policy scheduling.Policy
	// Release frees the cache of a program when its caller ends it.
	Release bool
	// Priorities hands the order among waiting calls to the engines; without it
	// their queues are first in, first out.
	Priorities bool
	// KeepWarm gives up prefixes that are not expected to be used soon.
	KeepWarm bool
	Patience time.Duration
}

// Strategies returns all strategies: the baselines, stepseam, and stepseam with
// one of its decisions left out.
func Strategies() []Strategy {
	full := Strategy{
		Name: "stepseam", Policy: scheduling.NewStepseam(),
		Release: true, Priorities: true, KeepWarm: true, Patience: scheduling.DefaultBreakEvenInterval,
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

// PrimaryStrategies names those that are compared unless others are asked for.
func PrimaryStrategies() []string {
	return []string{"round_robin", "least_in_flight", "prefix_affinity", "prefix_affinity_release", "stepseam"}
}

// StrategyByName returns one of the strategies.
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
