package routednode

import (
	"context"
	"time"

	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/guardedstore"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/watch"
)

const (
	// readerInterval limits the pause between reads of a topic, and the wait of each read,
	// at a reader that serves peers. Their topics are older by as much.
	readerInterval = 250 * time.Millisecond
	// retryFraction is the fraction of the store's read calls that all nodes together may
	// spend on retries.
	retryFraction = 0.1
	// baseMaxPause is the maximum pause after a failed read on a small site.
	// probingMaxPause is the maximum while the circuit breaker lets only probes through,
	// which then limit the reads.
	baseMaxPause    = 300 * time.Millisecond
	probingMaxPause = 100 * time.Millisecond
)

// topicWatchers builds the watchers of the store's topics.
type topicWatchers struct {
	views *views
	store *guardedstore.Store
	cfg   settings.Routed
	// topics decides whether this node reads the store; nil if the node runs without
	// others.
	topics *distribution.Service
	// members returns the number of known nodes, including this one.
	members  func() int
	frequent *frequentReader
}

// configurations returns the watcher of the operator topic.
func (f *topicWatchers) configurations() *watch.Watcher {
	return watch.New(watch.Config{
		Name: "configuration", Store: f.store, Partition: f.views.adapter.Configuration,
		Pause: func() time.Duration { return 0 }, Wait: f.configurationWait,
		OnSnapshot: f.views.replaceOperatorRecords, Keep: f.views.relevantRecords,
		OnChanges: func(from logstore.Offset, items []logstore.Item, next logstore.Offset) {
			f.views.applyOperatorRecords(from, items, next, "store")
		},
		OnRecovered: func() {}, OnConfirmed: f.views.confirmOperators, Logger: f.views.logger,
		Await: f.await(configurationTopic, f.views.adapter.Configuration), Position: f.views.operators.Position, LongestPause: f.maxPause(f.views.adapter.Configuration),
	})
}

// replicas returns the watcher of the replica entries.
func (f *topicWatchers) replicas() *watch.Watcher {
	return watch.New(watch.Config{
		Name: "replicas", Store: f.store, Partition: f.views.adapter.Replicas,
		Pause: f.replicaPause, Wait: f.replicaWait,
		OnSnapshot: f.views.replaceEntries, Keep: f.views.readableEntries, OnChanges: f.views.applyEntries,
		OnRecovered: func() { f.views.fleet.StoreRecovered(f.views.router.Now()) },
		OnConfirmed: f.views.replicas.Confirm, Logger: f.views.logger,
		Await: f.await(replicasTopic, f.views.adapter.Replicas), Position: f.views.replicas.Position, LongestPause: f.maxPause(f.views.adapter.Replicas),
	})
}

// await returns a function that blocks until this node is to read a topic and the store may
// be called.
func (f *topicWatchers) await(topic int, partition logstore.Partition) func(context.Context) error {
	return func(ctx context.Context) error {
		if f.topics != nil {
			if err := f.topics.AwaitReader(ctx, topic); err != nil {
				return err
			}
		}
		return f.store.Await(ctx, partition)
	}
}

func (f *topicWatchers) servesPeers() bool { return f.topics != nil && f.topics.ServesPeers() }

func (f *topicWatchers) configurationWait() time.Duration {
	wait := f.frequent.wait(f.cfg)
	if f.servesPeers() {
		wait = min(wait, readerInterval)
	}
	return wait
}

func (f *topicWatchers) replicaWait() time.Duration {
	if f.servesPeers() {
		return min(f.cfg.Watch.Wait, readerInterval)
	}
	return f.cfg.Watch.Wait
}

func (f *topicWatchers) replicaPause() time.Duration {
	if f.servesPeers() {
		return min(f.cfg.Watch.ReplicasInterval, readerInterval)
	}
	return f.cfg.Watch.ReplicasInterval
}

// maxPause returns the maximum pause after failed reads of a partition. It keeps the retries
// of all nodes within retryFraction of the store's read capacity.
func (f *topicWatchers) maxPause(partition logstore.Partition) func() time.Duration {
	return func() time.Duration {
		allowed := f.cfg.Store.ReadsPerSecond * retryFraction
		switch {
		case !f.store.Available(partition):
			return probingMaxPause
		case allowed <= 0:
			return baseMaxPause
		}
		return max(baseMaxPause, time.Duration(float64(f.members())/allowed*float64(time.Second)))
	}
}
