package replay

import (
	"context"
	"errors"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/trace"
)

// publish publishes a table and records the result.
func (p *player) publish(ctx context.Context, event trace.Event, body trace.Publish) {
	seen := PublicationEvidence{Outcome: trace.PublicationUnknown, Err: errConnection}
	if at := p.site.Incarnation(p.resolve(body.Node, event.Line, 0)); at != nil {
		entry, err := at.Node.Tables().Publish(ctx, tables.Publication{
			ID: body.ID, Base: body.Base, Author: body.Author, Note: "trace", CSV: trace.TableContent(body.Table),
		})
		if at.Endpoint.Gate(context.WithoutCancel(ctx)) == nil {
			seen = PublicationEvidence{Outcome: publicationOutcome(err), Version: entry.Version, Err: err}
		}
	}
	p.note(func(e *Evidence) { e.Publications[event.Line] = seen })
}

func publicationOutcome(err error) trace.PublicationOutcome {
	var lost *tables.ConflictError
	var base *tables.BaseError
	var invalid *table.InvalidError
	switch {
	case err == nil:
		return trace.PublicationAccepted
	case errors.As(err, &lost):
		return trace.PublicationConflict
	case errors.As(err, &invalid):
		return trace.PublicationInvalid
	case errors.As(err, &base) || errors.Is(err, tables.ErrNotPublished) || errors.Is(err, tables.ErrIDReused):
		return trace.PublicationRefused
	}
	return trace.PublicationUnknown
}

// observe records the state that an expectation refers to at the time of its event.
func (p *player) observe(ctx context.Context, event trace.Event) {
	switch body := event.Body.(type) {
	case trace.ExpectVersion:
		versions := p.versions()
		p.note(func(e *Evidence) { e.Versions[event.Line] = versions })
	case trace.ExpectMemory:
		holders := p.holders(body.Program)
		p.note(func(e *Evidence) { e.Holders[event.Line] = holders })
	case trace.ExpectState:
		seen := p.state(ctx, event.Line, body.Program)
		p.note(func(e *Evidence) { e.States[event.Line] = seen })
	}
}

// versions returns the version in force on each live node, 0 if it has no table.
func (p *player) versions() map[identity.NodeName]table.Version {
	versions := map[identity.NodeName]table.Version{}
	for _, name := range p.site.Nodes() {
		alive := p.site.Incarnation(name)
		if alive == nil {
			continue
		}
		versions[name] = 0
		if shown := alive.Node.Board().Table.Load(); shown != nil {
			versions[name] = shown.Version
		}
	}
	return versions
}

// holders returns the engines that cache a prefix of the program.
func (p *player) holders(program identity.ProgramID) []string {
	var holders []string
	for _, truth := range p.site.Engines() {
		for _, prefix := range truth.Held {
			if prefix.Program == program {
				holders = append(holders, truth.Name)
				break
			}
		}
	}
	return holders
}

// stateAttempts bounds the queries for a program's state.
const stateAttempts = 8

func (p *player) state(ctx context.Context, line int, program identity.ProgramID) StateEvidence {
	var received api.Program
	var err error
	for attempt := range stateAttempts {
		err = p.through(ctx, p.resolve("", line, attempt), 0, func(ctx context.Context, programs serving.Programs) error {
			var err error
			received, err = programs.Get(ctx, program)
			return err
		})
		if err == nil || isFinal(err) {
			break
		}
		time.Sleep(retryPause)
	}
	return StateEvidence{State: received.State, Err: err}
}
