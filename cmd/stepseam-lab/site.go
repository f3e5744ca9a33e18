package main

import (
	"context"
	"os"

	"stepseam.example/stepseam/internal/lab/demo"
)

// siteCommand runs the demonstration's site until it is interrupted.
type siteCommand struct {
	Programs string `arg:"--programs" default:"bin" placeholder:"DIRECTORY" help:"where the built programs are"`
}

func (c *siteCommand) run(ctx context.Context) error {
	return demo.Run(ctx, demo.Options{Programs: c.Programs, Output: os.Stdout, KeepRunning: true})
}
