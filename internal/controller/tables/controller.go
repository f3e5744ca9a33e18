// Package tables puts the operators' table in force on this node: it reads the
// table stream of the log, exchanges versions with peers, writes
// blackboard.Board.Table, and publishes new versions for operators.
//
// Invariants:
//   - A version is in force only if it was accepted in the log: this node read it
//     there, or received it from a peer that did.
//   - The version in force never decreases within a process. A new process puts
//     nothing in force before it has read the stream to its end or, if the log is
//     unavailable for logStartTimeout, has queried its peers. Therefore it does
//     not start with an older version than those it can reach.
//   - Publish returns an outcome only if the outcome is final. Otherwise it returns
//     an *OutcomeUnknownError.
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

// Config configures a Controller. Log, Peers, Board and Self are required; other
// zero values take their defaults.
type Config struct {
	Self  identity.NodeName
	Log   siteservices.Log
	Peers peer.Client
	Board *blackboard.Board
	// Logger receives the controller's log; nil discards it.
	Logger *slog.Logger
	// PollWait is how long one read of the stream waits for a record.
	PollWait time.Duration
	// PeerInterval is the time between two exchanges with peers.
	PeerInterval time.Duration
	// PublishTimeout bounds each Publish.
	PublishTimeout time.Duration
	// Random returns numbers in [0, 1) for jitter and the choice of peers.
	Random func() float64
}

// Defaults of Config.
const (
	DefaultPollWait       = 2 * time.Second
	DefaultPeerInterval   = 500 * time.Millisecond
	DefaultPublishTimeout = 15 * time.Second
)

const (
	// logStartTimeout is how long a new node waits for the log before it puts a
	// version in force that it only received from peers.
	logStartTimeout = 2 * time.Second
	// responseMargin is the time for a response in addition to the wait of a long
	// poll.
	responseMargin = 2 * time.Second
	// readLimit is the maximum number of records per read.
	readLimit = 256
	// minRetryPause and maxRetryPause bound the exponential backoff after a failed
	// read or append.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second
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

// Controller maintains the table of one node. It is safe for concurrent use.
type Controller struct {
	config  Config
	started time.Time
	// advanced wakes the exchange with peers when a version is to be passed on or
	// fetched.
	advanced chan struct{}

	// mutex guards all below, and every write of Board.Table.
	mutex    sync.Mutex
	versions *table.VersionLog
	// reachedEnd is true once a read has reached the end of the stream.
	reachedEnd bool
	// peersQueried is true once a peer has responded to a round of pulls after
	// logStartTimeout.
	peersQueried bool
	// ahead contains the peers that have applied more of the stream than this node.
	ahead map[identity.NodeName]bool
	// failure is why the stream currently cannot be read, or nil.
	failure error
}

// New returns a controller. Call Register and Run to start it.
func New(config Config) *Controller {
	return &Controller{
		config:   config.withDefaults(),
		started:  time.Now(),
		advanced: make(chan struct{}, 1),
		versions: table.NewVersionLog(),
		ahead:    map[identity.NodeName]bool{},
	}
}

// Run reads the stream, exchanges versions with peers and writes snapshots until
// ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.started = time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.readStream(ctx) })
	group.Go(func() error { return c.exchange(ctx) })
	group.Go(func() error { return c.writeSnapshots(ctx) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("tables: %w", err)
	}
	return nil
}

// State is the state of the table on this node.
type State struct {
	// InForce is the version in force on this node, 0 before the first.
	InForce table.Version
	// CSV is the newest accepted table as its author wrote it.
	CSV []byte
	// Known is the newest accepted version that this node has seen.
	Known table.Version
	// Next is the offset of the next record to read.
	Next siteservices.Offset
	// Failure is why the stream currently cannot be read, empty if it can.
	Failure string
}

// State returns the state of the table on this node.
func (c *Controller) State() State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := State{CSV: c.versions.CSV(), Known: c.versions.Version(), Next: c.versions.Next()}
	if current := c.config.Board.Table.Load(); current != nil {
		state.InForce = current.Version
	}
	if c.failure != nil {
		state.Failure = c.failure.Error()
	}
	return state
}

// History returns the most recent publications that this node has seen, oldest
// first.
func (c *Controller) History() []table.Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.versions.History()
}

// adopt replaces the version log by one received from a peer or read from a
// snapshot, if that one has applied more records.
func (c *Controller) adopt(received *table.VersionLog, from identity.NodeName) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.ahead, from)
	if received.Next() <= c.versions.Next() {
		return
	}
	c.config.Logger.Info("adopted table versions",
		"from", from, "version", received.Version(), "offset", received.Next())
	c.versions = received
	c.putInForce()
}

// putInForce puts the newest accepted version in force unless this node has neither
// read the stream to its end nor queried its peers. The caller holds mutex. There
// is no other writer of Board.Table.
func (c *Controller) putInForce() {
	newest := c.versions.Current()
	inForce := c.config.Board.Table.Load()
	if newest == nil || (inForce != nil && inForce.Version >= newest.Version) {
		return
	}
	if inForce == nil && !c.reachedEnd && !c.peersQueried {
		return
	}
	c.config.Board.Table.Store(newest)
	c.config.Logger.Info("table version in force", "version", newest.Version, "author", newest.Author, "id", newest.ID)
	c.wake()
}

// wake starts the next exchange with peers immediately.
func (c *Controller) wake() {
	select {
	case c.advanced <- struct{}{}:
	default:
	}
}

// pause sleeps between two attempts for at most longest, with jitter so that nodes
// do not retry in lockstep.
func (c *Controller) pause(ctx context.Context, longest time.Duration) {
	const fixedShare = 0.5
	share := fixedShare + (1-fixedShare)*c.config.Random()
	select {
	case <-time.After(time.Duration(float64(longest) * share)):
	case <-ctx.Done():
	}
}
