// Package serving runs the programs of the shards that this node owns. It orders the
// calls of each program, tracks history and budget with internal/program, persists them
// with internal/journal, selects back ends with internal/scheduling and streams the
// answers.
package serving

import (
	"context"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
)

// Programs is the set of operations on programs. Owner implements it for the shards of
// this node, internal/forwarding for every shard of the site. Every error is or wraps an
// *api.Problem.
type Programs interface {
	// Create makes a program. It is idempotent: with the same id and body it returns the
	// existing program, with another body it fails with a conflict.
	Create(ctx context.Context, request CreateRequest) (api.Program, error)
	// Call runs a call, joins it if it is already running, or replays its answer. For
	// model calls, onToken gets the tokens from index request.From on as they arrive. The
	// end of ctx does not stop the call; Fetch returns its answer.
	Call(ctx context.Context, request CallRequest, onToken TokenFunc) (api.Answer, error)
	// Fetch waits for an existing call and returns its answer.
	Fetch(ctx context.Context, request FetchRequest, onToken TokenFunc) (api.Answer, error)
	// Get, End and Cancel act on the whole program. End and Cancel are idempotent.
	Get(ctx context.Context, program identity.ProgramID) (api.Program, error)
	End(ctx context.Context, program identity.ProgramID) (api.Program, error)
	Cancel(ctx context.Context, program identity.ProgramID) (api.Program, error)
}

// TokenFunc receives one generated token. It is nil where no tokens are wanted.
type TokenFunc func(index int, text string) error

// CreateRequest describes a program to create. ID is never empty.
type CreateRequest struct {
	ID     identity.ProgramID
	Tenant string
	Class  string
}

// CallRequest is one call of a program, with its branch and sequence.
type CallRequest struct {
	Program identity.ProgramID
	Call    api.CallRequest
	// From is the index of the first token to deliver.
	From int
}

// FetchRequest identifies an existing call.
type FetchRequest struct {
	Call identity.CallID
	From int
}
