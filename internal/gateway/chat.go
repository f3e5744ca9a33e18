package gateway

import (
	"context"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/problem"
	"stepseam.example/stepseam/internal/serving"
)

const (
	chatPath = "/v1/chat/completions"
	// classModel is the model name that selects the model of the program's class.
	classModel = "default"
	// defaultClass is the class of single-call programs if the table defines it.
	defaultClass = "default"
)

type chatInput struct {
	Program  string `header:"Stepseam-Program" doc:"The program that the call belongs to; without it the call is a program of its own."`
	Sequence string `header:"Stepseam-Sequence" doc:"The call's position in its branch, from 1; goes with Stepseam-Program."`
	Branch   string `header:"Stepseam-Branch" doc:"The call's branch; main if left out."`
	Tenant   string `header:"Stepseam-Tenant" doc:"The tenant of a program that this call begins."`
	Class    string `header:"Stepseam-Class" doc:"The class of a program that this call begins."`
	RawBody  []byte `contentType:"application/json"`
}

func (g *Gateway) addChatRoute(face huma.API) {
	op := operation(face, huma.Operation{
		OperationID: "chat-completion", Method: http.MethodPost, Path: chatPath,
		Summary: "Run a model call in the shape of OpenAI clients",
		Description: "Messages repeat the whole conversation, as those clients do; they must continue what the " +
			"branch holds. Errors have the shape of those clients too, with not_run beside the code.",
	}, chatCompletion{}, true)
	schemas := face.OpenAPI().Components.Schemas
	failure := schemas.Schema(reflect.TypeFor[chatFailure](), true, "ChatFailure")
	op.Responses["default"].Content = map[string]*huma.MediaType{api.MediaJSON: {Schema: failure}}
	op.Responses["200"].Content[api.MediaEventStream].Schema = schemas.Schema(reflect.TypeFor[chatChunk](), true, "ChatChunk")
	op.SkipValidateBody = true // chatRequest.validate reports errors in the OpenAI format
	op.SkipValidateParams = true
	huma.Register(face, op, func(_ context.Context, input *chatInput) (*huma.StreamResponse, error) {
		return &huma.StreamResponse{Body: func(face huma.Context) {
			request, writer := humago.Unwrap(face)
			g.chat(request.Context(), writer, input)
		}}, nil
	})
	// huma documents a raw body as bytes; replace that by the request's schema.
	face.OpenAPI().Paths[chatPath].Post.RequestBody = &huma.RequestBody{Required: true, Content: map[string]*huma.MediaType{
		api.MediaJSON: {Schema: schemas.Schema(reflect.TypeFor[chatRequest](), true, "ChatRequest")},
	}}
}

// chatCall is a chat request with the call and the program that it maps to.
type chatCall struct {
	request chatRequest
	call    serving.CallRequest
	create  serving.CreateRequest
	// createsProgram is true if the program is created before the call; single is true if
	// it has no other call and is ended after it.
	createsProgram bool
	single         bool
}

func (g *Gateway) chat(ctx context.Context, writer http.ResponseWriter, input *chatInput) {
	chat, refusal := g.parseChat(input)
	if refusal != nil {
		writeProblem(writer, chatPath, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.MaxWait)
	defer cancel()
	if chat.createsProgram {
		if _, err := g.config.Programs.Create(ctx, chat.create); err != nil {
			writeProblem(writer, chatPath, problem.FromError(err))
			return
		}
	}
	if chat.single {
		defer g.finishSingle(ctx, chat.call.Program)
	}
	header := writer.Header()
	header.Set(api.HeaderProgram, string(chat.call.Program))
	header.Set(api.HeaderSequence, strconv.FormatUint(chat.call.Call.Sequence, 10))
	header.Set(api.HeaderBranch, chat.call.Call.Branch)
	if chat.request.Stream {
		g.streamChat(ctx, writer, chat)
		return
	}
	answer, err := g.config.Programs.Call(ctx, chat.call, nil)
	if err != nil {
		writeProblem(writer, chatPath, outcomeOf(ctx, err))
		return
	}
	writeJSON(writer, newChatCompletion(chat, &answer, time.Now()))
}

// finishSingle ends a single-call program in the background, or cancels it if
// its caller disconnected. If that fails, the idle timeout of the class ends the
// program.
func (g *Gateway) finishSingle(ctx context.Context, program identity.ProgramID) {
	left := ctx.Err() != nil
	g.endings.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
		defer cancel()
		act := g.config.Programs.End
		if left {
			act = g.config.Programs.Cancel
		}
		if _, err := act(ctx, program); err != nil {
			g.config.Logger.Warn("failed to end a single-call program", "program", program, "error", err)
		}
	})
}

// parseChat validates the body and the headers and reports all findings at once.
func (g *Gateway) parseChat(input *chatInput) (*chatCall, *api.Problem) {
	chat := &chatCall{}
	if err := decodeJSON(input.RawBody, &chat.request); err != nil {
		return nil, invalidChatBody(err)
	}
	findings := chat.request.validate()
	sequence, placeFindings := parsePlace(input)
	findings = append(findings, placeFindings...)
	findings = append(findings, validateNames(input)...)
	if len(findings) > 0 {
		refusal := api.NewProblem(api.CodeInvalid, "%d findings, the first: %s: %s", len(findings), findings[0].Place, findings[0].Message)
		refusal.Findings = findings
		return nil, refusal
	}
	chat.single = input.Program == ""
	chat.createsProgram = chat.single || (sequence == 1 && input.Class != "")
	program := identity.ProgramID(input.Program)
	if chat.single {
		program = identity.ProgramID(g.config.NewID())
	}
	chat.create = serving.CreateRequest{ID: program, Tenant: orDefault(input.Tenant, g.config.DefaultTenant), Class: input.Class}
	if chat.create.Class == "" {
		chat.create.Class = g.classOfSingle()
	}
	chat.call = serving.CallRequest{Program: program, Call: chat.request.call(sequence, input.Branch)}
	return chat, nil
}

// parsePlace returns the call's sequence, or findings if the headers are invalid.
func parsePlace(input *chatInput) (uint64, []api.Finding) {
	if input.Program == "" {
		if input.Sequence == "" {
			return 1, nil
		}
		return 0, []api.Finding{{Place: "header " + api.HeaderProgram, Message: "is missing beside " + api.HeaderSequence}}
	}
	sequence, err := strconv.ParseUint(input.Sequence, 10, 64)
	if err != nil || sequence == 0 {
		return 0, []api.Finding{{
			Place:   "header " + api.HeaderSequence,
			Message: strconv.Quote(input.Sequence) + " is not a position from 1 on",
		}}
	}
	return sequence, nil
}

// validateNames validates the program and branch names in the headers.
func validateNames(input *chatInput) []api.Finding {
	var findings []api.Finding
	for _, header := range [][2]string{{api.HeaderProgram, input.Program}, {api.HeaderBranch, input.Branch}} {
		if header[1] != "" && !api.ValidName(header[1]) {
			findings = append(findings, api.Finding{
				Place:   "header " + header[0],
				Message: "is not made of at most 64 letters, digits and . _ : -",
			})
		}
	}
	return findings
}

// classOfSingle returns the class of calls that name none: the configured class,
// or the table's only class, or "default".
func (g *Gateway) classOfSingle() string {
	if g.config.DefaultClass != "" {
		return g.config.DefaultClass
	}
	table := g.config.Board.Table.Load()
	if table == nil || len(table.Classes) != 1 {
		return defaultClass
	}
	for name := range table.Classes {
		return name
	}
	return defaultClass
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
