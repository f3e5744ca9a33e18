package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/table"
)

// tablePublishCommand publishes a table file.
type tablePublishCommand struct {
	File        string        `arg:"positional,required" help:"CSV file, or - for standard input"`
	Base        string        `arg:"--base,required" help:"version that the file was made from; 0 for the first, current for whatever is in force now"`
	Author      string        `arg:"--author,env:USER" help:"who publishes"`
	Note        string        `arg:"--note" help:"what the change is for"`
	ID          string        `arg:"--id" help:"id of an earlier try whose outcome is unknown"`
	Wait        bool          `arg:"--wait" help:"wait until it is in force on all nodes"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"30s" help:"how long to wait at most"`
}

// publishResult is the JSON output of table publish.
type publishResult struct {
	operator.Version
	// InForceOn is the number of nodes with this version or a newer one, out of Nodes.
	InForceOn int `json:"in_force_on,omitempty"`
	Nodes     int `json:"nodes,omitempty"`
	// WaitedSeconds is the time until all nodes had the version.
	WaitedSeconds float64 `json:"waited_seconds,omitempty"`
}

func (c *tablePublishCommand) run(ctx context.Context, s *session) error {
	_, content, err := s.parseFile(c.File)
	if err != nil {
		return err
	}
	base, err := c.base(ctx, s)
	if err != nil {
		return err
	}
	request := operator.Publication{
		ID: cmp.Or(c.ID, uuid.NewString()), Repeated: c.ID != "", Base: base,
		Author: cmp.Or(c.Author, "unnamed"), Note: c.Note, CSV: string(content),
	}
	result := publishResult{}
	err = s.client.send(ctx, http.MethodPost, "/v1/table/versions", func(repeated bool) any {
		request.Repeated = request.Repeated || repeated
		return request
	}, &result.Version)
	if err != nil {
		return c.addPublicationID(err, request.ID)
	}
	var waitErr error
	if c.Wait {
		waitErr = c.await(ctx, s, &result)
	}
	printErr := s.print(result, func(w io.Writer) { result.write(w) })
	return cmp.Or(waitErr, printErr)
}

// addPublicationID adds the publication's id to the advice of a failure whose outcome is
// unknown. A request that was sent and got no response may have taken effect.
func (c *tablePublishCommand) addPublicationID(err error, id string) error {
	var known *failure
	if !errors.As(err, &known) {
		return err
	}
	if known.sent {
		known.code = exitUnknown
	}
	if known.code == exitUnknown {
		known.advice += fmt.Sprintf(" The id of this publication is %s: the same command with --id %s finds out what became of it.", id, id)
	}
	return err
}

func (c *tablePublishCommand) base(ctx context.Context, s *session) (table.Version, error) {
	if c.Base != "current" {
		base, err := strconv.ParseUint(c.Base, 10, 64)
		if err != nil {
			return 0, &failure{
				code: exitUsage, reason: fmt.Sprintf("--base is %q, want a version number or current", c.Base),
				advice: "Give the version that you edited, as table show printed it.",
			}
		}
		return table.Version(base), nil
	}
	var site operator.SiteStatus
	if err := s.client.get(ctx, "/v1/status", &site); err != nil {
		return 0, err
	}
	newest := table.Version(0)
	for _, node := range site.Nodes {
		newest = max(newest, node.TableInForce)
	}
	return newest, nil
}

// waitInterval is the time between two polls of the status.
const waitInterval = 250 * time.Millisecond

// await polls the status until the version is in force on all members.
func (c *tablePublishCommand) await(ctx context.Context, s *session, result *publishResult) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.WaitTimeout)
	defer cancel()
	var behind []string
	for {
		var site operator.SiteStatus
		err := s.client.get(ctx, "/v1/status", &site)
		if err == nil {
			behind = nodesBehind(site, result.Version.Version)
			result.Nodes, result.InForceOn = len(site.Nodes), len(site.Nodes)-len(behind)
			if len(behind) == 0 {
				result.WaitedSeconds = time.Since(began).Seconds()
				return nil
			}
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return &failure{
				code:   exitWaited,
				reason: fmt.Sprintf("version %d was accepted, but after %s it is not known to be in force on: %s", result.Version.Version, c.WaitTimeout, strings.Join(behind, ", ")),
				advice: "See status for these nodes: one that is cut off gets the version when it is reached again.",
			}
		}
	}
}

func nodesBehind(site operator.SiteStatus, wanted table.Version) []string {
	var behind []string
	for _, node := range site.Nodes {
		if node.TableInForce < wanted {
			behind = append(behind, node.Name)
		}
	}
	return behind
}

func (p publishResult) write(w io.Writer) {
	fmt.Fprintf(w, "accepted as version %d on base %d (id %s)\n", p.Version.Version, p.Base, p.ID)
	if p.Nodes > 0 {
		fmt.Fprintf(w, "in force on %d of %d node(s) after %.2f s\n", p.InForceOn, p.Nodes, p.WaitedSeconds)
	}
}
