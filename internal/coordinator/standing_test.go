package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/membership"
)

// TestStandingIsAwayAtOnceAndBackAfterAWhile: an answer between refusals does not bring it back.
func TestStandingIsAwayAtOnceAndBackAfterAWhile(t *testing.T) {
	is := is.New(t)
	var seen standing
	is.True(!seen.observe(true, 0))
	is.True(seen.observe(false, time.Second))
	is.True(seen.away)
	is.True(StoreUnreachable(membership.Member{TableVersion: seen.changes}))
	for i := range 10 { // half a second with the store, half without
		at := time.Second + time.Duration(i)*returnAfter/2
		is.True(!seen.observe(i%2 == 0, at))
	}
	back := time.Second + 5*returnAfter
	is.True(!seen.observe(true, back))
	is.True(!seen.observe(true, back+returnAfter-1))
	is.True(seen.observe(true, back+returnAfter))
	is.True(!seen.away)
	is.True(!StoreUnreachable(membership.Member{TableVersion: seen.changes}))
	is.Equal(seen.changes, uint64(2))
}

// TestFlappingStoreHoldsANodeAwayForLonger, and no longer once it has answered for a while.
func TestFlappingStoreHoldsANodeAwayForLonger(t *testing.T) {
	is := is.New(t)
	var seen standing
	now := time.Minute
	awayFor := func() time.Duration {
		is.True(seen.observe(false, now))
		began := now
		for !seen.observe(true, now) {
			now += standingPause
		}
		return now - began
	}
	for _, want := range []time.Duration{1, 2, 4, 4} {
		is.Equal(awayFor(), want*returnAfter)
		now += time.Second
	}
	now += flapWithin
	is.Equal(awayFor(), returnAfter)
}

// TestNodeTellsOthersOfTheStoreAndAsksItUntilItAnswers: nobody gives it work there meanwhile.
func TestNodeTellsOthersOfTheStoreAndAsksItUntilItAnswers(t *testing.T) {
	is := is.New(t)
	nodes := startClusterThat(t, 3, true)
	one := nodes[0]
	told := make(chan uint64, 10)
	one.service.config.Announce = func(changes uint64, everybody bool) {
		if !everybody { // one of three nodes is among the first three for each partition
			changes += 100
		}
		told <- changes
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
	is.Equal(<-told, uint64(1))
	is.True(one.service.away.Load())
	is.True(one.service.keepsCredits(0)) // it could give none back
	time.Sleep(2 * candidateProbePause)
	is.True(one.store.asked.Load() > 0)
	one.store.closed.Store(false)
	opened := time.Now()
	is.Equal(<-told, uint64(2))
	is.True(time.Since(opened) >= returnAfter)
	is.True(!one.service.away.Load())
}

// TestProbesGoToEachPartitionInTurn: one that is away alone does not keep a node from its work.
func TestProbesGoToEachPartitionInTurn(t *testing.T) {
	is := is.New(t)
	var places []int
	for probe := range 4 {
		places = append(places, probePlace([]int{2, 5, 7}, probe))
	}
	is.Equal(places, []int{2, 5, 7, 2})
	is.Equal(probePlace(nil, 3), 0)
}
