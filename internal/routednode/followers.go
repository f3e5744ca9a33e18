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
	// readerPause is the time between two reads of a topic at a node that others hear from,
	// and how long such a read waits: what they know is older by as much.
	readerPause = 250 * time.Millisecond
	// retryPart is the part of the store's reading calls that all nodes together may spend
	// on reads that fail while it answers others.
	retryPart = 0.1
	// retryPause is the longest pause after a failed read, pacedPause the same while the
	// gate lets only probes out, which is what then bounds the reads.
	retryPause = 300 * time.Millisecond
	pacedPause = 100 * time.Millisecond
)

// following makes the followers of the store's topics.
type following struct {
	views  *views
	store  *guardedstore.Store
	chosen settings.Routed
	// topics tells whether this node reads the store; nil where there are no other nodes.
	topics *distribution.Service
	// members returns how many nodes are known.
	members func() int
	readers *readers
}

// configurations follows what operators write.
func (f *following) configurations() *watch.Watcher {
	return watch.New(watch.Config{
		Name: "configuration", Store: f.store, Partition: f.views.adapter.Configuration,
		Pause: func() time.Duration { return 0 }, Wait: f.configurationWait,
		OnSnapshot: f.views.replaceOperators,
		OnChanges: func(from logstore.Offset, items []logstore.Item, next logstore.Offset) {
			f.views.changeOperators(from, items, next, "store")
		},
		OnRecovered: func() {}, OnConfirmed: f.views.confirmOperators, Logger: f.views.logger,
		Await: f.await(configurationTopic, f.views.adapter.Configuration), Position: f.views.operators.Position, LongestPause: f.longestPause(f.views.adapter.Configuration),
	})
}

// replicas follows the replicas' entries.
func (f *following) replicas() *watch.Watcher {
	return watch.New(watch.Config{
		Name: "replicas", Store: f.store, Partition: f.views.adapter.Replicas,
		Pause: f.replicasPause, Wait: f.replicasWait,
		OnSnapshot: f.views.replaceEntries, OnChanges: f.views.changeEntries,
		OnRecovered: func() { f.views.fleet.StoreRecovered(f.views.router.Now()) },
		OnConfirmed: f.views.replicas.Confirm, Logger: f.views.logger,
		Await: f.await(replicasTopic, f.views.adapter.Replicas), Position: f.views.replicas.Position, LongestPause: f.longestPause(f.views.adapter.Replicas),
	})
}

// await waits until this node is to read a topic and the store may be called.
func (f *following) await(topic int, place logstore.Partition) func(context.Context) error {
	return func(ctx context.Context) error {
		if f.topics != nil {
			if err := f.topics.AwaitReader(ctx, topic); err != nil {
				return err
			}
		}
		return f.store.Await(ctx, place)
	}
}

func (f *following) distributes() bool { return f.topics != nil && f.topics.ServesPeers() }

func (f *following) configurationWait() time.Duration {
	wait := f.readers.wait(f.chosen)
	if f.distributes() {
		wait = min(wait, readerPause)
	}
	return wait
}

func (f *following) replicasWait() time.Duration {
	if f.distributes() {
		return min(f.chosen.Watch.Wait, readerPause)
	}
	return f.chosen.Watch.Wait
}

func (f *following) replicasPause() time.Duration {
	if f.distributes() {
		return min(f.chosen.Watch.ReplicasInterval, readerPause)
	}
	return f.chosen.Watch.ReplicasInterval
}

// longestPause keeps all nodes that read again after a failure within a part of what the
// store takes.
func (f *following) longestPause(place logstore.Partition) func() time.Duration {
	return func() time.Duration {
		allowed := f.chosen.Store.ReadsPerSecond * retryPart
		switch {
		case !f.store.Available(place):
			return pacedPause
		case allowed <= 0:
			return retryPause
		}
		return max(retryPause, time.Duration(float64(f.members())/allowed*float64(time.Second)))
	}
}
