// Package serving runs the programs of the shards that this node owns: it
// orders their calls, keeps history and budget through internal/program, makes
// them durable through internal/journal, picks back ends through
// internal/scheduling and streams the answers.
package serving

import (
	"context"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
)

// Programs is what a caller can do with programs. The shard owner implements it
// for its own shards (Owner), internal/forwarding for every shard of the site.
// All errors are *api.Problem or wrap one.
type Programs interface {
	// Create makes a program. Repeated with the same id and body it returns the
	// program as it stands; with another body it is a conflict.
	Create(ctx context.Context, request CreateRequest) (api.Program, error)
	// Call runs a call, joins it if it runs already, or replays its answer. For
	// model calls the tokens from index `from` on go to onToken as they come.
	// When ctx ends the call itself goes on; Fetch gets its answer.
	Call(ctx context.Context, request CallRequest, onToken TokenFunc) (api.Answer, error)
	// Fetch waits for a call that was made before and returns its answer.
	Fetch(ctx context.Context, request FetchRequest, onToken TokenFunc) (api.Answer, error)
	// Get, End and Cancel act on the whole program; End and Cancel may be repeated.
	Get(ctx context.Context, program identity.ProgramID) (api.Program, error)
	End(ctx context.Context, program identity.ProgramID) (api.Program, error)
	Cancel(ctx context.Context, program identity.ProgramID) (api.Program, error)
}

// TokenFunc takes one generated token. It may be nil where none are wanted.
type TokenFunc func(index int, text string) error

// CreateRequest makes a program; ID is never empty here.
type CreateRequest struct {
	ID     identity.ProgramID
	Tenant string
	Class  string
}

// CallRequest is one call of a program with its place.
type CallRequest struct {
	Program identity.ProgramID
	Call    api.CallRequest
	// From is the index of the first token that the caller still lacks.
	From int
}

// FetchRequest names a call that was made before.
type FetchRequest struct {
	Call identity.CallID
	From int
}
