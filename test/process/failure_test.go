package process

import (
	"errors"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/link"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/site"
)

// duringModelCall runs a model call of c and calls disturb once, after a few tokens.
func duringModelCall(c *conversation, disturb func()) error {
	var once sync.Once
	disturbed := false
	err := c.say(c.lab.ctx, "a question whose answer is disturbed", func(index int) {
		if index >= 5 {
			once.Do(func() {
				disturbed = true
				disturb()
			})
		}
	})
	if !disturbed {
		return errors.Join(err, errors.New("the call ended before the fault was injected"))
	}
	return err
}

func TestOwnerKilledDuringAModelCall(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.client)
	check.NoErr(c.run(lab.ctx, 1))
	owner := c.owner()
	c.client = lab.clientOf(lab.others(owner)...)
	c.branch = c.client.Branch(c.id, "", c.branch.Next())
	check.NoErr(duringModelCall(c, lab.Nodes[owner].Kill))
	check.True(c.owner() != owner)
	check.NoErr(c.run(lab.ctx, 1))
	lab.verify(c)
}

func TestOwnerAndReplicaKilledTogether(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.client)
	check.NoErr(c.run(lab.ctx, 1))
	owner := c.owner()
	replica := (owner + 1) % len(lab.Nodes)
	left := []*site.Node{lab.Nodes[(owner+2)%len(lab.Nodes)], lab.Nodes[(owner+3)%len(lab.Nodes)]}
	c.client = lab.clientOf(left...)
	c.branch = c.client.Branch(c.id, "", c.branch.Next())
	check.NoErr(duringModelCall(c, func() {
		lab.Nodes[owner].Kill()
		lab.Nodes[replica].Kill()
	}))
	check.NoErr(c.run(lab.ctx, 1))
	lab.verify(c)
}

func TestGatewayKilledDuringAModelCall(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.client)
	check.NoErr(c.run(lab.ctx, 1))
	watched := &lastHost{}
	c.client = lab.clientThrough(watched, lab.others(c.owner())...)
	c.branch = c.client.Branch(c.id, "", c.branch.Next())
	check.NoErr(duringModelCall(c, func() { lab.nodeAt(watched.host()).Kill() }))
	check.NoErr(c.run(lab.ctx, 1))
	lab.verify(c)
}

func TestOwnerKilledDuringAnUnrepeatableCall(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.client)
	owner := c.owner()
	c.client = lab.clientOf(lab.others(owner)...)
	c.branch = c.client.Branch(c.id, "", 1)
	// Whether the kill comes before or after the effect, the operation runs at most once
	// and the caller gets its true outcome.
	time.AfterFunc(operationTime/2, lab.Nodes[owner].Kill)
	check.NoErr(c.act(lab.ctx, c.id+"/ticket"))
	<-lab.Nodes[owner].Done()
	check.NoErr(c.run(lab.ctx, 1))
	lab.verify(c)
}

func TestFrozenOwnerResumesAfterLeaseExpiry(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.client)
	check.NoErr(c.run(lab.ctx, 1))
	owner := c.owner()
	c.client = lab.clientOf(lab.others(owner)...)
	c.branch = c.client.Branch(c.id, "", c.branch.Next())
	check.NoErr(duringModelCall(c, func() { check.NoErr(lab.Nodes[owner].Pause()) }))
	check.NoErr(c.run(lab.ctx, 1))
	check.True(c.owner() != owner)
	check.NoErr(lab.Nodes[owner].Resume())
	check.NoErr(c.run(lab.ctx, 2))
	// The resumed node forwards requests to the shard's current owner.
	through := lab.clientOf(lab.Nodes[owner])
	c.branch = through.Branch(c.id, "", c.branch.Next())
	check.NoErr(c.run(lab.ctx, 1))
	lab.verify(c)
}

func TestLogOutageRejectsOnlyCallsThatNeedTheLog(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.client)
	check.NoErr(c.run(lab.ctx, 1))
	check.NoErr(lab.LogService.Put(lab.ctx, "/stand-in/faults", logservice.Faults{Down: true}))
	check.NoErr(c.say(lab.ctx, "a question during the outage", nil))
	c.branch = lab.impatientClient(lab.Nodes...).Branch(c.id, "", c.branch.Next())
	check.NoErr(c.act(lab.ctx, c.id+"/outage"))
	check.Equal(c.refused, []string{c.id + "/outage"})
	check.NoErr(c.say(lab.ctx, "another question during the outage", nil))
	check.NoErr(lab.LogService.Put(lab.ctx, "/stand-in/faults", logservice.Faults{}))
	c.branch = lab.client.Branch(c.id, "", c.branch.Next())
	check.NoErr(c.act(lab.ctx, c.id+"/outage"))
	check.Equal(c.ran[len(c.ran)-1], c.id+"/outage")
	check.NoErr(c.run(lab.ctx, 1))
	lab.verify(c)
}

func TestOwnerKilledDuringALogOutage(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.client)
	check.NoErr(c.run(lab.ctx, 1))
	check.NoErr(lab.LogService.Put(lab.ctx, "/stand-in/faults", logservice.Faults{Down: true}))
	check.NoErr(c.say(lab.ctx, "a question during the outage", nil))
	// The owner must see the log unavailable for a second before its replicas may serve
	// without the log; until then its shards would wait for it.
	time.Sleep(armingTime)
	owner := c.owner()
	lab.Nodes[owner].Kill()
	next := c.branch.Next()
	c.client = lab.clientOf(lab.others(owner)...)
	c.branch = c.client.Branch(c.id, "", next)
	// The next owner serves without the log: the call is answered during the outage, and
	// what must run at most once is rejected as not run.
	check.NoErr(c.say(lab.ctx, "a question to the next owner", nil))
	check.True(c.owner() != owner)
	c.branch = lab.impatientClient(lab.others(owner)...).Branch(c.id, "", c.branch.Next())
	check.NoErr(c.act(lab.ctx, c.id+"/outage"))
	check.Equal(c.refused, []string{c.id + "/outage"})
	check.NoErr(lab.LogService.Put(lab.ctx, "/stand-in/faults", logservice.Faults{}))
	c.branch = c.client.Branch(c.id, "", c.branch.Next())
	check.NoErr(c.act(lab.ctx, c.id+"/outage"))
	check.Equal(c.ran[len(c.ran)-1], c.id+"/outage")
	check.NoErr(c.run(lab.ctx, 1))
	lab.verify(c)
}

// armingTime is well above the time in which an owner sends its whole state to its
// replicas once the log is unavailable.
const armingTime = 8 * time.Second

func TestCutLinksToAnEngineAndToTheLog(t *testing.T) {
	check := is.New(t)
	network := link.NewNetwork(1)
	relay := func(from, to string, target netip.AddrPort) (netip.AddrPort, error) {
		listen := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), 0)
		relay, err := network.RelayTCP(link.Route{From: from, To: to, Listen: listen, Target: target})
		if err != nil {
			return netip.AddrPort{}, err
		}
		t.Cleanup(func() { _ = relay.Close() })
		return relay.Address(), nil
	}
	lab := start(t, func(plan *site.Plan) {
		plan.Route = func(node identity.NodeName, service string, address netip.AddrPort) (netip.AddrPort, error) {
			if service != "log" {
				return address, nil
			}
			return relay(string(node), service, address)
		}
		plan.RouteBackend = func(backend string, address netip.AddrPort) (netip.AddrPort, error) {
			return relay("nodes", backend, address)
		}
	})
	c := lab.converse(lab.client)
	check.NoErr(c.run(lab.ctx, 1))
	cutEngine := c.answers[0].Backend
	check.True(strings.HasPrefix(cutEngine, "engine-"))
	began := time.Now()
	note := func(what string) { t.Logf("%5.1f s: %s", time.Since(began).Seconds(), what) }
	// The engine that serves the program becomes unreachable during a call.
	check.NoErr(duringModelCall(c, func() { network.Cut("nodes", cutEngine) }))
	note("the call was answered though its engine fell silent")
	check.NoErr(c.say(lab.ctx, "a question while the engine is cut off", nil))
	note("the next call was answered")
	network.Heal("nodes", cutEngine)
	// The owner's connection to the log is cut.
	owner := string(lab.Nodes[c.owner()].Name)
	network.Cut(owner, "log")
	check.NoErr(c.say(lab.ctx, "a question while the owner is cut off from the log", nil))
	note("a call was answered while the owner's link to the log was silent")
	network.Heal(owner, "log")
	check.NoErr(c.run(lab.ctx, 2))
	note("two turns were run after healing")
	lab.verify(c)
}

func TestPlannedStopsUnderLoadBreakNoCalls(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	running := lab.startLoad(6, 4)
	for index := range lab.Nodes[:2] {
		time.Sleep(time.Second)
		check.NoErr(lab.Nodes[index].Stop(stopPatience))
		check.NoErr(lab.StartNode(index))
		check.NoErr(lab.AwaitNode(lab.ctx, lab.Nodes[index], "/readyz"))
	}
	check.NoErr(running.wait())
	for _, c := range running.conversations {
		// A planned stop must not reject a call or leave its outcome unknown.
		check.Equal(len(c.refused)+len(c.doubtful), 0)
		check.Equal(len(c.ran), 4)
	}
	lab.verify(running.conversations...)
}

func TestPlannedStopOfAllNodesLosesNothing(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.client)
	check.NoErr(c.run(lab.ctx, 2))
	before, err := lab.client.Program(lab.ctx, c.id)
	check.NoErr(err)
	check.NoErr(lab.StopNodes(stopPatience))
	for index := range lab.Nodes {
		check.NoErr(lab.StartNode(index))
	}
	check.NoErr(lab.AwaitReady(lab.ctx))
	after, err := lab.client.Program(lab.ctx, c.id)
	check.NoErr(err)
	check.Equal(after.Spent, before.Spent)
	check.Equal(after.Branches, before.Branches)
	check.NoErr(c.run(lab.ctx, 1))
	lab.verify(c)
}

func TestKillsAndAFreezeUnderLoad(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	running := lab.startLoad(6, 4)
	time.Sleep(time.Second)
	lab.Nodes[0].Kill()
	check.NoErr(lab.StartNode(0))
	check.NoErr(lab.AwaitNode(lab.ctx, lab.Nodes[0], "/readyz"))
	check.NoErr(lab.Nodes[1].Pause())
	time.Sleep(2 * leaseDuration)
	check.NoErr(lab.Nodes[1].Resume())
	check.NoErr(running.wait())
	lab.verify(running.conversations...)
}
