package quarantine

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/nodes"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

// All nodes of a site restarted within a second, and the new incarnations knew only each other: what
// the former ones knew was lost.
func TestRestartOfAllNodesAtOnceKeepsQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(8)
		defer c.close()
		request := requestOf("p", true)
		for i := range MaxEnded {
			is.True(c.node(i).attempt(request, c.replica(i), false))
		}
		var leaving membership.View
		for i := range 8 {
			leaving.Members = append(leaving.Members, membership.Member{Node: c.node(i).Node.Node, Status: membership.Leaving})
		}
		for i := range 8 {
			c.node(i).service.SetView(leaving)
		}
		// The new nodes get a view of their own, in which the former ones are missing.
		var view membership.View
		var started []*testNode
		for i := range 8 {
			former := c.node(i)
			former.service.Close()
			former.service.HandOver()
			c.stop(former)
			node := c.start(i)
			node.service.config.Seeds = nil
			started = append(started, node)
			view.Members = append(view.Members, membership.Member{Node: node.Node.Node, Status: membership.Alive})
			for _, one := range started {
				one.service.SetView(view)
			}
			time.Sleep(80 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for _, node := range started {
			is.True(errors.Is(node.service.Check(request), ErrQuarantined))
		}
	})
}

// A node that stopped while it still listened for a silent replica took what it knew of it along.
func TestNodesThatStopTellOfSilentReplicas(t *testing.T) {
	for _, count := range []int{5, 2 * smallSite} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(count)
			defer c.close()
			request := requestOf("p", true)
			sent := 0
			for i := range 2 * MaxEnded {
				stopping := c.node(i % 5)
				if stopping.service.Check(request) == nil && stopping.silence(request, c.replica(i), 2*time.Second, true) {
					sent++
				}
				time.Sleep(hearTime / 4)
				stopping.service.HandOver()
				c.stop(stopping)
				c.start(i % 5)
				c.shareView()
				time.Sleep(joinInterval)
			}
			is.Equal(sent, MaxEnded)
		})
	}
}

// knowing is a client whose every node knows some records.
type knowing struct{ records []record }

// Call implements peer.Client.
func (k knowing) Call(context.Context, netip.AddrPort, peer.Message, func(peer.Message) error) (peer.Message, error) {
	return &noticeResponse{stored: true, synced: true, records: k.records}, nil
}

// A node that learned the records while it answered another one that starts said that it knew them,
// and told none.
func TestStartingNodeTellsWhatItSaysToKnow(t *testing.T) {
	is := is.New(t)
	content := record{
		key: requestOf("p", true).Key, identified: true, announced: true, lifetime: time.Minute,
		attempts: []sharedAttempt{{id: 1, replica: Replica{Instance: "m"}, state: stateEnded, broken: true}},
	}
	empty := 0
	for range 1000 {
		service := New(Config{
			Self: "n0", Peers: knowing{[]record{content}}, Seeds: []netip.AddrPort{nodes.AddressOf("n1")},
			Logger: slog.New(slog.DiscardHandler), Now: func() time.Duration { return time.Minute },
		})
		service.SetView(membership.View{Members: []membership.Member{
			{Node: identity.Node{Name: "n0"}, Status: membership.Alive}, {Node: identity.Node{Name: "n1"}, Status: membership.Alive},
		}})
		joined := make(chan struct{})
		go func() { defer close(joined); service.join(t.Context(), nil) }()
		for synced := false; !synced; {
			answer, err := service.handleNotice(t.Context(), &notice{pull: true}, nil)
			is.NoErr(err)
			response, ok := answer.(*noticeResponse)
			is.True(ok)
			if synced = response.synced; synced && len(response.records) == 0 {
				empty++
			}
		}
		<-joined
	}
	is.Equal(empty, 0)
}
