// Package forwarding takes any request about any program on any node and brings
// it to the owner of the program's shard.
//
// The owner is looked for where hints say, then in the order of placement. A
// node that is asked and does not own the shard answers with a hint and never
// passes a request on itself, so requests cannot circle. While a shard changes
// hands, the request is repeated unchanged at the next owner, who joins, replays
// or runs it; the caller gets one whole answer or is told that it was cut off.
package forwarding

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/serving"
)

const (
	// ranksAsked is how many nodes of the placement's order are asked.
	ranksAsked = 4
	// maxCandidates bounds the nodes asked in one round, hints included.
	maxCandidates = 8
)

// Timing holds the forwarder's times; zero fields take their defaults.
type Timing struct {
	// FirstPause and MaxPause bound the growing pauses between rounds.
	FirstPause time.Duration
	MaxPause   time.Duration
	// Jitter is the share by which a pause varies; below 0 is none at all.
	Jitter float64
	// Patience is how long a shard without an owner is waited for; it covers a
	// planned hand-over and most takeovers.
	Patience time.Duration
	// OwnerlessPatience is the same within OwnerlessMemory of another request's
	// search that failed.
	OwnerlessPatience time.Duration
	OwnerlessMemory   time.Duration
	// AcceptedPatience is the same for a request that an owner may have taken up.
	AcceptedPatience time.Duration
	// RetryAfter is when callers who met no owner should come back.
	RetryAfter time.Duration
	// AliveTimeout bounds one question of the audit.
	AliveTimeout time.Duration
}

func (t Timing) withDefaults() Timing {
	t.FirstPause = cmp.Or(t.FirstPause, 20*time.Millisecond)
	t.MaxPause = cmp.Or(t.MaxPause, 250*time.Millisecond)
	t.Jitter = max(cmp.Or(t.Jitter, 0.5), 0)
	t.Patience = cmp.Or(t.Patience, 8*time.Second)
	t.OwnerlessPatience = cmp.Or(t.OwnerlessPatience, 100*time.Millisecond)
	t.OwnerlessMemory = cmp.Or(t.OwnerlessMemory, 5*time.Second)
	t.AcceptedPatience = cmp.Or(t.AcceptedPatience, time.Minute)
	t.RetryAfter = cmp.Or(t.RetryAfter, time.Second)
	t.AliveTimeout = cmp.Or(t.AliveTimeout, 3*time.Second)
	return t
}

// Config is what a Forwarder needs; OwnerHint and Logger may be nil.
type Config struct {
	Self       identity.Reference
	ShardCount int
	// Local serves the shards that this node owns; for others it fails with
	// journal.ErrNotOwner at once.
	Local  serving.Programs
	Client peer.Client
	Board  *blackboard.Board
	// OwnerHint is what the journal knows of a shard's owner.
	OwnerHint func(shard identity.ShardID) (node identity.Node, epoch identity.Epoch, found bool)
	// Ranks is the placement's order of nodes for a shard.
	Ranks  func(shard identity.ShardID, view membership.View, n int) []identity.Node
	Logger *slog.Logger
	Timing Timing
}

// Forwarder implements serving.Programs for every shard of the site. It is safe
// for concurrent use; who owns what is kept in the blackboard's Owners.
type Forwarder struct {
	config Config
	// vacant holds when a search for a shard's owner failed last.
	vacant *blackboard.Map[identity.ShardID, time.Time]
	// seen holds the tries of other nodes that were delivered here; tries numbers
	// those of this node.
	seen  seen
	tries atomic.Uint64
}

// New returns a forwarder and adds its messages and handlers to registry.
func New(config Config, registry *peer.Registry) *Forwarder {
	config.Timing = config.Timing.withDefaults()
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	f := &Forwarder{config: config, vacant: blackboard.NewMap[identity.ShardID, time.Time]()}
	f.tries.Store(firstTry(config.Self))
	addMessages(registry)
	f.addHandlers(registry)
	return f
}

// firstTry spreads the numbers of nodes and of their lives over all numbers, so
// that no two meet.
func firstTry(self identity.Reference) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", self.Name, self.Incarnation))
}

// Create implements serving.Programs.
func (f *Forwarder) Create(ctx context.Context, request serving.CreateRequest) (api.Program, error) {
	message := &createMessage{program: request.ID, tenant: request.Tenant, class: request.Class}
	return f.onProgram(ctx, request.ID, message, func(ctx context.Context) (api.Program, error) {
		return f.config.Local.Create(ctx, request)
	})
}

// Get implements serving.Programs.
func (f *Forwarder) Get(ctx context.Context, program identity.ProgramID) (api.Program, error) {
	return f.act(ctx, program, actionGet)
}

// End implements serving.Programs.
func (f *Forwarder) End(ctx context.Context, program identity.ProgramID) (api.Program, error) {
	return f.act(ctx, program, actionEnd)
}

// Cancel implements serving.Programs.
func (f *Forwarder) Cancel(ctx context.Context, program identity.ProgramID) (api.Program, error) {
	return f.act(ctx, program, actionCancel)
}

func (f *Forwarder) act(ctx context.Context, program identity.ProgramID, wanted action) (api.Program, error) {
	message := &programMessage{program: program, action: wanted}
	return f.onProgram(ctx, program, message, func(ctx context.Context) (api.Program, error) {
		return f.actLocally(ctx, message)
	})
}

func (f *Forwarder) actLocally(ctx context.Context, message *programMessage) (api.Program, error) {
	switch message.action {
	case actionEnd:
		return f.config.Local.End(ctx, message.program)
	case actionCancel:
		return f.config.Local.Cancel(ctx, message.program)
	default:
		return f.config.Local.Get(ctx, message.program)
	}
}

// onProgram runs a request whose answer is a program.
func (f *Forwarder) onProgram(ctx context.Context, program identity.ProgramID, message peer.Message, local func(context.Context) (api.Program, error)) (api.Program, error) {
	var result api.Program
	search := &search{forwarder: f, shard: program.Shard(f.config.ShardCount), try: func(ctx context.Context, at candidate) error {
		if at.local {
			found, err := local(ctx)
			result = found
			return f.localError(program, err)
		}
		outcome, err := f.ask(ctx, at, message, nil)
		if err == nil {
			result = outcome.program
		}
		return err
	}}
	if err := search.run(ctx); err != nil {
		return api.Program{}, err
	}
	return result, nil
}

// Call implements serving.Programs. Whatever becomes of owners and connections,
// the request is repeated with its sequence and body unchanged, so it runs once.
func (f *Forwarder) Call(ctx context.Context, request serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	tokens := newStream(request.From, onToken)
	started := time.Now()
	return f.onCall(ctx, request.Program, tokens, func(ctx context.Context, at candidate, onToken serving.TokenFunc) (api.Answer, error) {
		call := request.Call
		call.DeadlineSeconds = remaining(call.DeadlineSeconds, started)
		if at.local {
			answer, err := f.config.Local.Call(ctx, serving.CallRequest{Program: request.Program, Call: call, From: request.From}, onToken)
			return answer, f.localError(request.Program, err)
		}
		message := &callMessage{program: request.Program, call: call, from: request.From, tokens: onToken != nil}
		outcome, err := f.ask(ctx, at, message, onToken)
		if err != nil {
			return api.Answer{}, err
		}
		return outcome.answer, nil
	})
}

// shortestDeadline is given to an owner that is found at the last moment; 0
// would mean none.
const shortestDeadline = time.Millisecond

// remaining shortens the caller's deadline by the time spent looking for an
// owner. The deadline is no part of what makes two bodies the same.
func remaining(seconds float64, started time.Time) float64 {
	if seconds <= 0 {
		return seconds
	}
	return max(seconds-time.Since(started).Seconds(), shortestDeadline.Seconds())
}

// Fetch implements serving.Programs.
func (f *Forwarder) Fetch(ctx context.Context, request serving.FetchRequest, onToken serving.TokenFunc) (api.Answer, error) {
	tokens := newStream(request.From, onToken)
	return f.onCall(ctx, request.Call.Program, tokens, func(ctx context.Context, at candidate, onToken serving.TokenFunc) (api.Answer, error) {
		if at.local {
			answer, err := f.config.Local.Fetch(ctx, request, onToken)
			return answer, f.localError(request.Call.Program, err)
		}
		outcome, err := f.ask(ctx, at, &fetchMessage{call: request.Call, from: request.From, tokens: onToken != nil}, onToken)
		if err != nil {
			return api.Answer{}, err
		}
		return outcome.answer, nil
	})
}

type answerFunc func(ctx context.Context, at candidate, onToken serving.TokenFunc) (api.Answer, error)

// onCall runs a request whose answer is a call's, with its tokens before it.
func (f *Forwarder) onCall(ctx context.Context, program identity.ProgramID, tokens *stream, ask answerFunc) (api.Answer, error) {
	var result api.Answer
	search := &search{forwarder: f, shard: program.Shard(f.config.ShardCount), isCall: true}
	search.try = func(ctx context.Context, at candidate) error {
		onToken, finish := tokens.tokenFunc()
		answer, err := ask(ctx, at, onToken)
		if err == nil {
			err = finish()
		}
		switch {
		case tokens.refused != nil:
			return api.NewProblem(api.CodeInterrupted, "the caller takes no more tokens: %s", tokens.refused)
		case tokens.diverged:
			return api.NewProblem(api.CodeInterrupted, "the answer was begun anew after %d tokens; fetch it again from its first token", tokens.next).
				WithRetryAfter(f.config.Timing.RetryAfter)
		}
		result = answer
		return err
	}
	if err := search.run(ctx); err != nil {
		return api.Answer{}, err
	}
	return result, nil
}

// ask makes one request at another node.
func (f *Forwarder) ask(ctx context.Context, at candidate, message peer.Message, onToken serving.TokenFunc) (*outcomeMessage, error) {
	var onPart func(peer.Message) error
	if onToken != nil {
		onPart = func(part peer.Message) error {
			token, expected := part.(*tokenMessage)
			if !expected {
				return fmt.Errorf("forwarding: part of kind %d in place of a token", part.Kind())
			}
			return onToken(token.index, token.text)
		}
	}
	if tried, changes := message.(numbered); changes {
		tried.setTry(f.tries.Add(1))
	}
	answer, err := f.config.Client.Call(ctx, at.hint.peer, message, onPart)
	if err != nil {
		return nil, err
	}
	outcome, expected := answer.(*outcomeMessage)
	if !expected {
		return nil, fmt.Errorf("forwarding: answer of kind %d in place of an outcome", answer.Kind())
	}
	switch outcome.form {
	case outcomeNotOwner:
		return nil, &outcome.notOwner
	case outcomeProblem:
		return nil, outcome.problem
	default:
		return outcome, nil
	}
}

// ProgramAlive asks the owner whether a program runs, for the audit of engine
// memory. known is false where no owner could say for certain.
func (f *Forwarder) ProgramAlive(ctx context.Context, program identity.ProgramID) (alive, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.AliveTimeout)
	defer cancel()
	found, err := f.Get(ctx, program)
	if err == nil {
		return found.State == api.ProgramRunning, true, nil
	}
	var problem *api.Problem
	if errors.As(err, &problem) && problem.Code == api.CodeUnknownProgram {
		return false, true, nil
	}
	return false, false, err
}

var _ serving.Programs = (*Forwarder)(nil)
