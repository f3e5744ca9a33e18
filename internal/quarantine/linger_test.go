package quarantine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// over makes an attempt that is over after some time, without a doubt about its replica. The replica
// ends later if endsAfter is positive.
func (n *testNode) over(request *Request, replica Replica, length, endsAfter time.Duration, silent bool) bool {
	send := Send{Replica: replica, Began: n.service.config.Now(), Until: n.service.config.Now() + 4*time.Second}
	registered, err := n.service.Begin(context.Background(), request, send, Attempt{})
	if err != nil {
		return false
	}
	if endsAfter > 0 {
		time.AfterFunc(length+endsAfter, func() { n.cluster.end(replica, silent) })
	}
	time.Sleep(length)
	n.service.Over(request, send, registered, replicaAddress(replica.Instance))
	return true
}

// An end that followed its attempt's failure response, or its client's cancellation, was not counted.
func TestReplicaThatEndsAfterItsAttemptCounts(t *testing.T) {
	for _, endsAfter := range []time.Duration{time.Millisecond, 50 * time.Millisecond, lingerTime - 50*time.Millisecond} {
		for _, program := range []string{"p", ""} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(9)
				defer c.close()
				request := requestOf(program, program != "")
				sent := 0
				for i := range 20 {
					if c.node(i%9).service.Check(request) == nil && c.node(i%9).over(request, c.replica(i), 100*time.Millisecond, endsAfter, false) {
						sent++
					}
					time.Sleep(lingerTime)
				}
				is.Equal(sent, MaxEnded)
				is.NoErr(c.node(0).service.Check(requestOf("q", true)))
			})
		}
	}
}

// Replicas that end long after an attempt, or do not end, do not count for it, and many attempts at one
// replica share their connections.
func TestAttemptsThatAreOverCountForAShortTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(5)
		defer c.close()
		request := requestOf("p", true)
		for i := range 2 * MaxEnded {
			is.True(c.node(i%5).over(request, c.replica(i), 20*time.Millisecond, lingerTime+50*time.Millisecond, false))
			time.Sleep(time.Second)
		}
		for i := range 2 * MaxEnded {
			is.True(c.node(i%5).over(request, c.replica(100+i), 20*time.Millisecond, 0, false))
		}
		time.Sleep(time.Second)
		is.NoErr(c.node(0).service.Check(request))

		busy := c.replica(200)
		for range 50 {
			is.True(c.node(0).over(request, busy, 5*time.Millisecond, 0, false))
		}
		c.change(func() { is.True(c.replicas["m-200"].dials <= 5) }) // one, and one each 60 ms
		time.Sleep(2 * lingerTime)
		is.Equal(len(c.node(0).service.lingering.replicas), 0)
	})
}

// Clients that gave up after a short time lost any number of replicas without power.
func TestReplicaWithoutPowerCountsThoughItsClientsAreImpatient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(5)
		defer c.close()
		request := requestOf("p", true)
		sent := 0
		for i := range 20 {
			if c.node(i%5).service.Check(request) == nil && c.node(i%5).silence(request, c.replica(i), minSilence/4, true) {
				sent++
			}
			time.Sleep(verifyTimeout)
		}
		is.Equal(sent, MaxEnded)
		time.Sleep(5 * time.Second)
		is.True(errors.Is(c.node(0).service.Check(request), ErrQuarantined))
	})
}

// A replica that lost power after its failure response ended no connection, and its end was not counted:
// at all, or if the replica had been heard or connected to in between.
func TestReplicaThatLosesPowerAfterItsAttemptCounts(t *testing.T) {
	for name, c := range map[string]struct {
		endsAfter, heardAfter, noticed time.Duration
	}{
		"at once":                       {endsAfter: 5 * time.Millisecond, noticed: probeDelay + probeTimeout},
		"after it was heard":            {endsAfter: 50 * time.Millisecond, heardAfter: 10 * time.Millisecond, noticed: 2*probeDelay + probeTimeout},
		"after it was connected to":     {endsAfter: 2 * probeDelay, noticed: 4*probeDelay + probeTimeout},
		"just before it counts no more": {endsAfter: lingerTime - 10*time.Millisecond, noticed: lingerTime + 2*probeDelay + probeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cluster := newCluster(9)
				defer cluster.close()
				request := requestOf("p", true)
				sent := 0
				for i := range 20 {
					node, replica := cluster.node(i%9), cluster.replica(i)
					if node.service.Check(request) == nil && node.over(request, replica, 20*time.Millisecond, c.endsAfter, true) {
						sent++
					}
					if c.heardAfter > 0 {
						time.AfterFunc(c.heardAfter, func() { node.service.seenLingering(replica) })
					}
					time.Sleep(c.noticed + 10*time.Millisecond)
				}
				is.Equal(sent, MaxEnded)
			})
		})
	}
}

// A link that lost single packets made replicas count as ended, and innocent requests were refused.
func TestLostPacketsAreNoEnds(t *testing.T) {
	for losesEach := 2; losesEach <= 5; losesEach++ {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(5)
			defer c.close()
			request := requestOf("p", true)
			for i := range 4 * MaxEnded {
				replica := c.replica(i)
				c.change(func() { c.replicas[replica.Instance].losesEach = losesEach })
				is.True(c.node(i%5).over(request, replica, 20*time.Millisecond, 0, false))
				time.Sleep(lingerTime)
				is.NoErr(c.node(i % 5).service.Check(request))
			}
		})
	}
}
