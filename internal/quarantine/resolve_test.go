package quarantine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// hang makes an attempt under which the replica is silent for some time, until the connection is
// reset. Unless it lives on, the replica has ended then.
func (n *testNode) hang(request *Request, replica Replica, silence time.Duration, lives bool) bool {
	send := Send{Replica: replica, Began: n.service.config.Now(), Until: n.service.config.Now() + 6*time.Second, Silence: silence}
	registered, err := n.service.Begin(context.Background(), request, send, Attempt{})
	if err != nil {
		return false
	}
	if !lives {
		n.cluster.end(replica, false)
	}
	time.Sleep(silence)
	n.service.Broke(context.Background(), request, send, registered, replicaAddress(replica.Instance), errReset)
	return true
}

// A replica that hung under a request until its entry had lapsed, and ended then, was taken for one
// that leaves as planned.
func TestReplicaThatHangsBeforeItsEndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(5)
		defer c.close()
		request := requestOf("p", true)
		sent := 0
		for i := range 2 * MaxEnded {
			if c.node(i%5).hang(request, c.replica(i), 4*heartbeat, false) {
				sent++
			}
		}
		is.Equal(sent, MaxEnded)
		is.True(errors.Is(c.node(0).service.Check(request), ErrQuarantined))
	})
}

// Replicas that leave without a word, and are heard until they end, count as little as living ones
// whose entries are missing.
func TestReplicaWithoutEntryThatIsHeardDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(5)
		defer c.close()
		request, silent := requestOf("p", true), requestOf("q", true)
		for i := range 2 * MaxEnded {
			leaving, living := c.replica(i), c.replica(100+i)
			c.change(func() {
				c.replicas[leaving.Instance].withdrawn, c.replicas[living.Instance].withdrawn = true, true
			})
			is.True(c.node(i%5).attempt(request, leaving, false))
			is.True(c.node(i%5).hang(silent, living, time.Second, true))
		}
		time.Sleep(2 * time.Second)
		for i := range 5 {
			is.Equal(len(c.node(i).service.Status()), 0)
		}
	})
}

// A client that gives up soon leaves no doubt about a replica, unless replicas have ended under its
// request already: attempts with little time left were not counted, whatever became of their replicas.
func TestShortSilenceUnderSuspectRequestCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(5)
		defer c.close()
		request := requestOf("p", true)
		sent := 0
		for i := range 4 * MaxEnded {
			waits := minSilence / 2
			if i%2 == 0 {
				waits = 2 * time.Second
			}
			if c.node(i%5).silence(request, c.replica(i), waits, true) {
				sent++
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(sent, MaxEnded)

		hasty := requestOf("q", true)
		for i := range 2 * MaxEnded {
			is.True(c.node(i%5).silence(hasty, c.replica(100+i), minSilence/2, false))
		}
		for i := range 5 {
			is.NoErr(c.node(i).service.Check(hasty))
		}
	})
}

// A request whose client left while its attempt was being registered was sent, and left a doubt about
// a replica that nobody waited for.
func TestAttemptIsNotMadeOnceItsClientHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9)
		defer c.close()
		request := requestOf("p", true)
		for i := range MaxEnded - 1 {
			is.True(c.node(i).attempt(request, c.replica(i), false))
		}
		service := c.node(5).service
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(callTime/2, leave)
		send := Send{Replica: c.replica(10), Began: service.config.Now(), Until: service.config.Now() + 4*time.Second}
		registered, err := service.Begin(ctx, request, send, Attempt{})
		is.True(errors.Is(err, context.Canceled))
		is.Equal(registered, Attempt{})
		time.Sleep(10 * callTime)
		is.NoErr(c.node(7).service.Check(request))
	})
}
