package main

import (
	"context"
	"fmt"

	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/controller/machines"
	"stepseam.example/stepseam/internal/emulator/machinelist"
	"stepseam.example/stepseam/internal/emulator/standin"
	"stepseam.example/stepseam/internal/siteservices"
)

// machinesCommand runs a machine list emulator.
type machinesCommand struct {
	emulatorFlags
}

// machinesParameters is the content of the --parameters file.
type machinesParameters struct {
	Faults   machinelist.Faults     `yaml:"faults"`
	Machines []siteservices.Machine `yaml:"machines"`
}

func (c *machinesCommand) run(ctx context.Context) error {
	parameters, err := standin.ReadParameters(c.Parameters, machinesParameters{})
	if err != nil {
		return err
	}
	if _, findings := machines.Check(parameters.Machines); len(findings) > 0 {
		return fmt.Errorf("parameters: %s: %v", c.Parameters, lo.Map(findings, describeFinding))
	}
	list := machinelist.New(parameters.Machines)
	list.SetFaults(parameters.Faults)
	return c.serve(ctx, machinelist.NewServer(list))
}

func describeFinding(finding api.Finding, _ int) string {
	return finding.Place + ": " + finding.Message
}
