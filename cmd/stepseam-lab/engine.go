package main

import (
	"context"

	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/standin"
)

// engineCommand runs a model engine emulator.
type engineCommand struct {
	emulatorFlags
	Models []string `arg:"--model,separate" help:"model that is loaded from the start, beside the file's; may be repeated"`
}

func (c *engineCommand) run(ctx context.Context) error {
	parameters, err := standin.ReadParameters(c.Parameters, engine.DefaultParameters("engine"))
	if err != nil {
		return err
	}
	parameters.Models = append(parameters.Models, c.Models...)
	core, err := engine.New(parameters)
	if err != nil {
		return err
	}
	defer core.Close()
	return c.serve(ctx, engine.NewServer(core))
}
