package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/problem"
	"stepseam.example/stepseam/internal/scheduling"
)

// problemError returns a problem with a status and one of this package's codes.
func problemError(status int, code api.Code, format string, arguments ...any) error {
	document := api.NewProblem(code, format, arguments...)
	document.Status = status
	if document.Title == "" {
		document.Title = http.StatusText(status)
	}
	return problem.HandlerError(document)
}

// newestFirst orders programs by creation time, the latest first.
func newestFirst(a, b api.Program) int {
	return cmp.Or(b.Created.Compare(a.Created), cmp.Compare(a.ID, b.ID))
}

func (o *Operator) ownPrograms(filter selection) *listReply {
	programs := lo.Filter(o.config.OwnPrograms(), func(p api.Program, _ int) bool { return filter.matches(p) })
	slices.SortFunc(programs, newestFirst)
	reply := &listReply{programs: programs}
	if filter.limit > 0 && len(programs) > filter.limit {
		reply.programs, reply.truncated = programs[:filter.limit], true
	}
	return reply
}

func (o *Operator) list(ctx context.Context, filter selection) ProgramList {
	list := ProgramList{Programs: []api.Program{}}
	for _, received := range o.queryAll(ctx, &listRequest{selection: filter}) {
		reply, reached := received.message.(*listReply)
		if !reached {
			list.Unreached = append(list.Unreached, string(received.member.Node.Name))
			continue
		}
		list.Programs = append(list.Programs, reply.programs...)
		list.Truncated = list.Truncated || reply.truncated
	}
	slices.SortFunc(list.Programs, newestFirst)
	if len(list.Programs) > filter.limit {
		list.Programs, list.Truncated = list.Programs[:filter.limit], true
	}
	return list
}

// actionNames are the scheduler's actions.
var actionNames = map[scheduling.Action]string{scheduling.Run: "run", scheduling.Hold: "hold", scheduling.Refuse: "refuse"}

func (o *Operator) ownExplanation(call identity.CallID) *Explanation {
	found, known := o.config.Explain(call)
	if !known {
		return nil
	}
	return &Explanation{
		Program: string(call.Program), Branch: string(call.Branch), Sequence: uint64(call.Sequence),
		Node: string(o.config.Self.Name), At: found.At, Attempt: found.Attempt, Action: actionNames[found.Decision.Action],
		Backend: found.Decision.Backend, Reason: found.Decision.Reason,
		RetryAfterSeconds: found.Decision.RetryAfter.Seconds(),
		Candidates: lo.Map(found.Decision.Candidates, func(c scheduling.Candidate, _ int) Candidate {
			return Candidate{Backend: c.Backend, CostSeconds: c.Cost, Note: c.Note}
		}),
	}
}

// explain returns the latest decision on a call. It queries all nodes, since a former owner
// may have made the decision.
func (o *Operator) explain(ctx context.Context, call identity.CallID) (Explanation, error) {
	var latest *Explanation
	for _, received := range o.queryAll(ctx, &explainRequest{call: call}) {
		reply, reached := received.message.(*explainReply)
		if !reached || reply.explanation == nil {
			continue
		}
		if latest == nil || reply.explanation.At.After(latest.At) {
			latest = reply.explanation
		}
	}
	if latest == nil {
		return Explanation{}, problemError(http.StatusNotFound, CodeNoExplanation,
			"no node remembers a decision on %s: it was never made, is too long ago, or its node was replaced", call)
	}
	return *latest, nil
}

type listInput struct {
	Tenant string `query:"tenant" maxLength:"128"`
	Class  string `query:"class" maxLength:"128"`
	State  string `query:"state" enum:"running,ended,cancelled,expired"`
	Limit  int    `query:"limit" minimum:"1" maximum:"10000" default:"100"`
}

type programInput struct {
	ID string `path:"id" maxLength:"64"`
}

type explainInput struct {
	Program  string `query:"program" required:"true" maxLength:"64"`
	Branch   string `query:"branch" default:"main" maxLength:"64"`
	Sequence uint64 `query:"sequence" required:"true" minimum:"1"`
}

// programTimeout bounds a request for one program, including the search for its owner.
const programTimeout = 10 * time.Second

func (o *Operator) programEndpoints(interfaces huma.API) {
	huma.Register(interfaces, huma.Operation{
		OperationID: "list-programs", Method: http.MethodGet, Path: "/v1/programs", Summary: "Programs of the site, the latest first",
	}, func(ctx context.Context, input *listInput) (*documentOf[ProgramList], error) {
		filter := selection{tenant: input.Tenant, class: input.Class, state: api.ProgramState(input.State), limit: input.Limit}
		return &documentOf[ProgramList]{Body: o.list(ctx, filter)}, nil
	})
	o.oneProgram(interfaces, "show-program", http.MethodGet, "/v1/programs/{id}", "One program", o.config.Programs.Get)
	o.oneProgram(interfaces, "cancel-program", http.MethodPost, "/v1/programs/{id}/cancel", "Cancel a program", o.config.Programs.Cancel)
	huma.Register(interfaces, huma.Operation{
		OperationID: "explain", Method: http.MethodGet, Path: "/v1/explain", Summary: "Why a call went where it went",
	}, func(ctx context.Context, input *explainInput) (*documentOf[Explanation], error) {
		explanation, err := o.explain(ctx, identity.CallID{
			Program: identity.ProgramID(input.Program), Branch: identity.BranchID(input.Branch), Sequence: identity.Sequence(input.Sequence),
		})
		if err != nil {
			return nil, err
		}
		return &documentOf[Explanation]{Body: explanation}, nil
	})
}

// oneProgram registers an endpoint that acts on one program.
func (o *Operator) oneProgram(interfaces huma.API, name, method, path, summary string,
	act func(context.Context, identity.ProgramID) (api.Program, error),
) {
	huma.Register(interfaces, huma.Operation{OperationID: name, Method: method, Path: path, Summary: summary},
		func(ctx context.Context, input *programInput) (*documentOf[api.Program], error) {
			ctx, cancel := context.WithTimeout(ctx, programTimeout)
			defer cancel()
			program, err := act(ctx, identity.ProgramID(input.ID))
			if err != nil {
				return nil, problem.HandlerError(err)
			}
			return &documentOf[api.Program]{Body: program}, nil
		})
}
