package trace

import (
	"context"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/client"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/serving"
)

// ClientPrograms implements serving.Programs with an HTTP client, so that a
// Recorder can record the traffic of real nodes. The client retries by itself, so
// a recorded call covers all of its attempts.
type ClientPrograms struct {
	Client *client.Client
}

var _ serving.Programs = ClientPrograms{}

// Create implements serving.Programs.
func (p ClientPrograms) Create(ctx context.Context, request serving.CreateRequest) (api.Program, error) {
	return p.Client.CreateProgram(ctx, api.ProgramRequest{ID: string(request.ID), Tenant: request.Tenant, Class: request.Class})
}

// Call implements serving.Programs.
func (p ClientPrograms) Call(ctx context.Context, request serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	return p.Client.Stream(ctx, string(request.Program), request.Call, client.TokenFunc(onToken))
}

// Fetch implements serving.Programs.
func (p ClientPrograms) Fetch(ctx context.Context, request serving.FetchRequest, onToken serving.TokenFunc) (api.Answer, error) {
	id := request.Call
	return p.Client.FetchStream(ctx, string(id.Program), string(id.Branch), uint64(id.Sequence), client.TokenFunc(onToken))
}

// Get implements serving.Programs.
func (p ClientPrograms) Get(ctx context.Context, program identity.ProgramID) (api.Program, error) {
	return p.Client.Program(ctx, string(program))
}

// End implements serving.Programs.
func (p ClientPrograms) End(ctx context.Context, program identity.ProgramID) (api.Program, error) {
	return p.Client.EndProgram(ctx, string(program))
}

// Cancel implements serving.Programs.
func (p ClientPrograms) Cancel(ctx context.Context, program identity.ProgramID) (api.Program, error) {
	return p.Client.CancelProgram(ctx, string(program))
}
