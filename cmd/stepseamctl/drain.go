package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/operator"
)

// drainCommand starts the planned stop of a node.
type drainCommand struct {
	Node        string        `arg:"positional,required" help:"the node's name, as status shows it"`
	Wait        bool          `arg:"--wait" help:"wait until the node has left"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"2m" help:"how long to wait at most"`
}

// drainResult is the JSON output of drain.
type drainResult struct {
	operator.DrainStarted
	Left bool `json:"left"`
}

func (c *drainCommand) run(ctx context.Context, s *session) error {
	result := drainResult{}
	if err := s.client.post(ctx, "/v1/drain", operator.DrainRequest{Node: c.Node}, &result.DrainStarted); err != nil {
		return err
	}
	if c.Wait {
		if err := c.await(ctx, s); err != nil {
			return err
		}
		result.Left = true
	}
	return s.print(result, func(w io.Writer) {
		if result.Left {
			fmt.Fprintf(w, "%s has left\n", result.Node)
			return
		}
		fmt.Fprintf(w, "%s hands over its shards and then exits\n", result.Node)
	})
}

// await polls the status until the node is no longer a reachable member.
func (c *drainCommand) await(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, c.WaitTimeout)
	defer cancel()
	for {
		var site operator.SiteStatus
		err := s.client.get(ctx, "/v1/status", &site)
		here := slices.ContainsFunc(site.Nodes, func(n operator.NodeStatus) bool { return n.Name == c.Node && n.Reached })
		if err == nil && !here {
			return nil
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return &failure{
				code: exitWaited, reason: fmt.Sprintf("%s has not left after %s", c.Node, c.WaitTimeout),
				advice: "See its log for what it waits for; give the address of another node, since the one that leaves stops answering.",
			}
		}
	}
}
