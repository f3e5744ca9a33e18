package quarantine

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/internal/holders"
)

// largeSite returns the number of nodes of a site at which only holders are told of a first end.
// MODEL_NODES sets it.
func largeSite() int {
	if given, err := strconv.Atoi(os.Getenv("MODEL_NODES")); err == nil {
		return given
	}
	return 2 * smallSite
}

// A rack with many replicas that ends at once must not have every node tell every other: each request
// that ran there is told to a few. MODEL_NODES sets the number of nodes.
func TestLostRackIsToldToHoldersOnly(t *testing.T) {
	nodes := largeSite()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(nodes)
		defer c.close()
		c.Reset()
		const replicas, slots = 20, 50
		var wait sync.WaitGroup
		for i := range replicas * slots {
			wait.Go(func() {
				request := requestOf(fmt.Sprint("p", i), true)
				if !c.node(i%nodes).attempt(request, c.replica(i/slots), false) {
					t.Errorf("request %d was not sent", i)
				}
			})
		}
		wait.Wait()
		messages, bytes := c.Reset()
		t.Logf("%d nodes, %d requests: %d messages, %d bytes with their responses", nodes, replicas*slots, messages, bytes)
		if messages > (holders.Copies+confirmPeers)*replicas*slots {
			t.Errorf("%d messages", messages)
		}
		time.Sleep(10 * time.Second)
		messages, bytes = c.Reset()
		t.Logf("%d messages, %d bytes in the 10 s after", messages, bytes)
	})
}

func TestAllNodesOfLargeSiteAreToldOfSecondAndThirdEnd(t *testing.T) {
	nodes := largeSite()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(nodes)
		defer c.close()
		lethal := requestOf("lethal", true)
		for i := range MaxEnded {
			c.Reset()
			if !c.node(7*i).attempt(lethal, c.replica(1000+i), false) {
				t.Errorf("attempt %d was not sent", i)
			}
			time.Sleep(time.Second)
			messages, bytes := c.Reset()
			t.Logf("end %d: %d messages, %d bytes with their responses", i+1, messages, bytes)
		}
		if c.node(nodes-1).service.Check(lethal) == nil {
			t.Error("a node does not know")
		}
	})
}
