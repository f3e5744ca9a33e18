package main

import (
	"context"
	"os"

	"stepseam.example/stepseam/internal/lab/demo"
)

// demoCommand runs the demonstration over real processes.
type demoCommand struct {
	Programs  string `arg:"--programs" default:"bin" placeholder:"DIRECTORY" help:"where the built programs are"`
	KeepFiles bool   `arg:"--keep-files" help:"leave settings and logs behind"`
}

func (c *demoCommand) run(ctx context.Context) error {
	return demo.Run(ctx, demo.Options{Programs: c.Programs, Output: os.Stdout, KeepFiles: c.KeepFiles})
}
