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
	// ErrNoSuchTurn tells that the log holds no such turn, for certain.
	ErrNoSuchTurn = errors.New("ledgerlog: no such turn")
)

// SpentError tells that the budget does not hold one more attempt.
type SpentError struct {
	// Charged is what stands against the budget, in tokens.
	Charged uint64
}

// Error gives the charges.
func (e *SpentError) Error() string {
	return fmt.Sprintf("ledgerlog: budget spent, %d tokens are charged", e.Charged)
}

// settlePause is how long a settlement may wait for another record to go with.
const settlePause = 300 * time.Millisecond

// Config is what a Ledger is made from. All fields but Registerer are required.
type Config struct {
	Store logstore.Store
	// Topic holds charges and the index of turns, TextTopic their texts.
	Topic, TextTopic string
	// Partitions is the number of partitions of either topic.
	Partitions int
	// Producer is unique to this life of the process.
	Producer string
	// RecordBytes and CallBytes bound one record and one append.
	RecordBytes, CallBytes int
	// CacheBytes bounds the texts of turns in memory.
	CacheBytes int
	Logger     *slog.Logger
	Registerer prometheus.Registerer
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

	// mutex guards lazy and timer: records that go with the next append.
	mutex sync.Mutex
	lazy  [][]byte
	timer *time.Timer
}

// New returns a ledger that has read nothing yet.
func New(config Config) *Ledger {
	counted := newMetrics(config.Registerer)
	began := time.Now()
	built := &Ledger{config: config, texts: newTextStore(config, counted)}
	for number := range config.Partitions {
		place := logstore.Partition{Topic: config.Topic, Number: number}
		reads := &follower{
			store: config.Store, partition: place, metrics: counted,
			clock: func() time.Duration { return time.Since(began) },
			state: ledger.NewPartition(), verdicts: map[ledger.AttemptID]*ledger.Verdict{},
		}
		built.partitions = append(built.partitions, &partition{
			follower: reads,
			appender: &appender{
				store: config.Store, partition: place, producer: config.Producer, callBytes: config.CallBytes,
				logger: config.Logger, metrics: counted, written: reads.applyOwn, epoch: 1,
			},
		})
	}
	return built
}

func (l *Ledger) of(program ledger.ProgramID) *partition {
	return l.partitions[xxhash.Sum64String(string(program))%uint64(len(l.partitions))]
}

// Reservation is a granted attempt. It stays charged in full until it is settled.
type Reservation struct {
	partition *partition
	program   ledger.ProgramID
	attempt   ledger.AttemptID
	// Charged is what stood against the budget before, in tokens.
	Charged uint64
}

// Reserve charges most tokens to a program, if its budget holds them. Errors: a
// *SpentError, or one that wraps ErrUnavailable.
func (l *Ledger) Reserve(ctx context.Context, program ledger.ProgramID, budget, most uint32) (*Reservation, error) {
	p := l.of(program)
	reservation := &Reservation{partition: p, program: program, attempt: ledger.AttemptID(rand.Uint64())}
	record := ledger.Encode(ledger.Reserve{Program: program, Attempt: reservation.attempt, Budget: budget, Most: most})
	release := func() { reservation.Settle(0) }

	p.follower.expect(reservation.attempt)
	offset, err := p.append(ctx, [][]byte{record}, release)
	if err != nil {
		p.follower.verdict(reservation.attempt)
		return nil, fmt.Errorf("%w: reserve: %w", ErrUnavailable, err)
	}
	err = p.follower.readTo(ctx, offset)
	verdict, known := p.follower.verdict(reservation.attempt)
	if err != nil || !known {
		release()
		return nil, fmt.Errorf("%w: read reservation: %w", ErrUnavailable, err)
	}
	if !verdict.Granted {
		return nil, &SpentError{Charged: verdict.Charged}
	}
	reservation.Charged = verdict.Charged
	return reservation, nil
}

// Settle replaces the reservation by the tokens that were handed out. The record
// is written in the background.
func (r *Reservation) Settle(used uint32) {
	r.partition.appendLater(ledger.Encode(ledger.Settle{Program: r.program, Attempt: r.attempt, Used: used}))
}

// append writes records, and with them what waits for a call to go with.
func (p *partition) append(ctx context.Context, records [][]byte, late func()) (logstore.Offset, error) {
	p.flush()
	return p.appender.append(ctx, records, late)
}

func (p *partition) appendLater(record []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lazy = append(p.lazy, record)
	if p.timer == nil {
		p.timer = time.AfterFunc(settlePause, p.flush)
	}
}

func (p *partition) flush() {
	p.mutex.Lock()
	records := p.lazy
	p.lazy = nil
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	p.mutex.Unlock()
	if len(records) > 0 {
		p.appender.submit(context.Background(), records, nil)
	}
}

// Flush writes all settlements that wait. It returns ctx's error if they are not
// written by its end.
func (l *Ledger) Flush(ctx context.Context) error {
	const pause = 10 * time.Millisecond
	for _, p := range l.partitions {
		p.flush()
	}
	for _, p := range l.partitions {
		for !p.appender.idle() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("ledgerlog: flush: %w", ctx.Err())
			case <-time.After(pause):
			}
		}
	}
	return nil
}
