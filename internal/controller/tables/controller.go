// Package tables keeps the operators' table in force on this node: it follows
// the table stream of the log, exchanges what it read with peers, writes
// blackboard.Board.Table, and publishes new versions for operators.
//
// Invariants:
//   - A version is in force here only if it was accepted in the log: this node
//     read it there, or a peer that read it there handed it on.
//   - The version in force only rises within a process. A fresh process puts
//     nothing in force before it has read the stream to its end or, where the log
//     stays out of reach for logPatience, has asked its peers; so it does not
//     start below what it could have learned.
//   - Publish tells an outcome only if it cannot turn out otherwise. What is not
//     certain is an *UnknownError.
package tables

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// Config holds what a Controller works with. Log, Peers, Board and Self must be
// set; the zero values of the rest stand for their defaults.
type Config struct {
	Self  identity.NodeName
	Log   siteservices.Log
	Peers peer.Client
	Board *blackboard.Board
	// Logger takes the controller's lines; nil drops them.
	Logger *slog.Logger
	// PollWait is how long one read of the stream waits for a record.
	PollWait time.Duration
	// PeerInterval is the time between two looks for peers that are ahead.
	PeerInterval time.Duration
	// PublishTimeout bounds one Publish.
	PublishTimeout time.Duration
	// Random draws from 0 to 1, for jitter and the choice of peers.
	Random func() float64
}

// Defaults of Config.
const (
	DefaultPollWait       = 2 * time.Second
	DefaultPeerInterval   = 500 * time.Millisecond
	DefaultPublishTimeout = 15 * time.Second
)

const (
	// logPatience is how long a fresh node waits for the log before it takes the
	// word of its peers alone.
	logPatience = 2 * time.Second
	// answerGrace is how long an answer may take beyond what it was asked to wait.
	answerGrace = 2 * time.Second
	// readLimit is the number of records of one read.
	readLimit = 256
	// retryFirst and retryLast bound the pause after a failed read or append; it
	// doubles from one to the other.
	retryFirst = 100 * time.Millisecond
	retryLast  = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.PollWait == 0 {
		c.PollWait = DefaultPollWait
	}
	if c.PeerInterval == 0 {
		c.PeerInterval = DefaultPeerInterval
	}
	if c.PublishTimeout == 0 {
		c.PublishTimeout = DefaultPublishTimeout
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return c
}

// Controller keeps the table of one node. It is safe for concurrent use.
type Controller struct {
	config  Config
	started time.Time
	// advanced wakes the exchange with peers when there is news to pass on or to fetch.
	advanced chan struct{}

	// mutex guards all below, and every write of Board.Table.
	mutex  sync.Mutex
	ledger *table.VersionLog
	// reachedEnd is true once a read of the stream came to its end.
	reachedEnd bool
	// peersAsked is true once a round among peers was answered after logPatience.
	peersAsked bool
	// ahead names peers that told of a longer stream than this node has folded.
	ahead map[identity.NodeName]bool
	// failure is why the stream cannot be followed at the moment, or nil.
	failure error
}

// New returns a controller. Register and Run make it work.
func New(config Config) *Controller {
	return &Controller{
		config:   config.withDefaults(),
		started:  time.Now(),
		advanced: make(chan struct{}, 1),
		ledger:   table.NewVersionLog(),
		ahead:    map[identity.NodeName]bool{},
	}
}

// Run follows the stream and exchanges with peers until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.started = time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.follow(ctx) })
	group.Go(func() error { return c.exchange(ctx) })
	group.Go(func() error { return c.summarize(ctx) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("tables: %w", err)
	}
	return nil
}

// State is what this node knows of the table, for operators.
type State struct {
	// InForce is the version in force here, 0 before the first.
	InForce table.Version
	// CSV is the newest accepted table as its author wrote it.
	CSV []byte
	// Known is the newest accepted version that this node knows of.
	Known table.Version
	// Next is the offset that the node reads on from.
	Next siteservices.Offset
	// Failure is why the stream cannot be followed at the moment; empty if it can.
	Failure string
}

// State returns what this node knows of the table.
func (c *Controller) State() State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := State{CSV: c.ledger.CSV(), Known: c.ledger.Version(), Next: c.ledger.Next()}
	if current := c.config.Board.Table.Load(); current != nil {
		state.InForce = current.Version
	}
	if c.failure != nil {
		state.Failure = c.failure.Error()
	}
	return state
}

// History returns the last publications that this node knows of, oldest first.
func (c *Controller) History() []table.Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.History()
}

// takeOver replaces the ledger by one of a peer, or of a summary that this node
// read, if that one has folded more.
func (c *Controller) takeOver(handed *table.VersionLog, from identity.NodeName) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.ahead, from)
	if handed.Next() <= c.ledger.Next() {
		return
	}
	c.config.Logger.Info("table taken over",
		"from", from, "version", handed.Version(), "offset", handed.Next())
	c.ledger = handed
	c.enforce()
}

// enforce puts the ledger's version in force if that may be done. The caller
// holds mutex; there is no other writer of Board.Table.
func (c *Controller) enforce() {
	newest := c.ledger.Current()
	inForce := c.config.Board.Table.Load()
	if newest == nil || (inForce != nil && inForce.Version >= newest.Version) {
		return
	}
	if inForce == nil && !c.reachedEnd && !c.peersAsked {
		return
	}
	c.config.Board.Table.Store(newest)
	c.config.Logger.Info("table in force", "version", newest.Version, "author", newest.Author, "id", newest.ID)
	c.wake()
}

// wake lets the exchange with peers run now.
func (c *Controller) wake() {
	select {
	case c.advanced <- struct{}{}:
	default:
	}
}

// pause waits between two tries, shorter by chance so that nodes do not try in step.
func (c *Controller) pause(ctx context.Context, longest time.Duration) {
	const fixedShare = 0.5
	share := fixedShare + (1-fixedShare)*c.config.Random()
	select {
	case <-time.After(time.Duration(float64(longest) * share)):
	case <-ctx.Done():
	}
}
