package gateway

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/problem"
	"stepseam.example/stepseam/internal/serving"
)

type createInput struct {
	Body api.ProgramRequest
}

type programInput struct {
	ID string `path:"id" maxLength:"64" doc:"The program's id."`
}

type programOutput struct {
	Body api.Program
}

func (g *Gateway) addProgramRoutes(face huma.API) {
	huma.Register(face, operation(face, huma.Operation{
		OperationID: "create-program", Method: http.MethodPost, Path: "/v1/programs",
		Summary: "Create a program", DefaultStatus: http.StatusOK,
		Description: "Give an id of your own to repeat the request safely: it returns the program as it stands.",
	}, api.Program{}, false), func(ctx context.Context, input *createInput) (*programOutput, error) {
		id := input.Body.ID
		if id == "" {
			id = g.config.NewID()
		}
		program, err := g.config.Programs.Create(ctx, serving.CreateRequest{
			ID: identity.ProgramID(id), Tenant: input.Body.Tenant, Class: input.Body.Class,
		})
		return programAnswer(program, err)
	})
	g.addProgramRoute(face, huma.Operation{
		OperationID: "get-program", Method: http.MethodGet, Path: "/v1/programs/{id}",
		Summary: "Show a program",
	}, g.config.Programs.Get)
	g.addProgramRoute(face, huma.Operation{
		OperationID: "cancel-program", Method: http.MethodDelete, Path: "/v1/programs/{id}",
		Summary:     "Cancel a program",
		Description: "Calls under way are stopped where that is possible. It may be repeated.",
	}, g.config.Programs.Cancel)
	g.addProgramRoute(face, huma.Operation{
		OperationID: "end-program", Method: http.MethodPost, Path: "/v1/programs/{id}/end",
		Summary:     "End a program",
		Description: "Its engine memory is freed. It may be repeated.",
	}, g.config.Programs.End)
}

func (g *Gateway) addProgramRoute(face huma.API, op huma.Operation, act func(context.Context, identity.ProgramID) (api.Program, error)) {
	op.DefaultStatus = http.StatusOK
	huma.Register(face, operation(face, op, api.Program{}, false), func(ctx context.Context, input *programInput) (*programOutput, error) {
		program, err := act(ctx, identity.ProgramID(input.ID))
		return programAnswer(program, err)
	})
}

func programAnswer(program api.Program, err error) (*programOutput, error) {
	if err != nil {
		return nil, problem.HandlerError(err)
	}
	return &programOutput{Body: program}, nil
}
