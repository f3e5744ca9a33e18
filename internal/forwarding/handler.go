package forwarding

import (
	"context"
	"errors"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/serving"
)

// addHandlers registers the owner's side: each request goes to Local and never
// on to another node.
func (f *Forwarder) addHandlers(registry *peer.Registry) {
	registry.Handle(KindCall, f.once(f.handleCall))
	registry.Handle(KindFetch, peer.HandlerFunc(f.handleFetch))
	registry.Handle(KindCreate, f.once(f.handleCreate))
	registry.Handle(KindProgram, f.once(f.handleProgram))
}

// once acts on each try at its first delivery only.
func (f *Forwarder) once(handle peer.HandlerFunc) peer.Handler {
	return peer.HandlerFunc(func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		if !f.seen.first(request.(numbered).tryNumber()) {
			return nil, errDelivered
		}
		return handle(ctx, request, sendPart)
	})
}

func (f *Forwarder) handleCall(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	message := request.(*callMessage)
	answer, err := f.config.Local.Call(ctx, serving.CallRequest{
		Program: message.program, Call: message.call, From: message.from,
	}, sendTokens(message.tokens, sendPart))
	return f.outcome(message.program, &outcomeMessage{form: outcomeAnswer, answer: answer}, err), nil
}

func (f *Forwarder) handleFetch(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	message := request.(*fetchMessage)
	answer, err := f.config.Local.Fetch(ctx, serving.FetchRequest{
		Call: message.call, From: message.from,
	}, sendTokens(message.tokens, sendPart))
	return f.outcome(message.call.Program, &outcomeMessage{form: outcomeAnswer, answer: answer}, err), nil
}

func (f *Forwarder) handleCreate(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	message := request.(*createMessage)
	program, err := f.config.Local.Create(ctx, serving.CreateRequest{
		ID: message.program, Tenant: message.tenant, Class: message.class,
	})
	return f.outcome(message.program, &outcomeMessage{form: outcomeProgram, program: program}, err), nil
}

func (f *Forwarder) handleProgram(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	message := request.(*programMessage)
	program, err := f.actLocally(ctx, message)
	return f.outcome(message.program, &outcomeMessage{form: outcomeProgram, program: program}, err), nil
}

func sendTokens(wanted bool, sendPart func(peer.Message) error) serving.TokenFunc {
	if !wanted {
		return nil
	}
	return func(index int, text string) error {
		return sendPart(&tokenMessage{index: index, text: text})
	}
}

// outcome turns what Local returned into the answer to the other node.
func (f *Forwarder) outcome(program identity.ProgramID, done *outcomeMessage, err error) *outcomeMessage {
	if err == nil {
		return done
	}
	err = f.localError(program, err)
	var refused *notOwner
	if errors.As(err, &refused) {
		return &outcomeMessage{form: outcomeNotOwner, notOwner: *refused}
	}
	var problem *api.Problem
	errors.As(err, &problem) // localError returns nothing else
	return &outcomeMessage{form: outcomeProblem, problem: problem}
}

// localError turns an error of Local into a *notOwner with this node's hint, or
// into a problem.
func (f *Forwarder) localError(program identity.ProgramID, err error) error {
	if err == nil {
		return nil
	}
	var problem *api.Problem
	hasProblem := errors.As(err, &problem)
	if errors.Is(err, journal.ErrNotOwner) {
		return &notOwner{accepted: !hasProblem || !problem.NotRun, hint: f.ownHint(program)}
	}
	if !hasProblem {
		f.config.Logger.Error("request failed", "program", program, "error", err)
		return api.NewProblem(api.CodeInternal, "%s", err)
	}
	return problem
}

// ownHint is who this node, which is not the owner, believes to be it.
func (f *Forwarder) ownHint(program identity.ProgramID) hint {
	if f.config.OwnerHint == nil {
		return hint{}
	}
	node, epoch, found := f.config.OwnerHint(program.Shard(f.config.ShardCount))
	if !found || node.Name == f.config.Self.Name {
		return hint{}
	}
	return hint{node: node.Reference(), peer: node.PeerAddress, epoch: epoch}
}
