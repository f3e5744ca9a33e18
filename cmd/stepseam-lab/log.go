package main

import (
	"context"

	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/standin"
)

// logCommand runs a log service emulator.
type logCommand struct {
	emulatorFlags
}

// logParameters is the content of the --parameters file.
type logParameters struct {
	// Seed is the random seed of the injected faults.
	Seed   uint64            `yaml:"seed"`
	Faults logservice.Faults `yaml:"faults"`
}

func (c *logCommand) run(ctx context.Context) error {
	parameters, err := standin.ReadParameters(c.Parameters, logParameters{Seed: 1})
	if err != nil {
		return err
	}
	service := logservice.New(parameters.Seed)
	service.SetFaults(parameters.Faults)
	return c.serve(ctx, logservice.NewServer(service))
}
