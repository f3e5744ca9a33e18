package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/logstore"
)

// loseAll ends all nodes at the same time, and starts others after a while.
func (c *cluster) loseAllNodes() {
	for i := range c.count {
		c.stop(c.node(i))
	}
	time.Sleep(100 * time.Millisecond)
	for i := range c.count {
		c.start(i)
	}
	c.shareView()
}

// setAway makes the log unavailable, or available again.
func (c *cluster) setAway(away bool) {
	c.away.Store(away)
	if away {
		c.log.Fail(store.Fault{Busy: true})
	} else {
		c.log.Fail(store.Fault{Delay: appendTime})
	}
}

// stored returns the number of attempts that are stored.
func (c *cluster) stored(t *testing.T) int {
	page, err := c.log.Newest(t.Context(), logstore.NewestRequest{Partition: endsPartition})
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Items)
}

// sendUntilRefused sends a request again and again, for seconds, at all nodes. It returns how often it
// was sent.
func (c *cluster) sendUntilRefused(request *Request, from int) int {
	sent := 0
	for i := range 60 {
		node := c.node(i % c.count)
		if node.service.Check(request) == nil && node.attempt(request, c.replica(from+sent), false) {
			sent++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return sent
}

// What nodes knew of ends was lost with them.
func TestEndsOutliveTheLossOfAllNodes(t *testing.T) {
	for ends := range MaxEnded + 1 {
		for _, variant := range []struct{ under, identified bool }{{false, true}, {true, true}, {false, false}, {true, false}} {
			under := variant.under
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(9)
				defer c.close()
				request := requestOf("p", variant.identified)
				for i := range ends {
					is.True(c.node(i).attempt(request, c.replica(i), false))
				}
				total := ends
				if under && ends > 0 && ends < MaxEnded {
					// The nodes are lost while an attempt is under way that is registered.
					sender := c.node(5)
					go sender.attempt(request, c.replica(100), false)
					time.Sleep(30 * time.Millisecond)
					total++
				}
				c.loseAllNodes()
				total += c.sendUntilRefused(request, 200)
				is.Equal(total, MaxEnded)
				is.True(errors.Is(c.node(1).service.Check(request), ErrQuarantined))
				is.NoErr(c.node(1).service.Check(requestOf("q", true)))
			})
		}
	}
}

// Halves of the nodes were lost one after the other, and the first had started among itself.
func TestEndsOutliveTheLossOfBothHalves(t *testing.T) {
	for pause := range 10 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(9)
			defer c.close()
			request := requestOf("p", true)
			for i := range MaxEnded {
				is.True(c.node(i).attempt(request, c.replica(i), false))
			}
			for i := range 9 {
				c.stop(c.node(i))
				if i == 4 {
					time.Sleep(time.Duration(pause) * 60 * time.Millisecond)
					for started := range 5 {
						c.start(started)
					}
					c.shareView()
					time.Sleep(time.Duration(pause) * 30 * time.Millisecond)
				}
			}
			for i := 5; i < 9; i++ {
				c.start(i)
			}
			c.shareView()
			is.Equal(c.sendUntilRefused(request, 200), 0)
		})
	}
}

// A node that started alone, or reached only others that had just started too, took itself to know what
// others know.
func TestStartingNodeWaitsForStoredEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3)
		defer c.close()
		request := requestOf("p", true)
		for i := range MaxEnded {
			is.True(c.node(i).attempt(request, c.replica(i), false))
		}
		c.log.Fail(store.Fault{Busy: true})
		for i := range 3 {
			c.stop(c.node(i))
		}
		alone := c.start(0)
		alone.stale.Store(true) // the entries are not known without the store
		c.shareView()
		time.Sleep(10 * time.Second)
		is.True(!alone.service.Synced())
		is.True(errors.Is(alone.service.Check(request), ErrStarting))
		c.log.Fail(store.Fault{Delay: appendTime})
		alone.stale.Store(false)
		time.Sleep(time.Second)
		is.True(errors.Is(alone.service.Check(request), ErrQuarantined))
	})
}

// One partition of the store was away for long. Requests are served all the same.
func TestStartingNodeServesWhileOnlyTheEndsAreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3)
		defer c.close()
		c.log.Fail(store.Fault{Silent: true})
		c.loseAllNodes()
		time.Sleep(unreadableTime + 2*joinTimeout)
		for i := range 3 {
			is.True(c.node(i).service.Synced())
		}
		request := requestOf("p", true)
		for i := range MaxEnded - 1 {
			is.True(c.node(i).attempt(request, c.replica(i), false))
		}
		// The last attempt that is allowed waits until the others are stored.
		is.True(!c.node(0).attempt(request, c.replica(7), false))
		c.log.Fail(store.Fault{Delay: appendTime})
		time.Sleep(2 * time.Second)
		is.True(c.node(0).attempt(request, c.replica(8), false))
	})
}

// While nothing ends, nothing is stored and nobody is told.
func TestNothingIsStoredWhileNothingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(5)
		defer c.close()
		c.Reset()
		reads := c.log.Calls("newest")
		for i := range 50 {
			is.True(c.node(i%5).attempt(requestOf(fmt.Sprint(i), true), c.replica(i), true))
		}
		time.Sleep(10 * time.Second)
		calls, _ := c.Reset()
		is.Equal(calls, 0)
		is.Equal(c.log.Calls("append"), 0)
		is.Equal(c.log.Calls("newest"), reads)
		is.Equal(reads, 5) // one call of each node that starts
	})
}

// What is stored goes when it does not count any more.
func TestStoredEndsAreRemoved(t *testing.T) {
	for name, end := range map[string]func(c *cluster, request *Request){
		"expired": func(*cluster, *Request) { time.Sleep(2 * time.Minute) },
		"lifted":  func(c *cluster, request *Request) { c.node(3).service.Lift(request.Key) },
		"answered": func(c *cluster, request *Request) {
			registered, err := c.node(3).service.Begin(context.Background(), request, Send{Replica: c.replica(9)}, Attempt{})
			if err == nil {
				c.node(3).service.End(registered)
			}
			time.Sleep(2 * time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(5)
				defer c.close()
				request := requestOf("p", true)
				for i := range MaxEnded - 1 {
					is.True(c.node(i).attempt(request, c.replica(i), false))
				}
				is.Equal(c.stored(t), MaxEnded-1)
				end(c, request)
				time.Sleep(2 * removalDelay)
				is.Equal(c.stored(t), 0)
			})
		})
	}
}

// A call whose response was lost took effect after a later one.
func TestLateCallDoesNotRestoreRemovedEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3)
		defer c.close()
		request := requestOf("", false)
		c.log.Fail(store.Fault{LoseAnswers: true, LateAfter: 5 * time.Second})
		is.True(c.node(0).attempt(request, c.replica(0), false))
		c.log.Fail(store.Fault{Delay: appendTime})
		c.node(0).service.Answered(request)
		time.Sleep(10 * time.Second)
		is.Equal(c.stored(t), 0)
	})
}

// Reads of many clients that were under way when all nodes were lost were taken for one request, one
// after the other, and held back.
func TestReadsUnderWayAtTheLossOfAllNodesDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(5)
		defer c.close()
		read := requestOf("", false)
		for i := range MaxEnded - 1 {
			is.True(c.node(i).attempt(read, c.replica(i), false))
		}
		for i := range 2 {
			go c.node(i).attempt(read, c.replica(10+i), true)
		}
		time.Sleep(15 * time.Millisecond)
		c.loseAllNodes()
		time.Sleep(joinTimeout)
		for i := range 5 {
			is.NoErr(c.node(i).service.Check(read))
		}
	})
}
