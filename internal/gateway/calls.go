package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/problem"
	"stepseam.example/stepseam/internal/serving"
)

// deadlineGrace is added to a call's deadline, so that the owner, which knows
// whether the call ran, responds before the gateway times out.
const deadlineGrace = 2 * time.Second

// withoutTokens is the value of the query parameter tokens that omits them from
// a stream. The parameter is a string because huma replaces an explicit false by
// a default of true.
const withoutTokens = "false"

type callInput struct {
	ID     string `path:"id" maxLength:"64" doc:"The program's id."`
	Accept string `header:"Accept" doc:"text/event-stream asks for a stream, as stream does."`
	// LastEventID is a string so that an absent header differs from 0.
	LastEventID string `header:"Last-Event-ID" doc:"Leaves out the tokens up to this event."`
	Tokens      string `query:"tokens" enum:"true,false" doc:"With false a stream has no tokens, only comments and its last event."`
	Body        api.CallRequest
}

type fetchInput struct {
	ID          string  `path:"id" maxLength:"64" doc:"The program's id."`
	Sequence    uint64  `path:"sequence" minimum:"1" doc:"The call's position in its branch."`
	Branch      string  `query:"branch" maxLength:"64" doc:"The call's branch; main if left out."`
	Stream      bool    `query:"stream" doc:"Asks for a stream."`
	Tokens      string  `query:"tokens" enum:"true,false" doc:"With false a stream has no tokens, only comments and its last event."`
	Deadline    float64 `query:"deadline_seconds" minimum:"0" doc:"How long to wait for the answer."`
	Accept      string  `header:"Accept" doc:"text/event-stream asks for a stream."`
	LastEventID string  `header:"Last-Event-ID" doc:"Resumes a stream after this event."`
}

func (g *Gateway) addCallRoutes(face huma.API) {
	huma.Register(face, operation(face, huma.Operation{
		OperationID: "call", Method: http.MethodPost, Path: "/v1/programs/{id}/calls",
		Summary: "Run a call, join it if it runs, or replay its answer",
		Description: "With stream, or Accept: text/event-stream, the answer comes as events: tokens, then one " +
			"answer or problem. The id of an event is its token's index.",
	}, api.Answer{}, true), func(_ context.Context, input *callInput) (*huma.StreamResponse, error) {
		return g.call(input)
	})
	huma.Register(face, operation(face, huma.Operation{
		OperationID: "fetch-call", Method: http.MethodGet, Path: "/v1/programs/{id}/calls/{sequence}",
		Summary:     "Fetch the answer of a call whose connection was lost",
		Description: "Waits while the call runs. A stream resumes after Last-Event-ID.",
	}, api.Answer{}, true), func(_ context.Context, input *fetchInput) (*huma.StreamResponse, error) {
		return g.fetch(input)
	})
}

// answerFunc returns a call's answer. If onToken is not nil, it is called for
// each token before answerFunc returns.
type answerFunc func(ctx context.Context, onToken serving.TokenFunc) (api.Answer, error)

func (g *Gateway) call(input *callInput) (*huma.StreamResponse, error) {
	from, refusal := resumeFrom(input.LastEventID)
	if refusal != nil {
		return nil, problem.HandlerError(refusal)
	}
	if input.Body.Branch == "" {
		input.Body.Branch = string(identity.MainBranch)
	}
	request := serving.CallRequest{Program: identity.ProgramID(input.ID), Call: input.Body, From: from}
	options := responseOptions{stream: input.Body.Stream || wantsEvents(input.Accept), from: from, tokens: input.Tokens != withoutTokens}
	return g.respond(options, g.wait(input.Body.DeadlineSeconds), func(ctx context.Context, onToken serving.TokenFunc) (api.Answer, error) {
		return g.config.Programs.Call(ctx, request, onToken)
	}), nil
}

func (g *Gateway) fetch(input *fetchInput) (*huma.StreamResponse, error) {
	from, refusal := resumeFrom(input.LastEventID)
	if refusal != nil {
		return nil, problem.HandlerError(refusal)
	}
	branch := identity.BranchID(input.Branch)
	if branch == "" {
		branch = identity.MainBranch
	}
	request := serving.FetchRequest{From: from, Call: identity.CallID{
		Program: identity.ProgramID(input.ID), Branch: branch, Sequence: identity.Sequence(input.Sequence),
	}}
	stream := input.Stream || input.LastEventID != "" || wantsEvents(input.Accept)
	options := responseOptions{stream: stream, from: from, tokens: input.Tokens != withoutTokens}
	return g.respond(options, g.wait(input.Deadline), func(ctx context.Context, onToken serving.TokenFunc) (api.Answer, error) {
		return g.config.Programs.Fetch(ctx, request, onToken)
	}), nil
}

// wait returns how long the gateway waits for the answer of a call with the
// given deadline; 0 means none.
func (g *Gateway) wait(deadlineSeconds float64) time.Duration {
	if deadlineSeconds <= 0 {
		return g.config.MaxWait
	}
	return min(time.Duration(deadlineSeconds*float64(time.Second)), g.config.MaxWait) + deadlineGrace
}

// responseOptions is the form in which a caller wants an answer.
type responseOptions struct {
	stream bool
	// from is the index of the first token to send; tokens is false for a stream
	// without tokens.
	from   int
	tokens bool
}

// respond sends the answer as one JSON document or as a stream of events.
func (g *Gateway) respond(options responseOptions, wait time.Duration, run answerFunc) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(face huma.Context) {
		request, writer := humago.Unwrap(face)
		ctx, cancel := context.WithTimeout(request.Context(), wait)
		defer cancel()
		if options.stream {
			g.streamAnswer(ctx, writer, options, run)
			return
		}
		answer, err := run(ctx, nil)
		if err != nil {
			writeProblem(writer, request.URL.Path, outcomeOf(ctx, err))
			return
		}
		writeJSON(writer, answer)
	}}
}

func wantsEvents(accept string) bool { return strings.Contains(accept, api.MediaEventStream) }
