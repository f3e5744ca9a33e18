package main

import (
	"context"

	"stepseam.example/stepseam/internal/emulator/standin"
	"stepseam.example/stepseam/internal/emulator/tools"
)

// toolsCommand runs a tool service emulator.
type toolsCommand struct {
	emulatorFlags
}

func (c *toolsCommand) run(ctx context.Context) error {
	options, err := standin.ReadParameters(c.Parameters, tools.DefaultOptions())
	if err != nil {
		return err
	}
	return c.serve(ctx, tools.NewServer(tools.New(options)))
}
