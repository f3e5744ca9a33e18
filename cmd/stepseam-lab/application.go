package main

import (
	"context"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/standin"
)

// applicationCommand runs an application replica emulator.
type applicationCommand struct {
	emulatorFlags
}

func (c *applicationCommand) run(ctx context.Context) error {
	parameters, err := standin.ReadParameters(c.Parameters, application.DefaultParameters("application"))
	if err != nil {
		return err
	}
	replica, err := application.New(parameters, nil)
	if err != nil {
		return err
	}
	defer replica.Close()
	return c.serve(ctx, application.NewServer(replica))
}
