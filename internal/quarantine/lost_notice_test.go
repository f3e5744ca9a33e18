package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
)

// A live node to which the one notice of the third end was lost sent the request seconds later.
func TestNodeLearnsOfThirdEndThoughItsNoticeIsLost(t *testing.T) {
	for _, identified := range []bool{true, false} {
		for lost := 1; lost <= 2; lost++ { // calls in a row
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(9)
				defer c.close()
				program := ""
				if identified {
					program = "p"
				}
				request := requestOf(program, identified)
				for i := range MaxEnded - 1 {
					is.True(c.node(i).attempt(request, c.replica(i), false))
				}
				calls := 0
				c.Lose(func(_, to identity.NodeName, request peer.Message) bool {
					told, ok := request.(*notice)
					if !ok || to != "n7" || len(told.records) == 0 || len(told.records[0].attempts) < MaxEnded {
						return false
					}
					calls++
					return calls <= lost
				})
				is.True(c.node(2).attempt(request, c.replica(2), false))
				third := c.replicas["m-2"].endedAt
				time.Sleep(third + lateAfter - c.now())
				if c.node(7).service.Check(request) == nil {
					t.Errorf("identified %t, %d calls lost: the request may be sent", identified, lost)
				}
				is.True(calls >= lost)
			})
		}
	}
}
