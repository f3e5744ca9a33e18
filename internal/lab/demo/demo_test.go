package demo

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

func TestDemoTablesAreValid(t *testing.T) {
	check := is.New(t)
	directory := t.TempDir()
	for _, budget := range []string{firstBudget, changedBudget} {
		path, err := writeTable(directory, "table.csv", budget)
		check.NoErr(err)
		content, err := os.ReadFile(path)
		check.NoErr(err)
		parsed, err := table.Parse(content)
		check.NoErr(err)
		check.Equal(parsed.Classes[className].Model, modelName)
		check.Equal(parsed.Models[modelName].Service, engineService)
	}
}

func arrival(sequence identity.Sequence, messages ...engine.Digest) engine.Arrival {
	call := identity.CallID{Program: "p", Branch: identity.MainBranch, Sequence: sequence}
	return engine.Arrival{
		Stream: identity.StreamID{Call: call, Epoch: 1, Attempt: 1}, Messages: messages, Outcome: engine.OutcomeFinished,
	}
}

func TestCheckArrivalsRejectsInvalidArrivals(t *testing.T) {
	first, second := arrival(1, 7), arrival(2, 7, 8, 9)
	lost := arrival(2, 7, 8, 9)
	lost.Outcome = engine.OutcomeLost
	cases := map[string]struct {
		arrivals []engine.Arrival
		sound    bool
	}{
		"sound":           {[]engine.Arrival{first, second}, true},
		"missing":         {[]engine.Arrival{first}, false},
		"twice":           {[]engine.Arrival{first, second, arrival(2, 7, 8, 9, 10)}, false},
		"out of order":    {[]engine.Arrival{arrival(2, 7), arrival(1, 7, 8, 9)}, false},
		"another history": {[]engine.Arrival{first, arrival(2, 6, 8, 9)}, false},
		"lost":            {[]engine.Arrival{first, lost}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := checkArrivals(c.arrivals, identity.MainBranch, []identity.Sequence{1, 2})
			is.New(t).Equal(err == nil, c.sound)
		})
	}
}

func TestCheckExecutionsRejectsWrongCounts(t *testing.T) {
	check := is.New(t)
	read, enrol := readOperation+" ", enrolOperation+" "+enrolKey
	check.NoErr(checkExecutions(map[string]int{read: 1, enrol: 1}))
	check.True(checkExecutions(map[string]int{read: 1, enrol: 2}) != nil)
	check.True(checkExecutions(map[string]int{read: 1}) != nil)
	check.True(checkExecutions(map[string]int{read: 1, enrol: 1, "pay_fee x": 1}) != nil)
}
