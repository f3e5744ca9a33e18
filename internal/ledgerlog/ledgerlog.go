// Package ledgerlog runs the ledger of budgets and the index of turns on the durable log. A
// reservation is appended and the partition is read up to it; the state at that offset decides.
// Any node can do this for any program at any time.
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
	// ErrUnavailable reports that the store could not be reached in time. It implies nothing
	// about budgets or turns. Its text is sent to other nodes.
	ErrUnavailable = errors.New("ledgerlog: the ledger can't be reached")
	// ErrStoreUnavailable reports that the store is unavailable to this node for now. It wraps
	// ErrUnavailable. Its text is sent to other nodes.
	ErrStoreUnavailable = fmt.Errorf("%w: the store answers nothing", ErrUnavailable)
	// ErrNoSuchTurn reports that the log certainly has no such turn. Its text is sent to other
	// nodes.
	ErrNoSuchTurn = errors.New("ledgerlog: no such turn")
	// ErrBudgetReserved reports that the rest of the budget is reserved by other nodes, which
	// may return some of it. Its text is sent to other nodes.
	ErrBudgetReserved = errors.New("ledgerlog: the rest of the budget is reserved elsewhere")
	// ErrAbandoned reports that the caller finished the turn before it began. Its text is sent
	// to other nodes.
	ErrAbandoned = errors.New("ledgerlog: the turn was abandoned")
	// ErrIncomplete reports that the log has dropped records of which no copy was found, so that
	// turns and charges may be missing. It wraps ErrUnavailable. Its text is sent to other nodes.
	ErrIncomplete = fmt.Errorf("%w: records were dropped of which there is no copy", ErrUnavailable)
)

// BudgetExhaustedError reports that the budget has no room for another turn. Its text is sent
// to other nodes.
type BudgetExhaustedError struct {
	// Charged is the amount charged to the budget, in tokens.
	Charged uint64
	// Detail says what is charged, for operators.
	Detail string
}

// Error implements error.
func (e *BudgetExhaustedError) Error() string {
	if e.Detail != "" {
		return "ledgerlog: budget spent: " + e.Detail
	}
	return fmt.Sprintf("ledgerlog: budget spent, %d tokens are charged", e.Charged)
}

// settleInterval is the time between two searches for idle credits.
const settleInterval = 500 * time.Millisecond

// Availability reports when the store may be called. Reads do not need to wait: the store fails
// those that may not go out at once.
type Availability interface {
	// Await returns once an append to a partition may go out, or an error when ctx ends.
	Await(ctx context.Context, place logstore.Partition) error
	// Available reports whether calls on a partition are answered, as far as known.
	Available(place logstore.Partition) bool
	// Recovered returns a channel that is closed once the store, or a part of it, has
	// recovered. A nil channel never reports a recovery.
	Recovered() <-chan struct{}
}

// alwaysAvailable is the Availability of a store without a circuit breaker.
type alwaysAvailable struct{}

func (alwaysAvailable) Await(context.Context, logstore.Partition) error { return nil }
func (alwaysAvailable) Available(logstore.Partition) bool               { return true }
func (alwaysAvailable) Recovered() <-chan struct{}                      { return nil }

// Config configures a Ledger. All fields but ArchiveTopic, IndexTextBytes, Availability and
// Registerer are required.
type Config struct {
	Store logstore.Store
	// Topic is the topic of charges and the index, TextTopic that of texts.
	Topic, TextTopic string
	// ArchiveTopic is the keyed topic with a copy of what outlives the log's records; empty if
	// there is none.
	ArchiveTopic string
	// Partitions is the number of partitions of either topic.
	Partitions int
	// Producer is unique to this incarnation of the process and serves as its IncarnationID.
	Producer string
	// RecordBytes and CallBytes bound one record and one append.
	RecordBytes, CallBytes int
	// Retain is how long the store keeps records; 0 if that is not known.
	Retain time.Duration
	// IndexTextBytes bounds the bytes of texts that a node reads when it takes a partition
	// over; 0 keeps all texts out of the index.
	IndexTextBytes int
	// CacheBytes bounds the cache of texts in memory.
	CacheBytes int
	// Availability is that of Store; nil never delays a call.
	Availability Availability
	Logger       *slog.Logger
	Registerer   prometheus.Registerer
}

// Ledger reserves and settles budgets and persists turns. It is safe for concurrent use.
type Ledger struct {
	config     Config
	partitions []*partition
	texts      *textStore
	// archivers has an archiver for each partition; it is empty without an archive.
	archivers []*archiver
}

// partition is one partition of the ledger's topic.
type partition struct {
	appender      *appender
	reader        *reader
	creditManager *creditManager
	// copies writes the copies of texts that the archiver may not read; nil without an archive.
	copies *appender

	// mutex guards lazy, the submissions that go with the next append, and timer.
	mutex sync.Mutex
	lazy  []*submission
	timer *time.Timer
}

// New returns a ledger that has not read its partitions yet.
func New(config Config) *Ledger {
	if config.Availability == nil {
		config.Availability = alwaysAvailable{}
	}
	counters := newMetrics(config.Registerer)
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	callPacer, window, retransmits := &pacer{}, &readWindow{}, &retransmission{}
	created := &Ledger{config: config, texts: newTextStore(config, counters, callPacer, retransmits)}
	limits := config.textLimits()
	for number := range config.Partitions {
		place := logstore.Partition{Topic: config.Topic, Number: number}
		reads := &reader{
			store: config.Store, partition: place, metrics: counters, window: window,
			clock: clock, state: ledger.NewPartition(), verdicts: map[ledger.AttemptID]*ledger.Verdict{},
			logger: config.Logger, onText: created.texts.cacheText, largestText: limits.TextBytes,
		}
		reads.state.SetTextLimits(limits)
		reads.state.SetLongestRest(reads.rest)
		added := &partition{
			reader: reads,
			appender: &appender{
				store: config.Store, availability: config.Availability, partition: place, producer: config.Producer, callBytes: config.CallBytes,
				logger: config.Logger, metrics: counters, pacer: callPacer, retransmission: retransmits,
				onWritten: reads.applyWritten, epoch: 1,
			},
		}
		added.creditManager = &creditManager{
			partition: added, availability: config.Availability, incarnation: ledger.IncarnationID(config.Producer), members: unknownMembers{}, clock: clock,
			statementInterval: config.Retain / 4,
			credits:           map[ledger.ProgramID]*creditEntry{}, abandoned: map[ledger.GrantID]time.Duration{},
		}
		created.partitions = append(created.partitions, added)
		if config.ArchiveTopic != "" {
			reads.archive = &archive{store: config.Store, partition: logstore.Partition{Topic: config.ArchiveTopic, Number: number}}
			added.copies = &appender{
				store: config.Store, availability: config.Availability, partition: reads.archive.partition, producer: config.Producer, callBytes: config.CallBytes,
				logger: config.Logger, metrics: counters, pacer: callPacer, retransmission: retransmits, epoch: 1,
			}
			created.archivers = append(created.archivers, newArchiver(created, number))
		}
	}
	created.texts.archives = created.archiveOrder
	return created
}

// Members reports which incarnations of nodes are alive.
type Members interface {
	// IsAlive reports whether an incarnation is known to be alive.
	IsAlive(incarnation ledger.IncarnationID) bool
	// MayBeAlive reports whether an incarnation may be alive, as far as known.
	MayBeAlive(incarnation ledger.IncarnationID) bool
	// IsReachable reports whether an incarnation is known to be alive and has not failed to
	// respond recently.
	IsReachable(incarnation ledger.IncarnationID) bool
}

// unknownMembers is used until SetMembers is called.
type unknownMembers struct{}

func (unknownMembers) IsAlive(ledger.IncarnationID) bool     { return false }
func (unknownMembers) MayBeAlive(ledger.IncarnationID) bool  { return true }
func (unknownMembers) IsReachable(ledger.IncarnationID) bool { return true }

// SetMembers sets the source of members. It must be called at most once, before the first turn.
// Without it other nodes may be alive, but none is given time to release its ownership.
func (l *Ledger) SetMembers(members Members) {
	for _, p := range l.partitions {
		p.creditManager.members = members
	}
}

// SetLongestRest sets the source of how long a program may rest between two turns, at most. It must be
// called at most once, before the first turn. Without it programs do not rest.
func (l *Ledger) SetLongestRest(longest func() time.Duration) {
	for _, p := range l.partitions {
		p.reader.setLongestRest(longest)
	}
}

func (l *Ledger) partitionOf(program ledger.ProgramID) *partition {
	return l.partitions[l.Partition(program)]
}

// TurnRequest asks for the tokens of one turn.
type TurnRequest struct {
	Program ledger.ProgramID
	// ID is chosen by the caller, so that it can finish the turn even if the response is lost.
	ID ledger.GrantID
	// Budget is the program's budget and MaxTurnTokens the upper bound of this turn, in tokens.
	Budget, MaxTurnTokens uint32
	// Coordinator is set if this node should own the program's partition. Substitute is set if
	// it does so in place of a live node that may return soon.
	Coordinator, Substitute bool
	// Repeated is set if another node was asked to begin the same turn and may have done so.
	Repeated bool
}

// NewGrantID returns a random id.
func NewGrantID() ledger.GrantID { return ledger.GrantID(rand.Uint64()) }

// BeginTurn begins a turn. Errors: a *BudgetExhaustedError, or one that wraps ErrUnavailable,
// ErrBudgetReserved or ErrAbandoned.
func (l *Ledger) BeginTurn(ctx context.Context, request TurnRequest) (Grant, error) {
	creditManager := l.partitionOf(request.Program).creditManager
	if request.Coordinator {
		creditManager.claim(request.Substitute)
	}
	return creditManager.begin(ctx, request)
}

// CatchUp reads a partition to its end, as far as possible until ctx ends.
func (l *Ledger) CatchUp(ctx context.Context, partition int) {
	// A failed read is repeated by the next caller that needs the partition.
	_ = l.partitions[partition].reader.readToEnd(ctx)
}

// FinishTurn ends a turn that used tokens. A turn that has not begun yet is prevented from
// beginning.
func (l *Ledger) FinishTurn(program ledger.ProgramID, grant ledger.GrantID, used uint32) {
	l.partitionOf(program).creditManager.finish(program, grant, used)
}

// Partition returns the number of a program's partition.
func (l *Ledger) Partition(program ledger.ProgramID) int {
	return int(xxhash.Sum64String(string(program)) % uint64(len(l.partitions)))
}

// Run calls SettleIdle at regular intervals, and writes the archives of the partitions that this
// node coordinates, until ctx ends.
func (l *Ledger) Run(ctx context.Context, coordinates func(partition int) bool) {
	var archiving sync.WaitGroup
	defer archiving.Wait()
	archiving.Go(func() { l.runArchivers(ctx, coordinates) })
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.SettleIdle(coordinates)
		case <-ctx.Done():
			return
		}
	}
}

// SettleIdle settles idle credits and gives up the partitions that this node does not
// coordinate according to coordinates.
func (l *Ledger) SettleIdle(coordinates func(partition int) bool) {
	for number, p := range l.partitions {
		p.creditManager.settleIdle(coordinates(number))
	}
}

// submitNow writes adjacent records at once, together with the lazy submissions.
func (p *partition) submitNow(records ...[]byte) *submission {
	p.flush()
	return p.appender.submit(context.Background(), records)
}

// submitLater writes adjacent records with the next call, or after lazySubmitDelay.
func (p *partition) submitLater(records ...[]byte) *submission {
	return p.enqueueLater(newSubmission(context.Background(), records))
}

// submitRepeatedly is submitLater for records that may be written twice. They are submitted until
// they are written.
func (p *partition) submitRepeatedly(records ...[]byte) {
	waiting := newSubmission(context.Background(), records)
	waiting.idempotent = true
	p.enqueueLater(waiting)
}

func (p *partition) enqueueLater(waiting *submission) *submission {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lazy = append(p.lazy, waiting)
	if p.timer == nil {
		p.timer = time.AfterFunc(lazySubmitDelay, func() { p.flush() })
	}
	return waiting
}

// flush writes the lazy submissions and then the given ones, in one call as far as they fit.
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

// Stop settles all credits without an open turn, gives up ownerships, waits until everything
// is written and brings the archives up to date. It returns ctx's error if ctx ends first.
func (l *Ledger) Stop(ctx context.Context) error {
	const pause = 10 * time.Millisecond
	for !l.tryStop() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("ledgerlog: stop: %w", ctx.Err())
		case <-time.After(pause):
		}
	}
	// What can't be archived in time is still in the log.
	l.writeArchives(ctx, func(one *archiver) bool { return one.loaded() })
	return nil
}

// tryStop writes what can be written now and reports whether nothing is left.
func (l *Ledger) tryStop() bool {
	all := true
	for _, p := range l.partitions {
		p.creditManager.settleIdle(false)
		p.flush()
		all = all && p.creditManager.allDecided() && p.appender.idle()
	}
	return all
}
