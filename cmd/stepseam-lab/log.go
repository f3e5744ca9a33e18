package main

import (
	"context"

	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/standin"
)

// logCommand runs a log service stand-in.
type logCommand struct {
	standInFlags
}

// logParameters is the file that --parameters names.
type logParameters struct {
	// Seed drives the draws of faults.
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
