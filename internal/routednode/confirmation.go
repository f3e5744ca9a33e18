package routednode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/guardedstore"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// confirmingTimeout bounds a confirmation, and a read for it.
	confirmingTimeout = 700 * time.Millisecond
	// confirmationFraction is the fraction of the store's read calls that all nodes together may
	// spend on confirmations.
	confirmationFraction = 0.1
)

var (
	// errNoView means that this node has not loaded a topic yet.
	errNoView = errors.New("routednode: the topic is not loaded")
	// errOtherOffsets means that the store's offsets and those of the view do not fit, so that the view has
	// to be loaded anew.
	errOtherOffsets = errors.New("routednode: the store does not continue the view")
)

// viewConfirmer has the store confirm this node's views of the replicas and of the configuration. It is
// safe for concurrent use.
type viewConfirmer struct{ topics []*topicConfirmer }

// topicConfirmer has the store confirm one topic. One read serves all who asked before it was sent.
type topicConfirmer struct {
	topic     *sharedTopic
	partition logstore.Partition
	store     availableStore
	// apply applies the changes between two positions. confirm records that the store had nothing more at a time.
	apply   func(from logstore.Offset, items []logstore.Item, next logstore.Offset)
	confirm func(at time.Time)
	// interval returns the minimum time between two reads.
	interval func() time.Duration
	// done and failed count the reads.
	done, failed prometheus.Counter

	// mutex guards last, the last read; nil if there was none.
	mutex sync.Mutex
	last  *confirmingRead
}

// availableStore is a store that tells whether calls on a partition are answered, as far as known.
type availableStore interface {
	logstore.Store
	Available(place logstore.Partition) bool
}

// confirmingRead is one read. ended is closed once err is set.
type confirmingRead struct {
	sent  time.Time
	ended chan struct{}
	err   error
}

// newViewConfirmer returns the confirmer of v. readsPerSecond is the store's capacity for all nodes, 0 if
// not known; members returns their number.
func newViewConfirmer(v *views, store availableStore, readsPerSecond float64, members func() int, registerer prometheus.Registerer) *viewConfirmer {
	reads := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "stepseam_view_confirming_reads_total", Help: "Reads of the store that confirm this node's view of the versions for streams without a record, by topic and outcome.",
	}, []string{"topic", "outcome"})
	if registerer != nil {
		registerer.MustRegister(reads)
	}
	topics := []*topicConfirmer{
		{
			topic: v.replicas, partition: v.adapter.Replicas, confirm: v.replicas.Confirm,
			apply: func(from logstore.Offset, items []logstore.Item, next logstore.Offset) {
				v.noteOutage() // entries may be missing since replicas could not renew them
				v.applyEntries(from, items, next)
			},
		},
		{
			topic: v.operators, partition: v.adapter.Configuration, confirm: v.confirmOperators,
			apply: func(from logstore.Offset, items []logstore.Item, next logstore.Offset) {
				v.applyOperatorRecords(from, items, next, "store")
			},
		},
	}
	interval := func() time.Duration {
		if readsPerSecond <= 0 {
			return 0
		}
		return time.Duration(float64(members()*len(topics)) / (readsPerSecond * confirmationFraction) * float64(time.Second))
	}
	for _, one := range topics {
		one.store, one.interval = store, interval
		one.done, one.failed = reads.WithLabelValues(one.topic.Name(), "done"), reads.WithLabelValues(one.topic.Name(), "failed")
	}
	return &viewConfirmer{topics: topics}
}

// Confirm implements origin.Confirm.
func (c *viewConfirmer) Confirm(ctx context.Context, since time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, confirmingTimeout)
	defer cancel()
	results := make(chan error, len(c.topics))
	for _, one := range c.topics {
		go func() { results <- one.confirmSince(ctx, since) }()
	}
	var failures []error
	for range c.topics {
		failures = append(failures, <-results)
	}
	return errors.Join(failures...)
}

// confirmSince returns nil once the topic was confirmed after since.
func (c *topicConfirmer) confirmSince(ctx context.Context, since time.Time) error {
	for c.topic.Confirmed().Before(since) {
		read, pause := c.read()
		if read == nil {
			if err := wait.For(ctx, pause); err != nil {
				return fmt.Errorf("routednode: confirm %s: %w", c.topic.Name(), err)
			}
			continue
		}
		select {
		case <-read.ended:
		case <-ctx.Done():
			return fmt.Errorf("routednode: confirm %s: %w", c.topic.Name(), ctx.Err())
		}
		if read.err != nil && !read.sent.Before(since) {
			return read.err
		}
	}
	return nil
}

// read returns the read that is under way, or a new one; if it is too early for one, it returns for how
// long.
func (c *topicConfirmer) read() (*confirmingRead, time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if c.last != nil {
		select {
		case <-c.last.ended:
		default:
			return c.last, 0
		}
		if pause := c.last.sent.Add(c.interval()).Sub(now); pause > 0 {
			return nil, pause
		}
	}
	made := &confirmingRead{sent: now, ended: make(chan struct{})}
	c.last = made
	go func() {
		defer close(made.ended)
		// Others wait for the read, whoever began it.
		ctx, cancel := context.WithTimeout(context.Background(), confirmingTimeout)
		defer cancel()
		if made.err = c.readToEnd(ctx); made.err != nil {
			c.failed.Inc()
			return
		}
		c.confirm(made.sent)
		c.done.Inc()
	}()
	return made, 0
}

// readToEnd applies the changes up to the end that the store names first.
func (c *topicConfirmer) readToEnd(ctx context.Context) error {
	if !c.store.Available(c.partition) {
		return fmt.Errorf("routednode: confirm %s: %w", c.topic.Name(), guardedstore.ErrCircuitOpen)
	}
	from, known := c.topic.Position()
	if !known {
		return errNoView
	}
	for first, end := true, logstore.Offset(0); ; first = false {
		changed, err := c.store.Changes(ctx, logstore.ReadRequest{Partition: c.partition, From: from})
		switch {
		case err != nil:
			return fmt.Errorf("routednode: confirm %s: %w", c.topic.Name(), err)
		case changed.Next < from || changed.Next == from && changed.End > from:
			return errOtherOffsets
		case first:
			end = changed.End
		}
		if len(changed.Items) > 0 {
			c.apply(from, changed.Items, changed.Next)
		}
		if from = changed.Next; from >= end {
			break
		}
	}
	if position, _ := c.topic.Position(); position < from {
		return errOtherOffsets
	}
	return nil
}
