package main

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/lab/replay"
	"stepseam.example/stepseam/internal/trace"
)

// replayCommand checks traces and replays them in real time over a site of real nodes in
// this process.
type replayCommand struct {
	Files []string `arg:"positional,required" placeholder:"FILE"`
	Check bool     `arg:"--check" help:"only check the files"`
}

var errReplay = errors.New("some traces are invalid or differ from their stated outcomes")

func (c *replayCommand) run(ctx context.Context) error {
	var failed error
	for _, file := range c.Files {
		if err := c.replayFile(ctx, file); err != nil {
			fmt.Println(err)
			failed = errReplay
		}
	}
	return failed
}

// replayFile replays one trace and prints the differences from its stated outcomes.
func (c *replayCommand) replayFile(ctx context.Context, file string) error {
	played, err := trace.ReadFile(file)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Printf("%s: valid, %d events\n", file, len(played.Events))
		return nil
	}
	fmt.Printf("%s: %s\n", file, played.Header.Note)
	found, err := replay.Run(ctx, played, replay.Options{})
	if err != nil {
		return err
	}
	differences := replay.Compare(played, found)
	for _, difference := range differences {
		fmt.Println(difference)
	}
	if len(differences) > 0 {
		return fmt.Errorf("%s: %d difference(s)", file, len(differences))
	}
	fmt.Printf("%s: every stated outcome came\n", file)
	return nil
}
