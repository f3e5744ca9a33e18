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
	for _, program := range []string{"p", ""} {
		for lost := 1; lost <= 2; lost++ { // calls in a row
			synctest.Test(t, func(t *testing.T) {
				if err := checkAfterLostNotices(t, requestOf(program, program != ""), lost); err == nil {
					t.Errorf("program %q, %d calls lost: the request may be sent", program, lost)
				}
			})
		}
	}
}

// checkAfterLostNotices returns what a node says of a request lateAfter its third end, if some calls in a
// row were lost that told it of that.
func checkAfterLostNotices(t *testing.T, lethal *Request, lost int) error {
	is := is.New(t)
	c := newCluster(9)
	defer c.close()
	for i := range MaxEnded - 1 {
		is.True(c.node(i).attempt(lethal, c.replica(i), false))
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
	is.True(c.node(2).attempt(lethal, c.replica(2), false))
	time.Sleep(c.replicas["m-2"].endedAt + lateAfter - c.now())
	err := c.node(7).service.Check(lethal)
	is.True(calls >= lost)
	return err
}
