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

// tablePublishCommand publishes a file.
type tablePublishCommand struct {
	File        string        `arg:"positional,required" help:"CSV file, or - for standard input"`
	Base        string        `arg:"--base,required" help:"version that the file was made from; 0 for the first, current for whatever is in force now"`
	Author      string        `arg:"--author,env:USER" help:"who publishes"`
	Note        string        `arg:"--note" help:"what the change is for"`
	ID          string        `arg:"--id" help:"id of an earlier try whose outcome is unknown"`
	Wait        bool          `arg:"--wait" help:"wait until it is in force on all nodes"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"30s" help:"how long to wait at most"`
}

// published is the JSON document of a publication.
type published struct {
	operator.Version
	// InForceOn counts the nodes that have the version or a newer one, Nodes all.
	InForceOn int `json:"in_force_on,omitempty"`
	Nodes     int `json:"nodes,omitempty"`
	// WaitedSeconds is how long it took until all had it.
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
	wanted := operator.Publication{
		ID: cmp.Or(c.ID, uuid.NewString()), Repeated: c.ID != "", Base: base,
		Author: cmp.Or(c.Author, "unnamed"), Note: c.Note, CSV: string(content),
	}
	result := published{}
	err = s.client.ask(ctx, http.MethodPost, "/v1/table/versions", func(repeated bool) any {
		wanted.Repeated = wanted.Repeated || repeated
		return wanted
	}, &result.Version)
	if err != nil {
		return c.explain(err, wanted.ID)
	}
	var waitErr error
	if c.Wait {
		waitErr = c.await(ctx, s, &result)
	}
	printErr := s.print(result, func(w io.Writer) { result.write(w) })
	return cmp.Or(waitErr, printErr)
}

// explain adds the id to an outcome that is not known. A request without an
// answer may have taken effect.
func (c *tablePublishCommand) explain(err error, id string) error {
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

// waitInterval is the time between two looks at the nodes.
const waitInterval = 250 * time.Millisecond

// await watches the version come into force on all nodes that are members.
func (c *tablePublishCommand) await(ctx context.Context, s *session, result *published) error {
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

func (p published) write(w io.Writer) {
	fmt.Fprintf(w, "accepted as version %d on base %d (id %s)\n", p.Version.Version, p.Base, p.ID)
	if p.Nodes > 0 {
		fmt.Fprintf(w, "in force on %d of %d node(s) after %.2f s\n", p.InForceOn, p.Nodes, p.WaitedSeconds)
	}
}
