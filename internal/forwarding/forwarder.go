// Package forwarding accepts requests about any program on any node and routes them to
// the owner of the program's shard.
//
// The owner is looked up first by hints, then in placement order. A node that receives a
// request for a shard that it does not own responds with a hint and never forwards the
// request, so requests cannot loop. While a shard changes owners, the request is repeated
// unchanged at the next owner, which joins, replays or runs it. The caller gets one
// complete answer, or an error that says that the answer was interrupted.
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
	// maxRankedNodes is how many nodes in placement order are tried.
	maxRankedNodes = 4
	// maxCandidates limits the nodes tried in one round, including hints.
	maxCandidates = 8
)

// Timing holds the timeouts and intervals of the forwarder; zero fields take their
// defaults.
type Timing struct {
	// FirstPause and MaxPause bound the backoff between rounds.
	FirstPause time.Duration
	MaxPause   time.Duration
	// Jitter is the randomization factor of the backoff; a negative value disables it.
	Jitter float64
	// OwnerTimeout is how long an owner is searched for. It covers a planned handover and
	// most takeovers.
	OwnerTimeout time.Duration
	// OwnerlessTimeout replaces OwnerTimeout within OwnerlessTTL after the search of
	// another request has failed.
	OwnerlessTimeout time.Duration
	OwnerlessTTL     time.Duration
	// AcceptedTimeout replaces OwnerTimeout for a call that an owner may have accepted.
	AcceptedTimeout time.Duration
	// RetryAfter is the retry delay of callers for which no owner was found.
	RetryAfter time.Duration
	// AliveTimeout bounds one ProgramAlive query.
	AliveTimeout time.Duration
}

func (t Timing) withDefaults() Timing {
	t.FirstPause = cmp.Or(t.FirstPause, 20*time.Millisecond)
	t.MaxPause = cmp.Or(t.MaxPause, 250*time.Millisecond)
	t.Jitter = max(cmp.Or(t.Jitter, 0.5), 0)
	t.OwnerTimeout = cmp.Or(t.OwnerTimeout, 8*time.Second)
	t.OwnerlessTimeout = cmp.Or(t.OwnerlessTimeout, 100*time.Millisecond)
	t.OwnerlessTTL = cmp.Or(t.OwnerlessTTL, 5*time.Second)
	t.AcceptedTimeout = cmp.Or(t.AcceptedTimeout, time.Minute)
	t.RetryAfter = cmp.Or(t.RetryAfter, time.Second)
	t.AliveTimeout = cmp.Or(t.AliveTimeout, 3*time.Second)
	return t
}

// Config configures a Forwarder; OwnerHint and Logger may be nil.
type Config struct {
	Self       identity.Reference
	ShardCount int
	// Local serves the shards that this node owns. For other shards it fails immediately
	// with journal.ErrNotOwner.
	Local  serving.Programs
	Client peer.Client
	Board  *blackboard.Board
	// OwnerHint returns the owner of a shard according to the journal, which may be
	// stale.
	OwnerHint func(shard identity.ShardID) (node identity.Node, epoch identity.Epoch, found bool)
	// Ranks returns the first n nodes for a shard in placement order.
	Ranks  func(shard identity.ShardID, view membership.View, n int) []identity.Node
	Logger *slog.Logger
	Timing Timing
}

// Forwarder implements serving.Programs for every shard of the site. It is safe for
// concurrent use. Known owners are cached in the Owners cell of the blackboard.
type Forwarder struct {
	config Config
	// ownerlessSince is when the last search for a shard's owner failed.
	ownerlessSince *blackboard.Map[identity.ShardID, time.Time]
	// deliveries records the attempts of other nodes that were delivered to this node;
	// attempts numbers the attempts of this node.
	deliveries deliveryLog
	attempts   atomic.Uint64
}

// New returns a forwarder and registers its messages and handlers.
func New(config Config, registry *peer.Registry) *Forwarder {
	config.Timing = config.Timing.withDefaults()
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	f := &Forwarder{config: config, ownerlessSince: blackboard.NewMap[identity.ShardID, time.Time]()}
	f.attempts.Store(firstAttempt(config.Self))
	addMessages(registry)
	f.addHandlers(registry)
	return f
}

// firstAttempt derives the first attempt number from the node's name and incarnation, so
// that the number ranges of different nodes and incarnations practically never overlap.
func firstAttempt(self identity.Reference) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", self.Name, self.Incarnation))
}

// Create implements serving.Programs.
func (f *Forwarder) Create(ctx context.Context, request serving.CreateRequest) (api.Program, error) {
	message := &createMessage{program: request.ID, tenant: request.Tenant, class: request.Class}
	return f.requestProgram(ctx, request.ID, message, func(ctx context.Context) (api.Program, error) {
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
	return f.requestProgram(ctx, program, message, func(ctx context.Context) (api.Program, error) {
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

// requestProgram runs a request whose result is a program.
func (f *Forwarder) requestProgram(ctx context.Context, program identity.ProgramID, message peer.Message, local func(context.Context) (api.Program, error)) (api.Program, error) {
	var result api.Program
	search := &search{forwarder: f, shard: program.Shard(f.config.ShardCount), attempt: func(ctx context.Context, at candidate) error {
		if at.local {
			found, err := local(ctx)
			result = found
			return f.localError(program, err)
		}
		outcome, err := f.callNode(ctx, at, message, nil)
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

// Call implements serving.Programs. When owners or connections fail, the request is
// repeated with the same sequence and body, so that it runs once.
func (f *Forwarder) Call(ctx context.Context, request serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	tokens := newStream(request.From, onToken)
	started := time.Now()
	return f.requestAnswer(ctx, request.Program, tokens, func(ctx context.Context, at candidate, onToken serving.TokenFunc) (api.Answer, error) {
		call := request.Call
		call.DeadlineSeconds = remaining(call.DeadlineSeconds, started)
		if at.local {
			answer, err := f.config.Local.Call(ctx, serving.CallRequest{Program: request.Program, Call: call, From: request.From}, onToken)
			return answer, f.localError(request.Program, err)
		}
		message := &callMessage{program: request.Program, call: call, from: request.From, tokens: onToken != nil}
		outcome, err := f.callNode(ctx, at, message, onToken)
		if err != nil {
			return api.Answer{}, err
		}
		return outcome.answer, nil
	})
}

// minDeadline is the smallest deadline sent to an owner, since 0 means no deadline.
const minDeadline = time.Millisecond

// remaining reduces the caller's deadline by the time spent searching for an owner. The
// deadline is not part of the digest that detects changed bodies.
func remaining(seconds float64, started time.Time) float64 {
	if seconds <= 0 {
		return seconds
	}
	return max(seconds-time.Since(started).Seconds(), minDeadline.Seconds())
}

// Fetch implements serving.Programs.
func (f *Forwarder) Fetch(ctx context.Context, request serving.FetchRequest, onToken serving.TokenFunc) (api.Answer, error) {
	tokens := newStream(request.From, onToken)
	return f.requestAnswer(ctx, request.Call.Program, tokens, func(ctx context.Context, at candidate, onToken serving.TokenFunc) (api.Answer, error) {
		if at.local {
			answer, err := f.config.Local.Fetch(ctx, request, onToken)
			return answer, f.localError(request.Call.Program, err)
		}
		outcome, err := f.callNode(ctx, at, &fetchMessage{call: request.Call, from: request.From, tokens: onToken != nil}, onToken)
		if err != nil {
			return api.Answer{}, err
		}
		return outcome.answer, nil
	})
}

type answerFunc func(ctx context.Context, at candidate, onToken serving.TokenFunc) (api.Answer, error)

// requestAnswer runs a request whose result is the answer of a call, preceded by its
// tokens.
func (f *Forwarder) requestAnswer(ctx context.Context, program identity.ProgramID, tokens *stream, send answerFunc) (api.Answer, error) {
	var result api.Answer
	search := &search{forwarder: f, shard: program.Shard(f.config.ShardCount), isCall: true}
	search.attempt = func(ctx context.Context, at candidate) error {
		onToken, finish := tokens.tokenFunc()
		answer, err := send(ctx, at, onToken)
		if err == nil {
			err = finish()
		}
		switch {
		case tokens.callerErr != nil:
			return api.NewProblem(api.CodeInterrupted, "the caller takes no more tokens: %s", tokens.callerErr)
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

// callNode sends one request to another node and returns its outcome.
func (f *Forwarder) callNode(ctx context.Context, at candidate, message peer.Message, onToken serving.TokenFunc) (*outcomeMessage, error) {
	var onPart func(peer.Message) error
	if onToken != nil {
		onPart = func(part peer.Message) error {
			token, expected := part.(*tokenMessage)
			if !expected {
				return fmt.Errorf("forwarding: got a part of kind %d, want a token", part.Kind())
			}
			return onToken(token.index, token.text)
		}
	}
	if tried, changes := message.(numberedMessage); changes {
		tried.setAttempt(f.attempts.Add(1))
	}
	answer, err := f.config.Client.Call(ctx, at.hint.peer, message, onPart)
	if err != nil {
		return nil, err
	}
	outcome, expected := answer.(*outcomeMessage)
	if !expected {
		return nil, fmt.Errorf("forwarding: got a response of kind %d, want an outcome", answer.Kind())
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

// ProgramAlive queries the owner for whether a program runs, for the audit of engine
// memory. known is false if no owner gave an authoritative answer.
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
