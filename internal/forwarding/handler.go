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

// addHandlers registers the handlers of requests from other nodes. They pass requests
// only to Local, never to another node.
func (f *Forwarder) addHandlers(registry *peer.Registry) {
	registry.Handle(KindCall, f.deduplicate(f.handleCall))
	registry.Handle(KindFetch, peer.HandlerFunc(f.handleFetch))
	registry.Handle(KindCreate, f.deduplicate(f.handleCreate))
	registry.Handle(KindProgram, f.deduplicate(f.handleProgram))
}

// deduplicate handles only the first delivery of each attempt.
func (f *Forwarder) deduplicate(handle peer.HandlerFunc) peer.Handler {
	return peer.HandlerFunc(func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
		if !f.deliveries.first(request.(numberedMessage).attemptNumber()) {
			return nil, errDuplicate
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

// outcome converts the result of Local to the response message.
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
	errors.As(err, &problem) // localError returns no other errors
	return &outcomeMessage{form: outcomeProblem, problem: problem}
}

// localError converts an error of Local to a *notOwner with this node's hint, or to a
// problem.
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

// ownHint returns the owner according to the journal of this node, which is not the
// owner; empty if unknown.
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
