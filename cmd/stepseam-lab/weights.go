package main

import (
	"context"

	"stepseam.example/stepseam/internal/emulator/standin"
	"stepseam.example/stepseam/internal/emulator/weightstore"
)

// weightsCommand runs a weight store emulator.
type weightsCommand struct {
	emulatorFlags
}

func (c *weightsCommand) run(ctx context.Context) error {
	options, err := standin.ReadParameters(c.Parameters, weightstore.DefaultOptions())
	if err != nil {
		return err
	}
	return c.serve(ctx, weightstore.NewServer(weightstore.New(options)))
}
