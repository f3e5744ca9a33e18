// Package ledgerlog runs the ledger of budgets and kept turns on the durable log.
// A reservation is appended and the partition read up to it; what stands there
// decides. Any node can do this for any program, at any time.
package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

var (
	// ErrUnavailable tells that the store could not be asked in time. Nothing may
	// be concluded about budget or history.
	ErrUnavailable = errors.New("ledgerlog: the ledger can't be reached")
	// ErrStoreUnavailable tells that the store takes nothing from this node for now. It wraps
	// ErrUnavailable.
	ErrStoreUnavailable = fmt.Errorf("%w: the store answers nothing", ErrUnavailable)
	// ErrNoSuchTurn tells that the log holds no such turn, for certain.
	ErrNoSuchTurn = errors.New("ledgerlog: no such turn")
	// ErrBudgetReserved tells that what is left of the budget is reserved by other nodes,
	// which may give some of it back.
	ErrBudgetReserved = errors.New("ledgerlog: the rest of the budget is reserved elsewhere")
	// ErrAbandoned tells that whoever asked for the turn has said meanwhile that it
	// does not take place.
	ErrAbandoned = errors.New("ledgerlog: the turn was abandoned")
)

// BudgetExhaustedError tells that the budget does not hold one more attempt.
type BudgetExhaustedError struct {
	// Charged is what stands against the budget, in tokens.
	Charged uint64
}

// Error gives the charges.
func (e *BudgetExhaustedError) Error() string {
	return fmt.Sprintf("ledgerlog: budget spent, %d tokens are charged", e.Charged)
}

// tidyPause is the time between two looks for what rests.
const tidyPause = 500 * time.Millisecond

// Availability tells when calls of the store may go out. Reads need not wait: the store fails
// those that may not go out at once.
type Availability interface {
	// Await returns once an append to a partition may go out, or an error when ctx ends.
	Await(ctx context.Context, place logstore.Partition) error
	// Available tells whether calls on a partition are answered, as far as is known.
	Available(place logstore.Partition) bool
	// Recovered returns a channel that is closed once the store, or a part of it, answers
	// again.
	Recovered() <-chan struct{}
}

// openGate lets all calls out.
type openGate struct{}

func (openGate) Await(context.Context, logstore.Partition) error { return nil }
func (openGate) Available(logstore.Partition) bool               { return true }
func (openGate) Recovered() <-chan struct{}                      { return nil }

// Config is what a Ledger is made from. All fields but Gate and Registerer are required.
type Config struct {
	Store logstore.Store
	// Topic holds charges and the index of turns, TextTopic their texts.
	Topic, TextTopic string
	// Partitions is the number of partitions of either topic.
	Partitions int
	// Producer is unique to this life of the process; it is its LifeID too.
	Producer string
	// RecordBytes and CallBytes bound one record and one append.
	RecordBytes, CallBytes int
	// Retain is how long the store keeps records.
	Retain time.Duration
	// IndexTextBytes bounds the texts of turns that a take-over of a partition reads; 0
	// leaves all texts to their own topic.
	IndexTextBytes int
	// CacheBytes bounds the texts of turns in memory.
	CacheBytes int
	// Availability is that of Store; nil lets all calls out.
	Availability Availability
	Logger       *slog.Logger
	Registerer   prometheus.Registerer
}

// Ledger reserves and settles budgets and keeps turns. It is safe for concurrent use.
type Ledger struct {
	config     Config
	partitions []*partition
	texts      *textStore
}

// partition is one partition of the ledger's topic.
type partition struct {
	appender *appender
	follower *follower
	holder   *holder

	// mutex guards lazy and timer: submissions that go with the next append.
	mutex sync.Mutex
	lazy  []*submission
	timer *time.Timer
}

// New returns a ledger that has read nothing yet.
func New(config Config) *Ledger {
	if config.Availability == nil {
		config.Availability = openGate{}
	}
	counted := newMetrics(config.Registerer)
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	pace, window, resend := &pacer{}, &readWindow{}, &retransmission{}
	built := &Ledger{config: config, texts: newTextStore(config, counted, pace, resend)}
	rule := config.textRule()
	for number := range config.Partitions {
		place := logstore.Partition{Topic: config.Topic, Number: number}
		reads := &follower{
			store: config.Store, partition: place, metrics: counted, window: window,
			clock: clock, state: ledger.NewPartition(), verdicts: map[ledger.AttemptID]*ledger.Verdict{},
			logger: config.Logger, onText: built.texts.remember, largestText: rule.TextBytes,
		}
		reads.state.SetTextLimits(rule)
		added := &partition{
			follower: reads,
			appender: &appender{
				store: config.Store, gate: config.Availability, partition: place, producer: config.Producer, callBytes: config.CallBytes,
				logger: config.Logger, metrics: counted, pacer: pace, retransmission: resend,
				written: reads.applyOwn, epoch: 1,
			},
		}
		added.holder = &holder{
			partition: added, gate: config.Availability, life: ledger.IncarnationID(config.Producer), members: unknownMembers{}, clock: clock,
			credits: map[ledger.ProgramID]*heldCredit{}, abandoned: map[ledger.GrantID]time.Duration{},
		}
		built.partitions = append(built.partitions, added)
	}
	return built
}

// Members tells which lives of nodes go on.
type Members interface {
	// IsAlive tells whether a life is known to go on.
	IsAlive(life ledger.IncarnationID) bool
	// MayBeAlive tells whether a life may go on, as far as that can be known yet.
	MayBeAlive(life ledger.IncarnationID) bool
}

// unknownMembers are those of a node that nobody tells of others.
type unknownMembers struct{}

func (unknownMembers) IsAlive(ledger.IncarnationID) bool    { return false }
func (unknownMembers) MayBeAlive(ledger.IncarnationID) bool { return true }

// SetMembers tells which lives go on. It is called at most once, before the first
// turn; without it other nodes may live, but none is waited for.
func (l *Ledger) SetMembers(members Members) {
	for _, p := range l.partitions {
		p.holder.members = members
	}
}

func (l *Ledger) of(program ledger.ProgramID) *partition {
	return l.partitions[l.Partition(program)]
}

// TurnRequest asks for the tokens of one turn.
type TurnRequest struct {
	Program ledger.ProgramID
	// ID is chosen by whoever asks, so that it can end the turn without having
	// heard of its beginning.
	ID ledger.GrantID
	// Budget is the program's, MaxTurnTokens what the turn hands out at most, in tokens.
	Budget, MaxTurnTokens uint32
	// Coordinator tells whether this node should own the program's partition; Substitute that it does so
	// in place of one that lives and may come back soon.
	Coordinator, Substitute bool
}

// NewGrantID returns an id that no other turn has.
func NewGrantID() ledger.GrantID { return ledger.GrantID(rand.Uint64()) }

// BeginTurn begins a turn. Errors: a *SpentError, or one that wraps ErrUnavailable,
// ErrReserved or ErrAbandoned.
func (l *Ledger) BeginTurn(ctx context.Context, request TurnRequest) (Grant, error) {
	holder := l.of(request.Program).holder
	if request.Coordinator {
		holder.claim(request.Substitute)
	}
	return holder.take(ctx, request)
}

// CatchUp reads a partition to its end, as far as the store answers until ctx ends.
func (l *Ledger) CatchUp(ctx context.Context, partition int) {
	// Whoever needs the partition reads on.
	_ = l.partitions[partition].follower.readToEnd(ctx)
}

// FinishTurn ends a turn that handed out used tokens. One that has not begun yet will
// not begin any more.
func (l *Ledger) FinishTurn(program ledger.ProgramID, grant ledger.GrantID, used uint32) {
	l.of(program).holder.finish(program, grant, used)
}

// Partition returns the number of the partition that holds a program.
func (l *Ledger) Partition(program ledger.ProgramID) int {
	return int(xxhash.Sum64String(string(program)) % uint64(len(l.partitions)))
}

// Run settles what rests until ctx ends; home tells which partitions are at home here.
func (l *Ledger) Run(ctx context.Context, home func(partition int) bool) {
	ticker := time.NewTicker(tidyPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.SettleIdle(home)
		case <-ctx.Done():
			return
		}
	}
}

// SettleIdle settles what rests and gives up partitions that are at home elsewhere.
func (l *Ledger) SettleIdle(home func(partition int) bool) {
	for number, p := range l.partitions {
		p.holder.tidy(home(number))
	}
}

// submitNow writes a record at once, with what waits for a call to go with.
func (p *partition) submitNow(record []byte) *submission {
	p.flush()
	return p.appender.submit(context.Background(), [][]byte{record})
}

// submitLater writes a record with the next call, or after gatherPause.
func (p *partition) submitLater(record []byte) *submission {
	waiting := newSubmission(context.Background(), [][]byte{record})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lazy = append(p.lazy, waiting)
	if p.timer == nil {
		p.timer = time.AfterFunc(gatherPause, func() { p.flush() })
	}
	return waiting
}

// flush writes what waits for a call to go with, and then what is given, in one call as far
// as there is room.
func (p *partition) flush(with ...*submission) {
	p.mutex.Lock()
	waiting := p.lazy
	p.lazy = nil
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	p.mutex.Unlock()
	p.appender.enqueue(append(waiting, with...)...)
}

// Stop settles every credit without an open turn, gives ownerships back and writes
// it all. It returns ctx's error if that is not done by its end.
func (l *Ledger) Stop(ctx context.Context) error {
	const pause = 10 * time.Millisecond
	for !l.stopped() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("ledgerlog: stop: %w", ctx.Err())
		case <-time.After(pause):
		}
	}
	return nil
}

// stopped writes what can be written by now and tells whether that is all.
func (l *Ledger) stopped() bool {
	all := true
	for _, p := range l.partitions {
		p.holder.tidy(false)
		p.flush()
		all = all && p.holder.decided() && p.appender.idle()
	}
	return all
}
