package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/operator"
)

// programCommand groups the subcommands for programs.
type programCommand struct {
	Show   *programShowCommand   `arg:"subcommand:show" help:"show one program"`
	List   *programListCommand   `arg:"subcommand:list" help:"list the latest programs of the site"`
	Cancel *programCancelCommand `arg:"subcommand:cancel" help:"cancel a program and free what it holds"`
}

type programShowCommand struct {
	ID string `arg:"positional,required" help:"the program's id"`
}

type programCancelCommand struct {
	ID string `arg:"positional,required" help:"the program's id"`
}

type programListCommand struct {
	Tenant string `arg:"--tenant" help:"only this tenant's"`
	Class  string `arg:"--class" help:"only of this class"`
	State  string `arg:"--state" help:"only running, ended, cancelled or expired ones"`
	Limit  int    `arg:"--limit" default:"100" help:"how many at most"`
}

func (c *programShowCommand) run(ctx context.Context, s *session) error {
	var program api.Program
	if err := s.client.get(ctx, "/v1/programs/"+url.PathEscape(c.ID), &program); err != nil {
		return err
	}
	return s.print(program, func(w io.Writer) { writeProgram(w, program) })
}

func (c *programCancelCommand) run(ctx context.Context, s *session) error {
	var program api.Program
	if err := s.client.post(ctx, "/v1/programs/"+url.PathEscape(c.ID)+"/cancel", struct{}{}, &program); err != nil {
		return err
	}
	return s.print(program, func(w io.Writer) { writeProgram(w, program) })
}

func (c *programListCommand) run(ctx context.Context, s *session) error {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	for name, value := range map[string]string{"tenant": c.Tenant, "class": c.Class, "state": c.State} {
		if value != "" {
			query.Set(name, value)
		}
	}
	var list operator.ProgramList
	if err := s.client.get(ctx, "/v1/programs?"+query.Encode(), &list); err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) { writePrograms(w, list) })
}

func writeProgram(w io.Writer, program api.Program) {
	writeRow(w, "program", program.ID)
	writeRow(w, "tenant", program.Tenant)
	writeRow(w, "class", program.Class)
	writeRow(w, "state", program.State)
	writeRow(w, "created", program.Created.Format(time.RFC3339))
	writeRow(w, "budget", fmt.Sprintf("%d tokens: %d spent, %d reserved", program.Budget, program.Spent, program.Reserved))
	writeRow(w, "calls", program.Calls)
	branches := make([]string, 0, len(program.Branches))
	for _, branch := range slices.Sorted(maps.Keys(program.Branches)) {
		branches = append(branches, fmt.Sprintf("%s to %d", branch, program.Branches[branch]))
	}
	writeRow(w, "branches", strings.Join(branches, ", "))
	writeRow(w, "owner", fmt.Sprintf("%s (shard %d, epoch %d)", program.Owner, program.Shard, program.Epoch))
}

func writePrograms(w io.Writer, list operator.ProgramList) {
	writeRow(w, "PROGRAM", "TENANT", "CLASS", "STATE", "CREATED", "SPENT", "BUDGET", "CALLS", "OWNER")
	for _, p := range list.Programs {
		writeRow(w, p.ID, p.Tenant, p.Class, p.State, p.Created.Format(time.RFC3339), p.Spent, p.Budget, p.Calls, p.Owner)
	}
	if list.Truncated {
		fmt.Fprintln(w, "there are more; raise --limit or narrow the selection")
	}
	if len(list.Unreached) > 0 {
		fmt.Fprintf(w, "missing: the programs of %s, which did not answer\n", strings.Join(list.Unreached, ", "))
	}
}
