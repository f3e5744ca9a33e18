package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/membership"
)

// TestStoreStatusRecoversAfterDelay checks that single answers between refusals do not count as
// recovery.
func TestStoreStatusRecoversAfterDelay(t *testing.T) {
	is := is.New(t)
	var seen storeStatus
	is.True(!seen.observe(true, 0))
	is.True(seen.observe(false, time.Second))
	is.True(seen.unavailable)
	is.True(StoreUnreachable(membership.Member{TableVersion: seen.changes}))
	for i := range 10 { // available and unavailable for half a second each
		at := time.Second + time.Duration(i)*recoveryDelay/2
		is.True(!seen.observe(i%2 == 0, at))
	}
	back := time.Second + 5*recoveryDelay
	is.True(!seen.observe(true, back))
	is.True(!seen.observe(true, back+recoveryDelay-1))
	is.True(seen.observe(true, back+recoveryDelay))
	is.True(!seen.unavailable)
	is.True(!StoreUnreachable(membership.Member{TableVersion: seen.changes}))
	is.Equal(seen.changes, uint64(2))
}

// TestFlappingStoreDelaysRecovery checks that the delay doubles, and returns to its initial
// value after a longer time without changes.
func TestFlappingStoreDelaysRecovery(t *testing.T) {
	is := is.New(t)
	var seen storeStatus
	now := time.Minute
	awayFor := func() time.Duration {
		is.True(seen.observe(false, now))
		began := now
		for !seen.observe(true, now) {
			now += statusPollInterval
		}
		return now - began
	}
	for _, want := range []time.Duration{1, 2, 4, 4} {
		is.Equal(awayFor(), want*recoveryDelay)
		now += time.Second
	}
	now += flapWindow
	is.Equal(awayFor(), recoveryDelay)
}

// TestNodeAnnouncesStoreStatusAndProbes checks that a node without other work for the store
// still detects the recovery.
func TestNodeAnnouncesStoreStatusAndProbes(t *testing.T) {
	is := is.New(t)
	nodes := startClusterWith(t, 3, true)
	one := nodes[0]
	announced := make(chan uint64, 10)
	one.service.config.Announce = func(changes uint64, everybody bool) {
		if !everybody { // with three nodes, each is among the first three candidates of every partition
			changes += 100
		}
		announced <- changes
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		one.service.watchStore(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	one.store.closed.Store(true)
	is.Equal(<-announced, uint64(1))
	is.True(one.service.unavailable.Load())
	is.True(one.service.retainsCredits(0)) // it can't return any
	time.Sleep(2 * candidateProbeInterval)
	is.True(one.store.reads.Load() > 0)
	one.store.closed.Store(false)
	opened := time.Now()
	is.Equal(<-announced, uint64(2))
	is.True(time.Since(opened) >= recoveryDelay)
	is.True(!one.service.unavailable.Load())
}

// TestProbesRotateOverPartitions checks that one unavailable partition does not hide the
// store's recovery.
func TestProbesRotateOverPartitions(t *testing.T) {
	is := is.New(t)
	var places []int
	for probe := range 4 {
		places = append(places, probePartition([]int{2, 5, 7}, probe))
	}
	is.Equal(places, []int{2, 5, 7, 2})
	is.Equal(probePartition(nil, 3), 0)
}
